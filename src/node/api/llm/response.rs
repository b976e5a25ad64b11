//! Responses to completion calls: complete ones and streams.

use crate::core::completion::Progress;
use crate::core::completion::request::Endpoint;
use crate::core::refusal::Refusal;
use crate::node::Node;
use crate::node::api;
use crate::node::api::llm;
use crate::node::api::llm::call::Call;
use crate::node::api::llm::call::CallOutcome;
use crate::node::api::refusals;
use crate::node::api::sink::DiscardSink;
use crate::node::api::sink::EventSink;
use crate::node::api::sink::StreamMoved;
use crate::node::api::sink::TokenSink;
use crate::node::peers::Answer;
use crate::node::peers::Call as PeerCall;
use crate::node::peers::StreamRecord;
use crate::web;
use crate::web::Body;
use http::Response;
use http::StatusCode;
use serde_json::json;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Capacity of the event queue of a slow caller.
const EVENT_QUEUE_CAPACITY: usize = 32;

/// Runs a call and returns the complete response.
pub async fn complete(node: &Arc<Node>, mut call: Call) -> Response<Body> {
    let mut signals = call.signals(node);
    let id = call.record.id.clone();
    let mut sink = DiscardSink;
    let outcome = call.run(node, &mut sink, &mut signals).await;
    node.streams.remove(&id);
    call.count_tokens(node);
    match outcome {
        CallOutcome::Finished => completion_response(&call),
        CallOutcome::Refused(refusal) => {
            refusals::respond(node, &refusal, Some(&call.record.request))
        }
        CallOutcome::CallerGone | CallOutcome::CallerReconnected | CallOutcome::Draining(_) => {
            refusals::respond(node, &api::stopping_refusal(), Some(&call.record.request))
        }
    }
}

fn completion_response(call: &Call) -> Response<Body> {
    let progress = &call.record.progress;
    let text = progress.text.trim_end();
    let finish_reason = progress.finish_reason.as_deref();
    let (object, choice) = match call.completion.endpoint {
        Endpoint::Chat => (
            "chat.completion",
            json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": finish_reason}),
        ),
        Endpoint::Text => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": finish_reason}),
        ),
    };
    let prompt_tokens = call.route.prompt_tokens;
    let completion_tokens = progress.tokens();
    let body = json!({
        "id": &*call.record.request,
        "object": object,
        "model": call.completion.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": u64::from(prompt_tokens) + completion_tokens,
        },
    });
    let mut response = web::json(StatusCode::OK, &body);
    set_request_id(&mut response, &call.record.request);
    response
}

fn set_request_id(response: &mut Response<Body>, request: &str) {
    if let Ok(id) = request.parse() {
        response.headers_mut().insert("x-request-id", id);
    }
}

/// Runs a call in the background and returns a stream of its tokens after
/// `last_index`.
pub async fn stream(node: &Arc<Node>, call: Call, last_index: u64) -> Response<Body> {
    let request = call.record.request.clone();
    let (chunk_sender, chunks) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (start_sender, start_result) = oneshot::channel();
    let sink = EventSink::new(
        call.record.id.clone(),
        request.clone(),
        call.completion.model.clone(),
        call.completion.endpoint,
        node.clock.now().as_millis() / 1_000,
        chunk_sender,
    )
    .with_last_index(last_index);
    tokio::spawn(run_stream(Arc::clone(node), call, sink, start_sender));
    match start_result.await {
        Ok(Ok(())) => {
            let mut response = web::event_stream(chunks);
            set_request_id(&mut response, &request);
            response
        }
        Ok(Err(refusal)) => refusals::respond(node, &refusal, Some(&request)),
        Err(_) => refusals::respond(node, &api::stopping_refusal(), Some(&request)),
    }
}

/// Sink that reports the start of a stream once, at its first event.
struct StartReporter<'a> {
    events: &'a mut EventSink,
    start_sender: Option<oneshot::Sender<Result<(), Refusal>>>,
}

impl StartReporter<'_> {
    fn report_start(&mut self) {
        if let Some(start_sender) = self.start_sender.take() {
            // The result is ignored: the next token reports a disconnected caller.
            let _ = start_sender.send(Ok(()));
        }
    }
}

impl TokenSink for StartReporter<'_> {
    fn token<'a>(
        &'a mut self,
        index: u64,
        text: &'a str,
    ) -> futures_util::future::BoxFuture<'a, bool> {
        self.report_start();
        self.events.token(index, text)
    }

    fn keep_alive(&mut self) -> futures_util::future::BoxFuture<'_, ()> {
        self.report_start();
        self.events.keep_alive()
    }

    fn closed(&self) -> futures_util::future::BoxFuture<'_, ()> {
        self.events.closed()
    }

    fn can_redirect(&self) -> bool {
        true
    }
}

async fn run_stream(
    node: Arc<Node>,
    mut call: Call,
    mut events: EventSink,
    start_sender: oneshot::Sender<Result<(), Refusal>>,
) {
    let _in_flight = node.in_flight.guard();
    let mut signals = call.signals(&node);
    let mut sink = StartReporter {
        events: &mut events,
        start_sender: Some(start_sender),
    };
    replay(&call.record.progress, &mut sink).await;
    let mut outcome = call.run(&node, &mut sink, &mut signals).await;
    if let CallOutcome::Draining(interrupted) = outcome {
        if let Some(address) = transfer_stream(&node, &call.record).await {
            drop(interrupted);
            report(sink.start_sender.take(), Ok(()));
            call.count_tokens(&node);
            redirect(&node, &call.record.id, &events, address).await;
            return;
        }
        // No other node has the stream, so this one finishes it if it can.
        let going_on = call.go_on(&node, *interrupted, &mut sink, &mut signals);
        outcome = going_on.await;
    }
    let start_sender = sink.start_sender.take();
    call.count_tokens(&node);
    let id = call.record.id.clone();
    match outcome {
        CallOutcome::Finished => {
            node.streams.remove(&id);
            report(start_sender, Ok(()));
            let reason = call
                .record
                .progress
                .finish_reason
                .as_deref()
                .unwrap_or("stop");
            events.finish(reason).await;
        }
        CallOutcome::Refused(refusal) => {
            node.streams.remove(&id);
            if let Some(start_sender) = start_sender {
                report(Some(start_sender), Err(refusal));
            } else {
                let body = refusals::body(&node, &refusal, Some(&call.record.request));
                events.send_final("error", &body).await;
            }
        }
        CallOutcome::CallerGone | CallOutcome::CallerReconnected | CallOutcome::Draining(_) => {
            let now = node.clock.now();
            node.streams.detach(call.record, now);
        }
    }
}

fn report(start_sender: Option<oneshot::Sender<Result<(), Refusal>>>, result: Result<(), Refusal>) {
    if let Some(start_sender) = start_sender {
        // The result is ignored: a disconnected caller needs no report.
        let _ = start_sender.send(result);
    }
}

/// Sends the tokens generated so far; the sink skips those already received.
async fn replay(progress: &Progress, sink: &mut StartReporter<'_>) {
    for index in 1..=progress.tokens() {
        let Some(text) = progress.token(index) else {
            return;
        };
        if !sink.token(index, text).await {
            return;
        }
    }
}

/// Redirects the caller of a stream that was transferred to the node at `address`.
async fn redirect(node: &Node, stream: &str, events: &EventSink, address: String) {
    node.streams.remove(stream);
    let moved = StreamMoved {
        address,
        last_id: events.last_id(),
    };
    llm::count_retry(node, "drain");
    events.send_final("moved", &moved).await;
}

/// Transfers a stream to another live node and returns that node's address for
/// callers.
pub async fn transfer_stream(node: &Arc<Node>, record: &StreamRecord) -> Option<String> {
    let own_id = node.settings.id.clone();
    let mut targets = node.roster.lock().unwrap().entry_nodes(&record.workspace);
    targets.extend(node.roster.lock().unwrap().live_members());
    for target in targets.iter().filter(|member| member.id != own_id) {
        let call = PeerCall::TransferStream(record.clone());
        if let Ok(Answer::Done) = node.peers.call(&target.peer, &call).await {
            return Some(target.address.to_string());
        }
    }
    None
}
