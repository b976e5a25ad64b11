//! Pool of HTTP connections that lets the caller choose the connection to use.

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

use crate::web::head_limit::Allowance;
use crate::web::head_limit::HeadLimited;

/// Maximum number of received bytes that a connection buffers for its reader.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Idle time after which the operating system sends keepalive probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Interval between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is dropped.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time for which a peer may leave sent bytes unacknowledged, or take none of those that
/// wait, before its connection is dropped.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Default and maximum time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the server's idle timeout during which a connection is reused.
const REUSE_RATIO: f64 = 0.7;

/// Time for which the rest of a request may still be sent after its response.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of idle connections kept to each server.
const MAX_IDLE_PER_SERVER: usize = 6;

/// Error of a request that received no response.
#[derive(Debug)]
pub enum SendError {
    /// Nothing was sent; holds the request if it can be sent elsewhere.
    NotSent(Option<Box<Request<Full<Bytes>>>>),
    /// The connection ended after the request may have been sent.
    Cut,
    /// The received bytes are not a valid HTTP response.
    Garbled,
}

/// A connection that serves one request at a time.
///
/// Dropping the connection closes it, which cancels a request that is still
/// running.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    allowance: Allowance,
    /// Whether anything was received since the last request was sent.
    has_received: bool,
    task: AbortHandle,
    address: SocketAddr,
    idle_until: Instant,
    sending_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Enables TCP keepalive and a user timeout, which detect an unresponsive peer.
///
/// # Errors
///
/// Returns an error if an option cannot be set.
pub fn set_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot be reached within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let opening = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            set_keepalive(&stream)?;
            let allowance = Allowance::new();
            let stream = HeadLimited::new(stream, allowance.clone());
            let (sender, connection) = http1::Builder::new()
                .max_buf_size(MAX_BUFFER_BYTES)
                .handshake(TokioIo::new(stream))
                .await
                .map_err(io::Error::other)?;
            // Errors of the connection are reported by the request that uses it.
            let task = tokio::spawn(async move { drop(connection.await) });
            let now = Instant::now();
            Ok(Self {
                sender,
                allowance,
                has_received: false,
                task: task.abort_handle(),
                address,
                idle_until: now + IDLE_TIMEOUT,
                sending_until: now + SEND_TIMEOUT,
            })
        };
        match tokio::time::timeout(timeout, opening).await {
            Ok(opened) => opened,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that tells whether the request may have been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.allowance.limit_to_head();
        let sent = self.sender.try_send_request(request).await;
        self.has_received = self.allowance.is_partly_spent();
        self.allowance.remove_limit();
        match sent {
            Ok(response) => Ok(response),
            Err(mut e) => {
                let unsent = e.take_message();
                Err(match e.into_error() {
                    _ if unsent.is_some() => SendError::NotSent(unsent.map(Box::new)),
                    e if e.is_parse() || is_invalid_data(&e) => SendError::Garbled,
                    _ => SendError::Cut,
                })
            }
        }
    }

    /// Returns whether the peer has left room for all of the request, so that nothing of it
    /// waits to be sent.
    ///
    /// A response whose end only the connection shows is whole only then.
    pub fn has_sent_whole(&self) -> bool {
        !self.allowance.is_sending()
    }

    /// Returns whether any byte was received after the last request was sent.
    pub fn has_received(&self) -> bool {
        self.has_received
    }

    /// Sets the time after which the server closes the connection when idle.
    pub fn set_idle_timeout(&mut self, timeout: Option<Duration>) {
        let timeout = timeout.map_or(IDLE_TIMEOUT, |t| t.mul_f64(REUSE_RATIO).min(IDLE_TIMEOUT));
        self.idle_until = Instant::now() + timeout;
    }

    /// Returns whether the connection can take another request.
    fn is_reusable(&self, now: Instant) -> bool {
        self.sender.is_ready() && self.idle_until > now
    }

    /// Returns whether the connection is to stay open without a request waiting for it.
    ///
    /// A server may respond before it has read a long request, and read on later.
    fn is_kept(&self, now: Instant) -> bool {
        let is_sending = !self.sender.is_ready() && self.sending_until > now;
        !self.sender.is_closed() && (self.idle_until > now || is_sending)
    }
}

/// Returns whether more bytes arrived than a head may have.
fn is_invalid_data(e: &hyper::Error) -> bool {
    let cause = std::error::Error::source(e).and_then(|e| e.downcast_ref::<io::Error>());
    cause.is_some_and(|e| e.kind() == io::ErrorKind::InvalidData)
}

/// Idle connections to one server.
#[derive(Debug)]
struct ServerConnections {
    address: SocketAddr,
    idle: Vec<Connection>,
}

/// Idle connections by server.
///
/// # Invariants
///
/// `servers` is sorted by address.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Mutex<Vec<ServerConnections>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an idle connection to a server out of the pool.
    ///
    /// Connections that are still sending a request stay in the pool.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut servers = self.servers.lock().unwrap();
        let index = servers
            .binary_search_by_key(&address, |server| server.address)
            .ok()?;
        let now = Instant::now();
        let idle = &mut servers[index].idle;
        idle.retain(|connection| connection.is_kept(now));
        // The most recently used connection is the least likely to be closed.
        let last = idle
            .iter()
            .rposition(|connection| connection.is_reusable(now))?;
        Some(idle.remove(last))
    }

    /// Puts a connection whose last response is complete back into the pool.
    pub fn put(&self, mut connection: Connection) {
        let now = Instant::now();
        connection.sending_until = now + SEND_TIMEOUT;
        let address = connection.address;
        let mut servers = self.servers.lock().unwrap();
        let index = match servers.binary_search_by_key(&address, |server| server.address) {
            Ok(index) => index,
            Err(index) => {
                let idle = Vec::new();
                servers.insert(index, ServerConnections { address, idle });
                index
            }
        };
        let idle = &mut servers[index].idle;
        let is_full =
            idle.iter().filter(|other| other.is_reusable(now)).count() >= MAX_IDLE_PER_SERVER;
        if is_full {
            connection.idle_until = now;
        }
        if connection.is_kept(now) {
            idle.push(connection);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close(&self, address: SocketAddr) {
        let mut servers = self.servers.lock().unwrap();
        servers.retain(|server| server.address != address);
    }

    /// Closes the connections that have expired.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut servers = self.servers.lock().unwrap();
        for server in servers.iter_mut() {
            server.idle.retain(|connection| connection.is_kept(now));
        }
        servers.retain(|server| !server.idle.is_empty());
    }
}
