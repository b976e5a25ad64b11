//! The answer to callers that ask which entry to use.

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::node::Node;
use crate::node::callers::refuse;
use crate::web;
use crate::web::Body;

/// Time for which a caller may keep the answer, in milliseconds.
const KEEP_MS: u64 = 5_000;

/// Weight of each entry.
///
/// All are equal, because each enforces an equal part of the workspace's limit.
const WEIGHT: u32 = 1;

/// The entries for a workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entries {
    /// The workspace asked for.
    pub workspace: String,
    /// Time for which the answer may be kept, in milliseconds.
    pub keep_ms: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// One entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Name of the node.
    pub node: String,
    /// IP number and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Part of the requests to send there, relative to the other entries.
    pub weight: u32,
}

/// Answers `GET /v1/entries?workspace=W`.
pub fn serve(node: &Node, request: &Request<Incoming>) -> Response<Body> {
    let Some(workspace) = web::query_param(request.uri(), "workspace") else {
        let refusal = Refusal::new(Reason::Malformed, "workspace: the parameter is missing");
        return refuse::respond(node, &refusal, None);
    };
    let members = node.roster.lock().unwrap().entries(&workspace);
    let entries = members
        .iter()
        .map(|member| Entry {
            node: member.id.to_string(),
            address: member.address.to_string(),
            domain: member.domain.to_string(),
            weight: WEIGHT,
        })
        .collect();
    let answer = Entries {
        workspace,
        keep_ms: KEEP_MS,
        entries,
    };
    web::json(StatusCode::OK, &answer)
}
