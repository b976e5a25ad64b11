//! HTTP/1.1 over blocking sockets, for servers and clients.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or a response as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was complete by its own framing.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|row| row.0 == name).map(|row| &*row.1)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|pair| pair.0 == name).map(|pair| pair.1.into())
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Opens a connection whose reads end after `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill().unwrap_or(0) == 0 {
                return None;
            }
        }
    }

    fn take(&mut self, length: usize, out: &mut Vec<u8>) -> bool {
        while self.buffer.len() < length {
            if self.fill().unwrap_or(0) == 0 {
                out.append(&mut self.buffer);
                return false;
            }
        }
        out.extend(self.buffer.drain(..length));
        true
    }

    /// Reads a request, or a response if `is_response`.
    pub fn read(&mut self, is_response: bool) -> Option<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let row = (name.to_ascii_lowercase(), value.trim().to_string());
            message.headers.push(row);
        }
        if message.header("transfer-encoding") == Some("chunked") {
            loop {
                let Some(size) = self.line() else {
                    return Some(message);
                };
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                if size == 0 {
                    message.is_complete = self.line().is_some();
                    return Some(message);
                }
                let mut body = std::mem::take(&mut message.body);
                let is_whole = self.take(size, &mut body);
                message.body = body;
                if !is_whole || self.line().is_none() {
                    return Some(message);
                }
            }
        }
        let length = message.header("content-length");
        match length.and_then(|length| length.parse::<usize>().ok()) {
            Some(length) => {
                let mut body = Vec::new();
                message.is_complete = self.take(length, &mut body);
                message.body = body;
            }
            None if is_response && message.status() != 204 => {
                while self.fill().unwrap_or(0) > 0 {}
                message.body = std::mem::take(&mut self.buffer);
                message.is_complete = true;
            }
            None => message.is_complete = true,
        }
        Some(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok() && self.stream.flush().is_ok()
    }
}

/// Returns the bytes of an answer with a length.
pub fn answer(status: &str, headers: &str, body: impl AsRef<[u8]>) -> Vec<u8> {
    let body = body.as_ref();
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Serves requests of each connection with `handle` until it returns false.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &mut Channel) -> bool + Send + Sync + 'static,
) {
    serve_while(listener, || true, handle);
}

/// Serves requests like [`serve`] while `is_up`, and refuses connections from then on.
pub fn serve_while(
    listener: TcpListener,
    is_up: impl Fn() -> bool + Send + 'static,
    handle: impl Fn(&Message, &mut Channel) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    listener.set_nonblocking(true).expect("a listener");
    thread::spawn(move || {
        while is_up() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut channel = Channel::new(stream);
                while let Some(request) = channel.read(false) {
                    if !request.is_complete || !handle(&request, &mut channel) {
                        return;
                    }
                }
            });
        }
    });
}
