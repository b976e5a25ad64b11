//! Conversion of refusals to HTTP responses.

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde::Serialize;

use crate::core::refusal::Refusal;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::web;
use crate::web::Body;

/// Response header that states whether a refused request may have run.
pub const VERDICT_HEADER: &str = "cassialock-verdict";

/// JSON body of a refused request's response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalBody {
    /// Details of the refusal.
    pub error: RefusalDetails,
}

/// Details of a refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalDetails {
    /// Machine-readable reason code.
    pub reason: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Human-readable explanation.
    pub message: String,
    /// Id of the refused request, if it is known.
    #[serde(default)]
    pub request: Option<String>,
}

/// Counts a refusal in the metrics and returns its response body.
pub fn body(node: &Node, refusal: &Refusal, request: Option<&str>) -> RefusalBody {
    metrics::counter!(
        "cassialock_refusals_total",
        "node" => node.label(),
        "reason" => refusal.reason.as_str(),
        "verdict" => refusal.verdict.as_str()
    )
    .increment(1);
    RefusalBody {
        error: RefusalDetails {
            reason: refusal.reason.as_str().into(),
            verdict: refusal.verdict,
            message: refusal.detail.clone(),
            request: request.map(Into::into),
        },
    }
}

/// Counts a refusal in the metrics and returns its HTTP response.
pub fn respond(node: &Node, refusal: &Refusal, request: Option<&str>) -> Response<Body> {
    let status =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = web::json(status, &body(node, refusal, request));
    let headers = response.headers_mut();
    headers.insert(
        VERDICT_HEADER,
        HeaderValue::from_static(refusal.verdict.as_str()),
    );
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    if let Some(id) = request.and_then(|id| id.parse().ok()) {
        headers.insert("x-request-id", id);
    }
    response
}
