//! Times until which a request waits.

use std::fmt;
use std::time::Duration;

use crate::core::time::Time;

/// Time that a refusal may take to reach its caller.
const RETURN_TIME: Duration = Duration::from_millis(50);

/// Largest fraction of the caller's time that is kept for a refusal.
const RETURN_FRACTION: f64 = 0.1;

/// Times until which a request waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Deadlines {
    /// Time at which a request without an answer is refused, so that the refusal
    /// arrives before its caller stops waiting.
    pub refusal: Time,
    /// Time at which an answer that has begun ends.
    pub end: Time,
    caller: Option<Duration>,
    route: Duration,
}

impl Deadlines {
    /// Creates the deadlines of a request that arrived at `arrived`, whose caller waits
    /// for `caller` and whose route allows `route`.
    pub fn new(arrived: Time, caller: Option<Duration>, route: Duration) -> Self {
        let wait = caller.unwrap_or(route);
        let kept = RETURN_TIME.min(wait.mul_f64(RETURN_FRACTION));
        let refusal = match caller {
            Some(_) => route.min(wait - kept),
            None => route,
        };
        Self {
            refusal: arrived + refusal,
            end: arrived + route.min(wait),
            caller,
            route,
        }
    }
}

impl fmt::Display for Deadlines {
    /// Writes the bounds that led to the deadlines.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.caller {
            Some(caller) => write!(f, "caller waits {} ms, ", caller.as_millis())?,
            None => write!(f, "caller names no limit, ")?,
        }
        write!(f, "route allows {} ms", self.route.as_millis())
    }
}
