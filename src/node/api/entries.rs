//! Lists the nodes that a workspace's callers should connect to.

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::node::Node;
use crate::node::api::refusals;
use crate::web;
use crate::web::Body;

/// Time for which a caller may cache the list, in milliseconds.
const CACHE_TTL_MS: u64 = 5_000;

/// Weight of every entry.
///
/// All weights are equal because each entry enforces an equal share of the
/// workspace's rate limit.
const ENTRY_WEIGHT: u32 = 1;

/// Response to `GET /v1/entries`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entries {
    /// The requested workspace.
    pub workspace: String,
    /// Time for which the list may be cached, in milliseconds.
    pub keep_ms: u64,
    /// Nodes that serve as entries of the workspace.
    pub entries: Vec<Entry>,
}

/// A node that accepts calls for the workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Node id.
    pub node: String,
    /// IP address and port for callers.
    pub address: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Share of the requests to send to this node, relative to the other weights.
    pub weight: u32,
}

/// Handles `GET /v1/entries?workspace=W`.
pub fn serve(node: &Node, request: &Request<Incoming>) -> Response<Body> {
    let Some(workspace) = web::query_param(request.uri(), "workspace") else {
        let refusal = Refusal::new(
            Reason::Malformed,
            "workspace: the query parameter is missing",
        );
        return refusals::respond(node, &refusal, None);
    };
    let members = node.roster.lock().unwrap().entry_nodes(&workspace);
    let entries = members
        .iter()
        .map(|member| Entry {
            node: member.id.to_string(),
            address: member.address.to_string(),
            domain: member.domain.to_string(),
            weight: ENTRY_WEIGHT,
        })
        .collect();
    let list = Entries {
        workspace,
        keep_ms: CACHE_TTL_MS,
        entries,
    };
    web::json(StatusCode::OK, &list)
}
