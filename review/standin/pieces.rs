//! A stream that another server goes on with.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::cluster;
use crate::cluster::Record;
use crate::cluster::Server;
use crate::cluster::Site;
use crate::http::Channel;
use crate::http::Message;
use crate::json::Json;

/// Number of servers, of which one crashes.
const SERVERS: usize = 8;

/// Number of events of a whole stream.
const EVENTS: u32 = 10;

/// Event after which the first server crashes.
const CRASH_AFTER: u32 = 5;

/// First line of an event at which the version of the weights changes.
const VERSION_LINE: &str = "x-cassialock-weight-versions:2\n";

/// Returns an event; all are equally long.
fn event(id: u32) -> String {
    format!("id: {id:02}\ndata: piece {id:02} of text\n\n")
}

pub fn play(record: &Arc<Record>, tmp: &str, has_trouble: bool) -> Verdict {
    let site = Site::start();
    let mut draft = cluster::route("/draft/", "streaming", "pool", 5_000, 2);
    if let Json::Map(fields) = &mut draft {
        fields.insert("resumable".into(), Json::Bool(true));
        fields.insert("gap_aim_ms".into(), Json::Int(400));
    }
    site.publish(draft, "pool");
    let crashes = Arc::new(AtomicBool::new(has_trouble));
    for index in 0..SERVERS {
        let (crashes, noting) = (Arc::clone(&crashes), Arc::clone(record));
        let run = move |server: &Server, request: &Message, channel: &mut Channel| {
            answer(&noting, server, request, channel, &crashes)
        };
        site.start_server(record, index, "pool", run);
    }
    let Some(entries) = site.start_entries(tmp, &["a", "b"]) else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(3));
    let id = cluster::next_id();
    let front = entries[0].front;
    let Some(got) = cluster::call(front, &id, "POST", "/draft/1", "k-one", 5_000, "prompt") else {
        record.line("the client got no answer");
        return Verdict::NotRun;
    };
    entries.iter().for_each(|entry| entry.kill());
    let body = got.text();
    record.line(format!(
        "client sent {id}, got status {}, length {:?}, transfer encoding {:?}, complete by its \
         framing: {}, {} bytes",
        got.status(),
        got.header("content-length"),
        got.header("transfer-encoding"),
        got.is_complete,
        body.len()
    ));
    body.lines()
        .for_each(|line| record.line(format!("client got: {line}")));
    let missing: Vec<u32> = (1..=EVENTS)
        .filter(|id| !body.contains(&event(*id)))
        .collect();
    let is_between_events = body.is_empty() || body.ends_with("\n\n");
    record.line(format!(
        "missing events: {missing:?}; ends between two events: {is_between_events}"
    ));
    if got.status() != 200 {
        Verdict::NotRun
    } else if got.is_complete && is_between_events && !missing.is_empty() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Answers a request with a stream, from the event after `Last-Event-Id`.
fn answer(
    record: &Record,
    server: &Server,
    request: &Message,
    channel: &mut Channel,
    crashes: &AtomicBool,
) -> bool {
    let id = request
        .header("x-cassialock-request-id")
        .unwrap_or_default();
    let last = request.header("last-event-id");
    let last: u32 = last.and_then(|last| last.parse().ok()).unwrap_or(0);
    // The server that goes on has newer weights.
    let version = if last == 0 { 1 } else { 2 };
    let events: Vec<String> = (last + 1..=EVENTS)
        .map(|id| match id == last + 1 && last > 0 {
            true => VERSION_LINE.to_string() + &event(id),
            false => event(id),
        })
        .collect();
    let length: usize = events.iter().map(String::len).sum();
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n\
         X-Cassialock-Weight-Versions: {version}\r\nContent-Length: {length}\r\n\r\n",
        cluster::stamp(&server.name, id)
    );
    if !channel.send(head.as_bytes()) {
        return false;
    }
    for (index, event) in events.iter().enumerate() {
        if last == 0 && index == CRASH_AFTER as usize && crashes.swap(false, Ordering::SeqCst) {
            record.line(format!(
                "server {} crashes in its answer to {id}",
                server.name
            ));
            server.crash();
            return false;
        }
        if !channel.send(event.as_bytes()) {
            return false;
        }
        thread::sleep(Duration::from_millis(60));
    }
    record.line(format!(
        "server {} has sent the last event of {id}",
        server.name
    ));
    true
}
