//! Handler for completion calls.

use crate::core::completion::Progress;
use crate::core::completion::request::Completion;
use crate::core::completion::request::Endpoint;
use crate::core::limit::Priority;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::api;
use crate::node::api::headers::RequestHeaders;
use crate::node::api::llm::call::Call;
use crate::node::api::refusals;
use crate::node::peers::StreamRecord;
use crate::web::Body;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use std::sync::Arc;

pub mod call;
pub mod response;

/// Handles a completion call.
pub async fn serve(
    node: &Arc<Node>,
    endpoint: Endpoint,
    request: Request<Incoming>,
) -> Response<Body> {
    let headers = match RequestHeaders::parse(node, request.headers()) {
        Ok(headers) => headers,
        Err(refusal) => return refusals::respond(node, &refusal, None),
    };
    let id = headers.request.clone();
    match prepare(node, endpoint, headers, request).await {
        Ok((call, last_index)) if call.completion.stream => {
            response::stream(node, call, last_index).await
        }
        Ok((call, _)) => response::complete(node, call).await,
        Err(refusal) => refusals::respond(node, &refusal, Some(&id)),
    }
}

/// Prepares the call for a new request or for a stream that the caller resumes.
///
/// Returns the call and the index of the last token that the caller received.
async fn prepare(
    node: &Arc<Node>,
    endpoint: Endpoint,
    headers: RequestHeaders,
    request: Request<Incoming>,
) -> Result<(Call, u64), Refusal> {
    let body = api::read_body(request.into_body()).await?;
    if let Some(last) = &headers.last_event {
        let record = node.streams.take(&last.stream, &headers.workspace).await;
        let Some(record) = record else {
            let detail =
                "this node does not have the stream or no longer keeps it; send a new request";
            return Err(
                Refusal::new(Reason::UnknownStream, detail).with_verdict(Verdict::MayHaveRun)
            );
        };
        let index = last.index.min(record.progress.tokens());
        count_retry(node, "reconnect");
        return Ok((Call::new(node, record, headers.limits)?, index));
    }
    if node.is_draining() {
        return Err(api::stopping_refusal());
    }
    let completion = parse(endpoint, &body)?;
    let priority = headers.priority.unwrap_or(if completion.stream {
        Priority::Stream
    } else {
        Priority::Panel
    });
    let record = StreamRecord {
        id: node.next_id(),
        request: headers.request,
        workspace: headers.workspace,
        is_chat: endpoint == Endpoint::Chat,
        body: body.to_vec(),
        priority,
        deadline: headers.deadline,
        progress: Progress::default(),
    };
    node.budget.lock().unwrap().deposit();
    metrics::counter!("cassialock_requests_total", "node" => node.label(), "kind" => "llm")
        .increment(1);
    Ok((Call::new(node, record, headers.limits)?, 0))
}

fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Completion, Refusal> {
    Completion::parse(endpoint, body).map_err(|e| Refusal::new(Reason::Malformed, e.to_string()))
}

fn count_retry(node: &Node, reason: &'static str) {
    metrics::counter!("cassialock_retries_total", "node" => node.label(), "reason" => reason)
        .increment(1);
}
