//! Small HTTP/1.1 helpers, JSON scanning and shared state of the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the start of the program.
pub fn ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

pub fn sleep(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Sleeps until a time of [`ms`].
pub fn sleep_until(at: u64) {
    sleep(at.saturating_sub(ms()));
}

/// The record of what was sent, answered and run.
static RECORD: Mutex<Vec<String>> = Mutex::new(Vec::new());

pub fn record(line: impl AsRef<str>) {
    let line = format!("{:>7} ms  {}", ms(), line.as_ref());
    RECORD.lock().unwrap().push(line);
}

pub fn write_record(path: &str) {
    let mut text = RECORD.lock().unwrap().join("\n");
    text.push('\n');
    std::fs::write(path, text).expect("record.txt");
}

/// A message with its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the message was complete.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut rows = self.headers.iter();
        rows.find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Channel {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn open(to: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(
            &to,
            Duration::from_millis(1_000),
        )?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let n = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..n]);
        Ok(n)
    }

    /// Reads the head of a message, or `None` if the peer closed the channel.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.rest.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_string();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
                    .collect();
                return Ok(Some(Message {
                    first,
                    headers,
                    ..Message::default()
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads exactly `length` bytes; returns fewer if the peer closed the channel.
    pub fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.fill()? == 0 {
                break;
            }
        }
        let n = length.min(self.rest.len());
        Ok(self.rest.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a whole message as its head frames it.
    pub fn message(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.to_ascii_lowercase().ends_with("chunked"));
        if chunked {
            loop {
                let Some(line) = self.line()? else {
                    return Ok(Some(message));
                };
                let size = line.split(';').next().unwrap_or("").trim();
                let Ok(size) = usize::from_str_radix(size, 16) else {
                    return Ok(Some(message));
                };
                let part = self.exactly(size)?;
                let short = part.len() < size;
                message.body.extend(part);
                if short || self.line()?.is_none() {
                    return Ok(Some(message));
                }
                if size == 0 {
                    message.whole = true;
                    return Ok(Some(message));
                }
            }
        }
        match message.header("content-length").map(|v| v.parse::<usize>()) {
            Some(Ok(length)) => {
                message.body = self.exactly(length)?;
                message.whole = message.body.len() == length;
            }
            Some(Err(_)) => {}
            None if is_response => {
                while self.fill()? > 0 {}
                message.body = std::mem::take(&mut self.rest);
                message.whole = true;
            }
            None => message.whole = true,
        }
        Ok(Some(message))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn set_timeout(&self, millis: u64) {
        let _ = self
            .stream
            .set_read_timeout(Some(Duration::from_millis(millis.max(1))));
    }
}

/// Answers a connection attempt in a thread of its own, for ever.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = std::sync::Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = std::sync::Arc::clone(&handle);
            std::thread::spawn(move || handle(stream));
        }
    });
}

/// Returns the undecoded member of a JSON object.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = value_end(bytes, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip(bytes, key_end);
        at = skip(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if key == name {
            return Some(object[at..end].trim());
        }
        at = skip(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at = skip(bytes, at + 1);
    }
    None
}

fn skip(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut at, mut depth, mut quoted) = (start, 0, false);
    loop {
        let byte = *bytes.get(at)?;
        if quoted {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    quoted = false;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => quoted = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return Some(at),
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                b',' if depth == 0 => return Some(at),
                _ => {}
            }
        }
        at += 1;
    }
}

pub fn unquote(value: &str) -> String {
    value.trim_matches('"').to_string()
}
