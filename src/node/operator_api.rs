//! HTTP API for operators: configuration, status, moves and drain.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::core::config::head::Change;
use crate::core::config::patch::Patch;
use crate::core::config::validate::DocumentError;
use crate::core::member::State;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::api::refusals;
use crate::node::config;
use crate::node::config::PatchOutcome;
use crate::node::explain;
use crate::node::moves;
use crate::node::peers::Answer;
use crate::node::peers::Call;
use crate::web;
use crate::web::Body;

/// Maximum size of a patch, in bytes.
const MAX_PATCH_BYTES: usize = 1_048_576;

/// The configuration in force, as returned to operators.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigAnswer {
    /// Number of the configuration.
    pub number: u64,
    /// The configuration as a JSON document.
    pub config: Value,
}

/// An accepted patch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PatchAnswer {
    /// Number of the configuration that the patch produced.
    pub number: u64,
    /// Whether the patch had already been accepted.
    pub already: bool,
}

/// The body of the response to a refused patch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PatchRefusal {
    /// Reason and verdict of the refusal.
    pub error: refusals::RefusalDetails,
    /// The current configuration number, after a conflict.
    #[serde(default)]
    pub current: Option<u64>,
    /// Paths of the patch that were changed after its base, after a conflict.
    #[serde(default)]
    pub clashes: Vec<String>,
    /// Validation errors of the patched document.
    #[serde(default)]
    pub faults: Vec<DocumentError>,
}

/// The status of the system as seen by one node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatusAnswer {
    /// Name of the responding node.
    pub node: String,
    /// Number of the configuration in force at the responding node.
    pub number: u64,
    /// All nodes.
    pub nodes: Vec<NodeStatus>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
    /// Version moves.
    pub moves: Vec<moves::Status>,
}

/// The status of one node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub id: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub address: String,
    /// State that the node last announced.
    pub state: State,
    /// Whether the responding node expects it to take requests.
    pub live: bool,
    /// Number of the configuration in force there, if the node answered.
    pub number: Option<u64>,
}

/// The status of one backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerStatus {
    /// Name of the VM.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Version of the service.
    pub version: String,
    /// Failure domain.
    pub domain: String,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Requests of the responding node that are open at the server.
    pub own: u32,
}

/// Handles one request of an operator.
pub async fn handle(node: &Arc<Node>, path: &str, request: Request<Incoming>) -> Response<Body> {
    match (request.method().clone(), path) {
        (Method::GET, "/v1/config") => get_config(node),
        (Method::POST, "/v1/config") => patch_config(node, request).await,
        (Method::GET, "/v1/config/history") => history(node),
        (Method::GET, "/v1/status") => web::json(StatusCode::OK, &status(node).await),
        (Method::GET, "/v1/moves") => {
            web::json(StatusCode::OK, &node.moves.status(node.clock.now()))
        }
        (Method::POST, "/v1/explain") => explain::handle(node, request).await,
        (Method::POST, "/v1/drain") => {
            node.request_stop();
            web::text(StatusCode::ACCEPTED, "draining\n")
        }
        _ => {
            let detail = format!("no such endpoint: {} {path}", request.method());
            refusals::respond(node, &Refusal::new(Reason::UnknownRoute, detail), None)
        }
    }
}

fn get_config(node: &Node) -> Response<Body> {
    let installed = node.config.load();
    let answer = ConfigAnswer {
        number: installed.head.number,
        config: config::document(&installed),
    };
    web::json(StatusCode::OK, &answer)
}

fn history(node: &Node) -> Response<Body> {
    let changes: Vec<Change> = node.config.load().head.history.clone();
    web::json(StatusCode::OK, &changes)
}

async fn patch_config(node: &Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let content = match web::read(request.into_body(), MAX_PATCH_BYTES).await {
        Ok(content) => content,
        Err(_) => {
            let detail = format!("the patch is incomplete or longer than {MAX_PATCH_BYTES} bytes");
            return refusals::respond(node, &Refusal::new(Reason::Oversize, detail), None);
        }
    };
    let patch: Patch = match serde_json::from_slice(&content) {
        Ok(patch) => patch,
        Err(e) => {
            let refusal = Refusal::new(Reason::Malformed, format!("invalid patch: {e}"));
            return refusals::respond(node, &refusal, None);
        }
    };
    let outcome = config::apply_patch(node, &patch).await;
    if let PatchOutcome::Accepted(number) | PatchOutcome::AlreadyAccepted(number) = outcome {
        log::info!(
            "config: accepted patch {} by {} as number {number}",
            patch.id,
            patch.author
        );
        let already = matches!(outcome, PatchOutcome::AlreadyAccepted(_));
        return web::json(StatusCode::OK, &PatchAnswer { number, already });
    }
    patch_refusal(node, outcome)
}

fn patch_refusal(node: &Node, outcome: PatchOutcome) -> Response<Body> {
    let mut current = None;
    let mut clashes = Vec::new();
    let mut faults = Vec::new();
    let refusal = match outcome {
        PatchOutcome::Conflict {
            current: number,
            paths,
        } => {
            current = Some(number);
            clashes = paths;
            let detail = format!(
                "the patch was not made against the current configuration, number {number}; read that one and rebase the patch"
            );
            Refusal::new(Reason::ConfigConflict, detail)
        }
        PatchOutcome::Invalid(errors) => {
            faults = errors;
            Refusal::new(Reason::Malformed, "the patched configuration is invalid")
        }
        PatchOutcome::Unknown => Refusal::new(
            Reason::StoreUnavailable,
            "the store did not answer and the patch may be in force; resend it with the same id",
        )
        .with_verdict(Verdict::MayHaveRun)
        .with_retry_after(Duration::from_secs(2)),
        _ => Refusal::new(
            Reason::StoreUnavailable,
            "the store did not answer and nothing was changed; retry later",
        )
        .with_retry_after(Duration::from_secs(2)),
    };
    let mut response = refusals::respond(node, &refusal, None);
    let body = PatchRefusal {
        error: refusals::RefusalDetails {
            reason: refusal.reason.as_str().into(),
            verdict: refusal.verdict,
            message: refusal.detail,
            request: None,
        },
        current,
        clashes,
        faults,
    };
    *response.body_mut() = web::full(serde_json::to_vec(&body).unwrap_or_default());
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}

async fn status(node: &Arc<Node>) -> StatusAnswer {
    let members = node.roster.lock().unwrap().members();
    let pending = members.into_iter().map(|(member, live)| async move {
        let number = if member.id == node.settings.id {
            Some(node.config.number())
        } else if live {
            match node.peers.call(&member.peer, &Call::GetConfigNumber).await {
                Ok(Answer::ConfigNumber(number)) => Some(number),
                _ => None,
            }
        } else {
            None
        };
        NodeStatus {
            id: member.id.to_string(),
            domain: member.domain.to_string(),
            address: member.address.to_string(),
            state: member.state,
            live,
            number,
        }
    });
    let nodes = futures_util::future::join_all(pending).await;
    let servers = node
        .servers
        .lock()
        .unwrap()
        .iter()
        .map(|server| ServerStatus {
            id: server.vm.id.to_string(),
            service: server.vm.service.to_string(),
            version: server.vm.version.to_string(),
            domain: server.vm.domain.to_string(),
            leaving: server.leaving,
            own: server.own_requests,
        })
        .collect();
    StatusAnswer {
        node: node.settings.id.to_string(),
        number: node.config.number(),
        nodes,
        servers,
        moves: node.moves.status(node.clock.now()),
    }
}
