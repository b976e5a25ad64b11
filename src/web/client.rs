//! HTTP client used on the runtime.

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

/// Time in which a connection must be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Unused connections kept for each backend server.
const IDLE_CONNECTIONS: usize = 16;

/// Bytes that a connection may hold that its reader has not taken.
const MAX_BUFFER_BYTES: usize = 8 * 1024;

/// Why no response came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No connection could be opened, so nothing was sent.
    Connect,
    /// The connection ended after the request may have been sent.
    Cut,
    /// No response came in time.
    Timeout,
}

/// Sends requests over kept connections, or over new ones on demand.
#[derive(Clone)]
pub struct Client {
    pooled: legacy::Client<HttpConnector, Full<Bytes>>,
    fresh: legacy::Client<HttpConnector, Full<Bytes>>,
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
            pooled: build(IDLE_CONNECTIONS),
            fresh: build(0),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// With `is_fresh` the request uses a new connection, because an open one
    /// can have gone silent for good.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if no response came within `timeout`.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        is_fresh: bool,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        let client = if is_fresh { &self.fresh } else { &self.pooled };
        match tokio::time::timeout(timeout, client.request(request)).await {
            Err(_) => Err(SendError::Timeout),
            Ok(Err(e)) if e.is_connect() => Err(SendError::Connect),
            Ok(Err(_)) => Err(SendError::Cut),
            Ok(Ok(response)) => Ok(response),
        }
    }
}

fn build(idle: usize) -> legacy::Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .http1_max_buf_size(MAX_BUFFER_BYTES)
        // The retry decision belongs to the core, which knows the verdict.
        .retry_canceled_requests(false)
        .build(connector)
}
