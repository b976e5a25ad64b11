//! Silent servers: another one is looked for while the silent one may still go on.
//!
//! A sound server may pause, so silence alone never ends an answer. The silent server
//! keeps the request until another one has begun to answer it.

use std::future::Future;
use std::future::pending;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::entry::call::Call;
use crate::entry::call::attempt::Attempt;
use crate::entry::call::attempt::Scope;
use crate::entry::call::attempt::Sent;
use crate::entry::call::attempt::ServerResponse;
use crate::entry::quarantine;
use crate::silence;
use crate::telemetry::events::Event;

/// Interval at which another server is looked for again.
pub const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// How the silence of a server ended.
pub enum Relief<T> {
    /// The server sent something, or failed while no other server had the request.
    Resumed(T),
    /// The server failed with this result while another one, which has not begun to
    /// answer yet, had the request too.
    Failed(T, Box<Sent>),
    /// Another server has begun to answer.
    Replaced(Box<ServerResponse>),
    /// The request was sent to another server, which has not begun to answer yet and
    /// may not work beside the silent one any longer.
    Moved(Box<Sent>),
    /// The deadline has passed.
    Expired,
}

impl<T> Relief<T> {
    /// Returns the label used in events and metrics.
    const fn as_str(&self) -> &'static str {
        match self {
            Relief::Resumed(_) => "resumed",
            Relief::Failed(..) => "failed",
            Relief::Replaced(_) => "replaced",
            Relief::Moved(_) => "moved",
            Relief::Expired => "deadline",
        }
    }
}

/// How a race between two servers that have the same request ended.
pub(super) enum Raced<T> {
    /// The first server sent something; holds the other attempt.
    Resumed(T, Box<Attempt>),
    /// The first server failed with this result before the other one began to answer.
    Failed(T, Box<Sent>),
    /// The other server has begun to answer.
    Replaced(Box<ServerResponse>),
    /// Neither server has begun to answer in time.
    Pending(Box<Sent>),
    /// The other server failed, which is recorded.
    OtherFailed,
}

impl Call {
    /// Waits for a silent server to go on, and for another server meanwhile if
    /// `can_move`.
    ///
    /// `next` ends when the silent server sends something or fails; `is_usable` tells
    /// which of both.
    pub async fn relieve<T>(
        &mut self,
        silent: &mut Attempt,
        next: impl Future<Output = T> + Unpin,
        is_usable: impl Fn(&T) -> bool,
        can_move: bool,
    ) -> Relief<T> {
        let began = self.entry.clock.now();
        silent.suspect();
        self.count_attempt(silent);
        let decision = self.next_decision();
        self.entry.events.write(
            Event::for_request("server_silent", &self.request.id)
                .with("route", &*self.route.name)
                .with("backend", &*silent.server.id)
                .with("can_move", can_move)
                .with("decision", format!("{decision:?}"))
                .with("has_budget", self.entry.limits.has_retry(&self.service))
                .with_ms("left_ms", self.time_left())
                .with_ms("after_ms", began.since(self.arrived)),
        );
        let left = self.time_left();
        let racing = self.race(next, is_usable, can_move);
        let relief = tokio::time::timeout(left, racing).await;
        let relief = relief.unwrap_or(Relief::Expired);
        metrics::counter!("cassialock_silences_total", "outcome" => relief.as_str()).increment(1);
        self.entry.events.write(
            Event::for_request("silence_ended", &self.request.id)
                .with("backend", &*silent.server.id)
                .with("outcome", relief.as_str())
                .with("runs", self.attempts.runs)
                .with("sends", self.attempts.sends)
                .with_ms("waited_ms", self.entry.clock.now().since(began)),
        );
        relief
    }

    /// Waits until the silent server or another one has a usable result.
    ///
    /// A server that fails leaves the request to the other one.
    async fn race<T>(
        &mut self,
        mut next: impl Future<Output = T> + Unpin,
        is_usable: impl Fn(&T) -> bool,
        can_move: bool,
    ) -> Relief<T> {
        loop {
            let mut sent = tokio::select! {
                biased;
                result = &mut next => return Relief::Resumed(result),
                sent = self.find_other(can_move) => sent,
            };
            self.count_attempt(&mut sent.attempt);
            let overlap = if self.route.kind.is_stream() {
                silence::MAX_OVERLAP
            } else {
                self.time_left()
            };
            let until = Instant::now() + overlap;
            let check = Call::check_successor;
            match self
                .race_with(&mut next, &is_usable, sent, until, check)
                .await
            {
                Raced::Resumed(result, _) => return Relief::Resumed(result),
                Raced::Failed(result, sent) => return Relief::Failed(result, sent),
                Raced::Replaced(response) => return Relief::Replaced(response),
                Raced::Pending(sent) => return Relief::Moved(sent),
                Raced::OtherFailed => {}
            }
        }
    }

    /// Waits until `until` for a usable result of the first server or of the one of
    /// `sent`, whose response is accepted by `check`.
    pub(super) async fn race_with<T>(
        &mut self,
        mut next: impl Future<Output = T> + Unpin,
        is_usable: impl Fn(&T) -> bool,
        mut sent: Sent,
        until: Instant,
        check: impl Fn(&mut Call, ServerResponse) -> Result<ServerResponse, Cause>,
    ) -> Raced<T> {
        let head = tokio::select! {
            biased;
            result = &mut next => return if is_usable(&result) {
                Raced::Resumed(result, Box::new(sent.attempt))
            } else {
                Raced::Failed(result, Box::new(sent))
            },
            head = &mut sent.head => head,
            () = tokio::time::sleep_until(until) => return Raced::Pending(Box::new(sent)),
        };
        // Causes of failure are recorded where they are found.
        let received = self.receive(sent.attempt, head);
        let checked = received.and_then(|response| check(self, response));
        let Ok(mut response) = checked else {
            return Raced::OtherFailed;
        };
        if !self.route.kind.is_stream() {
            return Raced::Replaced(Box::new(response));
        }
        tokio::select! {
            biased;
            result = &mut next => if is_usable(&result) {
                Raced::Resumed(result, Box::new(response.attempt))
            } else {
                Raced::Replaced(Box::new(response))
            },
            begun = response.begin() => match begun {
                Ok(()) => Raced::Replaced(Box::new(response)),
                Err(cause) => {
                    self.fail(response.attempt, cause);
                    Raced::OtherFailed
                }
            },
            () = tokio::time::sleep_until(until) => Raced::Replaced(Box::new(response)),
        }
    }

    /// Sends the request to a server that was not tried, as soon as that is allowed.
    async fn find_other(&mut self, can_move: bool) -> Sent {
        loop {
            if !can_move || self.next_decision() != Decision::Again {
                return pending().await;
            }
            if let Some(sent) = self.start_other().await {
                return sent;
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Returns whether another attempt is allowed, apart from the retry budget.
    fn next_decision(&self) -> Decision {
        let now = self.entry.clock.now();
        let repeatable = self.route.kind.is_repeatable();
        self.attempts
            .decide(self.route.max_attempts, repeatable, self.deadline(), now)
    }

    /// Starts an attempt at a server that was not tried, if there is one and the retry
    /// budget allows it.
    async fn start_other(&mut self) -> Option<Sent> {
        let is_allowed = self.entry.limits.has_retry(&self.service)
            && quarantine::check(&self.entry, &self.features).is_ok();
        if !is_allowed {
            return None;
        }
        let server = self.choose(Scope::Untried).ok()?;
        let sent = self.start(server).await.ok()?;
        self.entry.limits.spend_retry(&self.service).then_some(sent)
    }
}
