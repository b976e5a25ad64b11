//! Answers to callers: whole ones and streams.

use crate::core::call::Progress;
use crate::core::call::request::Shape;
use crate::core::refusal::Refusal;
use crate::node::Node;
use crate::node::callers;
use crate::node::callers::llm;
use crate::node::callers::llm::call::Call;
use crate::node::callers::llm::call::End;
use crate::node::callers::refuse;
use crate::node::callers::sink::Events;
use crate::node::callers::sink::Moved;
use crate::node::callers::sink::Sink;
use crate::node::callers::sink::Whole;
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

/// Events that may wait for a slow caller.
const EVENT_QUEUE: usize = 32;

/// Answers a caller that waits for the whole answer.
pub async fn whole(node: &Arc<Node>, mut call: Call) -> Response<Body> {
    let mut signals = call.signals(node);
    let id = call.record.id.clone();
    let mut sink = Whole;
    let end = call.run(node, &mut sink, &mut signals).await;
    node.streams.remove(&id);
    call.count_end(node);
    match end {
        End::Finished => whole_answer(&call),
        End::Refused(refusal) => refuse::respond(node, &refusal, Some(&call.record.request)),
        End::CallerGone | End::Released | End::Draining => {
            refuse::respond(node, &callers::stopping(), Some(&call.record.request))
        }
    }
}

fn whole_answer(call: &Call) -> Response<Body> {
    let progress = &call.record.progress;
    let text = progress.text.trim_end();
    let finish = progress.finish.as_deref();
    let (object, choice) = match call.completion.shape {
        Shape::Chat => (
            "chat.completion",
            json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": finish}),
        ),
        Shape::Text => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": finish}),
        ),
    };
    let prompt = call.route.prompt_tokens;
    let answer = progress.tokens();
    let body = json!({
        "id": &*call.record.request,
        "object": object,
        "model": call.completion.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": answer,
            "total_tokens": u64::from(prompt) + answer,
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

/// Answers a caller that reads a stream, which begins after index `sent`.
pub async fn stream(node: &Arc<Node>, call: Call, sent: u64) -> Response<Body> {
    let request = call.record.request.clone();
    let (out, parts) = mpsc::channel(EVENT_QUEUE);
    let (began, beginning) = oneshot::channel();
    let sink = Events::new(
        call.record.id.clone(),
        request.clone(),
        call.completion.model.clone(),
        call.completion.shape,
        node.clock.now().as_millis() / 1_000,
        out,
    )
    .with_sent(sent);
    tokio::spawn(run_stream(Arc::clone(node), call, sink, began));
    match beginning.await {
        Ok(Ok(())) => {
            let mut response = web::event_stream(parts);
            set_request_id(&mut response, &request);
            response
        }
        Ok(Err(refusal)) => refuse::respond(node, &refusal, Some(&request)),
        Err(_) => refuse::respond(node, &callers::stopping(), Some(&request)),
    }
}

/// Reports the beginning of a stream once, at its first token.
struct Beginning<'a> {
    events: &'a mut Events,
    began: Option<oneshot::Sender<Result<(), Refusal>>>,
}

impl Beginning<'_> {
    fn begin(&mut self) {
        if let Some(began) = self.began.take() {
            // A caller that has gone is noticed by the next token.
            let _ = began.send(Ok(()));
        }
    }
}

impl Sink for Beginning<'_> {
    fn token<'a>(
        &'a mut self,
        index: u64,
        text: &'a str,
    ) -> futures_util::future::BoxFuture<'a, bool> {
        self.begin();
        self.events.token(index, text)
    }

    fn keep_alive(&mut self) -> futures_util::future::BoxFuture<'_, ()> {
        self.begin();
        self.events.keep_alive()
    }

    fn closed(&self) -> futures_util::future::BoxFuture<'_, ()> {
        self.events.closed()
    }

    fn can_move(&self) -> bool {
        true
    }
}

async fn run_stream(
    node: Arc<Node>,
    mut call: Call,
    mut events: Events,
    began: oneshot::Sender<Result<(), Refusal>>,
) {
    let _open = node.open_work.guard();
    let mut signals = call.signals(&node);
    let mut sink = Beginning {
        events: &mut events,
        began: Some(began),
    };
    replay(&call.record.progress, &mut sink).await;
    let end = call.run(&node, &mut sink, &mut signals).await;
    let began = sink.began.take();
    call.count_end(&node);
    let id = call.record.id.clone();
    match end {
        End::Finished => {
            node.streams.remove(&id);
            report(began, Ok(()));
            let reason = call.record.progress.finish.as_deref().unwrap_or("stop");
            events.finish(reason).await;
        }
        End::Refused(refusal) => {
            node.streams.remove(&id);
            if let Some(began) = began {
                report(Some(began), Err(refusal));
            } else {
                let body = refuse::body(&node, &refusal, Some(&call.record.request));
                events.end_with("error", &body).await;
            }
        }
        End::CallerGone | End::Released => {
            let now = node.clock.now();
            node.streams.insert(call.record, now);
        }
        End::Draining => {
            report(began, Ok(()));
            hand_over(&node, call, events).await;
        }
    }
}

fn report(began: Option<oneshot::Sender<Result<(), Refusal>>>, result: Result<(), Refusal>) {
    if let Some(began) = began {
        // A caller that has gone needs no report.
        let _ = began.send(result);
    }
}

/// Sends what the caller has not received of the progress so far.
async fn replay(progress: &Progress, sink: &mut Beginning<'_>) {
    for index in 1..=progress.tokens() {
        let Some(text) = progress.token(index) else {
            return;
        };
        if !sink.token(index, text).await {
            return;
        }
    }
}

/// Gives a stream to another node and points the caller there.
async fn hand_over(node: &Arc<Node>, call: Call, events: Events) {
    let id = call.record.id.clone();
    match give_away(node, &call.record).await {
        Some(address) => {
            node.streams.remove(&id);
            let moved = Moved {
                address,
                last_id: events.last_id(),
            };
            llm::count_retry(node, "drain");
            events.end_with("moved", &moved).await;
        }
        None => {
            // No other node can take it: the caller finds it here until the end.
            node.streams.insert(call.record, node.clock.now());
            events.cut().await;
        }
    }
}

/// Gives a stream to a live node and returns that node's address for callers.
pub async fn give_away(node: &Arc<Node>, record: &StreamRecord) -> Option<String> {
    let me = node.settings.id.clone();
    let mut targets = node.roster.lock().unwrap().entries(&record.workspace);
    targets.extend(node.roster.lock().unwrap().live());
    for target in targets.iter().filter(|member| member.id != me) {
        let call = PeerCall::TakeStream(record.clone());
        if let Ok(Answer::Done) = node.peers.call(&target.peer, &call).await {
            return Some(target.address.to_string());
        }
    }
    None
}
