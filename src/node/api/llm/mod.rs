//! Completion calls.

use crate::core::call::Progress;
use crate::core::call::request::Completion;
use crate::core::call::request::Shape;
use crate::core::limit::Priority;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::api;
use crate::node::api::headers::Head;
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

/// Answers a completion call.
pub async fn serve(node: &Arc<Node>, shape: Shape, request: Request<Incoming>) -> Response<Body> {
    let head = match Head::parse(node, request.headers()) {
        Ok(head) => head,
        Err(refusal) => return refusals::respond(node, &refusal, None),
    };
    let id = head.request.clone();
    match open(node, shape, head, request).await {
        Ok((call, sent)) if call.completion.stream => response::stream(node, call, sent).await,
        Ok((call, _)) => response::whole(node, call).await,
        Err(refusal) => refusals::respond(node, &refusal, Some(&id)),
    }
}

/// Reads a new request, or takes up one that the caller comes back to.
async fn open(
    node: &Arc<Node>,
    shape: Shape,
    head: Head,
    request: Request<Incoming>,
) -> Result<(Call, u64), Refusal> {
    let body = api::read_body(request.into_body()).await?;
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
        return Err(api::stopping());
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
        is_chat: shape == Shape::Chat,
        body: body.to_vec(),
        priority,
        deadline: head.deadline,
        progress: Progress::default(),
    };
    node.budget.lock().unwrap().earn();
    metrics::counter!("cassialock_requests_total", "node" => node.label(), "kind" => "llm")
        .increment(1);
    Ok((Call::new(node, record, head.limits)?, 0))
}

fn parse(shape: Shape, body: &[u8]) -> Result<Completion, Refusal> {
    Completion::parse(shape, body).map_err(|e| Refusal::new(Reason::Malformed, e.to_string()))
}

fn count_retry(node: &Node, reason: &'static str) {
    metrics::counter!("cassialock_retries_total", "node" => node.label(), "reason" => reason)
        .increment(1);
}
