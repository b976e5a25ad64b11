//! Where a request would go at this moment and why, for operators.
//!
//! Nothing is sent, counted or drawn at random, so an explanation changes no decision.

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::completion::request::Completion;
use crate::core::completion::request::Endpoint;
use crate::core::config::ServiceKind;
use crate::core::refusal::Reason;
use crate::core::route::Candidate;
use crate::core::route::PolicyKind;
use crate::core::route::Request as RouteRequest;
use crate::core::route::baseline;
use crate::core::route::prefix;
use crate::core::route::scored;
use crate::core::route::servers::Filter;
use crate::core::route::servers::explain::LeftOut;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::api::refusals::RefusalBody;
use crate::node::api::refusals::RefusalDetails;
use crate::web;
use crate::web::Body;

/// Maximum size of a question, in bytes.
const MAX_QUESTION_BYTES: usize = 1_048_576;

/// The request that is asked about.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Question {
    /// Name of the service.
    pub service: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Prompt, for model services.
    pub prompt: String,
    /// Maximum number of tokens in the completion.
    pub max_tokens: u32,
}

/// Where the request would go.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Explanation {
    /// Name of the node.
    pub node: String,
    /// Routing policy of the node.
    pub policy: String,
    /// Unit of the costs.
    pub unit: String,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Versions that may get the request; during a move, one is drawn for each request.
    pub versions: Vec<String>,
    /// Requests that wait at the node for a free slot of the service.
    pub queued_requests: usize,
    /// Candidates in the order in which they would be chosen; equal costs are drawn.
    pub candidates: Vec<CandidateRow>,
    /// Servers that are not candidates.
    pub left_out: Vec<LeftOutRow>,
}

/// A server that can get the request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CandidateRow {
    /// Name of the VM.
    pub server: String,
    /// Version of the service.
    pub version: String,
    /// Failure domain.
    pub domain: String,
    /// Sum of the parts.
    pub cost: f64,
    /// Parts of the cost.
    pub parts: Vec<CostPart>,
    /// Requests of this node at the server.
    pub own_requests: u32,
    /// Estimated number of requests at the server.
    pub in_flight: f64,
    /// Expected number of prompt tokens in the server's cache.
    pub cached_tokens: f64,
    /// Age of the server's last load report, in milliseconds, if there is one.
    pub load_age_ms: Option<u64>,
}

/// A part of the cost of a candidate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CostPart {
    /// What it is for.
    pub name: String,
    /// Its amount.
    pub amount: f64,
}

/// A server that cannot get the request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeftOutRow {
    /// Name of the VM.
    pub server: String,
    /// Version of the service.
    pub version: String,
    /// Failure domain.
    pub domain: String,
    /// The reason.
    pub reason: LeftOut,
}

/// Answers a question of an operator.
pub async fn handle(node: &Node, request: Request<Incoming>) -> Response<Body> {
    let content = web::read(request.into_body(), MAX_QUESTION_BYTES).await;
    let content = content.unwrap_or_default();
    let question = serde_json::from_slice::<Question>(&content);
    let explained = question
        .map_err(|e| (Reason::Malformed, format!("invalid question: {e}")))
        .and_then(|question| explain(node, &question));
    match explained {
        Ok(explanation) => web::json(StatusCode::OK, &explanation),
        // Not counted among the refused requests, unlike other refusals.
        Err((reason, message)) => {
            let status = StatusCode::from_u16(reason.status());
            let details = RefusalDetails {
                reason: reason.as_str().into(),
                verdict: Verdict::NotRun,
                message,
                request: None,
            };
            let body = RefusalBody { error: details };
            web::json(status.unwrap_or(StatusCode::BAD_REQUEST), &body)
        }
    }
}

fn explain(node: &Node, question: &Question) -> Result<Explanation, (Reason, String)> {
    let installed = node.config.load();
    if node.is_draining() || node.config.number() == 0 {
        let message = format!("node {} takes no requests", node.settings.id);
        return Err((Reason::NotReady, message));
    }
    let config = &installed.config;
    let name = &question.service;
    let Some((name, service)) = config.services.get_key_value(name) else {
        return Err((
            Reason::UnknownService,
            format!("no service is named {name}"),
        ));
    };
    let workspace = &question.workspace;
    if config.workspaces.get(workspace).is_none() {
        let message = format!("no workspace is named {workspace}");
        return Err((Reason::UnknownWorkspace, message));
    }
    let request = match service.kind {
        ServiceKind::Llm => read_prompt(question)?,
        ServiceKind::Plain => RouteRequest::default(),
    };
    let now = node.clock.now();
    let versions = node.moves.versions(name, service);
    let policy = node.settings.policy;
    let servers = node.servers.lock().unwrap();
    let mut candidates = Vec::new();
    for version in &versions {
        let filter = Filter {
            service: name,
            version: Some(version),
            slots: service.slots,
            excluded: &[],
            exclude_suspected: false,
        };
        let mut rows: Vec<CandidateRow> = servers
            .candidates(&filter, &request, now)
            .iter()
            .filter_map(|candidate| {
                let server = servers.get(&candidate.id)?;
                let parts = cost_parts(policy, &request, candidate);
                let age = server.last_load().map(|(_, at)| now.since(at));
                Some(CandidateRow {
                    server: candidate.id.to_string(),
                    version: version.to_string(),
                    domain: server.vm.domain.to_string(),
                    cost: parts.iter().map(|part| part.amount).sum(),
                    parts,
                    own_requests: server.own_requests,
                    in_flight: candidate.inflight,
                    cached_tokens: candidate.cached_tokens,
                    load_age_ms: age.map(|age| age.as_millis() as u64),
                })
            })
            .collect();
        rows.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        candidates.extend(rows);
    }
    let ids: Vec<Name> = candidates
        .iter()
        .map(|row| row.server.as_str().into())
        .collect();
    let left_out = servers.left_out(name, &versions, &ids, now);
    let left_out = left_out.into_iter().map(|(server, reason)| LeftOutRow {
        server: server.vm.id.to_string(),
        version: server.vm.version.to_string(),
        domain: server.vm.domain.to_string(),
        reason,
    });
    let left_out = left_out.collect();
    drop(servers);
    let queues = node.admission.queues();
    let queue = queues.iter().find(|(service, _, _)| service == name);
    Ok(Explanation {
        node: node.settings.id.to_string(),
        policy: policy.as_str().into(),
        unit: unit(policy).into(),
        prompt_tokens: request.prompt_tokens,
        versions: versions.iter().map(ToString::to_string).collect(),
        queued_requests: queue.map_or(0, |queue| queue.2),
        candidates,
        left_out,
    })
}

/// Returns the properties of a completion request that the policy considers.
fn read_prompt(question: &Question) -> Result<RouteRequest, (Reason, String)> {
    let body = serde_json::json!({
        "model": question.service,
        "prompt": question.prompt,
        "max_tokens": question.max_tokens,
    });
    let completion = Completion::parse(Endpoint::Text, body.to_string().as_bytes())
        .map_err(|e| (Reason::Malformed, e.to_string()))?;
    let prompt = format!("{} {}", completion.prompt, completion.partial_answer);
    Ok(RouteRequest {
        block_hashes: prefix::block_hashes(&prompt),
        prompt_tokens: completion.prompt_tokens(),
        answer_tokens: completion.max_tokens,
        session: None,
    })
}

fn unit(policy: PolicyKind) -> &'static str {
    match policy {
        PolicyKind::Scored => "ms",
        PolicyKind::RoundRobin => "none, in turn",
        PolicyKind::LeastLoaded | PolicyKind::TwoChoices => "requests per slot",
    }
}

fn cost_parts(policy: PolicyKind, request: &RouteRequest, candidate: &Candidate) -> Vec<CostPart> {
    let parts = match policy {
        PolicyKind::Scored => scored::parts(request, candidate).to_vec(),
        PolicyKind::RoundRobin => Vec::new(),
        PolicyKind::LeastLoaded | PolicyKind::TwoChoices => {
            vec![("load", baseline::load(candidate))]
        }
    };
    let parts = parts.into_iter().map(|(name, amount)| CostPart {
        name: name.into(),
        amount,
    });
    parts.collect()
}
