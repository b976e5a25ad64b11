//! Speeds of backend servers and expected durations, learned from responses.

use std::time::Duration;

use crate::core::time::Time;

pub mod check;
pub mod fit;
mod fits;
pub mod merge;
mod outbox;
pub mod share;
mod sources;
pub mod sum;
pub mod table;
mod track;

/// What of a response was timed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Time to the first bytes of a stream.
    First = 0,
    /// Time per token of a stream after its first bytes.
    Pace = 1,
    /// Time to the end of a plain response.
    Plain = 2,
}

impl Kind {
    /// All kinds in the order of their numbers.
    pub const ALL: [Kind; 3] = [Kind::First, Kind::Pace, Kind::Plain];

    /// Returns the label used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::First => "first",
            Kind::Pace => "pace",
            Kind::Plain => "plain",
        }
    }
}

/// Sizes of a request on which the time to its response depends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens that are not expected in the server's cache.
    pub uncached_tokens: f64,
    /// Tokens of the response.
    pub output_tokens: f64,
    /// Requests that were running at the server when the request was sent.
    pub running: f64,
    /// Requests that were waiting at the server when the request was sent.
    pub waiting: f64,
    /// Time that work took at that moment in percent of the usual, if the server
    /// stated it.
    pub work_percent: Option<u32>,
}

/// How long work takes at one server, relative to the mean of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ratio {
    /// Time at the server divided by the time at an average server; 1 if unknown.
    pub value: f64,
    /// Weight of the responses from which it was learned.
    pub samples: f64,
    /// Age of the newest of them.
    pub age: Duration,
}

/// How busy the servers of a service are, from the load reports in their responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Utilization {
    /// Fraction of the responses whose load report showed a waiting request, 0 to 1.
    pub busy: f64,
    /// Weight of the responses, which halves every 2 s.
    pub samples: f64,
    /// Age of the newest of them.
    pub age: Duration,
}

/// What is known of the time that requests take.
pub trait Estimates {
    /// Returns the expected time until a response of an average server begins, or `None`
    /// before enough responses were seen.
    ///
    /// This is the time at the usual speed: `work.work_percent` is not applied to it.
    fn expected_first(&self, service: &str, work: &Work) -> Option<Duration>;

    /// Returns how long work takes at a server.
    fn ratio(&self, server: &str, now: Time) -> Ratio;
}

/// Estimates of a node that has learned nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlearned;

impl Estimates for Unlearned {
    fn expected_first(&self, _service: &str, _work: &Work) -> Option<Duration> {
        None
    }

    fn ratio(&self, _server: &str, _now: Time) -> Ratio {
        Ratio {
            value: 1.0,
            samples: 0.0,
            age: Duration::ZERO,
        }
    }
}
