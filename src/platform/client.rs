//! HTTP client of the platform's APIs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;

use crate::entry::adapter::StoreError;
use crate::web;
use crate::web::pool::Connection;
use crate::web::pool::Pool;
use crate::web::pool::SendError;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for a response, in addition to the request's own wait time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum size of a response body, in bytes: a page of objects with a margin.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A request to one of the platform's APIs.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: String,
    /// Headers in addition to those of every request.
    pub headers: HeaderMap,
    /// The body, if there is one.
    pub body: Option<Bytes>,
    /// Time for which the platform may delay the response, as in a long poll.
    pub wait: Duration,
}

impl ApiRequest {
    /// Creates a request without a body.
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

    /// Sets the time for which the platform may delay the response.
    #[must_use]
    pub fn with_wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }
}

/// A response of the platform.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Sends requests over pooled connections.
#[derive(Debug, Default)]
pub struct ApiClient {
    pool: Pool,
}

impl ApiClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] if nothing was sent,
    /// [`StoreError::Cut`] if the connection ended before the response,
    /// [`StoreError::Lost`] if no complete response was received for another reason, and
    /// [`StoreError::Garbled`] if the response is not valid HTTP.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: &ApiRequest,
    ) -> Result<ApiResponse, StoreError> {
        let mut connection = self.connect(to).await?;
        let limit = RESPONSE_TIMEOUT + request.wait;
        match tokio::time::timeout(limit, exchange(&mut connection, to, request)).await {
            Ok(Ok(response)) => {
                connection.set_idle_timeout(None);
                self.pool.put(connection);
                count(request, response.status.as_str());
                Ok(response)
            }
            // A connection whose response was lost is not reused.
            Ok(Err(e)) => {
                count(request, "failed");
                Err(e)
            }
            Err(_) => {
                count(request, "timeout");
                Err(StoreError::Lost(format!(
                    "no response within {} ms",
                    limit.as_millis()
                )))
            }
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, StoreError> {
        if let Some(connection) = self.pool.take(to) {
            return Ok(connection);
        }
        Connection::open(to, CONNECT_TIMEOUT)
            .await
            .map_err(|e| StoreError::Refused(format!("connect: {e}")))
    }
}

fn count(request: &ApiRequest, outcome: &str) {
    metrics::counter!(
        "cassialock_platform_calls_total",
        "method" => request.method.to_string(),
        "outcome" => outcome.to_string(),
    )
    .increment(1);
}

async fn exchange(
    connection: &mut Connection,
    to: SocketAddr,
    api_request: &ApiRequest,
) -> Result<ApiResponse, StoreError> {
    let mut request = Request::builder()
        .method(api_request.method.clone())
        .uri(&api_request.target)
        .header(header::HOST, to.to_string());
    for (name, value) in &api_request.headers {
        request = request.header(name, value);
    }
    if api_request.body.is_some() {
        request = request.header(header::CONTENT_TYPE, "application/json");
    }
    let body = Full::new(api_request.body.clone().unwrap_or_default());
    let request = request
        .body(body)
        .map_err(|e| StoreError::Refused(e.to_string()))?;
    let response = connection.send(request).await.map_err(|e| match e {
        SendError::NotSent(_) => StoreError::Refused("connection closed before sending".into()),
        SendError::Cut => StoreError::Cut,
        SendError::Garbled => StoreError::Garbled("response is not valid HTTP".into()),
    })?;
    let status = response.status();
    let headers = response.headers().clone();
    let body = web::read(response.into_body(), MAX_RESPONSE_BYTES)
        .await
        .map_err(|e| StoreError::Lost(format!("body: {e:?}")))?;
    if web::ends_with_connection(&headers) && !connection.has_sent_whole() {
        return Err(StoreError::Lost("the response ended too early".into()));
    }
    Ok(ApiResponse {
        status,
        headers,
        body,
    })
}
