//! How many backend servers the requests of a service need.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::time::Time;

/// Requests at one server at which all of them still meet their targets.
const COMFORT: f64 = 12.0;

/// Part of the slots of a server that is used at most.
const SLOT_PART: f64 = 0.7;

/// Time constant with which the measured load follows the requests that run.
const LOAD_SPAN: Duration = Duration::from_millis(1_500);

/// Time for which the highest load is provided for after it has passed.
const PEAK_SPAN: Duration = Duration::from_secs(20);

/// Time with requests after which the measured load may lead to fewer servers.
const LEARN_SPAN: Duration = Duration::from_secs(12);

/// Time with requests before the time that one takes is measured, since those
/// that have begun must have had time to end.
const SETTLE: Duration = Duration::from_secs(3);

/// Least answers a second from which the time that one takes is measured.
const MIN_ANSWERED: f64 = 5.0;

/// Part by which the shortest time that a request took grows in a second, so
/// that it follows a change in what is asked for.
const DRIFT: f64 = 0.01;

/// Times the shortest time for which a request is provided for.
const STRETCH: f64 = 3.0;

/// What is asked of a service at one moment.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Traffic {
    /// Requests at servers.
    pub in_flight: f64,
    /// Requests that began, a second.
    pub arrival_rate: f64,
    /// Requests that servers answered, a second.
    pub completion_rate: f64,
}

impl Traffic {
    /// Adds what another node is asked for.
    pub fn add(&mut self, other: &Traffic) {
        self.in_flight += other.in_flight;
        self.arrival_rate += other.arrival_rate;
        self.completion_rate += other.completion_rate;
    }

    fn approach(&mut self, other: &Traffic, part: f64) {
        self.in_flight += part * (other.in_flight - self.in_flight);
        self.arrival_rate += part * (other.arrival_rate - self.arrival_rate);
        self.completion_rate += part * (other.completion_rate - self.completion_rate);
    }
}

/// The requests of a service that run at the same time, over all nodes.
///
/// Servers take seconds to start and their caches longer to fill, so the
/// highest load of the last while counts and not that of the moment. Requests
/// that pile up at slow servers run for long and would make the load look many
/// times what it is, so a request counts for little longer than it takes when
/// servers are well.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimator {
    mean: Traffic,
    at: Option<Time>,
    since: Option<Time>,
    /// Shortest time that a request took, in seconds.
    shortest: Option<f64>,
    /// Highest load in the current span and in the one before.
    peaks: [f64; 2],
    turned: Time,
}

impl LoadEstimator {
    /// Creates the load of a service without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the traffic of now.
    pub fn record(&mut self, traffic: &Traffic, now: Time) {
        let passed = self.at.map_or(Duration::ZERO, |at| now.since(at));
        let part = 1.0 - (-passed.as_secs_f64() / LOAD_SPAN.as_secs_f64()).exp();
        self.mean.approach(traffic, part);
        self.at = Some(now);
        if traffic.in_flight > 0.0 {
            self.since.get_or_insert(now);
        }
        self.measure(passed, now);
        if now.since(self.turned) > PEAK_SPAN / 2 {
            self.peaks = [self.bounded(), self.peaks[0]];
            self.turned = now;
        }
        self.peaks[0] = self.peaks[0].max(self.bounded());
    }

    /// Follows the shortest time that a request takes.
    fn measure(&mut self, passed: Duration, now: Time) {
        let is_settled = self.since.is_some_and(|since| now.since(since) >= SETTLE);
        if !is_settled || self.mean.completion_rate < MIN_ANSWERED {
            return;
        }
        let took = self.mean.in_flight / self.mean.completion_rate;
        let known = self.shortest.unwrap_or(took);
        let drifted = known * (1.0 + DRIFT * passed.as_secs_f64());
        self.shortest = Some(drifted.min(took));
    }

    /// Returns the requests to provide for.
    fn bounded(&self) -> f64 {
        let most = self.shortest.map_or(f64::INFINITY, |shortest| {
            self.mean.arrival_rate * shortest * STRETCH
        });
        self.mean.in_flight.min(most)
    }

    /// Returns the servers with `slots` each that carry the load.
    pub fn estimate(&self, slots: u32, now: Time) -> CapacityEstimate {
        let comfort = COMFORT.min(f64::from(slots) * SLOT_PART).max(1.0);
        let peak = self.peaks[0].max(self.peaks[1]);
        CapacityEstimate {
            servers: (peak / comfort).ceil().max(1.0) as u32,
            is_learned: self
                .since
                .is_some_and(|since| now.since(since) >= LEARN_SPAN),
            is_unused: self.since.is_none(),
        }
    }
}

/// The servers that a service needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityEstimate {
    /// How many carry the load.
    pub servers: u32,
    /// Whether enough was seen to have fewer servers than there are.
    pub is_learned: bool,
    /// Whether no request has come yet.
    pub is_unused: bool,
}
