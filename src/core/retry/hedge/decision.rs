//! Whether a second attempt is sent beside the first, and why not.

use std::time::Duration;

use crate::core::retry::AttemptCounts;
use crate::core::retry::Decision;
use crate::core::route::Forecast;
use crate::core::time::Time;

/// Requests in progress per slot of a service from which it is short of capacity.
///
/// Above this, requests wait at some of the servers, and extra work delays others.
const MAX_UTILIZATION: f64 = 0.8;

/// Reason why a late request is not hedged.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Skipped {
    /// The request may not be repeated.
    NotRepeatable,
    /// No further attempt is allowed, or there is no time left.
    Attempts,
    /// The remaining retries are reserved for failures.
    RetryBudget,
    /// The request is suspected of crashing servers.
    Suspected,
    /// The workspace has used up its quota.
    Quota,
    /// The service is short of capacity.
    Capacity,
    /// The limit of the extra work is reached.
    WorkLimit,
    /// The server runs a version that is on trial.
    Trial,
    /// No other server is free, warm, sound and without a limit of its rate.
    NoServer,
    /// The other server is not predicted to answer sooner.
    NotSooner,
    /// The other server accepted no connection.
    Unreachable,
}

impl Skipped {
    /// Returns the label used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Skipped::NotRepeatable => "not_repeatable",
            Skipped::Attempts => "attempts",
            Skipped::RetryBudget => "retry_budget",
            Skipped::Suspected => "suspected",
            Skipped::Quota => "quota",
            Skipped::Capacity => "capacity",
            Skipped::WorkLimit => "work_limit",
            Skipped::Trial => "trial",
            Skipped::NoServer => "no_server",
            Skipped::NotSooner => "not_sooner",
            Skipped::Unreachable => "unreachable",
        }
    }
}

/// State of a late request and of its service.
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Attempts of the request, including the one in progress.
    pub attempts: AttemptCounts,
    /// Number of servers that were tried, including the one in progress.
    pub servers: usize,
    /// Maximum number of servers on which the request may run.
    pub max_attempts: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Whether the retry budget allows a hedge.
    pub has_retry: bool,
    /// Whether the request is suspected of crashing servers.
    pub is_suspected: bool,
    /// Whether the workspace has used up its quota.
    pub is_over_quota: bool,
    /// Requests in progress per slot of the service, over all nodes.
    pub utilization: f64,
    /// Whether the hedge keeps within the limit of the extra work.
    pub fits_limit: bool,
    /// Whether the server runs a version that is on trial.
    pub is_trial: bool,
}

/// Decides whether a late request may be hedged.
///
/// # Errors
///
/// Returns the first reason against it.
pub fn decide(inputs: &Inputs, now: Time) -> Result<(), Skipped> {
    let allowed = inputs.max_attempts.max(1);
    let decision = inputs
        .attempts
        .decide(allowed, inputs.is_repeatable, inputs.deadline, now);
    let has_attempt = decision == Decision::Again && inputs.servers < allowed as usize;
    let reasons = [
        (!inputs.is_repeatable, Skipped::NotRepeatable),
        (!has_attempt, Skipped::Attempts),
        (inputs.is_suspected, Skipped::Suspected),
        (inputs.is_over_quota, Skipped::Quota),
        (inputs.is_trial, Skipped::Trial),
        (inputs.utilization >= MAX_UTILIZATION, Skipped::Capacity),
        (!inputs.fits_limit, Skipped::WorkLimit),
        (!inputs.has_retry, Skipped::RetryBudget),
    ];
    let reason = reasons.into_iter().find(|(holds, _)| *holds);
    reason.map_or(Ok(()), |(_, reason)| Err(reason))
}

/// What is known of the time until an attempt begins to answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outlook {
    /// Time since the request was sent.
    pub elapsed: Duration,
    /// Predicted time from sending the request, if it is known.
    pub forecast: Option<Forecast>,
    /// Mean time left to other requests after this time, if it is known.
    pub remaining: Option<Duration>,
}

impl Outlook {
    /// Returns the expected time until the attempt begins to answer, or `None` if it is
    /// overdue.
    fn left(&self) -> Option<Duration> {
        let forecast = self.forecast.map(|forecast| forecast.first);
        forecast
            .and_then(|first| first.checked_sub(self.elapsed))
            .or(self.remaining)
    }
}

/// Returns whether the second attempt is predicted to answer sooner than the first.
///
/// One that has taken longer than any known request is not expected to answer at all.
pub fn is_sooner(first: &Outlook, second: &Outlook) -> bool {
    match (first.left(), second.left()) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(first), Some(second)) => second < first,
    }
}
