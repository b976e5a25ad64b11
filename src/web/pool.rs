//! Kept connections to servers, with full control over which one is used.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Bytes that a connection may hold that its reader has not taken.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Idle time after which a connection is probed by the operating system.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between two such probes.
const PROBE_STEP: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 2;

/// Time for sent bytes to be acknowledged before a connection is given up.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an unused connection is closed if the server names none.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Part of the server's idle time for which a connection is used again.
const IDLE_PART: f64 = 0.7;

/// Unused connections kept to each server.
const MAX_IDLE: usize = 6;

/// Why no response came.
#[derive(Debug)]
pub enum SendError {
    /// Nothing was sent.
    NotSent,
    /// The connection ended after the request may have been sent.
    Cut,
    /// What came is not a response.
    Garbled,
}

/// A connection that serves one request at a time.
///
/// Dropping it closes it, so a request that is still running is cancelled.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    address: SocketAddr,
    idle_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Asks the operating system to find out when the other side has gone silent.
///
/// # Errors
///
/// Returns an error if an option cannot be set.
pub fn set_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_STEP)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot be reached within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let opening = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            set_keepalive(&stream)?;
            let (sender, connection) = http1::Builder::new()
                .max_buf_size(MAX_BUFFER_BYTES)
                .handshake(TokioIo::new(stream))
                .await
                .map_err(io::Error::other)?;
            // Its failures show at the request that is on it.
            let task = tokio::spawn(async move { drop(connection.await) });
            Ok(Self {
                sender,
                task: task.abort_handle(),
                address,
                idle_until: Instant::now() + IDLE_TIME,
            })
        };
        match tokio::time::timeout(limit, opening).await {
            Ok(opened) => opened,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut e) => {
                let is_unsent = e.take_message().is_some();
                Err(match e.into_error() {
                    _ if is_unsent => SendError::NotSent,
                    e if e.is_parse() => SendError::Garbled,
                    _ => SendError::Cut,
                })
            }
        }
    }

    /// Sets for how long the server keeps the connection open when unused.
    pub fn set_idle_timeout(&mut self, time: Option<Duration>) {
        let time = time.map_or(IDLE_TIME, |time| time.mul_f64(IDLE_PART).min(IDLE_TIME));
        self.idle_until = Instant::now() + time;
    }
}

#[derive(Debug)]
struct Kept {
    address: SocketAddr,
    idle: Vec<Connection>,
}

/// Unused connections by server.
///
/// # Invariants
///
/// `rows` is sorted by address.
#[derive(Debug, Default)]
pub struct Pool {
    rows: Mutex<Vec<Kept>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes out an unused connection to a server.
    pub async fn take(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let mut connection = self.pop(address)?;
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<Connection> {
        let mut rows = self.rows.lock().unwrap();
        let at = rows
            .binary_search_by_key(&address, |row| row.address)
            .ok()?;
        let now = Instant::now();
        // The one used last is the least likely to have been closed.
        while let Some(connection) = rows[at].idle.pop() {
            if connection.idle_until > now && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last response has ended.
    pub fn put(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let address = connection.address;
        let mut rows = self.rows.lock().unwrap();
        let at = match rows.binary_search_by_key(&address, |row| row.address) {
            Ok(at) => at,
            Err(at) => {
                let idle = Vec::new();
                rows.insert(at, Kept { address, idle });
                at
            }
        };
        if rows[at].idle.len() < MAX_IDLE {
            rows[at].idle.push(connection);
        }
    }

    /// Closes the connections that were unused for too long.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut rows = self.rows.lock().unwrap();
        for row in rows.iter_mut() {
            row.idle
                .retain(|kept| kept.idle_until > now && !kept.sender.is_closed());
        }
        rows.retain(|row| !row.idle.is_empty());
    }
}
