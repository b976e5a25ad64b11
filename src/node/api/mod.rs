//! HTTP API of a node for callers and operators.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use crate::core::completion::request::Endpoint;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::node::Node;
use crate::node::operator_api;
use crate::web;
use crate::web::Body;

pub mod entries;
pub mod headers;
pub mod llm;
pub mod plain;
pub mod refusals;
pub mod sink;

/// Largest accepted request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1_048_576;

/// Routes a request to its handler and returns the response.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let _in_flight = node.in_flight.guard();
    let path = request.uri().path().to_string();
    if let Some(endpoint) = Endpoint::from_path(&path) {
        if request.method() != Method::POST {
            return wrong_method(&node, "POST");
        }
        return llm::serve(&node, endpoint, request).await;
    }
    if path.starts_with("/services/") {
        return plain::serve(&node, request).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/entries") => entries::serve(&node, &request),
        (&Method::GET, "/healthz") => web::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => readiness(&node),
        (&Method::GET, "/metrics") => web::text(StatusCode::OK, node.render_metrics()),
        _ => operator_api::handle(&node, &path, request).await,
    }
}

fn wrong_method(node: &Node, allowed: &str) -> Response<Body> {
    let detail = format!("the request method must be {allowed}");
    refusals::respond(node, &Refusal::new(Reason::Malformed, detail), None)
}

fn readiness(node: &Node) -> Response<Body> {
    if node.is_draining() {
        web::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
    } else if node.config.number() == 0 {
        web::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n")
    } else {
        web::text(StatusCode::OK, "ready\n")
    }
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns a refusal if the body exceeds [`MAX_BODY_BYTES`] or the connection
/// closed before its end.
pub async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
    match web::read(body, MAX_BODY_BYTES).await {
        Ok(body) => Ok(body),
        Err(web::ReadError::TooLarge) => {
            let detail = format!("the request body is larger than {MAX_BODY_BYTES} bytes");
            Err(Refusal::new(Reason::Oversize, detail))
        }
        Err(web::ReadError::Cut) => Err(Refusal::new(
            Reason::Malformed,
            "the connection closed before the end of the request body",
        )),
    }
}

/// Returns the refusal for a new request that arrives while the node drains.
pub fn stopping_refusal() -> Refusal {
    Refusal::new(
        Reason::Stopping,
        "the node is stopping; request /v1/entries to find another node",
    )
    .with_retry_after(Duration::from_secs(1))
}
