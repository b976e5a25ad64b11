//! The HTTP client for calls to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;

use crate::entry::outside::StoreError;
use crate::web::pool::Connection;
use crate::web::pool::Pool;
use crate::web::pool::SendError;

/// Longest time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for an answer, beside the time that the call asks to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest answer, in bytes: a page of objects and some room.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// A call to the platform.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers beside those that every call has.
    pub headers: HeaderMap,
    /// The body, if there is one.
    pub body: Option<Bytes>,
    /// Time for which the platform may hold the answer back.
    pub wait: Duration,
}

impl ApiRequest {
    /// Creates a call without a body.
    pub fn new(method: Method, target: String) -> Self {
        Self {
            method,
            target,
            headers: HeaderMap::new(),
            body: None,
            wait: Duration::ZERO,
        }
    }

    /// Sets the JSON body.
    #[must_use]
    pub fn with_json(mut self, value: &serde_json::Value) -> Self {
        self.body = Some(value.to_string().into());
        self
    }

    /// Sets for how long the platform may hold the answer back.
    #[must_use]
    pub fn with_wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }
}

/// An answer of the platform.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// Sends calls over kept connections.
#[derive(Debug, Default)]
pub struct ApiClient {
    pool: Pool,
}

impl ApiClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] if nothing was sent, and
    /// [`StoreError::Lost`] if no whole answer came.
    pub async fn call(&self, to: SocketAddr, call: &ApiRequest) -> Result<ApiResponse, StoreError> {
        let mut connection = self.connect(to).await?;
        let limit = ANSWER_TIMEOUT + call.wait;
        match tokio::time::timeout(limit, exchange(&mut connection, to, call)).await {
            Ok(Ok(answer)) => {
                connection.set_idle_timeout(None);
                self.pool.put(connection);
                count(call, answer.status.as_str());
                Ok(answer)
            }
            // A connection on which an answer was lost is not used again.
            Ok(Err(e)) => {
                count(call, "failed");
                Err(e)
            }
            Err(_) => {
                count(call, "timeout");
                Err(StoreError::Lost(format!(
                    "nothing for {} ms",
                    limit.as_millis()
                )))
            }
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, StoreError> {
        if let Some(connection) = self.pool.take(to).await {
            return Ok(connection);
        }
        Connection::open(to, CONNECT_TIMEOUT)
            .await
            .map_err(|e| StoreError::Refused(format!("connect: {e}")))
    }
}

fn count(call: &ApiRequest, outcome: &str) {
    metrics::counter!(
        "cassialock_platform_calls_total",
        "method" => call.method.to_string(),
        "outcome" => outcome.to_string(),
    )
    .increment(1);
}

async fn exchange(
    connection: &mut Connection,
    to: SocketAddr,
    call: &ApiRequest,
) -> Result<ApiResponse, StoreError> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.target)
        .header(header::HOST, to.to_string());
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    if call.body.is_some() {
        request = request.header(header::CONTENT_TYPE, "application/json");
    }
    let body = Full::new(call.body.clone().unwrap_or_default());
    let request = request
        .body(body)
        .map_err(|e| StoreError::Refused(e.to_string()))?;
    let response = connection
        .send(request)
        .await
        .map_err(|failure| match failure {
            SendError::NotSent => StoreError::Refused("the connection was closed".into()),
            SendError::Cut => StoreError::Lost("the connection was cut".into()),
            SendError::Garbled => StoreError::Garbled("not an HTTP response".into()),
        })?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER)
        .collect()
        .await
        .map_err(|e| StoreError::Lost(format!("body: {e}")))?;
    Ok(ApiResponse {
        status,
        body: body.to_bytes(),
    })
}
