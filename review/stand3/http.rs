//! A blocking HTTP/1.1 server and client on loopback addresses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Req {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let row = headers.iter().find(|row| row.0.eq_ignore_ascii_case(name));
    row.map_or("", |row| &row.1)
}

fn read_head(r: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    loop {
        first.clear();
        if r.read_line(&mut first).ok()? == 0 {
            return None;
        }
        if !first.trim().is_empty() {
            break;
        }
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_string(), headers));
        }
        let (k, v) = line.split_once(':')?;
        headers.push((k.to_string(), v.trim().to_string()));
    }
}

fn read_chunked(r: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if r.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let from = body.len();
        body.resize(from + size, 0);
        if r.read_exact(&mut body[from..]).is_err() {
            return None;
        }
        let mut end = String::new();
        r.read_line(&mut end).ok()?;
        if size == 0 {
            return Some(());
        }
    }
}

pub type Handler = Arc<dyn Fn(&Req, &mut TcpStream) -> bool + Send + Sync>;

/// Serves one connection until its end; a handler that returns false closes it.
pub fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut r = BufReader::new(stream);
    while let Some((line, headers)) = read_head(&mut r) {
        let mut words = line.split(' ');
        let method = words.next().unwrap_or("").to_string();
        let target = words.next().unwrap_or("").to_string();
        let mut body = Vec::new();
        if find(&headers, "transfer-encoding").contains("chunked") {
            if read_chunked(&mut r, &mut body).is_none() {
                return;
            }
        } else {
            let length = find(&headers, "content-length").parse().unwrap_or(0);
            body.resize(length, 0);
            if r.read_exact(&mut body).is_err() {
                return;
            }
        }
        let request = Req { method, target, headers, body };
        if !handler(&request, &mut out) {
            let _ = out.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// Listens on `addr` and serves each connection in a thread.
pub fn serve(addr: &str, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind(addr).unwrap_or_else(|e| crate::cannot_run(&format!("{addr}: {e}")));
    let local = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    local
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

pub fn reply(out: &mut TcpStream, status: u16, headers: &[(&str, String)], body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n", reason(status), body.len());
    for (k, v) in headers {
        text.push_str(&format!("{k}: {v}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes).is_ok()
}

/// What a client saw.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A complete answer.
    Answer { status: u16, headers: Vec<(String, String)>, body: Vec<u8> },
    /// No connection.
    Refused,
    /// The channel ended before a complete answer.
    Cut { has_head: bool },
    /// No complete answer in time.
    Late,
}

impl Seen {
    pub fn status(&self) -> u16 {
        match self {
            Seen::Answer { status, .. } => *status,
            _ => 0,
        }
    }

    pub fn header(&self, name: &str) -> &str {
        match self {
            Seen::Answer { headers, .. } => find(headers, name),
            _ => "",
        }
    }

    pub fn short(&self) -> String {
        match self {
            Seen::Answer { status, .. } => status.to_string(),
            Seen::Refused => "no channel".into(),
            Seen::Cut { has_head } => format!("cut, head {has_head}"),
            Seen::Late => "late".into(),
        }
    }
}

/// Sends one request on a new channel and reads the answer.
pub fn call(to: SocketAddr, request: &[u8], wait: Duration) -> Seen {
    let until = Instant::now() + wait;
    let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(wait)) else {
        return Seen::Refused;
    };
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return Seen::Refused };
    if out.write_all(request).is_err() {
        return Seen::Cut { has_head: false };
    }
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let mut r = BufReader::new(stream);
    let ended = |has_head| if Instant::now() >= until { Seen::Late } else { Seen::Cut { has_head } };
    let Some((line, headers)) = read_head(&mut r) else { return ended(false) };
    let status: u16 = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").contains("chunked") {
        if read_chunked(&mut r, &mut body).is_none() {
            return ended(true);
        }
    } else if let Ok(length) = find(&headers, "content-length").parse::<usize>() {
        if (&mut r).take(length as u64).read_to_end(&mut body).is_err() || body.len() < length {
            return ended(true);
        }
    } else if r.read_to_end(&mut body).is_err() {
        return ended(true);
    }
    Seen::Answer { status, headers, body }
}
