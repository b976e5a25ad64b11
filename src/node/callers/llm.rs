//! Completion calls: one answer from as many attempts as it takes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::core::Name;
use crate::core::call::Progress;
use crate::core::call::handover::Plan;
use crate::core::call::request::Completion;
use crate::core::call::request::Shape;
use crate::core::config::Config;
use crate::core::config::Kind;
use crate::core::config::Service;
use crate::core::limit::Priority;
use crate::core::member::gossip::Fact;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::retry;
use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::core::retry::Situation;
use crate::core::retry::crash::Crash;
use crate::core::retry::crash::Fingerprint;
use crate::core::route::Request as RouteRequest;
use crate::core::route::prefix;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::admission::Demand;
use crate::node::admission::Permit;
use crate::node::backends;
use crate::node::backends::Choice;
use crate::node::backends::Chosen;
use crate::node::backends::Seat;
use crate::node::backends::engine;
use crate::node::backends::engine::Attempt;
use crate::node::backends::engine::Outcome;
use crate::node::backends::engine::Signals;
use crate::node::callers::MAX_BODY_BYTES;
use crate::node::callers::head::Head;
use crate::node::callers::refuse;
use crate::node::callers::sink::Events;
use crate::node::callers::sink::Moved;
use crate::node::callers::sink::Sink;
use crate::node::callers::sink::Whole;
use crate::node::members;
use crate::node::peers::Answer;
use crate::node::peers::Call as PeerCall;
use crate::node::peers::StreamRecord;
use crate::web;
use crate::web::Body;

/// Events that may wait for a slow caller.
const EVENT_QUEUE: usize = 32;

/// Wait for a server when there is none at the moment.
const NO_SERVER_WAIT: Duration = Duration::from_millis(50);

/// Longest wait of a request that is suspected to take down servers for one
/// that runs no other such request.
const ALONE_WAIT: Duration = Duration::from_secs(2);

/// Time for the news of other requests that the same crash hit.
const SUSPECT_PAUSE: Duration = Duration::from_millis(60);

/// One request that is being answered.
struct Call {
    record: StreamRecord,
    completion: Completion,
    limits: crate::core::config::Workspace,
    fingerprint: Fingerprint,
    route: RouteRequest,
    route_name: Name,
    draw: u64,
    attempts: usize,
    tried: Vec<Name>,
    silent: Vec<Name>,
    last: Option<LastAttempt>,
}

/// What is kept of the last attempt for the next one.
struct LastAttempt {
    server: Chosen,
    id: Name,
    cause: Cause,
}

/// How the answering of a request ended.
enum End {
    Finished,
    Refused(Refusal),
    CallerGone,
    Released,
    Draining,
}

/// Answers a completion call.
pub async fn serve(node: &Arc<Node>, shape: Shape, request: Request<Incoming>) -> Response<Body> {
    let head = match Head::parse(node, request.headers()) {
        Ok(head) => head,
        Err(refusal) => return refuse::respond(node, &refusal, None),
    };
    let id = head.request.clone();
    match open(node, shape, head, request).await {
        Ok((call, sent)) if call.completion.stream => stream(node, call, sent).await,
        Ok((call, _)) => whole(node, call).await,
        Err(refusal) => refuse::respond(node, &refusal, Some(&id)),
    }
}

/// Reads a new request, or takes up one that the caller comes back to.
async fn open(
    node: &Arc<Node>,
    shape: Shape,
    head: Head,
    request: Request<Incoming>,
) -> Result<(Call, u64), Refusal> {
    let body = read_body(request.into_body()).await?;
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
        return Err(stopping());
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

async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
    match web::read(body, MAX_BODY_BYTES).await {
        Ok(body) => Ok(body),
        Err(web::ReadError::TooLarge) => {
            let detail = format!("the body is larger than {MAX_BODY_BYTES} bytes");
            Err(Refusal::new(Reason::Oversize, detail))
        }
        Err(web::ReadError::Cut) => Err(Refusal::new(Reason::Malformed, "the body ended early")),
    }
}

fn parse(shape: Shape, body: &[u8]) -> Result<Completion, Refusal> {
    Completion::parse(shape, body).map_err(|e| Refusal::new(Reason::Malformed, e.to_string()))
}

fn stopping() -> Refusal {
    Refusal::new(
        Reason::Stopping,
        "the node is stopping; ask /v1/entries for another",
    )
    .with_retry_after(Duration::from_secs(1))
}

fn count_retry(node: &Node, reason: &'static str) {
    metrics::counter!("cassialock_retries_total", "node" => node.label(), "reason" => reason)
        .increment(1);
}

/// Returns the model service that a request names.
fn service_of<'a>(config: &'a Config, model: &str) -> Result<(&'a Name, &'a Service), Refusal> {
    match config.services.entry(model) {
        Some((name, service)) if service.kind == Kind::Llm => Ok((name, service)),
        _ => Err(Refusal::new(
            Reason::UnknownService,
            format!("model: no model service named {model}"),
        )),
    }
}

impl Call {
    fn new(
        node: &Node,
        record: StreamRecord,
        limits: crate::core::config::Workspace,
    ) -> Result<Self, Refusal> {
        let shape = if record.is_chat {
            Shape::Chat
        } else {
            Shape::Text
        };
        let completion = parse(shape, &record.body)?;
        let prompt = format!("{} {}", completion.prompt, completion.continued);
        Ok(Self {
            fingerprint: Fingerprint::new(&record.workspace, &completion.model, &record.body),
            route: RouteRequest {
                blocks: prefix::blocks(&prompt),
                prompt_tokens: completion.prompt_tokens(),
                answer_tokens: completion.max_tokens,
            },
            route_name: shape.path().into(),
            draw: node.draw(),
            attempts: 0,
            tried: Vec::new(),
            silent: Vec::new(),
            last: None,
            completion,
            limits,
            record,
        })
    }

    fn signals(&self, node: &Node) -> Signals {
        Signals {
            draining: node.draining.subscribe(),
            released: node.streams.register(&self.record.id),
            leaving: node.leaving.subscribe(),
        }
    }

    fn remaining(&self) -> u64 {
        let limit = u64::from(self.completion.max_tokens);
        limit.saturating_sub(self.record.progress.tokens())
    }

    /// Answers the request with as many attempts as it takes.
    async fn run(&mut self, node: &Arc<Node>, sink: &mut dyn Sink, signals: &mut Signals) -> End {
        if self.record.progress.finish.is_some() {
            return End::Finished;
        }
        let mut permit = match self.enter(node).await {
            Ok(permit) => permit,
            Err(refusal) => return End::Refused(refusal),
        };
        loop {
            if let Err(refusal) = self.check_crashes(node) {
                return End::Refused(refusal);
            }
            let Some(server) = self.choose(node).await else {
                return End::Refused(self.no_server());
            };
            let began = Instant::now();
            let outcome = self
                .attempt(node, &server, &mut permit, sink, signals)
                .await;
            let cause = match outcome {
                Outcome::Finished => {
                    self.record_good(node, &server, began);
                    return End::Finished;
                }
                Outcome::Rejected(text) => {
                    return End::Refused(Refusal::new(Reason::Malformed, text));
                }
                Outcome::CallerGone => return End::CallerGone,
                Outcome::Released => return End::Released,
                Outcome::Draining => return End::Draining,
                Outcome::Failed(cause) => cause,
            };
            if let Err(refusal) = self.after_failure(node, &server, cause).await {
                return End::Refused(refusal);
            }
        }
    }

    async fn enter(&self, node: &Arc<Node>) -> Result<Permit, Refusal> {
        let installed = node.config.load();
        let (name, service) = service_of(&installed.config, &self.completion.model)?;
        let remaining = self.remaining();
        let token = Duration::from_millis(u64::from(service.token_ms));
        // The target is for 95 in 100; an unloaded server is about twice as fast.
        let service_time = token.mul_f64(remaining as f64 / 4.0);
        let demand = Demand {
            service: name.clone(),
            workspace: self.record.workspace.clone(),
            work: self.route.prompt_tokens + remaining as u32,
            service_time,
            deadline: self.record.deadline,
            priority: self.record.priority,
        };
        node.admission
            .enter(node, &demand, service, &self.limits)
            .await
    }

    fn check_crashes(&self, node: &Node) -> Result<(), Refusal> {
        let crashes = node.crashes.lock().unwrap();
        if !crashes.is_blocked(self.fingerprint) {
            return Ok(());
        }
        let servers = crashes.servers(self.fingerprint).join(", ");
        let detail = format!("the servers that ran this request went down: {servers}");
        Err(Refusal::new(Reason::CrashingRequest, detail).with_verdict(Verdict::MayHaveRun))
    }

    /// Chooses a server, waiting a short time for one if there is none.
    async fn choose(&self, node: &Arc<Node>) -> Option<Chosen> {
        let mut avoid = self.tried.clone();
        let crashed = node.crashes.lock().unwrap().servers(self.fingerprint);
        let mut is_suspect = !crashed.is_empty();
        let alone_until = Instant::now() + ALONE_WAIT;
        avoid.extend(crashed);
        loop {
            let installed = node.config.load();
            let (name, service) = service_of(&installed.config, &self.completion.model).ok()?;
            let choice = Choice {
                name,
                service,
                request: &self.route,
                avoid: &avoid,
                draw: self.draw,
                suspect: is_suspect.then_some(self.fingerprint),
            };
            if let Some(chosen) = backends::choose(node, &choice) {
                return Some(chosen);
            }
            is_suspect &= Instant::now() < alone_until;
            if node.clock.now() >= self.record.deadline {
                return None;
            }
            tokio::time::sleep(NO_SERVER_WAIT).await;
        }
    }

    /// Returns whether a server went down while it ran this request.
    fn is_suspect(&self, node: &Node) -> bool {
        let crashes = node.crashes.lock().unwrap();
        !crashes.servers(self.fingerprint).is_empty()
    }

    fn no_server(&self) -> Refusal {
        let detail = format!("{} has no live backend server", self.completion.model);
        Refusal::new(Reason::NoServer, detail)
            .with_verdict(self.verdict())
            .with_retry_after(Duration::from_secs(1))
    }

    /// Returns whether the request may have run so far.
    fn verdict(&self) -> Verdict {
        let ran = |last: &LastAttempt| last.cause.verdict() == Verdict::MayHaveRun;
        if self.record.progress.tokens() > 0 || self.last.as_ref().is_some_and(ran) {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    async fn attempt(
        &mut self,
        node: &Arc<Node>,
        server: &Chosen,
        permit: &mut Permit,
        sink: &mut dyn Sink,
        signals: &mut Signals,
    ) -> Outcome {
        let installed = node.config.load();
        let Ok((_, service)) = service_of(&installed.config, &self.completion.model) else {
            return Outcome::Failed(Cause::Connect);
        };
        let is_suspect = self.is_suspect(node);
        let _seat = Seat::new(node, &server.id, &self.route.blocks).with_suspect(is_suspect);
        permit.begin();
        if self.record.progress.tokens() > 0 {
            self.record.progress.resumes += 1;
            self.import(node, service, server).await;
        }
        self.attempts += 1;
        let attempt = Attempt {
            server,
            id: format!("{}-{}", self.record.id, node.next_number()).into(),
            completion: &self.completion,
            service,
            priority: self.record.priority,
            deadline: self.record.deadline,
            is_fresh: self
                .last
                .as_ref()
                .is_some_and(|last| last.cause == Cause::Silent),
        };
        let id = attempt.id.clone();
        let outcome = engine::run(node, &attempt, &mut self.record.progress, sink, signals).await;
        if let Outcome::Failed(cause) = outcome {
            let cause = backends::known_cause(node, &server.id, cause);
            self.last = Some(LastAttempt {
                server: server.clone(),
                id,
                cause,
            });
            return Outcome::Failed(cause);
        }
        outcome
    }

    /// Moves the cached blocks of the last attempt, if there is time for it.
    async fn import(&self, node: &Node, service: &Service, server: &Chosen) {
        let Some(last) = &self.last else { return };
        if last.cause != Cause::Leaving || last.server.id == server.id {
            return;
        }
        let Some(until) = node.leaving_until(&last.server.id) else {
            return;
        };
        let left = until.since(node.clock.now());
        let plan = engine::plan(&self.completion, service, &self.record.progress, left);
        if plan != Plan::Resume {
            let from = &last.server.address;
            let imported = engine::import_blocks(node, from, &last.id, &server.address).await;
            let result = if imported { "imported" } else { "failed" };
            metrics::counter!("cassialock_imports_total", "node" => node.label(), "result" => result)
                .increment(1);
        }
    }

    fn record_good(&self, node: &Node, server: &Chosen, began: Instant) {
        let latency = began.elapsed();
        node.servers
            .lock()
            .unwrap()
            .record_success(&server.id, latency);
        self.record_answer(node, &server.version, false, latency);
        // A server that went down under a request that runs well elsewhere is
        // to blame itself.
        let crashed = node.crashes.lock().unwrap().servers(self.fingerprint);
        for id in crashed {
            let version = node
                .servers
                .lock()
                .unwrap()
                .get(&id)
                .map(|s| s.vm.version.clone());
            if let Some(version) = version {
                self.record_answer(node, &version, true, latency);
            }
        }
    }

    fn record_answer(&self, node: &Node, version: &str, failed: bool, latency: Duration) {
        // Answers of different lengths are compared by their time for a token.
        let tokens = self.record.progress.tokens().max(1) as u32;
        node.moves.record(
            &self.completion.model,
            version,
            &self.route_name,
            failed,
            latency / tokens,
            node.clock.now(),
        );
    }

    /// Decides whether to try again after a failed attempt.
    async fn after_failure(
        &mut self,
        node: &Arc<Node>,
        server: &Chosen,
        cause: Cause,
    ) -> Result<(), Refusal> {
        count_retry(node, cause.as_str());
        if cause.blames_version() {
            self.record_answer(node, &server.version, true, Duration::ZERO);
        }
        if cause == Cause::Cut {
            self.look_for_crash(node, server).await;
        }
        if cause != Cause::Leaving {
            let now = node.clock.now();
            node.servers.lock().unwrap().record_failure(&server.id, now);
        }
        if self.stays(node, server, cause).await {
            self.silent.push(server.id.clone());
        } else {
            self.tried.push(server.id.clone());
        }
        let situation = Situation {
            cause,
            repeatable: true,
            attempts: self.attempts,
            deadline: self.record.deadline,
            now: node.clock.now(),
        };
        let decision = node.budget.lock().unwrap().decide(&situation);
        self.check(decision, cause)?;
        if matches!(cause, Cause::Connect | Cause::Busy) {
            tokio::time::sleep(retry::backoff(self.attempts, node.draw())).await;
        }
        Ok(())
    }

    /// Returns whether the next attempt may go to the same server.
    ///
    /// A stream that fell silent at a live server is resumed there once, over
    /// a new connection, because its prompt is cached there.
    async fn stays(&self, node: &Node, server: &Chosen, cause: Cause) -> bool {
        cause == Cause::Silent
            && self.record.progress.tokens() > 0
            && !self.silent.contains(&server.id)
            && backends::is_alive(node, &server.address).await
    }

    fn check(&self, decision: Decision, cause: Cause) -> Result<(), Refusal> {
        let (reason, detail) = match decision {
            Decision::Again => return Ok(()),
            Decision::Deadline => (Reason::Deadline, "the deadline passed during a retry"),
            Decision::Budget => (Reason::RetryBudget, "too many requests fail at the moment"),
            Decision::Attempts | Decision::NotRepeatable => {
                (Reason::BackendFailed, "every attempt failed")
            }
        };
        let detail = format!("{detail}; the last attempt ended as {}", cause.as_str());
        Err(Refusal::new(reason, detail)
            .with_verdict(self.verdict())
            .with_retry_after(Duration::from_secs(1)))
    }

    /// Finds out whether the server went down, and tells the other nodes.
    async fn look_for_crash(&self, node: &Arc<Node>, server: &Chosen) {
        if backends::is_alive(node, &server.address).await || node.is_leaving(&server.id) {
            return;
        }
        let crash = Crash {
            fingerprint: self.fingerprint,
            server: server.id.clone(),
            at: node.clock.now(),
        };
        log::warn!("calls: {} went down while it ran a request", server.id);
        metrics::counter!("cassialock_crashes_total", "node" => node.label()).increment(1);
        node.crashes.lock().unwrap().record(crash.clone());
        members::publish_and_wait(node, Fact::Crash(crash)).await;
        tokio::time::sleep(SUSPECT_PAUSE).await;
    }

    fn count_end(&self, node: &Node) {
        let progress = &self.record.progress;
        metrics::counter!("cassialock_tokens_total", "node" => node.label())
            .increment(progress.tokens());
        metrics::counter!("cassialock_tokens_recomputed_total", "node" => node.label())
            .increment(u64::from(progress.recomputed));
    }
}

/// Answers a caller that waits for the whole answer.
async fn whole(node: &Arc<Node>, mut call: Call) -> Response<Body> {
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
            refuse::respond(node, &stopping(), Some(&call.record.request))
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
async fn stream(node: &Arc<Node>, call: Call, sent: u64) -> Response<Body> {
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
            let mut response = web::events(parts);
            set_request_id(&mut response, &request);
            response
        }
        Ok(Err(refusal)) => refuse::respond(node, &refusal, Some(&request)),
        Err(_) => refuse::respond(node, &stopping(), Some(&request)),
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
            count_retry(node, "drain");
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
