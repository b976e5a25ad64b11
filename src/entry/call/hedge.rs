//! Hedged requests: another server is asked while the first has not begun to answer.
//!
//! The race between both is that of [`crate::entry::call::silence`]; a hedge differs in when it begins, in
//! what it may use, and in that the attempt that loses is no failure.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::retry::Cause;
use crate::core::retry::hedge;
use crate::core::retry::hedge::Subject;
use crate::core::retry::hedge::decision;
use crate::core::retry::hedge::decision::Inputs;
use crate::core::retry::hedge::decision::Outlook;
use crate::core::retry::hedge::decision::Skipped;
use crate::core::time::Time;
use crate::entry::call::Call;
use crate::entry::call::attempt::Attempt;
use crate::entry::call::attempt::Sent;
use crate::entry::call::attempt::ServerResponse;
use crate::entry::call::silence::Raced;
use crate::entry::call::silence::Relief;
use crate::entry::hedging;
use crate::entry::hedging::Outcome;
use crate::entry::hedging::Running;
use crate::entry::quarantine;
use crate::silence;
use crate::telemetry::events::Event;

/// The hedge of one request.
#[derive(Debug, Default)]
pub struct HedgeState {
    /// Time at which the current first attempt was sent, until its response begins.
    sent: Option<Time>,
    /// Whether the work of the request is counted.
    is_counted: bool,
    /// Whether it was decided to hedge the request, or not to.
    is_decided: bool,
    /// Time since the first attempt before which it is not decided again.
    not_before: Duration,
}

/// How the wait for the beginning of a response ended.
pub enum Waited<T> {
    /// The server has sent something, or failed.
    Begun(T),
    /// The server was silent until the limit, and no other server has the request.
    Silent,
    /// Another server was asked too, with this result.
    Hedged(Relief<T>),
}

impl Call {
    /// Notes that a request is sent to its first server, or again after a failure.
    pub fn begin_wait(&mut self, attempt: &Attempt) {
        if self.hedge_percent() <= 0.0 {
            return;
        }
        self.hedge.sent = Some(attempt.in_flight.sent());
        if !std::mem::replace(&mut self.hedge.is_counted, true) {
            let (hedging, now) = (&self.entry.hedging, self.entry.clock.now());
            hedging.with(|hedges| hedges.count(&self.subject(), now));
        }
    }

    /// Records that the response has begun.
    pub fn record_begun(&mut self) {
        let Some(sent) = self.hedge.sent.take() else {
            return;
        };
        let now = self.entry.clock.now();
        let took = now.since(sent);
        let hedging = &self.entry.hedging;
        hedging.with(|hedges| hedges.record(&self.subject(), took, now));
    }

    /// Waits up to `limit` until the first attempt has begun to answer, and asks another
    /// server when that is late.
    ///
    /// `next` ends when the server sends something or fails; `is_usable` tells which of
    /// both.
    pub async fn wait_or_hedge<T>(
        &mut self,
        first: &mut Attempt,
        mut next: impl Future<Output = T> + Unpin,
        is_usable: impl Fn(&T) -> bool,
        limit: Duration,
    ) -> Waited<T> {
        let until = Instant::now() + limit;
        while let Some(late_at) = self.late_at(first).filter(|late_at| *late_at < until) {
            if let Ok(result) = tokio::time::timeout_at(late_at, &mut next).await {
                return Waited::Begun(result);
            }
            let delay = first.in_flight.age();
            let started = tokio::select! {
                biased;
                result = &mut next => return Waited::Begun(result),
                started = self.start_hedge(first) => started,
            };
            self.hedge.is_decided = !matches!(started, Err(Skipped::NotSooner));
            let was_checked = self.hedge.not_before > Duration::ZERO;
            self.hedge.not_before = hedge::next_check(delay);
            match started {
                Ok(sent) => {
                    let event = Event::for_request("hedge_ended", &self.request.id)
                        .with("route", &*self.route.name)
                        .with("backend", &*first.server.id)
                        .with("second", &*sent.attempt.server.id);
                    let running = Running::new(&self.entry, event, delay);
                    let racing = self.race_hedge(first, &mut next, &is_usable, *sent, until);
                    if let Some(relief) = racing.await.end(running) {
                        return Waited::Hedged(relief);
                    }
                }
                Err(Skipped::NotSooner) if was_checked => {}
                Err(reason) => hedging::record_skipped(&self.entry, &self.service, reason),
            }
        }
        match tokio::time::timeout_at(until, next).await {
            Ok(result) => Waited::Begun(result),
            Err(_) => Waited::Silent,
        }
    }

    /// Races the second attempt against the first one, which is suspected if it is still
    /// silent at `until`.
    async fn race_hedge<T>(
        &mut self,
        first: &mut Attempt,
        mut next: impl Future<Output = T> + Unpin,
        is_usable: impl Fn(&T) -> bool,
        mut sent: Sent,
        until: Instant,
    ) -> Ended<T> {
        self.count_attempt(first);
        self.count_attempt(&mut sent.attempt);
        let is_stream = self.route.kind.is_stream();
        let mut end = if is_stream {
            Instant::now() + silence::MAX_OVERLAP
        } else {
            until
        };
        loop {
            let raced = self
                .race_with(&mut next, &is_usable, sent, end, Call::check_hedge)
                .await;
            sent = match raced {
                Raced::Resumed(result, loser) => {
                    self.end_second(*loser, first);
                    return Ended(Outcome::Lost, Some(Relief::Resumed(result)));
                }
                Raced::Failed(result, sent) => {
                    return Ended(Outcome::FirstFailed, Some(Relief::Failed(result, sent)));
                }
                Raced::Replaced(response) => {
                    return Ended(Outcome::Won, Some(Relief::Replaced(response)));
                }
                Raced::OtherFailed => {
                    self.prefer(first);
                    return Ended(Outcome::Failed, None);
                }
                Raced::Pending(sent) if is_stream => {
                    let outlooks = (self.outlook(first), self.outlook(&sent.attempt));
                    if decision::is_sooner(&outlooks.0, &outlooks.1) {
                        return Ended(Outcome::Moved, Some(Relief::Moved(sent)));
                    }
                    self.end_second(sent.attempt, first);
                    return Ended(Outcome::CancelledLate, None);
                }
                Raced::Pending(sent) if self.time_left().is_zero() => {
                    self.fail(sent.attempt, Cause::Silent);
                    return Ended(Outcome::Deadline, Some(Relief::Expired));
                }
                Raced::Pending(sent) => *sent,
            };
            first.suspect();
            end = Instant::now() + self.time_left();
        }
    }

    /// Ends the second attempt because the first one goes on.
    fn end_second(&mut self, second: Attempt, first: &Attempt) {
        self.fail(second, Cause::Hedged);
        self.prefer(first);
    }

    /// Notes that the request is at the first server again.
    fn prefer(&mut self, first: &Attempt) {
        let id = first.server.id.clone();
        self.tried.retain(|tried| *tried != id);
        self.tried.push(id);
    }

    /// Checks that the response to a hedge can be forwarded in place of the first one.
    fn check_hedge(&mut self, response: ServerResponse) -> Result<ServerResponse, Cause> {
        if self.route.kind.is_stream() {
            self.check_successor(response)
        } else if response.class().is_failure() {
            Err(self.fail(response.attempt, Cause::Failed))
        } else {
            Ok(response)
        }
    }

    /// Returns the time from which the response is late, if the request may be hedged.
    fn late_at(&self, first: &Attempt) -> Option<Instant> {
        let may_hedge = self.hedge_percent() > 0.0
            && self.hedge.sent.is_some()
            && !self.hedge.is_decided
            && !self.outcome.has_answer()
            && self.route.kind.is_repeatable();
        if !may_hedge {
            return None;
        }
        let now = self.entry.clock.now();
        let hedging = &self.entry.hedging;
        let delay = hedging.with(|hedges| hedges.delay(&self.subject(), now))?;
        let delay = delay.max(self.hedge.not_before);
        Some(Instant::now() + delay.saturating_sub(first.in_flight.age()))
    }

    /// Sends the request to another server, or returns the reason why not.
    async fn start_hedge(&mut self, first: &Attempt) -> Result<Box<Sent>, Skipped> {
        let now = self.entry.clock.now();
        decision::decide(&self.inputs(first, now), now)?;
        quarantine::check(&self.entry, &self.features).map_err(|_| Skipped::Suspected)?;
        let (session, random) = (self.request.session_key(), self.entry.random_u64());
        let backends = &self.entry.backends;
        let server = backends
            .choose_hedge(&first.server, &self.tried, session, random, now)
            .ok_or(Skipped::NoServer)?;
        let second = Outlook {
            elapsed: Duration::ZERO,
            forecast: server.forecast,
            remaining: self.remaining(Duration::ZERO),
        };
        if !decision::is_sooner(&self.outlook(first), &second) {
            return Err(Skipped::NotSooner);
        }
        let sent = self.start(server).await;
        let sent = sent.map_err(|_| Skipped::Unreachable)?;
        // Nothing is sent before the exchange is polled, so an attempt that cannot be
        // paid for reaches no server.
        let percent = self.hedge_percent();
        let paid = if !self.entry.limits.spend_hedge(&self.service) {
            Err(Skipped::RetryBudget)
        } else {
            let now = self.entry.clock.now();
            let hedging = &self.entry.hedging;
            let is_counted = hedging.with(|hedges| hedges.spend(&self.subject(), percent, now));
            is_counted.then_some(()).ok_or(Skipped::WorkLimit)
        };
        match paid {
            Ok(()) => Ok(Box::new(sent)),
            Err(reason) => {
                sent.attempt.discard();
                self.tried.pop();
                Err(reason)
            }
        }
    }

    /// Collects the inputs of the decision.
    fn inputs(&self, first: &Attempt, now: Time) -> Inputs {
        let mut attempts = self.attempts;
        if !first.is_counted {
            attempts.record(Cause::Silent);
        }
        let entry = &self.entry;
        let in_flight = entry.service_load.in_flight(&self.service);
        let slots = entry.backends.total_slots(&self.service);
        let percent = self.hedge_percent();
        let workspace = self.workspace.as_ref();
        let trial = entry.moves.trial_version(&self.service, now);
        Inputs {
            is_repeatable: self.route.kind.is_repeatable(),
            attempts,
            servers: self.tried.len(),
            max_attempts: self.route.max_attempts,
            deadline: self.deadline(),
            has_retry: entry.limits.has_hedge(&self.service),
            is_suspected: quarantine::is_suspected(entry, &self.features),
            is_over_quota: workspace.is_some_and(|row| entry.limits.is_used_up(&row.name, now)),
            utilization: in_flight / slots.max(1.0),
            fits_limit: entry
                .hedging
                .with(|hedges| hedges.fits(&self.subject(), percent, now)),
            is_trial: trial.is_some_and(|version| version == first.server.server.version),
        }
    }

    fn outlook(&self, attempt: &Attempt) -> Outlook {
        let elapsed = attempt.in_flight.age();
        Outlook {
            elapsed,
            forecast: attempt.server.forecast,
            remaining: self.remaining(elapsed),
        }
    }

    fn remaining(&self, elapsed: Duration) -> Option<Duration> {
        let hedging = &self.entry.hedging;
        hedging.with(|hedges| hedges.remaining(&self.subject(), elapsed))
    }

    fn subject(&self) -> Subject<'_> {
        Subject {
            service: &self.service,
            route: &self.route.name,
            tokens: self.request.tokens,
        }
    }

    fn hedge_percent(&self) -> f64 {
        self.entry.settings.load().features.hedge_percent
    }
}

/// How a hedge ended, and what became of the request; `None` if the first attempt goes on
/// alone.
struct Ended<T>(Outcome, Option<Relief<T>>);

impl<T> Ended<T> {
    fn end(self, running: Running) -> Option<Relief<T>> {
        running.end(self.0);
        self.1
    }
}
