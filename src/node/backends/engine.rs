//! One attempt to generate a completion on a model engine.

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
use crate::core::completion::Assembly;
use crate::core::completion::ChunkOutcome;
use crate::core::completion::Progress;
use crate::core::completion::chunk;
use crate::core::completion::handover;
use crate::core::completion::handover::Plan;
use crate::core::completion::request::Completion;
use crate::core::config::Service;
use crate::core::limit::Priority;
use crate::core::retry::Cause;
use crate::core::route::servers::LoadReport;
use crate::core::time::Time;
use crate::node::Node;
use crate::node::api::sink::TokenSink;
use crate::node::backends::SelectedServer;
use crate::web::client::SendError;

/// Multiple of the first-token target after which a server counts as silent.
const FIRST_TOKEN_FACTOR: u32 = 8;

/// Interval between two keep-alives to a caller.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout of an import of cached blocks.
const IMPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest forwarded error text of an engine, in bytes.
const MAX_ERROR_TEXT_BYTES: usize = 512;

/// Result of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The response is complete.
    Finished,
    /// The attempt failed with this cause.
    Failed(Cause),
    /// The engine rejected the request as invalid, with this error text.
    Rejected(String),
    /// The caller disconnected.
    CallerGone,
    /// The caller resumed the stream over another connection.
    CallerReconnected,
    /// The node is draining.
    Draining,
}

/// Parameters of an attempt.
pub struct Attempt<'a> {
    /// Server that runs the attempt.
    pub server: &'a SelectedServer,
    /// Attempt id, which every chunk of the engine must carry.
    pub id: Name,
    /// Completion to generate.
    pub completion: &'a Completion,
    /// Configuration of the service.
    pub service: &'a Service,
    /// Scheduling priority.
    pub priority: Priority,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Whether to use a new connection.
    pub new_connection: bool,
}

/// Signals that can interrupt an attempt.
pub struct Signals {
    /// Becomes true when the node starts to drain.
    pub draining: tokio::sync::watch::Receiver<bool>,
    /// Becomes true when the caller resumes the stream over another connection.
    pub reconnected: tokio::sync::watch::Receiver<bool>,
    /// Changes when a backend server begins to leave.
    pub leaving: tokio::sync::watch::Receiver<u64>,
}

/// Event that ended a wait of the attempt.
enum WaitResult<T> {
    Ready(T),
    Silent,
    Deadline,
    Ended(AttemptOutcome),
}

struct AttemptRunner<'a, 'b> {
    node: &'a Arc<Node>,
    attempt: &'a Attempt<'a>,
    progress: &'b mut Progress,
    sink: &'b mut dyn TokenSink,
    signals: &'b mut Signals,
}

/// Runs one attempt and adds the received tokens to `progress` and `sink`.
pub async fn run(
    node: &Arc<Node>,
    attempt: &Attempt<'_>,
    progress: &mut Progress,
    sink: &mut dyn TokenSink,
    signals: &mut Signals,
) -> AttemptOutcome {
    let mut runner = AttemptRunner {
        node,
        attempt,
        progress,
        sink,
        signals,
    };
    runner.run().await
}

impl AttemptRunner<'_, '_> {
    async fn run(&mut self) -> AttemptOutcome {
        let first_token_limit = self.first_token_limit();
        let request = match self.request() {
            Some(request) => request,
            None => return AttemptOutcome::Failed(Cause::Garbled),
        };
        let node = Arc::clone(self.node);
        let sending = node
            .client
            .send(request, self.attempt.new_connection, first_token_limit);
        let response = match self.wait(sending, first_token_limit).await {
            WaitResult::Ready(Ok(response)) => response,
            WaitResult::Ready(Err(SendError::Connect)) => {
                return AttemptOutcome::Failed(Cause::Connect);
            }
            WaitResult::Ready(Err(SendError::Cut)) => return AttemptOutcome::Failed(Cause::Cut),
            WaitResult::Ready(Err(SendError::Timeout))
            | WaitResult::Silent
            | WaitResult::Deadline => {
                return AttemptOutcome::Failed(Cause::Silent);
            }
            WaitResult::Ended(outcome) => return outcome,
        };
        self.record_load(response.headers());
        match response.status() {
            StatusCode::OK => {
                self.read_events(response.into_body(), first_token_limit)
                    .await
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                AttemptOutcome::Failed(Cause::Busy)
            }
            status if status.is_client_error() => {
                let text = crate::web::read(response.into_body(), MAX_ERROR_TEXT_BYTES).await;
                let text = text.unwrap_or_default();
                AttemptOutcome::Rejected(String::from_utf8_lossy(&text).trim().to_string())
            }
            _ => AttemptOutcome::Failed(Cause::Failed),
        }
    }

    /// Records the load that the engine reports in its response headers.
    fn record_load(&self, headers: &http::HeaderMap) {
        let number = |name| -> Option<u32> { headers.get(name)?.to_str().ok()?.parse().ok() };
        let running = number("x-load-running");
        let waiting = number("x-load-waiting");
        if let Some((running, waiting)) = running.zip(waiting) {
            let load = LoadReport { running, waiting };
            let now = self.node.clock.now();
            let mut servers = self.node.servers.lock().unwrap();
            servers.record_load(&self.attempt.server.id, load, now);
        }
    }

    /// Returns the timeout for the first token.
    fn first_token_limit(&self) -> Duration {
        let first = Duration::from_millis(u64::from(self.attempt.service.first_ms));
        let time_left = self.attempt.deadline.since(self.node.clock.now());
        (first * FIRST_TOKEN_FACTOR).min(time_left)
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let attempt = self.attempt;
        let path = attempt.completion.endpoint.path();
        let body = attempt.completion.upstream_body(self.progress);
        Request::post(format!("http://{}{path}", attempt.server.address))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-request-id", &*attempt.id)
            .header("x-priority", (attempt.priority as u32).to_string())
            .body(Full::new(body.into()))
            .ok()
    }

    async fn read_events(&mut self, body: Incoming, first_token_limit: Duration) -> AttemptOutcome {
        let mut events = BodyDataStream::new(body).eventsource();
        let mut assembly = Assembly::new(self.attempt.id.clone());
        let silence = Duration::from_millis(u64::from(self.attempt.service.silence_ms));
        let mut limit = first_token_limit;
        loop {
            let event = match self.wait(events.next(), limit).await {
                WaitResult::Ready(Some(Ok(event))) => event,
                WaitResult::Ready(Some(Err(_)) | None) => {
                    return AttemptOutcome::Failed(Cause::Cut);
                }
                WaitResult::Silent | WaitResult::Deadline => {
                    return AttemptOutcome::Failed(Cause::Silent);
                }
                WaitResult::Ended(outcome) => return outcome,
            };
            if event.data == chunk::DONE {
                return match assembly.finish(self.progress) {
                    Ok(_) => AttemptOutcome::Finished,
                    Err(cause) => AttemptOutcome::Failed(cause),
                };
            }
            match self.accept_event(&mut assembly, &event).await {
                Ok(()) => limit = silence,
                Err(outcome) => return outcome,
            }
        }
    }

    async fn accept_event(
        &mut self,
        assembly: &mut Assembly,
        event: &Event,
    ) -> Result<(), AttemptOutcome> {
        let chunk = chunk::decode(&event.id, &event.data).map_err(AttemptOutcome::Failed)?;
        let outcome = assembly
            .accept(&chunk, self.progress)
            .map_err(AttemptOutcome::Failed)?;
        if let ChunkOutcome::Token { index, text } = outcome
            && !self.sink.token(index, &text).await
        {
            return Err(AttemptOutcome::CallerGone);
        }
        Ok(())
    }

    /// Waits for `future` until the timeout `limit`, the deadline of the request or
    /// an interruption of the attempt.
    async fn wait<T>(&mut self, future: impl Future<Output = T>, limit: Duration) -> WaitResult<T> {
        tokio::pin!(future);
        let silent_at = Instant::now() + limit;
        let deadline = self.node.clock.instant(self.attempt.deadline);
        let mut keep_alive =
            tokio::time::interval_at(Instant::now() + KEEP_ALIVE_INTERVAL, KEEP_ALIVE_INTERVAL);
        loop {
            if let Some(outcome) = self.interruption() {
                return WaitResult::Ended(outcome);
            }
            tokio::select! {
                biased;
                value = &mut future => return WaitResult::Ready(value),
                () = self.sink.closed() => return WaitResult::Ended(AttemptOutcome::CallerGone),
                () = tokio::time::sleep_until(silent_at) => return WaitResult::Silent,
                () = tokio::time::sleep_until(deadline) => return WaitResult::Deadline,
                _ = keep_alive.tick() => self.sink.keep_alive().await,
                changed = self.signals.draining.changed() => pending_if(changed.is_err()).await,
                changed = self.signals.reconnected.changed() => pending_if(changed.is_err()).await,
                changed = self.signals.leaving.changed() => pending_if(changed.is_err()).await,
            }
        }
    }

    /// Returns the outcome with which a raised signal ends the attempt, if any.
    fn interruption(&self) -> Option<AttemptOutcome> {
        if *self.signals.reconnected.borrow() {
            return Some(AttemptOutcome::CallerReconnected);
        }
        if *self.signals.draining.borrow() && self.sink.can_redirect() {
            return Some(AttemptOutcome::Draining);
        }
        let until = self.node.reclaim_time(&self.attempt.server.id)?;
        match self.plan(until) {
            Plan::Stay => None,
            Plan::Export | Plan::Resume => Some(AttemptOutcome::Failed(Cause::Leaving)),
        }
    }

    fn plan(&self, until: Time) -> Plan {
        let time_left = until.since(self.node.clock.now());
        plan_handover(
            self.attempt.completion,
            self.attempt.service,
            self.progress,
            time_left,
        )
    }
}

/// Plans how to continue a stream whose server goes away in `time_left`.
pub fn plan_handover(
    completion: &Completion,
    service: &Service,
    progress: &Progress,
    time_left: Duration,
) -> Plan {
    let remaining = u64::from(completion.max_tokens).saturating_sub(progress.tokens());
    let cached_tokens = u64::from(completion.prompt_tokens()) + progress.tokens();
    let token_time = Duration::from_millis(u64::from(service.token_ms));
    handover::plan(cached_tokens, remaining, token_time, time_left)
}

/// Waits forever if the channel of a signal is closed.
///
/// A closed channel completes `changed` at once, which would turn the wait into a
/// busy loop.
async fn pending_if(is_closed: bool) {
    if is_closed {
        std::future::pending::<()>().await;
    }
}

/// Asks the server `to` to import the cached blocks of an attempt on `from`.
///
/// Returns whether the import succeeded. If it failed, `to` recomputes the prompt.
pub async fn import_blocks(node: &Node, from: &str, attempt: &str, to: &str) -> bool {
    let source = format!("http://{from}/kv/export/{attempt}");
    let body = serde_json::json!({ "source": source }).to_string();
    let request = Request::post(format!("http://{to}/kv/import"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()));
    let Ok(request) = request else { return false };
    let result = node.client.send(request, false, IMPORT_TIMEOUT).await;
    result.is_ok_and(|response| response.status() == StatusCode::OK)
}
