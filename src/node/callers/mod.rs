//! HTTP for callers and operators.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use crate::core::call::request::Shape;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::node::Node;
use crate::node::operator_api;
use crate::web;
use crate::web::Body;

pub mod entries;
pub mod head;
pub mod llm;
pub mod plain;
pub mod refuse;
pub mod sink;

/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 1_048_576;

/// Answers one request.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let _open = node.open_work.guard();
    let path = request.uri().path().to_string();
    if let Some(shape) = Shape::of_path(&path) {
        if request.method() != Method::POST {
            return method_refusal(&node, "POST");
        }
        return llm::serve(&node, shape, request).await;
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

fn method_refusal(node: &Node, allowed: &str) -> Response<Body> {
    let detail = format!("the method must be {allowed}");
    refuse::respond(node, &Refusal::new(Reason::Malformed, detail), None)
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

/// Reads the body of a request.
///
/// # Errors
///
/// Returns a refusal if the body is too large or ended early.
pub async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
    match web::read(body, MAX_BODY_BYTES).await {
        Ok(body) => Ok(body),
        Err(web::ReadError::TooLarge) => {
            let detail = format!("the body is larger than {MAX_BODY_BYTES} bytes");
            Err(Refusal::new(Reason::Oversize, detail))
        }
        Err(web::ReadError::Cut) => Err(Refusal::new(Reason::Malformed, "the body ended early")),
    }
}

/// Returns the refusal of a node that is stopping.
pub fn stopping() -> Refusal {
    Refusal::new(
        Reason::Stopping,
        "the node is stopping; ask /v1/entries for another",
    )
    .with_retry_after(Duration::from_secs(1))
}
