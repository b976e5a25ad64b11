//! HTTP client for the node API.

use std::io::Read;
use std::time::Duration;

use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::StatusCode;
use oxhttp::model::header;

use crate::error::Category;
use crate::error::Error;
use crate::node::operator_api::PatchRefusal;

/// Timeout of one HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response body.
const MAX_BODY_BYTES: u64 = 16 * 1_048_576;

/// Calls the nodes in order until one is available and returns its result.
///
/// Only errors of category [`Category::Unavailable`] move on to the next node.
///
/// # Errors
///
/// Returns the error of the first available node, the error of the last node if
/// none is available, or a usage error if `nodes` is empty.
pub fn try_nodes<T>(nodes: &[String], call: impl Fn(&str) -> Result<T, Error>) -> Result<T, Error> {
    let mut last_error = Error::usage(
        "--node",
        "at least one node address (IP address and port) is required",
    );
    for node in nodes {
        match call(node) {
            Err(e) if e.category() == Category::Unavailable => last_error = e,
            other => return other,
        }
    }
    Err(last_error)
}

/// Sends a GET request to a node and returns the response body.
///
/// # Errors
///
/// Returns an error if the node did not answer or refused the request.
pub fn get(node: &str, path: &str) -> Result<Vec<u8>, Error> {
    let request = Request::get(format!("http://{node}{path}"))
        .body(Body::empty())
        .map_err(|e| Error::usage(node, e.to_string()))?;
    send(node, request)
}

/// Sends a POST request with a JSON body to a node and returns the response body.
///
/// # Errors
///
/// Returns an error if the node did not answer or refused the request.
pub fn post(node: &str, path: &str, body: Vec<u8>) -> Result<Vec<u8>, Error> {
    let request = Request::post(format!("http://{node}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .map_err(|e| Error::usage(node, e.to_string()))?;
    send(node, request)
}

fn send(node: &str, request: Request<Body>) -> Result<Vec<u8>, Error> {
    let client = oxhttp::Client::new().with_global_timeout(REQUEST_TIMEOUT);
    let unavailable = |e: std::io::Error| {
        Error::unavailable(
            node,
            format!("{e}; check the address or specify another node with --node"),
        )
    };
    let response = client.request(request).map_err(unavailable)?;
    let status = response.status();
    let mut body = Vec::new();
    let mut content = response.into_body().take(MAX_BODY_BYTES);
    content.read_to_end(&mut body).map_err(unavailable)?;
    if status.is_success() {
        return Ok(body);
    }
    Err(response_error(node, status, &body))
}

/// Converts an error response into an error, with a suggested next step on conflict.
fn response_error(node: &str, status: StatusCode, body: &[u8]) -> Error {
    let Ok(refusal) = serde_json::from_slice::<PatchRefusal>(body) else {
        let text = String::from_utf8_lossy(body).trim().to_string();
        return Error::refused(node, format!("{status}: {text}"));
    };
    let mut text = refusal.error.message;
    for fault in &refusal.faults {
        text.push_str(&format!("\n  {fault}"));
    }
    if !refusal.clashes.is_empty() {
        text.push_str("\n  paths changed both by this patch and since its base:");
        for path in &refusal.clashes {
            text.push_str(&format!("\n    {path}"));
        }
    }
    match (refusal.error.reason.as_str(), refusal.current) {
        ("config_conflict", Some(current)) => {
            text.push_str(&format!(
                "\n  next: run `cassialock config get`, review the changes, and use --base {current}"
            ));
            Error::conflict(node, text)
        }
        ("unknown_service" | "unknown_workspace", _) => Error::usage(node, text),
        ("not_ready", _) => Error::io(node, &std::io::Error::other(text)),
        ("store_unavailable", _) => Error::unavailable(node, text),
        _ => Error::refused(node, text),
    }
}
