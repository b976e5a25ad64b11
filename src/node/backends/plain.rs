//! One attempt to call a plain HTTP service.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;

use crate::core::retry::Cause;
use crate::node::Node;
use crate::node::backends::SelectedServer;
use crate::web;
use crate::web::client::SendError;

/// Largest accepted response body of a plain service, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1_048_576;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
    header::CONTENT_LENGTH,
];

/// A call as it is forwarded to a backend server.
#[derive(Clone, Debug)]
pub struct ForwardedCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the forwarded request.
    pub target: String,
    /// Headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Request id to send; a response with a different one belongs to another
    /// request.
    pub id: String,
}

/// A complete response of a backend server.
#[derive(Clone, Debug)]
pub struct BackendResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Returns a copy of the headers without the hop-by-hop ones.
pub fn strip_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove("keep-alive");
    forwarded
}

/// Sends the call to `server` and reads the complete response.
///
/// `new_connection` rules out a pooled connection, so that a refused connection
/// proves that the call did not run.
///
/// # Errors
///
/// Returns the cause of the failure if the call got no complete response of its
/// own.
pub async fn run(
    node: &Node,
    server: &SelectedServer,
    call: &ForwardedCall,
    new_connection: bool,
    timeout: Duration,
) -> Result<BackendResponse, Cause> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", server.address, call.target))
        .body(Full::new(call.body.clone()))
        .map_err(|_| Cause::Garbled)?;
    *request.headers_mut() = call.headers.clone();
    if let Ok(id) = call.id.parse() {
        request.headers_mut().insert("x-request-id", id);
    }
    request.headers_mut().remove(header::HOST);
    let exchange = async {
        let response = match node.client.send(request, new_connection, timeout).await {
            Ok(response) => response,
            Err(SendError::Connect) => return Err(Cause::Connect),
            Err(SendError::Cut) => return Err(Cause::Cut),
            Err(SendError::Timeout) => return Err(Cause::Silent),
        };
        let (parts, body) = response.into_parts();
        let body = web::read(body, MAX_RESPONSE_BYTES)
            .await
            .map_err(|_| Cause::Cut)?;
        Ok(BackendResponse {
            status: parts.status,
            headers: strip_hop_headers(&parts.headers),
            body,
        })
    };
    let response = match tokio::time::timeout(timeout, exchange).await {
        Ok(response) => response?,
        Err(_) => return Err(Cause::Silent),
    };
    match response.headers.get("x-request-id") {
        Some(id) if id.as_bytes() != call.id.as_bytes() => Err(Cause::Crossed),
        _ => Ok(response),
    }
}
