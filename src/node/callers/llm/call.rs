//! The answering of one completion request by as many attempts as it takes.

use crate::core::Name;
use crate::core::call::handover::Plan;
use crate::core::call::request::Completion;
use crate::core::call::request::Shape;
use crate::core::config::Config;
use crate::core::config::Kind;
use crate::core::config::Service;
use crate::core::config::Workspace;
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
use crate::node::callers::llm;
use crate::node::callers::sink::Sink;
use crate::node::members;
use crate::node::peers::StreamRecord;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Wait for a server when there is none at the moment.
const NO_SERVER_WAIT: Duration = Duration::from_millis(50);

/// Longest wait of a request that is suspected to take down servers for one
/// that runs no other such request.
const ALONE_WAIT: Duration = Duration::from_secs(2);

/// Time for the news of other requests that the same crash hit.
const SUSPECT_PAUSE: Duration = Duration::from_millis(60);

/// One request that is being answered.
pub struct Call {
    /// What another node needs to go on with it.
    pub record: StreamRecord,
    /// The request.
    pub completion: Completion,
    limits: Workspace,
    fingerprint: Fingerprint,
    /// What the routing policy knows of it.
    pub route: RouteRequest,
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
pub enum End {
    /// The answer is whole.
    Finished,
    /// The request was refused.
    Refused(Refusal),
    /// The caller has gone.
    CallerGone,
    /// The caller has come back on another connection.
    Released,
    /// The node is stopping.
    Draining,
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
    /// Creates the call for a request that is to be answered or gone on with.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request's body cannot be used.
    pub fn new(node: &Node, record: StreamRecord, limits: Workspace) -> Result<Self, Refusal> {
        let shape = if record.is_chat {
            Shape::Chat
        } else {
            Shape::Text
        };
        let completion = llm::parse(shape, &record.body)?;
        let prompt = format!("{} {}", completion.prompt, completion.continued);
        Ok(Self {
            fingerprint: Fingerprint::new(&record.workspace, &completion.model, &record.body),
            route: RouteRequest {
                blocks: prefix::blocks(&prompt),
                prompt_tokens: completion.prompt_tokens(),
                answer_tokens: completion.max_tokens,
                session: None,
            },
            route_name: shape.path().into(),
            draw: node.random_u64(),
            attempts: 0,
            tried: Vec::new(),
            silent: Vec::new(),
            last: None,
            completion,
            limits,
            record,
        })
    }

    /// Registers the stream and returns what can interrupt it.
    pub fn signals(&self, node: &Node) -> Signals {
        Signals {
            draining: node.draining.subscribe(),
            released: node.streams.register(&self.record.id),
            leaving: node.leave_count.subscribe(),
        }
    }

    fn remaining(&self) -> u64 {
        let limit = u64::from(self.completion.max_tokens);
        limit.saturating_sub(self.record.progress.tokens())
    }

    /// Answers the request with as many attempts as it takes.
    pub async fn run(
        &mut self,
        node: &Arc<Node>,
        sink: &mut dyn Sink,
        signals: &mut Signals,
    ) -> End {
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
        let Some(until) = node.reclaim_time(&last.server.id) else {
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
        llm::count_retry(node, cause.as_str());
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
            tokio::time::sleep(retry::backoff(self.attempts, node.random_u64())).await;
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

    /// Counts the tokens of an answer that has ended.
    pub fn count_end(&self, node: &Node) {
        let progress = &self.record.progress;
        metrics::counter!("cassialock_tokens_total", "node" => node.label())
            .increment(progress.tokens());
        metrics::counter!("cassialock_tokens_recomputed_total", "node" => node.label())
            .increment(u64::from(progress.recomputed));
    }
}
