//! Proxies one request of a caller to backend servers, with retries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::core::Name;
use crate::core::catalog::Route;
use crate::core::catalog::RouteKind;
use crate::core::catalog::Workspace;
use crate::core::fingerprint::Fingerprint;
use crate::core::limit::scarcity::Level;
use crate::core::quarantine::features::Features;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::request::RequestInfo;
use crate::core::retry::AttemptCounts;
use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::core::route::placement::Prompt;
use crate::core::time::Time;
use crate::core::verdict::Verdict;
use crate::entry::Entry;
use crate::entry::admission;
use crate::entry::backends::ChosenBackend;
use crate::entry::backends::Criteria;
use crate::entry::backends::Unavailable;
use crate::entry::backends::cold;
use crate::entry::call::attempt::Scope;
use crate::entry::call::deadlines::Deadlines;
use crate::entry::call::hedge::HedgeState;
use crate::entry::call::outcome::Outcome;
use crate::entry::call::outcome::Stage;
use crate::entry::call::prepare::prepare;
use crate::entry::evacuations;
use crate::entry::moves::Moves;
use crate::entry::moves::VersionChoice;
use crate::entry::probes;
use crate::entry::quarantine;
use crate::telemetry::events::Event;
use crate::web;
use crate::web::Body;

pub mod attempt;
pub mod deadlines;
mod delivery;
pub mod forward;
pub mod hedge;
pub mod memory;
pub mod outcome;
pub mod prepare;
pub mod receive;
pub mod resend;
pub mod silence;
pub mod successor;
mod upstream;

/// Shortest retry delay that is given to a caller when the node refuses its request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Upper bound of the random delay added, so that callers do not all retry at once.
const RETRY_JITTER: Duration = Duration::from_millis(350);

/// Time for which the body of a refused request is still read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest pause in the body of a refused request.
const DISCARD_GAP: Duration = Duration::from_millis(500);

/// Bits of a request's random number that choose its version; others choose the server.
const TRIAL_DRAW_BITS: u32 = 32;

/// Maximum number of prompt parts in an event.
const MAX_LOGGED_PARTS: usize = 8;

/// A request of a caller and the state of its attempts.
pub struct Call {
    pub(super) entry: Arc<Entry>,
    pub(super) request: RequestInfo,
    pub(super) route: Route,
    pub(super) service: Name,
    pub(super) workspace: Option<Workspace>,
    method: Method,
    target: String,
    headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) arrived: Time,
    pub(super) deadlines: Deadlines,
    pub(super) draw: u64,
    /// Level of the service when the request asked for admission.
    pub(super) level: Level,
    attempts: AttemptCounts,
    tried: Vec<Name>,
    /// Number that resends of the request share.
    pub(super) fingerprint: Fingerprint,
    features: Features,
    usage_counted: bool,
    /// Id of the last stream event that the caller has received.
    last_event: Option<Name>,
    hedge: HedgeState,
    outcome: Outcome,
}

/// Handles one request of a caller and returns the response.
pub async fn handle(entry: &Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let arrived = entry.clock.now();
    let (head, body) = request.into_parts();
    let request = match entry.adapter.dialect.read_request(&head) {
        Ok(request) => request,
        Err(refusal) => {
            discard(entry, body);
            return refuse(entry, None, &refusal, arrived);
        }
    };
    let id = request.id.clone();
    let mut outcome = Outcome::new(entry, id.clone(), arrived, Stage::Body);
    let mut body = Some(body);
    let prepared = prepare(entry, request, head, &mut body, arrived).await;
    outcome.settle();
    match prepared {
        Ok(call) => call.run().await,
        Err(refusal) => {
            if let Some(body) = body {
                discard(entry, body);
            }
            refuse(entry, Some(&id), &refusal, arrived)
        }
    }
}

/// Reads the rest of the body of a refused request in the background.
///
/// Closing a connection that has unread bytes resets it, which can destroy the
/// refusal before the caller reads it.
fn discard(entry: &Entry, body: Incoming) {
    let limits = entry.catalog.load().map(|catalog| catalog.limits);
    let limit = limits.unwrap_or_default().body_bytes;
    tokio::spawn(async move {
        let discarding = web::discard(body, limit, DISCARD_GAP);
        // The connection of a body that does not end in time is closed.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
    });
}

/// Counts and logs a refused request, and returns the response to it.
fn refuse(entry: &Entry, id: Option<&str>, refusal: &Refusal, arrived: Time) -> Response<Body> {
    metrics::counter!(
        "cassialock_refusals_total",
        "reason" => refusal.reason.as_str(),
        "verdict" => refusal.verdict.as_str(),
    )
    .increment(1);
    let event = Event::for_request("refused", id.unwrap_or_default())
        .with("reason", refusal.reason.as_str())
        .with("verdict", refusal.verdict.as_str())
        .with("detail", &*refusal.detail)
        .with("catalog_version", entry.catalog.version())
        .with_ms("after_ms", entry.clock.now().since(arrived));
    let event = match entry.catalog.age(entry.clock.now()) {
        Some(age) => event.with_ms("catalog_age_ms", age),
        None => event,
    };
    let event = match &refusal.inputs {
        Some(inputs) => event.with("inputs", &**inputs),
        None => event,
    };
    let event = match refusal.retry_after {
        Some(wait) => event.with_ms("retry_after_ms", wait),
        None => event,
    };
    entry.events.write(event);
    entry.adapter.dialect.refuse(refusal)
}

/// Returns the shared prompt parts of a request, as they are logged.
fn format_parts(request: &RequestInfo) -> String {
    let shared = request.shared_parts().iter().take(MAX_LOGGED_PARTS);
    let ids: Vec<String> = shared.map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

/// Returns the delay after which a caller may retry, with random jitter.
fn retry_delay(entry: &Entry) -> Duration {
    MIN_RETRY_AFTER + entry.jitter(RETRY_JITTER)
}

impl Call {
    /// Attempts the request until a response begins or no further attempt is allowed.
    async fn run(mut self) -> Response<Body> {
        if let Err(refusal) = admission::enter(&mut self).await {
            return self.give_up(refusal);
        }
        loop {
            if let Err(refusal) = self.check_stop() {
                return self.give_up(refusal);
            }
            let cause = match self.attempt().await {
                Ok(response) => match self.forward(response).await {
                    Ok(response) => return response,
                    Err((cause, call)) => {
                        self = *call;
                        cause
                    }
                },
                Err(AttemptError::Failed(cause)) => cause,
                Err(AttemptError::Unavailable(reason)) => {
                    let refusal = unavailable(&self, reason);
                    return self.give_up(refusal);
                }
            };
            if let Err(refusal) = self.handle_failure(cause) {
                return self.give_up(refusal);
            }
        }
    }

    /// Refuses a request that cannot be answered before the entry stops.
    ///
    /// One that may not run twice must be able to take all of its time, since it cannot be
    /// repeated if it is cut.
    fn check_stop(&self) -> Result<(), Refusal> {
        let Some(left) = self.entry.time_to_stop() else {
            return Ok(());
        };
        let needed = if self.route.kind.is_repeatable() {
            self.route.target_latency.min(self.time_left())
        } else {
            self.time_left()
        };
        if needed <= left {
            return Ok(());
        }
        let detail = "the node stops before the request can be answered";
        let inputs = format!(
            "needs {} ms, stops in {} ms",
            needed.as_millis(),
            left.as_millis()
        );
        let refusal = Refusal::new(Reason::Stopping, detail)
            .with_verdict(self.attempts.verdict())
            .with_inputs(inputs);
        Err(match refusal.verdict {
            Verdict::NotRun => refusal.with_retry_after(retry_delay(&self.entry)),
            Verdict::MayHaveRun => refusal,
        })
    }

    /// Returns the priority of the request; that of the workspace overrides the route's.
    pub(super) fn priority(&self) -> u8 {
        let assigned = self.workspace.as_ref().and_then(|w| w.priority);
        assigned.unwrap_or(self.route.priority)
    }

    /// Chooses a server, preferring those that were not tried yet.
    fn choose(&self, scope: Scope) -> Result<ChosenBackend, Unavailable> {
        match scope {
            Scope::All => self.choose_except(&self.tried, true),
            Scope::Untried => self.choose_except(&self.tried, false),
            Scope::Tried => {
                let others = self.entry.backends.others(&self.service, &self.tried);
                let last = self.tried.last().cloned();
                let avoid: Vec<Name> = others.iter().cloned().chain(last).collect();
                let chosen = self.choose_except(&avoid, false);
                chosen.or_else(|_| self.choose_except(&others, false))
            }
        }
    }

    fn choose_except(
        &self,
        avoid: &[Name],
        has_fallback: bool,
    ) -> Result<ChosenBackend, Unavailable> {
        let now = self.entry.clock.now();
        let preferred = self.prefer_version(now);
        let criteria = self.criteria(&preferred, avoid, has_fallback);
        let chosen = self.entry.backends.choose(&criteria, now);
        let fallback = preferred.fallback.as_deref();
        match (chosen, fallback) {
            // The servers on trial accept nothing for now, but the others do.
            (Err(Unavailable::Limited(opening)), Some(version)) => {
                let criteria = Criteria {
                    version: Some(version),
                    session: self.request.session_key(),
                    prompt: Some(self.prompt()),
                    ..criteria
                };
                let other = self.entry.backends.choose(&criteria, now);
                other.map_err(|_| Unavailable::Limited(opening))
            }
            (chosen, _) => chosen,
        }
    }

    /// Asks candidates for the request for their load, if that is worth the time.
    async fn refresh_load(&self) {
        let preferred = self.prefer_version(self.entry.clock.now());
        let criteria = self.criteria(&preferred, &self.tried, true);
        probes::refresh(&self.entry, &criteria).await;
    }

    fn prefer_version(&self, now: Time) -> VersionChoice {
        let versions = || self.entry.backends.versions(&self.service);
        Moves::choose_version(&self.entry, &self.service, versions, self.draw, now)
    }

    /// Returns the criteria by which a server is chosen.
    fn criteria<'a>(
        &'a self,
        preferred: &'a VersionChoice,
        avoid: &'a [Name],
        has_fallback: bool,
    ) -> Criteria<'a> {
        // The sessions of a trial are spread over a limited number of servers.
        let is_spread = preferred.trial_sessions.is_none();
        Criteria {
            service: &self.service,
            version: preferred.version.as_deref(),
            session: match preferred.trial_sessions {
                Some(count) => Some((self.draw >> TRIAL_DRAW_BITS) % count),
                None => self.request.session_key(),
            },
            avoid,
            has_fallback,
            random: self.entry.random_u64(),
            prompt: is_spread.then(|| self.prompt()),
        }
    }

    /// Returns what the placement by predicted time depends on.
    fn prompt(&self) -> Prompt<'_> {
        Prompt::new(
            &self.request,
            self.draw.rotate_left(self.tried.len() as u32),
        )
    }

    /// Decides whether to retry after a failed attempt.
    ///
    /// Returns the refusal to send if the request is not retried.
    fn handle_failure(&mut self, cause: Cause) -> Result<(), Refusal> {
        let now = self.entry.clock.now();
        let repeatable = self.route.kind.is_repeatable();
        let allowed = self.route.max_attempts;
        let decision = self
            .attempts
            .decide(allowed, repeatable, self.deadline(), now);
        self.apply(decision, cause)
    }

    /// Pays for a retry after a failed attempt, if that was decided.
    ///
    /// Returns the refusal to send if the request is not retried.
    fn apply(&mut self, mut decision: Decision, cause: Cause) -> Result<(), Refusal> {
        metrics::counter!("cassialock_retries_total", "reason" => cause.as_str()).increment(1);
        let now = self.entry.clock.now();
        let is_retry = matches!(decision, Decision::Again | Decision::Return);
        // An attempt that reached no server adds no load, so its retry is free.
        let is_exempt = cause.is_unsent() || !is_retry;
        if !is_exempt && !self.entry.limits.spend_retry(&self.service) {
            decision = Decision::Budget;
        }
        self.entry.events.write(
            Event::for_request("attempt_failed", &self.request.id)
                .with("route", &*self.route.name)
                .with("backend", self.tried.last().map_or("", |id| &**id))
                .with("cause", cause.as_str())
                .with("prompt_parts", format_parts(&self.request))
                .with("runs", self.attempts.runs)
                .with("sends", self.attempts.sends)
                .with("decision", format!("{decision:?}"))
                .with_ms("after_ms", now.since(self.arrived)),
        );
        let verdict = self.attempts.verdict();
        let (reason, detail) = match decision {
            Decision::Again | Decision::Return => return self.check_again(verdict),
            Decision::Deadline => (Reason::Deadline, "no response arrived before the deadline"),
            Decision::Budget => (
                Reason::RetryBudget,
                "the retry budget of the service is exhausted",
            ),
            Decision::Attempts | Decision::NotRepeatable => (
                Reason::BackendFailed,
                "no backend server returned a usable response",
            ),
        };
        let refusal = Refusal::new(reason, detail)
            .with_verdict(verdict)
            .with_inputs(self.deadlines.to_string());
        Err(match verdict {
            Verdict::NotRun => refusal.with_retry_after(retry_delay(&self.entry)),
            Verdict::MayHaveRun => refusal,
        })
    }

    /// Checks before a retry that the request is not blocked meanwhile.
    fn check_again(&self, verdict: Verdict) -> Result<(), Refusal> {
        quarantine::check(&self.entry, &self.features).map_err(|refusal| match verdict {
            Verdict::NotRun => refusal,
            Verdict::MayHaveRun => Refusal {
                retry_after: None,
                ..refusal.with_verdict(verdict)
            },
        })
    }

    fn give_up(mut self, refusal: Refusal) -> Response<Body> {
        self.outcome.settle();
        refuse(&self.entry, Some(&self.request.id), &refusal, self.arrived)
    }

    /// Returns the time until which the request waits for what comes next.
    fn deadline(&self) -> Time {
        if self.outcome.has_answer() {
            self.deadlines.end
        } else {
            self.deadlines.refusal
        }
    }

    /// Returns the time until the deadline.
    fn time_left(&self) -> Duration {
        self.deadline().since(self.entry.clock.now())
    }

    /// Counts the request as usage of its workspace, once.
    fn count_run(&mut self) {
        if std::mem::replace(&mut self.usage_counted, true) {
            return;
        }
        if let Some(workspace) = &self.workspace {
            let time = self.entry.cluster_time();
            self.entry.usage.record(&workspace.name, time);
        }
    }

    /// Returns whether the response is an event stream that can be resumed.
    fn is_resumable(&self) -> bool {
        self.route.kind == RouteKind::Resumable
    }
}

/// The reason why an attempt returned no response to forward.
pub enum AttemptError {
    /// There is no server to try.
    Unavailable(Unavailable),
    /// The attempt failed.
    Failed(Cause),
}

/// Returns the refusal of a request for which no server can be chosen.
fn unavailable(call: &Call, reason: Unavailable) -> Refusal {
    let service = &call.service;
    let refusal = match reason {
        Unavailable::NoServer => {
            let detail = format!("service {service} has no live backend server");
            let refusal =
                Refusal::new(Reason::NoServer, detail).with_retry_after(retry_delay(&call.entry));
            match evacuations::summary(&call.entry) {
                Some(summary) => refusal.with_inputs(summary),
                None => refusal,
            }
        }
        Unavailable::Limited(opening) => {
            if opening.cold.is_some() {
                cold::count_refused(service);
            }
            let detail = format!("the servers of {service} accept no more requests for now");
            Refusal::new(Reason::Overloaded, detail)
                .with_inputs(opening.to_string())
                .with_retry_after(opening.wait + call.entry.jitter(RETRY_JITTER))
        }
    };
    refusal.with_verdict(call.attempts.verdict())
}
