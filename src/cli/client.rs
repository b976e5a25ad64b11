//! HTTP calls of the command line.

use std::io::Read;
use std::time::Duration;

use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::StatusCode;
use oxhttp::model::header;

use crate::error::Category;
use crate::error::Error;
use crate::node::operators::PatchRefusal;

/// Time in which a node must answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1_048_576;

/// Tries the nodes in order until one answers.
///
/// # Errors
///
/// Returns the error of the last node if none answered.
pub fn try_nodes<T>(nodes: &[String], call: impl Fn(&str) -> Result<T, Error>) -> Result<T, Error> {
    let mut last = Error::usage("--node", "name at least one node, as IP number and port");
    for node in nodes {
        match call(node) {
            Err(e) if e.category() == Category::Unavailable => last = e,
            other => return other,
        }
    }
    Err(last)
}

/// Reads from a node.
///
/// # Errors
///
/// Returns an error if the node did not answer or refused.
pub fn get(node: &str, path: &str) -> Result<Vec<u8>, Error> {
    let request = Request::get(format!("http://{node}{path}"))
        .body(Body::empty())
        .map_err(|e| Error::usage(node, e.to_string()))?;
    send(node, request)
}

/// Posts JSON to a node.
///
/// # Errors
///
/// Returns an error if the node did not answer or refused.
pub fn post(node: &str, path: &str, body: Vec<u8>) -> Result<Vec<u8>, Error> {
    let request = Request::post(format!("http://{node}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .map_err(|e| Error::usage(node, e.to_string()))?;
    send(node, request)
}

fn send(node: &str, request: Request<Body>) -> Result<Vec<u8>, Error> {
    let client = oxhttp::Client::new().with_global_timeout(TIMEOUT);
    let unavailable = |e: std::io::Error| {
        Error::unavailable(
            node,
            format!("{e}; check the address or name another --node"),
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
    Err(refusal(node, status, &body))
}

/// Returns the error that a refusal stands for, with what to do next.
fn refusal(node: &str, status: StatusCode, body: &[u8]) -> Error {
    let Ok(refusal) = serde_json::from_slice::<PatchRefusal>(body) else {
        let text = String::from_utf8_lossy(body).trim().to_string();
        return Error::refused(node, format!("{status}: {text}"));
    };
    let mut text = refusal.error.message;
    for fault in &refusal.faults {
        text.push_str(&format!("\n  {fault}"));
    }
    if !refusal.clashes.is_empty() {
        text.push_str("\n  changed since then, and by this patch too:");
        for path in &refusal.clashes {
            text.push_str(&format!("\n    {path}"));
        }
    }
    match (refusal.error.reason.as_str(), refusal.current) {
        ("config_conflict", Some(current)) => {
            text.push_str(&format!(
                "\n  next: run `cassialock config get`, look at the changes, and use --base {current}"
            ));
            Error::conflict(node, text)
        }
        ("store_unavailable", _) => Error::unavailable(node, text),
        _ => Error::refused(node, text),
    }
}
