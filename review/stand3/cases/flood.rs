//! A server in trouble sends the bytes of an answer without end, until its caller closes.

use std::io::Read;
use std::net::TcpStream;

use crate::backend::Backend;
use crate::*;

/// `timeout_ms` of the route, and the time limit of the clients.
const TIMEOUT: Duration = Duration::from_millis(2000);
const LIMIT: Duration = Duration::from_millis(8000);

/// Bytes that a client reads at once, and the pause after it: the client's line has 20 MB/s.
const READ: usize = 1 << 20;
const PAUSE: Duration = Duration::from_millis(50);

const REQUESTS: usize = 150;
const EVERY: Duration = Duration::from_millis(200);

struct Row {
    id: String,
    node: usize,
    sent: Instant,
    ended: Instant,
    /// What the client saw last.
    end: &'static str,
    bytes: usize,
}

pub fn run() -> ! {
    let world = World::new(9, 0);
    let mut servers = Vec::new();
    for (i, zone) in node::ZONES.into_iter().enumerate() {
        let work: backend::Work = Arc::new(|server: &Arc<Backend>, q, out| {
            let id = q.header("x-cassialock-request-id").to_string();
            if server.name != "i-0" || !has_trouble() {
                std::thread::sleep(Duration::from_millis(60));
                let body = format!("answer to {id} by {}", server.name);
                return http::reply(out, 200, &server.signed(&id), body.as_bytes());
            }
            let mut head = String::from("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n");
            for (name, value) in server.signed(&id) {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
            head.push_str("\r\n");
            let began = Instant::now();
            let mut sent = 0;
            let mut is_open = out.write_all(head.as_bytes()).is_ok();
            while is_open {
                is_open = out.write_all(&[b'x'; 16384]).is_ok();
                sent += 16384;
            }
            note(&format!("server i-0: the caller of {id} closed after {} ms and {sent} bytes", began.elapsed().as_millis()));
            false
        });
        servers.push(Backend::start(&world.store, &world.ip, &format!("i-{i}"), "portal", "v1", zone, 24, work));
    }
    let more = vec![
        ("timeout_ms", J::num(TIMEOUT.as_millis() as u64)),
        ("target_latency_ms", J::num(300)),
        ("max_attempts", J::num(2)),
        ("public", J::Bool(true)),
    ];
    let service = J::obj(vec![("name", J::str("portal")), ("health_path", J::str("/health"))]);
    world.store.set(
        "config",
        "main",
        J::obj(vec![
            ("version", J::num(7)),
            ("routes", J::Arr(vec![route("look", "/look/", "idempotent", "portal", more)])),
            ("services", J::Arr(vec![service])),
            ("limits", limits()),
            ("tenants", J::Arr(vec![])),
        ]),
    );
    world.start();
    let mut calls = Vec::new();
    for n in 0..REQUESTS {
        let node = n % world.nodes.len();
        let to = world.nodes[node].front;
        calls.push(std::thread::spawn(move || call(to, node, format!("a1{n:06x}"))));
        std::thread::sleep(EVERY);
    }
    let rows: Vec<Row> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    for row in &rows {
        note(&format!(
            "client: request {} sent at {} to machine {}: {} after {} ms, {} bytes",
            row.id, ms(row.sent), row.node, row.end, (row.ended - row.sent).as_millis(), row.bytes
        ));
    }
    let lasted = rows.iter().filter(|row| row.ended - row.sent > TIMEOUT).count();
    let bound = TIMEOUT + Duration::from_millis(500);
    let open = rows.iter().filter(|row| row.ended - row.sent > bound).count();
    let text = format!("of {REQUESTS} requests, {lasted} lasted longer than timeout_ms, {open} had no final answer 0.5 s after it");
    note(&text);
    println!("{text}");
    if rows.iter().filter(|row| row.end == "complete").count() < REQUESTS / 4 {
        cannot_run("too few requests were served");
    }
    verdict((open >= 8 && open * 4 > lasted).then(|| format!("CONFIG: {text}")))
}

/// Sends a request and reads until the answer is complete, or the time limit has passed.
fn call(to: SocketAddr, node: usize, id: String) -> Row {
    let sent = Instant::now();
    let row = |end, bytes| Row { id: id.clone(), node, sent, ended: Instant::now(), end, bytes };
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return row("no channel", 0);
    };
    let text = format!(
        "GET /look/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Cassialock-Request-Id: {id}\r\nX-Cassialock-Deadline-Ms: {}\r\n\r\n",
        LIMIT.as_millis()
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return row("cut", 0);
    }
    let mut head = Vec::new();
    let mut buffer = vec![0; READ];
    let mut bytes = 0;
    loop {
        let left = (sent + LIMIT).saturating_duration_since(Instant::now());
        if left.is_zero() {
            return row("the client leaves", bytes);
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => return row("cut", bytes),
            Ok(n) => {
                bytes += n;
                if head.len() < 16384 {
                    head.extend_from_slice(&buffer[..n.min(16384)]);
                    let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
                    let length = text.split("content-length: ").nth(1).and_then(|rest| rest.split('\r').next()?.parse::<usize>().ok());
                    let begin = text.find("\r\n\r\n").map(|at| at + 4);
                    if let (Some(length), Some(begin)) = (length, begin)
                        && bytes >= begin + length
                    {
                        return row("complete", bytes);
                    }
                }
                if n > 65536 {
                    std::thread::sleep(PAUSE);
                }
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return row("cut", bytes),
        }
    }
}
