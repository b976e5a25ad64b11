//! Completion calls.

use crate::core::completion::Progress;
use crate::core::completion::request::Completion;
use crate::core::completion::request::Endpoint;
use crate::core::limit::Priority;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::callers;
use crate::node::callers::head::Head;
use crate::node::callers::llm::call::Call;
use crate::node::callers::refuse;
use crate::node::peers::StreamRecord;
use crate::web::Body;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use std::sync::Arc;

pub mod call;
pub mod reply;

/// Answers a completion call.
pub async fn serve(
    node: &Arc<Node>,
    shape: Endpoint,
    request: Request<Incoming>,
) -> Response<Body> {
    let head = match Head::parse(node, request.headers()) {
        Ok(head) => head,
        Err(refusal) => return refuse::respond(node, &refusal, None),
    };
    let id = head.request.clone();
    match open(node, shape, head, request).await {
        Ok((call, sent)) if call.completion.stream => reply::stream(node, call, sent).await,
        Ok((call, _)) => reply::whole(node, call).await,
        Err(refusal) => refuse::respond(node, &refusal, Some(&id)),
    }
}

/// Reads a new request, or takes up one that the caller comes back to.
async fn open(
    node: &Arc<Node>,
    shape: Endpoint,
    head: Head,
    request: Request<Incoming>,
) -> Result<(Call, u64), Refusal> {
    let body = callers::read_body(request.into_body()).await?;
    if let Some(last) = &head.last_event {
        let record = node.streams.take(&last.stream, &head.workspace).await;
        let Some(record) = record else {
            let detail = "this stream is not known here, or not any more; send the request anew";
            return Err(
                Refusal::new(Reason::UnknownStream, detail).with_verdict(Verdict::MayHaveRun)
            );
        };
        let index = last.index.min(record.progress.tokens());
        count_retry(node, "reconnect");
        return Ok((Call::new(node, record, head.limits)?, index));
    }
    if node.is_draining() {
        return Err(callers::stopping());
    }
    let completion = parse(shape, &body)?;
    let priority = head.priority.unwrap_or(if completion.stream {
        Priority::Stream
    } else {
        Priority::Panel
    });
    let record = StreamRecord {
        id: node.next_id(),
        request: head.request,
        workspace: head.workspace,
        is_chat: shape == Endpoint::Chat,
        body: body.to_vec(),
        priority,
        deadline: head.deadline,
        progress: Progress::default(),
    };
    node.budget.lock().unwrap().deposit();
    metrics::counter!("cassialock_requests_total", "node" => node.label(), "kind" => "llm")
        .increment(1);
    Ok((Call::new(node, record, head.limits)?, 0))
}

fn parse(shape: Endpoint, body: &[u8]) -> Result<Completion, Refusal> {
    Completion::parse(shape, body).map_err(|e| Refusal::new(Reason::Malformed, e.to_string()))
}

fn count_retry(node: &Node, reason: &'static str) {
    metrics::counter!("cassialock_retries_total", "node" => node.label(), "reason" => reason)
        .increment(1);
}
