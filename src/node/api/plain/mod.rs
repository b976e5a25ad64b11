//! Handler for calls of plain HTTP services.

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
use crate::core::answer::Class;
use crate::core::config::Service;
use crate::core::config::ServiceKind;
use crate::core::limit::Priority;
use crate::core::moves::detector;
use crate::core::once::Change;
use crate::core::once::Claim;
use crate::core::once::ClaimState;
use crate::core::once::Effect;
use crate::core::once::MAX_STORED_BODY;
use crate::core::once::Outcome;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::core::retry::RetryContext;
use crate::core::route::Request as RouteRequest;
use crate::core::time::Time;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::admission::Demand;
use crate::node::api;
use crate::node::api::headers::RequestHeaders;
use crate::node::api::plain::hedge::Raced;
use crate::node::api::refusals;
use crate::node::backends;
use crate::node::backends::InFlightGuard;
use crate::node::backends::SelectedServer;
use crate::node::backends::Selection;
use crate::node::backends::plain;
use crate::node::backends::plain::BackendResponse;
use crate::node::claims::ClaimStore;
use crate::node::hedging;
use crate::web;
use crate::web::Body;

mod hedge;

/// Cost of one call in admission control, in tokens.
const CALL_COST: u32 = 16;

/// Interval between two checks of a claim that another call holds.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Longest wait for the outcome of a call that holds the claim.
const OUTCOME_WAIT: Duration = Duration::from_secs(5);

/// Age of an unfinished claim after which a resend is told that the outcome is
/// unknown.
const IN_PROGRESS_AGE: Duration = Duration::from_secs(60);

/// Longest wait for one attempt to store a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Response header that marks an outcome stored by an earlier call.
const REPLAYED_HEADER: &str = "cassialock-replayed";

/// A call of a plain service.
struct Call {
    headers: RequestHeaders,
    service_name: Name,
    service: Service,
    route: Name,
    repeatable: bool,
    request: plain::ForwardedCall,
    attempts: usize,
    tried_servers: Vec<Name>,
}

/// Handles a call to `/services/{service}/…`.
pub async fn serve(node: &Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let headers = match RequestHeaders::parse(node, request.headers()) {
        Ok(headers) => headers,
        Err(refusal) => return refusals::respond(node, &refusal, None),
    };
    let id = headers.request.clone();
    let result = match prepare(node, headers, request).await {
        Ok(mut call) if call.repeatable => call.run_repeatable(node).await,
        Ok(mut call) => call.run_at_most_once(node).await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(response) => respond(response, &id),
        Err(refusal) => refusals::respond(node, &refusal, Some(&id)),
    }
}

fn respond(backend_response: BackendResponse, id: &str) -> Response<Body> {
    let mut response = Response::new(web::full(backend_response.body));
    *response.status_mut() = backend_response.status;
    *response.headers_mut() = backend_response.headers;
    if let Ok(id) = id.parse() {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

/// Splits `/services/{service}/rest` into `{service}` and `/rest`.
fn split_path(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/services/")?;
    let end = rest.find('/')?;
    Some(rest.split_at(end))
}

async fn prepare(
    node: &Arc<Node>,
    parsed: RequestHeaders,
    request: Request<Incoming>,
) -> Result<Call, Refusal> {
    if node.is_draining() {
        return Err(api::stopping_refusal());
    }
    let installed = node.config.load();
    let path = request.uri().path().to_string();
    let Some((name, rest)) = split_path(&path) else {
        let detail = "expected a path of the form /services/{service}/{path}";
        return Err(Refusal::new(Reason::UnknownRoute, detail));
    };
    let service = installed.config.services.get_key_value(name);
    let Some((name, service)) = service.filter(|(_, service)| service.kind == ServiceKind::Plain)
    else {
        let detail = format!("no plain service is named {name}");
        return Err(Refusal::new(Reason::UnknownService, detail));
    };
    let method = request.method().clone();
    let Some(route) = service.route(method.as_str(), rest) else {
        let detail = format!("service {name} has no route for {method} {rest}");
        return Err(Refusal::new(Reason::UnknownRoute, detail));
    };
    let target = match request.uri().query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_string(),
    };
    let headers = plain::strip_hop_headers(request.headers());
    let body = api::read_body(request.into_body()).await?;
    node.budget.lock().unwrap().deposit();
    metrics::counter!("cassialock_requests_total", "node" => node.label(), "kind" => "plain")
        .increment(1);
    Ok(Call {
        service_name: name.clone(),
        service: service.clone(),
        route: format!("{} {}", route.method, route.path).into(),
        repeatable: route.repeatable,
        request: plain::ForwardedCall {
            method,
            target,
            headers,
            body,
            id: node.next_id().to_string(),
        },
        attempts: 0,
        tried_servers: Vec::new(),
        headers: parsed,
    })
}

impl Call {
    fn demand(&self) -> Demand {
        Demand {
            service: self.service_name.clone(),
            workspace: self.headers.workspace.clone(),
            work: CALL_COST,
            service_time: Duration::ZERO,
            deadline: self.headers.deadline,
            priority: self.headers.priority.unwrap_or(Priority::Panel),
        }
    }

    fn time_left(&self, now: Time) -> Duration {
        self.headers.deadline.since(now)
    }

    /// Makes one attempt, or returns `None` if no server is available.
    async fn attempt(&mut self, node: &Arc<Node>, new_connection: bool) -> Option<Raced> {
        let request = RouteRequest::default();
        let selection = Selection {
            name: &self.service_name,
            service: &self.service,
            request: &request,
            deprioritized: &self.tried_servers,
            random_number: node.random_u64(),
            suspect: None,
        };
        let server = backends::select(node, &selection)?;
        let _in_flight = InFlightGuard::new(node, &server.id, &[]);
        if self.attempts == 0 {
            hedging::count(node, &self.subject());
        }
        self.attempts += 1;
        let raced = self.race(node, &server, new_connection).await;
        if raced.result.is_ok() {
            let mut servers = node.servers.lock().unwrap();
            servers.record_success(&raced.server.id, raced.latency);
        }
        self.attempts += usize::from(raced.other.is_some());
        self.tried_servers.extend(raced.other.clone());
        Some(raced)
    }

    fn record(&self, node: &Node, attempt: &Raced) {
        let outcome = match &attempt.result {
            Ok(response) => detector::Outcome::of(response.status.as_u16(), attempt.latency),
            Err(cause) if cause.is_version_fault() => detector::Outcome::Failed,
            Err(_) => return,
        };
        node.moves.record(
            &self.service_name,
            &attempt.server.version,
            &self.route,
            outcome,
            node.clock.now(),
        );
    }

    fn no_server_refusal(&self) -> Refusal {
        let detail = format!("service {} has no live backend server", self.service_name);
        Refusal::new(Reason::NoServer, detail).with_retry_after(Duration::from_secs(1))
    }

    /// Records an attempt that failed with `cause` and decides whether to retry.
    fn decide_retry(&mut self, node: &Node, server: &SelectedServer, cause: Cause) -> Decision {
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
        self.tried_servers.push(server.id.clone());
        let context = RetryContext {
            cause,
            repeatable: self.repeatable,
            attempts: self.attempts,
            deadline: self.headers.deadline,
            now,
        };
        node.budget.lock().unwrap().decide(&context)
    }

    /// Runs a call of a repeatable route, with retries on other servers.
    async fn run_repeatable(&mut self, node: &Arc<Node>) -> Result<BackendResponse, Refusal> {
        let demand = self.demand();
        let mut permit = node
            .admission
            .enter(node, &demand, &self.service, &self.headers.limits)
            .await?;
        let mut verdict = Verdict::NotRun;
        let mut new_connection = false;
        loop {
            permit.mark_started();
            let Some(attempt) = self.attempt(node, new_connection).await else {
                return Err(self.no_server_refusal().with_verdict(verdict));
            };
            self.record(node, &attempt);
            let cause = match attempt.result {
                Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => Cause::Busy,
                Ok(response) if Class::of(response.status.as_u16()).is_failure() => Cause::Failed,
                Ok(response) => return Ok(response),
                Err(cause) => cause,
            };
            verdict = verdict.max(attempt.other_verdict).max(cause.verdict());
            new_connection = true;
            match self.decide_retry(node, &attempt.server, cause) {
                Decision::Again => {}
                decision => return Err(failure_refusal(decision, cause, verdict)),
            }
        }
    }

    /// Runs a call of a route that must run at most once.
    async fn run_at_most_once(&mut self, node: &Arc<Node>) -> Result<BackendResponse, Refusal> {
        let Some(key) = &self.headers.key else {
            let detail = "idempotency-key: the header is missing; this route runs at most once, and a resend is recognized only by its key";
            return Err(Refusal::new(Reason::KeyRequired, detail));
        };
        let key: Name = format!("{}/{}/{key}", self.headers.workspace, self.service_name).into();
        let claim = Claim {
            id: node.next_id(),
            body: self.body_hash(),
            at: node.clock.now(),
            state: ClaimState::Claimed,
            key: key.clone(),
        };
        if let Some(outcome) = self.claim(node, &claim).await? {
            return Ok(stored_response(outcome));
        }
        let result = self.run_claimed(node).await;
        store_outcome(node, &claim, &result);
        result
    }

    fn body_hash(&self) -> u64 {
        let mut state = xxhash_rust::xxh3::Xxh3::new();
        for part in [
            self.request.method.as_str().as_bytes(),
            self.request.target.as_bytes(),
            &self.request.body,
        ] {
            state.update(&(part.len() as u64).to_le_bytes());
            state.update(part);
        }
        state.digest()
    }

    /// Claims the key, or returns the outcome of the call that already claimed it.
    async fn claim(&self, node: &Arc<Node>, claim: &Claim) -> Result<Option<Outcome>, Refusal> {
        let until = Instant::now() + OUTCOME_WAIT.min(self.time_left(node.clock.now()));
        loop {
            let change = Change::Claim(claim.clone());
            let wait = CLAIM_TIMEOUT.min(self.time_left(node.clock.now()));
            let applying = node.claims.apply(node, &claim.key, change);
            let effect = tokio::time::timeout(wait, applying).await.ok().flatten();
            match effect {
                Some(Effect::Granted) => return self.check_deadline(node, claim),
                Some(Effect::Held(held)) if held.body != claim.body => {
                    let detail = "idempotency-key: the key was already used for a different call";
                    return Err(Refusal::new(Reason::KeyReused, detail));
                }
                Some(Effect::Held(held)) => match held.state {
                    ClaimState::Done(outcome) => return Ok(Some(outcome)),
                    ClaimState::Claimed if Instant::now() >= until => {
                        return Err(held_refusal(&held, node.clock.now()));
                    }
                    ClaimState::Claimed => tokio::time::sleep(CLAIM_POLL_INTERVAL).await,
                },
                Some(Effect::Full | Effect::Stored) => {
                    let detail = "too many claims are stored at the moment";
                    return Err(Refusal::new(Reason::ClaimUnavailable, detail)
                        .with_retry_after(Duration::from_secs(60)));
                }
                None => {
                    release(node, claim);
                    let detail = "the claim could not be stored, so the call was not sent";
                    return Err(Refusal::new(Reason::ClaimUnavailable, detail)
                        .with_retry_after(Duration::from_secs(2)));
                }
            }
        }
    }

    /// Releases a granted claim if the caller's deadline has already passed.
    fn check_deadline(&self, node: &Arc<Node>, claim: &Claim) -> Result<Option<Outcome>, Refusal> {
        if node.clock.now() < self.headers.deadline {
            return Ok(None);
        }
        release(node, claim);
        Err(Refusal::new(
            Reason::Deadline,
            "the deadline passed before the call was sent",
        ))
    }

    /// Sends a claimed call and retries only if no earlier attempt can have run.
    async fn run_claimed(&mut self, node: &Arc<Node>) -> Result<BackendResponse, Refusal> {
        let demand = self.demand();
        let mut permit = node
            .admission
            .enter(node, &demand, &self.service, &self.headers.limits)
            .await?;
        loop {
            permit.mark_started();
            let Some(attempt) = self.attempt(node, true).await else {
                return Err(self.no_server_refusal());
            };
            self.record(node, &attempt);
            let cause = match attempt.result {
                Ok(response) => return Ok(response),
                // The call may have run before the leaving server went away.
                Err(Cause::Leaving) => Cause::Cut,
                Err(cause) => cause,
            };
            match self.decide_retry(node, &attempt.server, cause) {
                Decision::Again => {}
                decision => return Err(failure_refusal(decision, cause, cause.verdict())),
            }
        }
    }
}

fn held_refusal(held: &Claim, now: Time) -> Refusal {
    let refusal = if now.since(held.at) < IN_PROGRESS_AGE {
        Refusal::new(
            Reason::InProgress,
            "the same call is still running; retry with the same key",
        )
    } else {
        let detail = "the same call was sent before and its outcome was not recorded; check its status with the service";
        Refusal::new(Reason::OutcomeUnknown, detail)
    };
    refusal
        .with_verdict(Verdict::MayHaveRun)
        .with_retry_after(Duration::from_secs(1))
}

fn failure_refusal(decision: Decision, cause: Cause, verdict: Verdict) -> Refusal {
    let reason = match decision {
        Decision::Deadline => Reason::Deadline,
        Decision::Budget => Reason::RetryBudget,
        Decision::Again | Decision::Return | Decision::NotRepeatable | Decision::Attempts => {
            Reason::BackendFailed
        }
    };
    let detail = match verdict {
        Verdict::NotRun => format!(
            "no backend server accepted the call; the last attempt failed with cause {}",
            cause.as_str()
        ),
        Verdict::MayHaveRun => format!(
            "the attempt failed with cause {}; check with the service whether the call ran",
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
    ClaimStore::apply_until_stored(node, &claim.key, change);
}

/// Stores the outcome of a claimed call, or releases its claim if it did not run.
///
/// A server error (5xx) is not stored: the call may have run, so the claim stays
/// as it is and prevents a resend from running it again.
fn store_outcome(node: &Arc<Node>, claim: &Claim, result: &Result<BackendResponse, Refusal>) {
    match result {
        Ok(response) if !Class::of(response.status.as_u16()).is_failure() => {
            let change = Change::Finish {
                key: claim.key.clone(),
                id: claim.id.clone(),
                outcome: outcome_of(response),
            };
            ClaimStore::apply_until_stored(node, &claim.key, change);
        }
        Err(refusal) if refusal.verdict == Verdict::NotRun => release(node, claim),
        Ok(_) | Err(_) => {}
    }
}

fn outcome_of(response: &BackendResponse) -> Outcome {
    let content_type = response
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let body = std::str::from_utf8(&response.body).ok();
    Outcome {
        status: response.status.as_u16(),
        content_type: content_type.to_string(),
        body: body
            .filter(|body| body.len() <= MAX_STORED_BODY)
            .map(Into::into),
    }
}

/// Builds the response from the stored outcome of an earlier call.
fn stored_response(outcome: Outcome) -> BackendResponse {
    let mut headers = http::HeaderMap::new();
    if let Ok(value) = outcome.content_type.parse() {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    BackendResponse {
        status: StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK),
        headers,
        body: outcome.body.unwrap_or_default().into(),
    }
}
