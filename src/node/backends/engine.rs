//! One attempt at a model engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyDataStream;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::core::Name;
use crate::core::call::Assembly;
use crate::core::call::Progress;
use crate::core::call::Step;
use crate::core::call::chunk;
use crate::core::call::handover;
use crate::core::call::handover::Plan;
use crate::core::call::request::Completion;
use crate::core::config::Service;
use crate::core::limit::Priority;
use crate::core::retry::Cause;
use crate::core::route::servers::Load;
use crate::core::time::Time;
use crate::node::Node;
use crate::node::backends::Chosen;
use crate::node::callers::sink::Sink;
use crate::web::client::SendError;

/// Factor on the target for the first token after which a server counts as silent.
const FIRST_TOKEN_FACTOR: u32 = 8;

/// Wait between two signs of life to a caller.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Time in which cached blocks must have been imported.
const IMPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest error text passed on from an engine, in bytes.
const MAX_ERROR_BYTES: usize = 512;

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is whole.
    Finished,
    /// The attempt failed.
    Failed(Cause),
    /// The engine says that the request itself is wrong.
    Rejected(String),
    /// The caller has gone.
    CallerGone,
    /// The caller has come back on another connection.
    Released,
    /// The node is stopping.
    Draining,
}

/// What one attempt needs to know.
pub struct Attempt<'a> {
    /// The server.
    pub server: &'a Chosen,
    /// Name of the attempt, which the engine's chunks must carry.
    pub id: Name,
    /// The request.
    pub completion: &'a Completion,
    /// The service.
    pub service: &'a Service,
    /// Kind of work.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Whether to use a new connection.
    pub is_fresh: bool,
}

/// What can interrupt an attempt.
pub struct Signals {
    /// Becomes true when the node drains.
    pub draining: tokio::sync::watch::Receiver<bool>,
    /// Becomes true when the caller has come back elsewhere.
    pub released: tokio::sync::watch::Receiver<bool>,
    /// Changes when a server begins to leave.
    pub leaving: tokio::sync::watch::Receiver<u64>,
}

/// What happened while the attempt waited.
enum Wake<T> {
    Ready(T),
    Silent,
    Deadline,
    Ended(Outcome),
}

struct Running<'a, 'b> {
    node: &'a Arc<Node>,
    attempt: &'a Attempt<'a>,
    progress: &'b mut Progress,
    sink: &'b mut dyn Sink,
    signals: &'b mut Signals,
}

/// Runs one attempt and adds what comes to `progress` and `sink`.
pub async fn run(
    node: &Arc<Node>,
    attempt: &Attempt<'_>,
    progress: &mut Progress,
    sink: &mut dyn Sink,
    signals: &mut Signals,
) -> Outcome {
    let mut running = Running {
        node,
        attempt,
        progress,
        sink,
        signals,
    };
    running.run().await
}

impl Running<'_, '_> {
    async fn run(&mut self) -> Outcome {
        let first_limit = self.first_limit();
        let request = match self.request() {
            Some(request) => request,
            None => return Outcome::Failed(Cause::Garbled),
        };
        let node = Arc::clone(self.node);
        let sending = node
            .client
            .send(request, self.attempt.is_fresh, first_limit);
        let response = match self.wait(sending, first_limit).await {
            Wake::Ready(Ok(response)) => response,
            Wake::Ready(Err(SendError::Connect)) => return Outcome::Failed(Cause::Connect),
            Wake::Ready(Err(SendError::Cut)) => return Outcome::Failed(Cause::Cut),
            Wake::Ready(Err(SendError::Timeout)) | Wake::Silent | Wake::Deadline => {
                return Outcome::Failed(Cause::Silent);
            }
            Wake::Ended(outcome) => return outcome,
        };
        self.take_load(response.headers());
        match response.status() {
            StatusCode::OK => self.read(response.into_body(), first_limit).await,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Outcome::Failed(Cause::Busy)
            }
            status if status.is_client_error() => {
                let text = crate::web::read(response.into_body(), MAX_ERROR_BYTES).await;
                let text = text.unwrap_or_default();
                Outcome::Rejected(String::from_utf8_lossy(&text).trim().to_string())
            }
            _ => Outcome::Failed(Cause::Failed),
        }
    }

    /// Takes over the load that the engine reports with its answer.
    fn take_load(&self, headers: &http::HeaderMap) {
        let number = |name| -> Option<u32> { headers.get(name)?.to_str().ok()?.parse().ok() };
        let running = number("x-load-running");
        let waiting = number("x-load-waiting");
        if let Some((running, waiting)) = running.zip(waiting) {
            let load = Load { running, waiting };
            let now = self.node.clock.now();
            let mut servers = self.node.servers.lock().unwrap();
            servers.set_load(&self.attempt.server.id, load, now);
        }
    }

    /// Returns the longest wait for the first token.
    fn first_limit(&self) -> Duration {
        let first = Duration::from_millis(u64::from(self.attempt.service.first_ms));
        let left = self.attempt.deadline.since(self.node.clock.now());
        (first * FIRST_TOKEN_FACTOR).min(left)
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let attempt = self.attempt;
        let path = attempt.completion.shape.path();
        let body = attempt.completion.upstream_body(self.progress);
        Request::post(format!("http://{}{path}", attempt.server.address))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-request-id", &*attempt.id)
            .header("x-priority", (attempt.priority as u32).to_string())
            .body(Full::new(body.into()))
            .ok()
    }

    async fn read(&mut self, body: Incoming, first_limit: Duration) -> Outcome {
        let mut events = BodyDataStream::new(body).eventsource();
        let mut assembly = Assembly::new(self.attempt.id.clone());
        let silence = Duration::from_millis(u64::from(self.attempt.service.silence_ms));
        let mut limit = first_limit;
        loop {
            let event = match self.wait(events.next(), limit).await {
                Wake::Ready(Some(Ok(event))) => event,
                Wake::Ready(Some(Err(_)) | None) => return Outcome::Failed(Cause::Cut),
                Wake::Silent | Wake::Deadline => return Outcome::Failed(Cause::Silent),
                Wake::Ended(outcome) => return outcome,
            };
            if event.data == chunk::END {
                return match assembly.finish(self.progress) {
                    Ok(_) => Outcome::Finished,
                    Err(cause) => Outcome::Failed(cause),
                };
            }
            match self.take(&mut assembly, &event).await {
                Ok(()) => limit = silence,
                Err(outcome) => return outcome,
            }
        }
    }

    async fn take(&mut self, assembly: &mut Assembly, event: &Event) -> Result<(), Outcome> {
        let chunk = chunk::decode(&event.id, &event.data).map_err(Outcome::Failed)?;
        let step = assembly
            .accept(&chunk, self.progress)
            .map_err(Outcome::Failed)?;
        if let Step::Token { index, text } = step
            && !self.sink.token(index, &text).await
        {
            return Err(Outcome::CallerGone);
        }
        Ok(())
    }

    /// Waits for `ready`, watching everything that can interrupt the attempt.
    async fn wait<T>(&mut self, ready: impl Future<Output = T>, limit: Duration) -> Wake<T> {
        tokio::pin!(ready);
        let silent_at = Instant::now() + limit;
        let deadline = self.node.clock.instant(self.attempt.deadline);
        let mut keep_alive = tokio::time::interval_at(Instant::now() + KEEP_ALIVE, KEEP_ALIVE);
        loop {
            if let Some(outcome) = self.interruption() {
                return Wake::Ended(outcome);
            }
            tokio::select! {
                biased;
                value = &mut ready => return Wake::Ready(value),
                () = self.sink.closed() => return Wake::Ended(Outcome::CallerGone),
                () = tokio::time::sleep_until(silent_at) => return Wake::Silent,
                () = tokio::time::sleep_until(deadline) => return Wake::Deadline,
                _ = keep_alive.tick() => self.sink.keep_alive().await,
                changed = self.signals.draining.changed() => pend_if(changed.is_err()).await,
                changed = self.signals.released.changed() => pend_if(changed.is_err()).await,
                changed = self.signals.leaving.changed() => pend_if(changed.is_err()).await,
            }
        }
    }

    /// Returns how the attempt must end, if one of the signals says so.
    fn interruption(&self) -> Option<Outcome> {
        if *self.signals.released.borrow() {
            return Some(Outcome::Released);
        }
        if *self.signals.draining.borrow() && self.sink.can_move() {
            return Some(Outcome::Draining);
        }
        let until = self.node.leaving_until(&self.attempt.server.id)?;
        match self.plan(until) {
            Plan::Stay => None,
            Plan::Export | Plan::Resume => Some(Outcome::Failed(Cause::Leaving)),
        }
    }

    fn plan(&self, until: Time) -> Plan {
        let left = until.since(self.node.clock.now());
        plan(
            self.attempt.completion,
            self.attempt.service,
            self.progress,
            left,
        )
    }
}

/// Decides what to do with a stream whose server goes after `left`.
pub fn plan(
    completion: &Completion,
    service: &Service,
    progress: &Progress,
    left: Duration,
) -> Plan {
    let remaining = u64::from(completion.max_tokens).saturating_sub(progress.tokens());
    let held = u64::from(completion.prompt_tokens()) + progress.tokens();
    let token = Duration::from_millis(u64::from(service.token_ms));
    handover::plan(held, remaining, token, left)
}

/// A closed signal must not end the wait again and again.
async fn pend_if(is_closed: bool) {
    if is_closed {
        std::future::pending::<()>().await;
    }
}

/// Asks `to` to import the cached blocks of an attempt at `from`.
///
/// Returns whether it did; if not, it computes the prompt again.
pub async fn import_blocks(node: &Node, from: &str, attempt: &str, to: &str) -> bool {
    let source = format!("http://{from}/kv/export/{attempt}");
    let body = serde_json::json!({ "source": source }).to_string();
    let request = Request::post(format!("http://{to}/kv/import"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()));
    let Ok(request) = request else { return false };
    let answer = node.client.send(request, false, IMPORT_TIMEOUT).await;
    answer.is_ok_and(|response| response.status() == StatusCode::OK)
}
