//! HTTP client with a connection pool.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of idle connections kept to each backend server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// Maximum number of received bytes that a connection buffers for its reader.
const MAX_BUFFER_BYTES: usize = 8 * 1024;

/// Error of a request that received no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    Connect,
    /// The connection ended after the request may have been sent.
    Cut,
    /// No response arrived in time.
    Timeout,
}

/// Sends requests over pooled connections, or over new ones on demand.
#[derive(Clone)]
pub struct Client {
    pooled: legacy::Client<HttpConnector, Full<Bytes>>,
    unpooled: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self {
            pooled: build_client(MAX_IDLE_PER_SERVER),
            unpooled: build_client(0),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// With `use_new_connection` the request uses a new connection, since the peer of a
    /// pooled one may have stopped responding for good.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if no response arrived within `timeout`.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        use_new_connection: bool,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        let client = if use_new_connection {
            &self.unpooled
        } else {
            &self.pooled
        };
        match tokio::time::timeout(timeout, client.request(request)).await {
            Err(_) => Err(SendError::Timeout),
            Ok(Err(e)) if e.is_connect() => Err(SendError::Connect),
            Ok(Err(_)) => Err(SendError::Cut),
            Ok(Ok(response)) => Ok(response),
        }
    }
}

fn build_client(max_idle: usize) -> legacy::Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .http1_max_buf_size(MAX_BUFFER_BYTES)
        // Retries are decided by the core, which knows whether the request may
        // have run.
        .retry_canceled_requests(false)
        .build(connector)
}
