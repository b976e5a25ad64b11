//! Whether and when a failed attempt is tried again.

use std::time::Duration;

use crate::core::Name;
use crate::core::time::Time;
use crate::core::verdict::Verdict;

pub mod crash;

/// Retries allowed for each first attempt.
const BUDGET_RATIO: f64 = 0.1;

/// Retries that a node may save up.
const BUDGET_CAP: f64 = 50.0;

/// Attempts for one request, the first included.
pub const MAX_ATTEMPTS: usize = 6;

/// Why an attempt at a backend server failed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// No connection could be opened.
    Connect,
    /// The server said that it did not take the request.
    Busy,
    /// The server answered with an error.
    Failed,
    /// The connection ended before the answer was whole.
    Cut,
    /// Nothing came for longer than the limit.
    Silent,
    /// The answer belongs to another request.
    Crossed,
    /// The answer has a gap or a repeat.
    OutOfOrder,
    /// The answer cannot be understood.
    Garbled,
    /// The server is leaving and the stream moves.
    Leaving,
}

impl Cause {
    /// Returns the label used in counters.
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
        }
    }

    /// Returns whether the request may have run when an attempt fails like this.
    pub const fn verdict(self) -> Verdict {
        match self {
            Cause::Connect | Cause::Busy => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Returns whether the failure counts against the version of the server.
    pub const fn is_version_fault(self) -> bool {
        matches!(
            self,
            Cause::Failed | Cause::Garbled | Cause::Crossed | Cause::OutOfOrder
        )
    }

    /// Returns whether a retry for this cause is free of the budget.
    ///
    /// A planned departure is not a failure, and moving its streams must not
    /// depend on how many other requests fail at that moment.
    const fn is_planned(self) -> bool {
        matches!(self, Cause::Leaving)
    }
}

/// A failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// The server that was tried.
    pub server: Name,
    /// Why it failed.
    pub cause: Cause,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Try again at another server.
    Again,
    /// Give up: the request or its route does not allow a repeat.
    NotRepeatable,
    /// Give up: the deadline leaves no time.
    Deadline,
    /// Give up: too many attempts.
    Attempts,
    /// Give up: the retry budget is spent.
    Budget,
}

/// What is known when a retry is decided.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Why the last attempt failed.
    pub cause: Cause,
    /// Whether a repeat does no harm.
    pub repeatable: bool,
    /// Attempts made so far.
    pub attempts: usize,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The time now.
    pub now: Time,
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptCounts {
    /// Attempts after which the request may have run.
    pub runs: u32,
    /// Attempts that reached a server.
    pub sends: u32,
    /// Attempts that reached no server.
    pub connect_failures: u32,
}

/// Attempts beyond those allowed to run that may still reach a server, since a
/// server that vouches for not having run the request does not use one up.
const EXTRA_SENDS: u32 = 2;

/// Attempts that may fail before anything is sent.
const MAX_CONNECT_FAILURES: u32 = 4;

impl AttemptCounts {
    /// Records a failed attempt.
    pub fn record(&mut self, cause: Cause) {
        if cause == Cause::Connect {
            self.connect_failures += 1;
            return;
        }
        self.sends += 1;
        if cause.verdict() == Verdict::MayHaveRun {
            self.runs += 1;
        }
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        if self.runs > 0 {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    /// Decides whether another attempt may be made when `allowed` may run.
    pub fn decide(&self, allowed: u32, repeatable: bool, deadline: Time, now: Time) -> Decision {
        if now >= deadline {
            Decision::Deadline
        } else if self.runs > 0 && !repeatable {
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
}

/// Limits retries to a part of the load.
///
/// Each first attempt earns a tenth of a retry, up to a cap, so a node whose
/// servers all fail sends at most a tenth more than its callers do.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    cap: f64,
    level: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            ratio: BUDGET_RATIO,
            cap: BUDGET_CAP,
            level: BUDGET_CAP,
        }
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the retries allowed for each first attempt, and those saved up.
    pub fn set_limits(&mut self, ratio: f64, cap: f64) {
        self.ratio = ratio;
        self.cap = cap;
        self.level = self.level.min(cap);
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.ratio).min(self.cap);
    }

    /// Returns whether a retry could be paid for.
    pub fn has_balance(&self) -> bool {
        self.level >= 1.0
    }

    /// Pays for one retry, or returns false if the budget is spent.
    pub fn withdraw(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Decides whether a failed attempt is tried again, and pays for it.
    pub fn decide(&mut self, situation: &RetryContext) -> Decision {
        let may_repeat = situation.repeatable || situation.cause.verdict() == Verdict::NotRun;
        if !may_repeat {
            return Decision::NotRepeatable;
        }
        if situation.now >= situation.deadline {
            return Decision::Deadline;
        }
        if situation.attempts >= MAX_ATTEMPTS {
            return Decision::Attempts;
        }
        if !situation.cause.is_planned() && !self.withdraw() {
            return Decision::Budget;
        }
        Decision::Again
    }
}

/// Shortest wait before an attempt that follows a refused one.
const BACKOFF_BASE: Duration = Duration::from_millis(10);

/// Returns how long to wait before the next attempt.
///
/// `draw` is a random number; the wait lies between half and all of a bound
/// that doubles with each attempt.
pub fn backoff(attempts: usize, draw: u64) -> Duration {
    let bound = BACKOFF_BASE * (1 << attempts.min(5)) as u32;
    bound / 2 + bound.mul_f64((draw % 1_024) as f64 / 2_048.0)
}
