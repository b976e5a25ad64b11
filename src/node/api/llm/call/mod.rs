//! Execution of one completion request, with retries on other servers.

use crate::core::Name;
use crate::core::completion::handover::Plan;
use crate::core::completion::request::Completion;
use crate::core::completion::request::Endpoint;
use crate::core::config::Config;
use crate::core::config::Service;
use crate::core::config::ServiceKind;
use crate::core::config::Workspace;
use crate::core::fingerprint::Fingerprint;
use crate::core::fingerprint::Identity;
use crate::core::moves::detector::Outcome;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::retry::Cause;
use crate::core::route::Request as RouteRequest;
use crate::core::route::prefix;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::admission::Demand;
use crate::node::admission::Permit;
use crate::node::api::llm;
use crate::node::api::llm::call::silence::Relief;
use crate::node::api::sink::TokenSink;
use crate::node::backends;
use crate::node::backends::InFlightGuard;
use crate::node::backends::SelectedServer;
use crate::node::backends::Selection;
use crate::node::backends::engine;
use crate::node::backends::engine::Attempt;
use crate::node::backends::engine::AttemptOutcome;
use crate::node::backends::engine::Handover;
use crate::node::backends::engine::OpenAttempt;
use crate::node::backends::engine::Signals;
use crate::node::backends::engine::Waiter;
use crate::node::peers::StreamRecord;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

mod hedge;
pub mod outcome;
pub mod silence;

/// Interval between two searches for a server while none is available.
const SERVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait of a request that is suspected of crashing servers for a server
/// that runs no other suspect.
const SUSPECT_WAIT: Duration = Duration::from_secs(2);

/// A completion request in progress.
pub struct Call {
    /// State that another node needs to continue the request.
    pub record: StreamRecord,
    /// Parsed completion request.
    pub completion: Completion,
    limits: Workspace,
    fingerprint: Fingerprint,
    /// Request features that the routing policy uses.
    pub route: RouteRequest,
    route_name: Name,
    random_number: u64,
    attempts: usize,
    tried_servers: Vec<Name>,
    silent_servers: Vec<Name>,
    last_failure: Option<FailedAttempt>,
    /// Whether the request may have run in an attempt that was cancelled beside another.
    may_have_run: bool,
    /// Whether the first attempt was waited for, so that it is not hedged again.
    is_hedge_decided: bool,
}

/// Data of a failed attempt that the next one needs.
struct FailedAttempt {
    server: SelectedServer,
    id: Name,
    cause: Cause,
    /// What decides whether its cached blocks are worth importing.
    handover: Handover,
}

/// A request that the draining of the node has interrupted; dropping it cancels its
/// attempt.
pub struct Interrupted {
    permit: Permit,
    attempt: OpenAttempt,
}

/// Result of a call.
pub enum CallOutcome {
    /// The response is complete.
    Finished,
    /// The request was refused.
    Refused(Refusal),
    /// The caller disconnected.
    CallerGone,
    /// The caller resumed the stream over another connection.
    CallerReconnected,
    /// The node is draining.
    Draining(Box<Interrupted>),
}

/// Returns the model service named `model`.
fn find_service<'a>(config: &'a Config, model: &str) -> Result<(&'a Name, &'a Service), Refusal> {
    match config.services.get_key_value(model) {
        Some((name, service)) if service.kind == ServiceKind::Llm => Ok((name, service)),
        _ => Err(Refusal::new(
            Reason::UnknownService,
            format!("model: no model service is named {model}"),
        )),
    }
}

impl Call {
    /// Creates the call for a new request or for a stream to continue.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request's body is not a valid completion request.
    pub fn new(node: &Node, record: StreamRecord, limits: Workspace) -> Result<Self, Refusal> {
        let endpoint = if record.is_chat {
            Endpoint::Chat
        } else {
            Endpoint::Text
        };
        let completion = llm::parse(endpoint, &record.body)?;
        let prompt = format!("{} {}", completion.prompt, completion.partial_answer);
        let identity = Identity {
            workspace: &record.workspace,
            service: &completion.model,
            host: "",
            method: http::Method::POST.as_str(),
            path: endpoint.path(),
            query: None,
            body: &record.body,
        };
        Ok(Self {
            fingerprint: identity.fingerprint(),
            route: RouteRequest {
                block_hashes: prefix::block_hashes(&prompt),
                prompt_tokens: completion.prompt_tokens(),
                answer_tokens: completion.max_tokens,
                session: None,
            },
            route_name: endpoint.path().into(),
            random_number: node.random_u64(),
            attempts: 0,
            tried_servers: Vec::new(),
            silent_servers: Vec::new(),
            last_failure: None,
            may_have_run: false,
            is_hedge_decided: false,
            completion,
            limits,
            record,
        })
    }

    /// Registers the stream and returns the signals that can interrupt it.
    pub fn signals(&self, node: &Node) -> Signals {
        Signals {
            draining: node.draining.subscribe(),
            reconnected: node.streams.register(&self.record.id),
            leaving: node.leave_count.subscribe(),
        }
    }

    fn remaining(&self) -> u64 {
        let limit = u64::from(self.completion.max_tokens);
        limit.saturating_sub(self.record.progress.tokens())
    }

    /// Runs the request, with retries, until it is complete or refused, or is
    /// interrupted.
    pub async fn run(
        &mut self,
        node: &Arc<Node>,
        sink: &mut dyn TokenSink,
        signals: &mut Signals,
    ) -> CallOutcome {
        if self.record.progress.finish_reason.is_some() {
            return CallOutcome::Finished;
        }
        match self.admit(node).await {
            Ok(permit) => self.run_admitted(node, permit, None, sink, signals).await,
            Err(refusal) => CallOutcome::Refused(refusal),
        }
    }

    /// Goes on with a request that the draining of the node has interrupted.
    pub async fn go_on(
        &mut self,
        node: &Arc<Node>,
        interrupted: Interrupted,
        sink: &mut dyn TokenSink,
        signals: &mut Signals,
    ) -> CallOutcome {
        let Interrupted { permit, attempt } = interrupted;
        signals.ignore_draining();
        self.run_admitted(node, permit, Some(attempt), sink, signals)
            .await
    }

    async fn run_admitted(
        &mut self,
        node: &Arc<Node>,
        mut permit: Permit,
        mut open: Option<OpenAttempt>,
        sink: &mut dyn TokenSink,
        signals: &mut Signals,
    ) -> CallOutcome {
        let mut waiter = Waiter::new(node, self.record.deadline, sink, signals);
        loop {
            let attempt = match open.take() {
                Some(attempt) => attempt,
                None => match self.begin(node, &mut permit).await {
                    Ok(attempt) => attempt,
                    Err(refusal) => return CallOutcome::Refused(refusal),
                },
            };
            let hedging = self.hedge(node, attempt, &mut waiter, &mut permit);
            let (mut attempt, mut outcome) = match hedging.await {
                Relief::Open(mut attempt) => {
                    let outcome = waiter.read(&mut attempt, &mut self.record.progress).await;
                    (*attempt, outcome)
                }
                Relief::Ended(attempt, outcome) => (*attempt, outcome),
            };
            if outcome == AttemptOutcome::Silent {
                let relieving = self.relieve(node, attempt, &mut waiter, &mut permit);
                (attempt, outcome) = match relieving.await {
                    Relief::Open(next) => {
                        open = Some(*next);
                        continue;
                    }
                    Relief::Ended(attempt, outcome) => (*attempt, outcome),
                };
            }
            let cause = match outcome {
                AttemptOutcome::Finished => {
                    self.record_success(node, &attempt.server, attempt.started);
                    return CallOutcome::Finished;
                }
                AttemptOutcome::Rejected { status, text } => {
                    let rejected = Outcome::Rejected(status);
                    self.record_attempt(node, &attempt.server.version, rejected);
                    return CallOutcome::Refused(Refusal::new(Reason::Malformed, text));
                }
                AttemptOutcome::CallerGone => return CallOutcome::CallerGone,
                AttemptOutcome::CallerReconnected => return CallOutcome::CallerReconnected,
                AttemptOutcome::Draining => {
                    let interrupted = Interrupted { permit, attempt };
                    return CallOutcome::Draining(Box::new(interrupted));
                }
                AttemptOutcome::Failed(Cause::Leaving) if !self.can_move(node) => {
                    waiter.stay();
                    open = Some(attempt);
                    continue;
                }
                AttemptOutcome::Silent => Cause::Silent,
                AttemptOutcome::Failed(cause) => cause,
            };
            if let Err(refusal) = self.handle_failure(node, attempt, cause).await {
                return CallOutcome::Refused(refusal);
            }
        }
    }

    /// Selects a server and starts an attempt at it.
    async fn begin(
        &mut self,
        node: &Arc<Node>,
        permit: &mut Permit,
    ) -> Result<OpenAttempt, Refusal> {
        self.check_crashes(node)?;
        let server = self.select_server(node).await;
        let server = server.ok_or_else(|| self.no_server_refusal())?;
        // The server counts the request while the cached blocks are imported.
        let in_flight = self.reserve(node, &server, permit);
        if self.record.progress.tokens() > 0 {
            self.record.progress.resumes += 1;
            self.import_cache(node, &server).await;
        }
        let was_silent = |failure: &FailedAttempt| failure.cause == Cause::Silent;
        let new_connection = self.last_failure.as_ref().is_some_and(was_silent);
        self.start(node, &server, in_flight, new_connection)
            .ok_or_else(|| self.no_server_refusal())
    }

    async fn admit(&self, node: &Arc<Node>) -> Result<Permit, Refusal> {
        let installed = node.config.load();
        let (name, service) = find_service(&installed.config, &self.completion.model)?;
        let remaining = self.remaining();
        let token_time = Duration::from_millis(u64::from(service.token_ms));
        // `token_ms` is a target for the 95th percentile; an unloaded server is about
        // twice as fast. The shortest time per token is taken as a quarter of it.
        let service_time = token_time.mul_f64(remaining as f64 / 4.0);
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
        let servers = crashes.crashed_servers(self.fingerprint).join(", ");
        let detail = format!("the servers that ran this request crashed: {servers}");
        Err(Refusal::new(Reason::CrashingRequest, detail).with_verdict(Verdict::MayHaveRun))
    }

    /// Selects a server, waiting until the deadline if none is available.
    ///
    /// A suspect waits at most [`SUSPECT_WAIT`] for a server without another
    /// suspect, and is then treated like any other request.
    async fn select_server(&self, node: &Arc<Node>) -> Option<SelectedServer> {
        let deprioritized = self.deprioritized(node);
        let mut is_suspect = self.is_suspect(node);
        let suspect_until = Instant::now() + SUSPECT_WAIT;
        loop {
            if let Some(server) = self.select(node, &deprioritized, is_suspect).ok()? {
                return Some(server);
            }
            is_suspect &= Instant::now() < suspect_until;
            if node.clock.now() >= self.record.deadline {
                return None;
            }
            tokio::time::sleep(SERVER_POLL_INTERVAL).await;
        }
    }

    /// Returns the servers that were tried or that crashed under the request.
    fn deprioritized(&self, node: &Node) -> Vec<Name> {
        let crashes = node.crashes.lock().unwrap();
        let crashed = crashes.crashed_servers(self.fingerprint);
        self.tried_servers.iter().cloned().chain(crashed).collect()
    }

    /// Selects a server, preferably none of those in `deprioritized`.
    fn select(
        &self,
        node: &Node,
        deprioritized: &[Name],
        is_suspect: bool,
    ) -> Result<Option<SelectedServer>, Refusal> {
        let installed = node.config.load();
        let (name, service) = find_service(&installed.config, &self.completion.model)?;
        let selection = Selection {
            name,
            service,
            request: &self.route,
            deprioritized,
            random_number: self.random_number,
            suspect: is_suspect.then_some(self.fingerprint),
        };
        Ok(backends::select(node, &selection))
    }

    /// Returns whether a server crashed while it ran this request.
    fn is_suspect(&self, node: &Node) -> bool {
        let crashes = node.crashes.lock().unwrap();
        !crashes.crashed_servers(self.fingerprint).is_empty()
    }

    fn no_server_refusal(&self) -> Refusal {
        let detail = format!(
            "service {} has no live backend server",
            self.completion.model
        );
        Refusal::new(Reason::NoServer, detail)
            .with_verdict(self.verdict())
            .with_retry_after(Duration::from_secs(1))
    }

    /// Returns whether the request may have run, in part or as a whole.
    fn verdict(&self) -> Verdict {
        let ran = |failure: &FailedAttempt| failure.cause.verdict() == Verdict::MayHaveRun;
        let has_begun = self.record.progress.tokens() > 0 || self.may_have_run;
        if has_begun || self.last_failure.as_ref().is_some_and(ran) {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    /// Counts the request as in flight at a server.
    fn reserve(
        &self,
        node: &Arc<Node>,
        server: &SelectedServer,
        permit: &mut Permit,
    ) -> InFlightGuard {
        let is_suspect = self.is_suspect(node);
        let in_flight =
            InFlightGuard::new(node, &server.id, &self.route.block_hashes).with_suspect(is_suspect);
        permit.mark_started();
        in_flight
    }

    /// Starts an attempt at a server, or returns `None` if the service is gone.
    fn start(
        &mut self,
        node: &Arc<Node>,
        server: &SelectedServer,
        in_flight: InFlightGuard,
        new_connection: bool,
    ) -> Option<OpenAttempt> {
        let installed = node.config.load();
        let (_, service) = find_service(&installed.config, &self.completion.model).ok()?;
        self.attempts += 1;
        let attempt = Attempt {
            server,
            id: format!("{}-{}", self.record.id, node.next_number()).into(),
            completion: &self.completion,
            service,
            priority: self.record.priority,
            deadline: self.record.deadline,
            new_connection,
        };
        attempt.start(node, &self.record.progress, in_flight).ok()
    }

    /// Imports the cached blocks of the last attempt into `server`, if the leaving
    /// server stays long enough.
    async fn import_cache(&self, node: &Node, server: &SelectedServer) {
        let Some(failure) = &self.last_failure else {
            return;
        };
        if failure.cause != Cause::Leaving || failure.server.id == server.id {
            return;
        }
        let Some(until) = node.reclaim_time(&failure.server.id) else {
            return;
        };
        let time_left = until.since(node.clock.now());
        let plan = failure.handover.plan(time_left);
        if plan != Plan::Resume {
            let from = &failure.server.address;
            let imported = engine::import_blocks(node, from, &failure.id, &server.address).await;
            let result = if imported { "imported" } else { "failed" };
            metrics::counter!("cassialock_imports_total", "node" => node.label(), "result" => result)
                .increment(1);
        }
    }
}
