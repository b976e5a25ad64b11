//! Retry decisions, retry budgets and backoff.

use std::time::Duration;

use crate::core::Name;
use crate::core::time::Time;
use crate::core::verdict::Verdict;

pub mod crash;
pub mod hedge;

/// Retries that each first attempt adds to the budget.
const BUDGET_RATIO: f64 = 0.1;

/// Maximum number of retries in the budget.
const BUDGET_CAP: f64 = 50.0;

/// Fraction of the cap that hedges leave for retries.
const HEDGE_RESERVE: f64 = 0.25;

/// Maximum deposits above the cap that are kept for hedges.
///
/// With many nodes the cap of each is one retry, which alone pays for no hedge that
/// leaves a quarter of it.
const MAX_SPARE: f64 = 1.0;

/// Maximum number of attempts for one request, including the first.
pub const MAX_ATTEMPTS: usize = 6;

/// Reason why an attempt at a backend server failed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// No connection could be opened.
    Connect,
    /// The server responded that it did not accept the request.
    Busy,
    /// The server responded with an error.
    Failed,
    /// The connection closed before the response was complete.
    Cut,
    /// The server sent nothing for longer than the timeout.
    Silent,
    /// The response belongs to another request.
    Crossed,
    /// The response has missing or repeated parts.
    OutOfOrder,
    /// The response cannot be parsed.
    Garbled,
    /// The server is leaving and the stream moves to another one.
    Leaving,
    /// The server accepts no more requests since it was chosen.
    Closed,
    /// The response was still arriving at the deadline.
    Overdue,
    /// Another attempt of the same request was preferred, though this one had not failed.
    Hedged,
}

impl Cause {
    /// Returns the label used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Cause::Connect => "connect",
            Cause::Busy => "busy",
            Cause::Failed => "failed",
            Cause::Cut => "cut",
            Cause::Silent => "silent",
            Cause::Crossed => "crossed",
            Cause::OutOfOrder => "out_of_order",
            Cause::Garbled => "garbled",
            Cause::Leaving => "leaving",
            Cause::Closed => "closed",
            Cause::Overdue => "overdue",
            Cause::Hedged => "hedged",
        }
    }

    /// Returns whether the request may have run after this failure.
    pub const fn verdict(self) -> Verdict {
        match self {
            Cause::Connect | Cause::Busy | Cause::Closed => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Returns whether the request did not reach the server.
    pub const fn is_unsent(self) -> bool {
        matches!(self, Cause::Connect | Cause::Closed)
    }

    /// Returns whether the failure counts against the server.
    ///
    /// A response may be overdue because the caller reads slowly.
    pub const fn is_server_fault(self) -> bool {
        !matches!(
            self,
            Cause::Busy | Cause::Closed | Cause::Overdue | Cause::Hedged
        )
    }

    /// Returns whether the failure counts against the version of the server.
    pub const fn is_version_fault(self) -> bool {
        matches!(
            self,
            Cause::Failed | Cause::Garbled | Cause::Crossed | Cause::OutOfOrder
        )
    }

    /// Returns whether a retry for this cause bypasses the budget.
    ///
    /// The planned shutdown of a server is not a failure, and moving its streams
    /// must not depend on how many other requests are failing.
    const fn is_planned(self) -> bool {
        matches!(self, Cause::Leaving)
    }
}

/// Describes a failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// Server of the attempt.
    pub server: Name,
    /// Reason for the failure.
    pub cause: Cause,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Retry at another server.
    Again,
    /// Retry at a server that has had the request already.
    Return,
    /// Give up because the request must not be repeated.
    NotRepeatable,
    /// Give up because the deadline has passed.
    Deadline,
    /// Give up because the maximum number of attempts is reached.
    Attempts,
    /// Give up because the retry budget is exhausted.
    Budget,
}

/// Input of a retry decision.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Reason for the last failure.
    pub cause: Cause,
    /// Whether the request can safely be repeated.
    pub repeatable: bool,
    /// Number of attempts so far.
    pub attempts: usize,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Current time.
    pub now: Time,
}

/// Counts the failed attempts of one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptCounts {
    /// Attempts in which the request may have run.
    pub runs: u32,
    /// Attempts that reached a server.
    pub sends: u32,
    /// Attempts that did not reach a server.
    pub connect_failures: u32,
    /// Whether the request may have run apart from the attempts that are counted.
    pub may_have_run: bool,
}

/// Attempts that may reach a server in addition to those allowed to run.
///
/// An attempt does not count as a run if the server confirms that it did not
/// run the request.
const EXTRA_SENDS: u32 = 2;

/// Maximum number of attempts that may fail before anything is sent.
const MAX_CONNECT_FAILURES: u32 = 4;

impl AttemptCounts {
    /// Records a failed attempt.
    pub fn record(&mut self, cause: Cause) {
        if cause.is_unsent() {
            self.connect_failures += 1;
            return;
        }
        self.sends += 1;
        if cause.verdict() == Verdict::MayHaveRun {
            self.runs += 1;
        }
    }

    /// Records the failure of an attempt that was counted before its outcome was
    /// known.
    pub fn correct(&mut self, cause: Cause) {
        if cause.verdict() == Verdict::NotRun {
            self.runs -= 1;
        }
        if cause.is_unsent() {
            self.sends -= 1;
            self.connect_failures += 1;
        }
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        if self.runs > 0 || self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    /// Decides whether to make another attempt, given that up to `allowed` attempts may run.
    pub fn decide(&self, allowed: u32, repeatable: bool, deadline: Time, now: Time) -> Decision {
        if now >= deadline {
            Decision::Deadline
        } else if self.verdict() == Verdict::MayHaveRun && !repeatable {
            Decision::NotRepeatable
        } else if self.runs >= allowed.max(1)
            || self.sends >= allowed.max(1) + EXTRA_SENDS
            || self.connect_failures >= MAX_CONNECT_FAILURES
        {
            Decision::Attempts
        } else {
            Decision::Again
        }
    }

    /// Decides how a stream that has begun goes on after a failed attempt.
    ///
    /// The allowed attempts bound the number of servers, so it may go back to one that
    /// has had it.
    pub fn decide_stream(&self, allowed: u32, deadline: Time, now: Time) -> Decision {
        let can_return = self.sends < allowed.max(1) + EXTRA_SENDS
            && self.connect_failures < MAX_CONNECT_FAILURES;
        match self.decide(allowed, true, deadline, now) {
            Decision::Attempts if can_return => Decision::Return,
            decision => decision,
        }
    }
}

/// Limits retries to a fraction of the load.
///
/// Each first attempt deposits a tenth of a retry, up to a cap. A node whose
/// servers all fail therefore sends at most a tenth more requests than its
/// callers do.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    cap: f64,
    balance: f64,
    /// Deposits above the cap, which only hedges may use.
    spare: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            ratio: BUDGET_RATIO,
            cap: BUDGET_CAP,
            balance: BUDGET_CAP,
            spare: 0.0,
        }
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the retries deposited for each first attempt and the cap of the budget.
    pub fn set_limits(&mut self, ratio: f64, cap: f64) {
        self.ratio = ratio;
        self.cap = cap;
        self.balance = self.balance.min(cap);
    }

    /// Adds the deposit for a first attempt.
    pub fn deposit(&mut self) {
        let sum = self.balance + self.ratio;
        self.balance = sum.min(self.cap);
        self.spare = (self.spare + (sum - self.cap).max(0.0)).min(MAX_SPARE);
    }

    /// Returns whether the budget allows a retry.
    pub fn has_balance(&self) -> bool {
        self.balance >= 1.0
    }

    /// Withdraws one retry, or returns false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns whether the budget allows a hedge, which leaves a quarter of the cap.
    pub fn has_hedge(&self) -> bool {
        let reserve = self.cap * HEDGE_RESERVE;
        self.balance - 1.0 >= reserve || self.spare >= 1.0 && self.balance >= reserve
    }

    /// Withdraws one hedge, or returns false if that leaves too little for retries.
    pub fn withdraw_hedge(&mut self) -> bool {
        let is_allowed = self.has_hedge();
        if is_allowed && self.spare >= 1.0 {
            self.spare -= 1.0;
        } else if is_allowed {
            self.balance -= 1.0;
        }
        is_allowed
    }

    /// Decides whether to retry a failed attempt and withdraws the retry from the budget.
    pub fn decide(&mut self, context: &RetryContext) -> Decision {
        let can_repeat = context.repeatable || context.cause.verdict() == Verdict::NotRun;
        if !can_repeat {
            return Decision::NotRepeatable;
        }
        if context.now >= context.deadline {
            return Decision::Deadline;
        }
        if context.attempts >= MAX_ATTEMPTS {
            return Decision::Attempts;
        }
        if !context.cause.is_planned() && !self.withdraw() {
            return Decision::Budget;
        }
        Decision::Again
    }
}

/// Base of the exponential backoff, which is also the shortest delay.
const BACKOFF_BASE: Duration = Duration::from_millis(10);

/// Returns the backoff delay before the next attempt.
///
/// The delay lies between half and all of a bound that doubles with each
/// attempt; `random` is a random number that selects it.
pub fn backoff(attempts: usize, random: u64) -> Duration {
    let bound = BACKOFF_BASE * (1 << attempts.min(5)) as u32;
    bound / 2 + bound.mul_f64((random % 1_024) as f64 / 2_048.0)
}
