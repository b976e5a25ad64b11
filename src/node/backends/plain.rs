//! One attempt at a plain service.

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
use crate::node::backends::Chosen;
use crate::web;
use crate::web::client::SendError;

/// Largest answer of a plain service, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1_048_576;

/// Headers that concern one connection only and are not passed on.
const HOP_HEADERS: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
    header::CONTENT_LENGTH,
];

/// A call as it is passed on.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query at the backend server.
    pub target: String,
    /// Headers, without those of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The request id that the answer must carry, if it carries any.
    pub id: String,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers, without those of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Removes the headers that concern one connection only.
pub fn strip(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in HOP_HEADERS {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept
}

/// Makes one attempt and reads the whole answer.
///
/// With `is_fresh` it uses a new connection, so that a refused connection
/// proves that the call did not run.
///
/// # Errors
///
/// Returns the cause if no whole answer of this call came.
pub async fn run(
    node: &Node,
    server: &Chosen,
    call: &Call,
    is_fresh: bool,
    timeout: Duration,
) -> Result<Answer, Cause> {
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
    let whole = async {
        let response = match node.client.send(request, is_fresh, timeout).await {
            Ok(response) => response,
            Err(SendError::Connect) => return Err(Cause::Connect),
            Err(SendError::Cut) => return Err(Cause::Cut),
            Err(SendError::Timeout) => return Err(Cause::Silent),
        };
        let (head, body) = response.into_parts();
        let body = web::read(body, MAX_ANSWER_BYTES)
            .await
            .map_err(|_| Cause::Cut)?;
        Ok(Answer {
            status: head.status,
            headers: strip(&head.headers),
            body,
        })
    };
    let answer = match tokio::time::timeout(timeout, whole).await {
        Ok(answer) => answer?,
        Err(_) => return Err(Cause::Silent),
    };
    match answer.headers.get("x-request-id") {
        Some(id) if id.as_bytes() != call.id.as_bytes() => Err(Cause::Crossed),
        _ => Ok(answer),
    }
}
