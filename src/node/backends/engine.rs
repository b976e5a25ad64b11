//! One attempt to generate a completion on a model engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use futures_util::TryFutureExt;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use http::Request;
use http::Response;
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
use crate::node::backends::InFlightGuard;
use crate::node::backends::SelectedServer;
use crate::web::client::SendError;

/// Multiple of the first-token target after which a server counts as silent.
const FIRST_TOKEN_FACTOR: u32 = 8;

/// Interval between two keep-alives to a caller.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which it is decided again whether an attempt leaves a leaving server.
const STAY_TIME: Duration = Duration::from_millis(200);

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
    /// The engine has sent nothing for a while; the attempt is still open.
    Silent,
    /// The engine rejected the request as invalid, with this error text.
    Rejected {
        /// HTTP status code.
        status: u16,
        /// Message of the engine.
        text: String,
    },
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

impl Signals {
    /// Lets the request go on while the node drains.
    pub fn ignore_draining(&mut self) {
        self.draining = tokio::sync::watch::channel(false).1;
    }
}

/// An event of an engine, or how the engine ended the attempt instead.
pub type Received = Result<Event, AttemptOutcome>;

/// An attempt in progress; dropping it cancels it.
pub struct OpenAttempt {
    /// Server that runs the attempt.
    pub server: SelectedServer,
    /// Attempt id.
    pub id: Name,
    /// Time at which the attempt was started.
    pub started: Instant,
    /// Whether the server is suspected because of the current silence.
    pub is_suspected: bool,
    prompt_tokens: u64,
    max_tokens: u64,
    token_time: Duration,
    events: BoxStream<'static, Received>,
    /// What was received before the attempt is read.
    received: Option<Received>,
    assembly: Assembly,
    /// Silence after which the engine is suspected, now and after the first token.
    limit: Duration,
    next_limit: Duration,
    _in_flight: InFlightGuard,
}

/// Event that ended a wait for an engine.
pub enum WaitResult<T> {
    /// The awaited future is ready.
    Ready(T),
    /// The limit has passed.
    Silent,
    /// The deadline of the request has passed.
    Deadline,
    /// The attempt is interrupted.
    Ended(AttemptOutcome),
}

/// Waits for engines until a signal, the caller or the deadline ends the wait.
pub struct Waiter<'a> {
    node: &'a Arc<Node>,
    deadline: Time,
    sink: &'a mut dyn TokenSink,
    signals: &'a mut Signals,
    /// Time until which a leaving server keeps its attempt.
    stays_until: Instant,
}

/// What decides how a stream continues when its server goes away.
pub struct Handover {
    server: Name,
    cached_tokens: u64,
    remaining: u64,
    token_time: Duration,
}

impl Attempt<'_> {
    /// Starts the attempt, which continues from `progress`.
    ///
    /// `in_flight` counts it at its server. Nothing is sent before the attempt is read.
    ///
    /// # Errors
    ///
    /// Returns the cause if the request cannot be built.
    pub fn start(
        &self,
        node: &Arc<Node>,
        progress: &Progress,
        in_flight: InFlightGuard,
    ) -> Result<OpenAttempt, Cause> {
        let time_left = self.deadline.since(node.clock.now());
        let first = millis(self.service.first_ms);
        Ok(OpenAttempt {
            server: self.server.clone(),
            id: self.id.clone(),
            started: Instant::now(),
            is_suspected: false,
            prompt_tokens: u64::from(self.completion.prompt_tokens()),
            max_tokens: u64::from(self.completion.max_tokens),
            token_time: millis(self.service.token_ms),
            events: self.events(node, progress, time_left)?,
            received: None,
            assembly: Assembly::new(self.id.clone()),
            limit: (first * FIRST_TOKEN_FACTOR).min(time_left),
            next_limit: millis(self.service.silence_ms),
            _in_flight: in_flight,
        })
    }

    /// Returns the events of the engine, which is asked when the first one is awaited.
    fn events(
        &self,
        node: &Arc<Node>,
        progress: &Progress,
        timeout: Duration,
    ) -> Result<BoxStream<'static, Received>, Cause> {
        let request = self.request(progress).ok_or(Cause::Garbled)?;
        let (node, server) = (Arc::clone(node), self.server.id.clone());
        let new_connection = self.new_connection;
        let head = async move {
            let sent = node.client.send(request, new_connection, timeout).await;
            let response = sent.map_err(|e| AttemptOutcome::Failed(to_cause(&e)))?;
            record_load(&node, &server, response.headers());
            let body = check_status(response).await?;
            let events = BodyDataStream::new(body).eventsource();
            Ok(events.map(|event| event.map_err(|_| AttemptOutcome::Failed(Cause::Cut))))
        };
        Ok(head.try_flatten_stream().boxed())
    }

    fn request(&self, progress: &Progress) -> Option<Request<Full<Bytes>>> {
        let path = self.completion.endpoint.path();
        let body = self.completion.upstream_body(progress);
        Request::post(format!("http://{}{path}", self.server.address))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-request-id", &*self.id)
            .header("x-priority", (self.priority as u32).to_string())
            .body(Full::new(body.into()))
            .ok()
    }
}

/// Returns the body of a success.
async fn check_status(response: Response<Incoming>) -> Result<Incoming, AttemptOutcome> {
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(AttemptOutcome::Failed(Cause::Busy))
        }
        status if status.is_client_error() => {
            let text = crate::web::read(response.into_body(), MAX_ERROR_TEXT_BYTES).await;
            let text = text.unwrap_or_default();
            let text = String::from_utf8_lossy(&text).trim().to_string();
            Err(AttemptOutcome::Rejected {
                status: status.as_u16(),
                text,
            })
        }
        _ => Err(AttemptOutcome::Failed(Cause::Failed)),
    }
}

fn to_cause(e: &SendError) -> Cause {
    match e {
        SendError::Connect => Cause::Connect,
        SendError::Cut => Cause::Cut,
        SendError::Timeout => Cause::Silent,
    }
}

/// Records the load that an engine reports in its response headers.
fn record_load(node: &Node, server: &str, headers: &http::HeaderMap) {
    let number = |name| -> Option<u32> { headers.get(name)?.to_str().ok()?.parse().ok() };
    let running = number("x-load-running");
    let waiting = number("x-load-waiting");
    if let Some((running, waiting)) = running.zip(waiting) {
        let load = LoadReport {
            running,
            waiting,
            ..LoadReport::default()
        };
        let now = node.clock.now();
        let mut servers = node.servers.lock().unwrap();
        servers.record_load(server, load, now);
    }
}

impl OpenAttempt {
    /// Returns the silence after which the engine is suspected.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Takes the time that was waited already off the silence that is allowed.
    pub fn shorten_limit(&mut self, waited: Duration) {
        self.limit = self.limit.saturating_sub(waited);
    }

    /// Waits for the next event; an end without the end marker counts as cut.
    pub fn receive(&mut self) -> BoxFuture<'_, Received> {
        Box::pin(async {
            if let Some(received) = self.received.take() {
                return received;
            }
            let received = self.events.next().await;
            received.unwrap_or(Err(AttemptOutcome::Failed(Cause::Cut)))
        })
    }

    /// Puts back what was received, so that it is read next.
    pub fn put_back(&mut self, received: Received) {
        self.received = Some(received);
    }

    /// Takes what was put back.
    pub fn take_back(&mut self) -> Option<Received> {
        self.received.take()
    }

    /// Returns what decides how the stream continues if the server goes away.
    pub fn handover(&self, progress: &Progress) -> Handover {
        Handover {
            server: self.server.id.clone(),
            cached_tokens: self.prompt_tokens + progress.tokens(),
            remaining: self.max_tokens.saturating_sub(progress.tokens()),
            token_time: self.token_time,
        }
    }

    async fn accept(
        &mut self,
        event: &Event,
        progress: &mut Progress,
        sink: &mut dyn TokenSink,
    ) -> Result<(), AttemptOutcome> {
        let chunk = chunk::decode(&event.id, &event.data).map_err(AttemptOutcome::Failed)?;
        let outcome = self
            .assembly
            .accept(&chunk, progress)
            .map_err(AttemptOutcome::Failed)?;
        if let ChunkOutcome::Token { index, text } = outcome
            && !sink.token(index, &text).await
        {
            return Err(AttemptOutcome::CallerGone);
        }
        Ok(())
    }
}

impl<'a> Waiter<'a> {
    /// Creates a waiter for a request that must end at `deadline`.
    pub fn new(
        node: &'a Arc<Node>,
        deadline: Time,
        sink: &'a mut dyn TokenSink,
        signals: &'a mut Signals,
    ) -> Self {
        Self {
            node,
            deadline,
            sink,
            signals,
            stays_until: Instant::now(),
        }
    }

    /// Lets attempts stay at a leaving server for a while, since no other one can have
    /// them.
    pub fn stay(&mut self) {
        self.stays_until = Instant::now() + STAY_TIME;
    }

    /// Adds the tokens of an attempt to `progress` and the sink, until the attempt ends
    /// or its engine is silent.
    pub async fn read(
        &mut self,
        attempt: &mut OpenAttempt,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        loop {
            let handover = attempt.handover(progress);
            let limit = attempt.limit;
            let event = match self.wait(&handover, attempt.receive(), limit).await {
                WaitResult::Ready(Ok(event)) => event,
                WaitResult::Ready(Err(outcome)) | WaitResult::Ended(outcome) => return outcome,
                WaitResult::Silent => return AttemptOutcome::Silent,
                WaitResult::Deadline => return AttemptOutcome::Failed(Cause::Silent),
            };
            attempt.is_suspected = false;
            if event.data == chunk::DONE {
                return match attempt.assembly.clone().finish(progress) {
                    Ok(_) => AttemptOutcome::Finished,
                    Err(cause) => AttemptOutcome::Failed(cause),
                };
            }
            match attempt.accept(&event, progress, self.sink).await {
                Ok(()) => attempt.limit = attempt.next_limit,
                Err(outcome) => return outcome,
            }
        }
    }

    /// Waits for `future` until the timeout `limit`, the deadline of the request or
    /// an interruption of the attempt.
    pub async fn wait<T>(
        &mut self,
        handover: &Handover,
        future: impl Future<Output = T>,
        limit: Duration,
    ) -> WaitResult<T> {
        tokio::pin!(future);
        let silent_at = Instant::now() + limit;
        let deadline = self.node.clock.instant(self.deadline);
        let mut keep_alive =
            tokio::time::interval_at(Instant::now() + KEEP_ALIVE_INTERVAL, KEEP_ALIVE_INTERVAL);
        loop {
            if let Some(outcome) = self.interruption(handover) {
                return WaitResult::Ended(outcome);
            }
            tokio::select! {
                biased;
                value = &mut future => return WaitResult::Ready(value),
                () = self.sink.closed() => return WaitResult::Ended(AttemptOutcome::CallerGone),
                () = tokio::time::sleep_until(silent_at) => return WaitResult::Silent,
                () = tokio::time::sleep_until(deadline) => return WaitResult::Deadline,
                _ = keep_alive.tick() => self.sink.keep_alive().await,
                () = changed(&mut self.signals.draining) => {}
                () = changed(&mut self.signals.reconnected) => {}
                () = changed(&mut self.signals.leaving) => {}
            }
        }
    }

    /// Returns the outcome with which a raised signal ends the attempt, if any.
    fn interruption(&self, handover: &Handover) -> Option<AttemptOutcome> {
        if *self.signals.reconnected.borrow() {
            return Some(AttemptOutcome::CallerReconnected);
        }
        if *self.signals.draining.borrow() && self.sink.can_redirect() {
            return Some(AttemptOutcome::Draining);
        }
        if Instant::now() < self.stays_until {
            return None;
        }
        let until = self.node.reclaim_time(&handover.server)?;
        match handover.plan(until.since(self.node.clock.now())) {
            Plan::Stay => None,
            Plan::Export | Plan::Resume => Some(AttemptOutcome::Failed(Cause::Leaving)),
        }
    }
}

impl Handover {
    /// Plans how to continue the stream if its server goes away in `time_left`.
    pub fn plan(&self, time_left: Duration) -> Plan {
        handover::plan(
            self.cached_tokens,
            self.remaining,
            self.token_time,
            time_left,
        )
    }
}

fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}

/// Waits until a signal changes, or forever if its channel is closed.
async fn changed<T>(signal: &mut tokio::sync::watch::Receiver<T>) {
    if signal.changed().await.is_err() {
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
