//! Calls of plain services.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::core::Name;
use crate::core::config::Kind;
use crate::core::config::Service;
use crate::core::limit::Priority;
use crate::core::once::Change;
use crate::core::once::Claim;
use crate::core::once::Effect;
use crate::core::once::MAX_KEPT_BODY;
use crate::core::once::Outcome;
use crate::core::once::State;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::core::retry::Situation;
use crate::core::route::Request as RouteRequest;
use crate::core::time::Time;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::admission::Demand;
use crate::node::backends;
use crate::node::backends::Choice;
use crate::node::backends::Chosen;
use crate::node::backends::Seat;
use crate::node::backends::plain;
use crate::node::backends::plain::Answer;
use crate::node::callers;
use crate::node::callers::head::Head;
use crate::node::callers::refuse;
use crate::node::once::Once;
use crate::web;
use crate::web::Body;

/// Work that one call counts as, in tokens.
const CALL_WORK: u32 = 16;

/// Wait between two looks at a claim that another call holds.
const HELD_STEP: Duration = Duration::from_millis(150);

/// Longest wait for the outcome of a claim that another call holds.
const HELD_WAIT: Duration = Duration::from_secs(5);

/// Age of a claim after which its caller is told that the outcome is unknown.
const HELD_FRESH: Duration = Duration::from_secs(60);

/// Longest wait for a claim.
const CLAIM_WAIT: Duration = Duration::from_secs(3);

/// Header that marks an answer that was kept from an earlier call.
const REPLAYED_HEADER: &str = "cassialock-replayed";

/// One call of a plain service.
struct Call {
    head: Head,
    name: Name,
    service: Service,
    path: Name,
    repeatable: bool,
    passed: plain::Call,
    attempts: usize,
    tried: Vec<Name>,
}

/// Answers a call at `/services/{service}/…`.
pub async fn serve(node: &Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let head = match Head::parse(node, request.headers()) {
        Ok(head) => head,
        Err(refusal) => return refuse::respond(node, &refusal, None),
    };
    let id = head.request.clone();
    let answered = match open(node, head, request).await {
        Ok(mut call) if call.repeatable => call.run_repeatable(node).await,
        Ok(mut call) => call.run_once(node).await,
        Err(refusal) => Err(refusal),
    };
    match answered {
        Ok(answer) => respond(answer, &id),
        Err(refusal) => refuse::respond(node, &refusal, Some(&id)),
    }
}

fn respond(answer: Answer, id: &str) -> Response<Body> {
    let mut response = Response::new(web::full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    if let Ok(id) = id.parse() {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

/// Splits `/services/{service}/rest` into the service and `/rest`.
fn split_path(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/services/")?;
    let end = rest.find('/')?;
    Some(rest.split_at(end))
}

async fn open(node: &Arc<Node>, head: Head, request: Request<Incoming>) -> Result<Call, Refusal> {
    if node.is_draining() {
        return Err(callers::stopping());
    }
    let installed = node.config.load();
    let path = request.uri().path().to_string();
    let Some((name, rest)) = split_path(&path) else {
        let detail = "expected /services/{service}/{path}";
        return Err(Refusal::new(Reason::UnknownRoute, detail));
    };
    let service = installed.config.services.entry(name);
    let Some((name, service)) = service.filter(|(_, service)| service.kind == Kind::Plain) else {
        let detail = format!("no plain service named {name}");
        return Err(Refusal::new(Reason::UnknownService, detail));
    };
    let method = request.method().clone();
    let Some(route) = service.route(method.as_str(), rest) else {
        let detail = format!("{name} has no route for {method} {rest}");
        return Err(Refusal::new(Reason::UnknownRoute, detail));
    };
    let target = match request.uri().query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_string(),
    };
    let headers = plain::strip(request.headers());
    let body = callers::read_body(request.into_body()).await?;
    node.budget.lock().unwrap().earn();
    metrics::counter!("cassialock_requests_total", "node" => node.label(), "kind" => "plain")
        .increment(1);
    Ok(Call {
        name: name.clone(),
        service: service.clone(),
        path: format!("{} {}", route.method, route.path).into(),
        repeatable: route.repeatable,
        passed: plain::Call {
            method,
            target,
            headers,
            body,
            id: node.next_id().to_string(),
        },
        attempts: 0,
        tried: Vec::new(),
        head,
    })
}

/// How one attempt ended, with the server that made it.
struct Tried {
    server: Chosen,
    result: Result<Answer, Cause>,
    latency: Duration,
}

impl Call {
    fn demand(&self) -> Demand {
        Demand {
            service: self.name.clone(),
            workspace: self.head.workspace.clone(),
            work: CALL_WORK,
            service_time: Duration::ZERO,
            deadline: self.head.deadline,
            priority: self.head.priority.unwrap_or(Priority::Panel),
        }
    }

    fn left(&self, now: Time) -> Duration {
        self.head.deadline.since(now)
    }

    /// Makes one attempt, or returns `None` if there is no server.
    async fn attempt(&mut self, node: &Arc<Node>, is_fresh: bool) -> Option<Tried> {
        let request = RouteRequest::default();
        let choice = Choice {
            name: &self.name,
            service: &self.service,
            request: &request,
            avoid: &self.tried,
            draw: node.random_u64(),
            suspect: None,
        };
        let server = backends::choose(node, &choice)?;
        let _seat = Seat::new(node, &server.id, &[]);
        self.attempts += 1;
        let began = Instant::now();
        let timeout = self.left(node.clock.now());
        let result = plain::run(node, &server, &self.passed, is_fresh, timeout).await;
        let result = result.map_err(|cause| backends::known_cause(node, &server.id, cause));
        let latency = began.elapsed();
        if result.is_ok() {
            let mut servers = node.servers.lock().unwrap();
            servers.record_success(&server.id, latency);
        }
        Some(Tried {
            server,
            result,
            latency,
        })
    }

    fn record(&self, node: &Node, tried: &Tried) {
        let failed = match &tried.result {
            Ok(answer) => answer.status.is_server_error(),
            Err(cause) if cause.blames_version() => true,
            Err(_) => return,
        };
        node.moves.record(
            &self.name,
            &tried.server.version,
            &self.path,
            failed,
            tried.latency,
            node.clock.now(),
        );
    }

    fn no_server(&self) -> Refusal {
        let detail = format!("{} has no live backend server", self.name);
        Refusal::new(Reason::NoServer, detail).with_retry_after(Duration::from_secs(1))
    }

    /// Decides whether to try again after an attempt that failed as `cause`.
    fn decide(&mut self, node: &Node, server: &Chosen, cause: Cause) -> Decision {
        metrics::counter!(
            "cassialock_retries_total",
            "node" => node.label(),
            "reason" => cause.as_str()
        )
        .increment(1);
        let now = node.clock.now();
        if cause != Cause::Leaving {
            node.servers.lock().unwrap().record_failure(&server.id, now);
        }
        self.tried.push(server.id.clone());
        let situation = Situation {
            cause,
            repeatable: self.repeatable,
            attempts: self.attempts,
            deadline: self.head.deadline,
            now,
        };
        node.budget.lock().unwrap().decide(&situation)
    }

    /// Answers a call that may be repeated without harm.
    async fn run_repeatable(&mut self, node: &Arc<Node>) -> Result<Answer, Refusal> {
        let demand = self.demand();
        let mut permit = node
            .admission
            .enter(node, &demand, &self.service, &self.head.limits)
            .await?;
        let mut verdict = Verdict::NotRun;
        let mut is_fresh = false;
        loop {
            permit.begin();
            let Some(tried) = self.attempt(node, is_fresh).await else {
                return Err(self.no_server().with_verdict(verdict));
            };
            self.record(node, &tried);
            let cause = match tried.result {
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => Cause::Busy,
                Ok(answer) if answer.status.is_server_error() => Cause::Failed,
                Ok(answer) => return Ok(answer),
                Err(cause) => cause,
            };
            verdict = verdict.max(cause.verdict());
            is_fresh = true;
            match self.decide(node, &tried.server, cause) {
                Decision::Again => {}
                decision => return Err(give_up(decision, cause, verdict)),
            }
        }
    }

    /// Answers a call that must not run twice.
    async fn run_once(&mut self, node: &Arc<Node>) -> Result<Answer, Refusal> {
        let Some(key) = &self.head.key else {
            let detail = "idempotency-key: is missing; this route runs at most once, and a resend can be told only by its key";
            return Err(Refusal::new(Reason::KeyRequired, detail));
        };
        let key: Name = format!("{}/{}/{key}", self.head.workspace, self.name).into();
        let claim = Claim {
            id: node.next_id(),
            body: self.body_hash(),
            at: node.clock.now(),
            state: State::Claimed,
            key: key.clone(),
        };
        if let Some(kept) = self.claim(node, &claim).await? {
            return Ok(replay(kept));
        }
        let answered = self.run_claimed(node).await;
        settle(node, &claim, &answered);
        answered
    }

    fn body_hash(&self) -> u64 {
        let mut state = xxhash_rust::xxh3::Xxh3::new();
        for part in [
            self.passed.method.as_str().as_bytes(),
            self.passed.target.as_bytes(),
            &self.passed.body,
        ] {
            state.update(&(part.len() as u64).to_le_bytes());
            state.update(part);
        }
        state.digest()
    }

    /// Claims the key, or returns the outcome of the call that has it.
    async fn claim(&self, node: &Arc<Node>, claim: &Claim) -> Result<Option<Outcome>, Refusal> {
        let until = Instant::now() + HELD_WAIT.min(self.left(node.clock.now()));
        loop {
            let change = Change::Claim(claim.clone());
            let wait = CLAIM_WAIT.min(self.left(node.clock.now()));
            let changing = node.claims.change(node, &claim.key, change);
            let effect = tokio::time::timeout(wait, changing).await.ok().flatten();
            match effect {
                Some(Effect::Granted) => return self.check_time(node, claim),
                Some(Effect::Held(held)) if held.body != claim.body => {
                    let detail = "idempotency-key: was used before for a different call";
                    return Err(Refusal::new(Reason::KeyReused, detail));
                }
                Some(Effect::Held(held)) => match held.state {
                    State::Done(outcome) => return Ok(Some(outcome)),
                    State::Claimed if Instant::now() >= until => {
                        return Err(held_refusal(&held, node.clock.now()));
                    }
                    State::Claimed => tokio::time::sleep(HELD_STEP).await,
                },
                Some(Effect::Full | Effect::Stored) => {
                    let detail = "too many claims are kept at the moment";
                    return Err(Refusal::new(Reason::ClaimUnavailable, detail)
                        .with_retry_after(Duration::from_secs(60)));
                }
                None => {
                    release(node, claim);
                    let detail = "the claim could not be stored, so nothing was sent";
                    return Err(Refusal::new(Reason::ClaimUnavailable, detail)
                        .with_retry_after(Duration::from_secs(2)));
                }
            }
        }
    }

    /// Gives a claim back that came too late for its caller.
    fn check_time(&self, node: &Arc<Node>, claim: &Claim) -> Result<Option<Outcome>, Refusal> {
        if node.clock.now() < self.head.deadline {
            return Ok(None);
        }
        release(node, claim);
        Err(Refusal::new(
            Reason::Deadline,
            "the deadline passed before the call was sent",
        ))
    }

    /// Sends a claimed call; another attempt is made only if none can have run.
    async fn run_claimed(&mut self, node: &Arc<Node>) -> Result<Answer, Refusal> {
        let demand = self.demand();
        let mut permit = node
            .admission
            .enter(node, &demand, &self.service, &self.head.limits)
            .await?;
        loop {
            permit.begin();
            let Some(tried) = self.attempt(node, true).await else {
                return Err(self.no_server());
            };
            self.record(node, &tried);
            let cause = match tried.result {
                Ok(answer) => return Ok(answer),
                // An end on notice may still come after the call ran.
                Err(Cause::Leaving) => Cause::Cut,
                Err(cause) => cause,
            };
            match self.decide(node, &tried.server, cause) {
                Decision::Again => {}
                decision => return Err(give_up(decision, cause, cause.verdict())),
            }
        }
    }
}

fn held_refusal(held: &Claim, now: Time) -> Refusal {
    let refusal = if now.since(held.at) < HELD_FRESH {
        Refusal::new(
            Reason::InProgress,
            "the same call is still running; ask again with the same key",
        )
    } else {
        let detail = "the same call was sent before and its outcome was not recorded; ask the service for its status";
        Refusal::new(Reason::OutcomeUnknown, detail)
    };
    refusal
        .with_verdict(Verdict::MayHaveRun)
        .with_retry_after(Duration::from_secs(1))
}

fn give_up(decision: Decision, cause: Cause, verdict: Verdict) -> Refusal {
    let reason = match decision {
        Decision::Deadline => Reason::Deadline,
        Decision::Budget => Reason::RetryBudget,
        Decision::Again | Decision::NotRepeatable | Decision::Attempts => Reason::BackendFailed,
    };
    let detail = match verdict {
        Verdict::NotRun => format!(
            "no backend server took the call; the last attempt ended as {}",
            cause.as_str()
        ),
        Verdict::MayHaveRun => format!(
            "the attempt ended as {}; ask the service whether the call ran",
            cause.as_str()
        ),
    };
    Refusal::new(reason, detail)
        .with_verdict(verdict)
        .with_retry_after(Duration::from_secs(1))
}

fn release(node: &Arc<Node>, claim: &Claim) {
    let change = Change::Release {
        key: claim.key.clone(),
        id: claim.id.clone(),
    };
    Once::change_later(node, &claim.key, change);
}

/// Stores what became of a claimed call.
///
/// An answer that says the service failed is not kept: the call may have run,
/// and the claim stays as it is, so that no resend runs it again.
fn settle(node: &Arc<Node>, claim: &Claim, answered: &Result<Answer, Refusal>) {
    match answered {
        Ok(answer) if !answer.status.is_server_error() => {
            let change = Change::Finish {
                key: claim.key.clone(),
                id: claim.id.clone(),
                outcome: outcome_of(answer),
            };
            Once::change_later(node, &claim.key, change);
        }
        Err(refusal) if refusal.verdict == Verdict::NotRun => release(node, claim),
        Ok(_) | Err(_) => {}
    }
}

fn outcome_of(answer: &Answer) -> Outcome {
    let content_type = answer
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let body = std::str::from_utf8(&answer.body).ok();
    Outcome {
        status: answer.status.as_u16(),
        content_type: content_type.to_string(),
        body: body
            .filter(|body| body.len() <= MAX_KEPT_BODY)
            .map(Into::into),
    }
}

/// Returns the answer that was kept of an earlier call.
fn replay(outcome: Outcome) -> Answer {
    let mut headers = http::HeaderMap::new();
    if let Ok(value) = outcome.content_type.parse() {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    Answer {
        status: StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK),
        headers,
        body: outcome.body.unwrap_or_default().into(),
    }
}
