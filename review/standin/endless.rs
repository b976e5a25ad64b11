//! A server in trouble that sends bytes without end.

use std::io::Read;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::cluster;
use crate::cluster::Record;
use crate::cluster::Server;
use crate::cluster::Site;
use crate::http::Channel;
use crate::http::Message;

/// Number of servers.
const SERVERS: usize = 8;

/// Number of servers in trouble.
const TROUBLED: usize = 3;

/// `timeout_ms` of the route.
const TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time after it in which an answer has to end.
const SLACK: Duration = Duration::from_millis(500);

/// Time for which the client waits at most.
const PATIENCE: Duration = Duration::from_millis(8_000);

const REQUESTS: usize = 300;

/// Events of a whole stream.
const EVENTS: u32 = 5;

/// Pause of the client after each 16 KB that it reads.
const READ_PAUSE: Duration = Duration::from_millis(10);

pub fn play(record: &Arc<Record>, tmp: &str, has_trouble: bool) -> Verdict {
    let site = Site::start();
    let timeout_ms = TIMEOUT.as_millis() as i64;
    let draft = cluster::route("/draft/", "streaming", "pool", timeout_ms, 1);
    site.publish(draft, "pool");
    for index in 0..SERVERS {
        let is_troubled = has_trouble && index < TROUBLED;
        let run = move |server: &Server, request: &Message, channel: &mut Channel| {
            answer(server, request, channel, is_troubled)
        };
        site.start_server(record, index, "pool", run);
    }
    let Some(entries) = site.start_entries(tmp, &["a", "b", "c"]) else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(3));
    let lasted: Arc<Mutex<Vec<(Duration, bool)>>> = Arc::default();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|index| {
            thread::sleep(Duration::from_millis(20));
            let front = entries[index % entries.len()].front;
            let (lasted, record) = (Arc::clone(&lasted), Arc::clone(record));
            thread::spawn(move || {
                let row = read_slowly(&record, front);
                lasted.lock().unwrap().extend(row);
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    entries.iter().for_each(|entry| entry.kill());
    let lasted = lasted.lock().unwrap();
    let served = lasted.iter().filter(|row| row.0 < TIMEOUT).count();
    let longer = lasted.iter().filter(|row| row.0 >= TIMEOUT).count();
    let open = lasted.iter().filter(|row| row.0 > TIMEOUT + SLACK).count();
    record.line(format!(
        "{served} answers ended before the time-out of the route; {longer} requests lasted \
         longer, and {open} of these had no final answer {SLACK:?} after it"
    ));
    if served < REQUESTS / 4 {
        Verdict::NotRun
    } else if open >= 8 && open * 4 > longer {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a request and reads its answer at 1.6 MB a second; returns how long that lasted,
/// and whether the answer was complete.
fn read_slowly(record: &Record, front: std::net::SocketAddr) -> Option<(Duration, bool)> {
    let (id, sent) = (cluster::next_id(), Instant::now());
    let mut channel = Channel::open(front, PATIENCE).ok()?;
    let limit = PATIENCE.as_millis();
    let head = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: shop.example\r\nX-Cassialock-Request-Id: {id}\r\n\
         X-Cassialock-Deadline-Ms: {limit}\r\nAuthorization: Token k-one\r\n\
         Content-Length: 6\r\n\r\nprompt"
    );
    if !channel.send(head.as_bytes()) {
        return None;
    }
    let mut bytes = [0; 16 * 1024];
    let mut count = 0;
    let mut tail = Vec::new();
    let how = loop {
        if sent.elapsed() >= PATIENCE {
            break "the client leaves";
        }
        match channel.stream.read(&mut bytes) {
            Ok(0) => break "closed",
            Err(_) => break "reset",
            Ok(length) => {
                count += length;
                tail.extend_from_slice(&bytes[..length]);
                tail.drain(..tail.len().saturating_sub(5));
                if tail == b"0\r\n\r\n" {
                    break "complete";
                }
            }
        }
        thread::sleep(READ_PAUSE);
    };
    let lasted = sent.elapsed();
    record.line(format!(
        "client sent {id} to {front}, {count} bytes, {how} after {} ms",
        lasted.as_millis()
    ));
    Some((lasted, how == "complete"))
}

/// Answers with a short stream, or with bytes that don't end until the caller closes.
fn answer(server: &Server, request: &Message, channel: &mut Channel, is_troubled: bool) -> bool {
    let id = request
        .header("x-cassialock-request-id")
        .unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        cluster::stamp(&server.name, id)
    );
    if !channel.send(head.as_bytes()) {
        return false;
    }
    if is_troubled {
        let noise = [b'#'; 8 * 1024];
        let size = format!("{:x}\r\n", noise.len());
        let chunk = [size.as_bytes(), &noise, b"\r\n"].concat();
        while channel.send(&chunk) {}
        return false;
    }
    for event in 1..=EVENTS {
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if !channel.send(chunk.as_bytes()) {
            return false;
        }
        thread::sleep(Duration::from_millis(120));
    }
    channel.send(b"0\r\n\r\n")
}
