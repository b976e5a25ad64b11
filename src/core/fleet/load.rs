//! Estimates how many backend servers the requests of a service need.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::time::Time;

/// Concurrent requests on one server at which all of them still meet their
/// latency targets.
const TARGET_CONCURRENCY: f64 = 12.0;

/// Largest fraction of a server's slots that is planned for.
const MAX_SLOT_FRACTION: f64 = 0.7;

/// Fraction of the time for which servers may be busy reading prompts.
///
/// At this fraction a request waits for the work of another one on average; the wait grows
/// without bound towards 1.
const TARGET_BUSY_FRACTION: f64 = 0.5;

/// Multiple of the shortest request duration up to which a running request counts as
/// load if the work of requests is known.
///
/// Requests that pile up then tell nothing more about the servers that are needed.
const MAX_DURATION_FACTOR_WITH_WORK: f64 = 1.2;

/// Time constant of the exponential moving average of the traffic.
const LOAD_TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// Time for which capacity for a load peak is kept after the peak.
const PEAK_WINDOW: Duration = Duration::from_secs(20);

/// Time with traffic after which the estimate may lead to fewer servers.
const LEARNING_PERIOD: Duration = Duration::from_secs(12);

/// Time with traffic before the request duration is measured, since the first
/// requests need time to finish.
const MEASURE_DELAY: Duration = Duration::from_secs(3);

/// Lowest completion rate, in requests per second, at which the request
/// duration is measured.
const MIN_COMPLETION_RATE: f64 = 5.0;

/// Relative growth per second of the shortest known request duration, so that
/// the estimate follows a change in the requests.
const DURATION_GROWTH: f64 = 0.01;

/// Multiple of the shortest request duration up to which a running request
/// counts as load.
const MAX_DURATION_FACTOR: f64 = 3.0;

/// Traffic of a service at one moment.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Traffic {
    /// Requests in progress at backend servers.
    pub in_flight: f64,
    /// Requests that arrived, per second.
    pub arrival_rate: f64,
    /// Requests that servers completed, per second.
    pub completion_rate: f64,
}

impl Traffic {
    /// Adds the traffic of another node.
    pub fn add(&mut self, other: &Traffic) {
        self.in_flight += other.in_flight;
        self.arrival_rate += other.arrival_rate;
        self.completion_rate += other.completion_rate;
    }

    fn approach(&mut self, current: &Traffic, weight: f64) {
        self.in_flight += weight * (current.in_flight - self.in_flight);
        self.arrival_rate += weight * (current.arrival_rate - self.arrival_rate);
        self.completion_rate += weight * (current.completion_rate - self.completion_rate);
    }
}

/// Load of a service at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Concurrent requests.
    concurrency: f64,
    /// Servers that are busy reading prompts, if the work of requests is known.
    busy_servers: f64,
}

impl Load {
    /// Returns the larger of each part.
    fn max(self, other: Load) -> Load {
        Load {
            concurrency: self.concurrency.max(other.concurrency),
            busy_servers: self.busy_servers.max(other.busy_servers),
        }
    }
}

/// Estimates the concurrent requests of a service over all nodes.
///
/// Servers take seconds to start and their caches take longer to fill, so the
/// estimate uses the recent peak instead of the current value. Requests that
/// pile up at slow servers run for a long time and would inflate the load
/// several times over, so the estimate is capped by the arrival rate and a
/// multiple of the shortest request duration.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimator {
    mean: Traffic,
    updated_at: Option<Time>,
    first_request: Option<Time>,
    /// Shortest request duration, in seconds.
    min_duration: Option<f64>,
    /// Mean work of a request, in server-seconds, if it is known.
    work: Option<f64>,
    /// Peak load in the current window and in the previous one.
    peaks: [Load; 2],
    rotated_at: Time,
}

impl LoadEstimator {
    /// Creates an estimator for a service without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the mean time for which a request keeps a server busy until its response
    /// begins, if it is known.
    pub fn set_work(&mut self, work: Option<Duration>) {
        self.work = work.map(|work| work.as_secs_f64());
    }

    /// Records the current traffic of all nodes.
    pub fn record(&mut self, traffic: &Traffic, now: Time) {
        let elapsed = self
            .updated_at
            .map_or(Duration::ZERO, |updated_at| now.since(updated_at));
        let weight = 1.0 - (-elapsed.as_secs_f64() / LOAD_TIME_CONSTANT.as_secs_f64()).exp();
        self.mean.approach(traffic, weight);
        self.updated_at = Some(now);
        if traffic.in_flight > 0.0 {
            self.first_request.get_or_insert(now);
        }
        self.update_duration(elapsed, now);
        if now.since(self.rotated_at) > PEAK_WINDOW / 2 {
            self.peaks = [self.current_load(), self.peaks[0]];
            self.rotated_at = now;
        }
        self.peaks[0] = self.peaks[0].max(self.current_load());
    }

    /// Updates the shortest request duration.
    fn update_duration(&mut self, elapsed: Duration, now: Time) {
        let is_measurable = self
            .first_request
            .is_some_and(|since| now.since(since) >= MEASURE_DELAY);
        if !is_measurable || self.mean.completion_rate < MIN_COMPLETION_RATE {
            return;
        }
        let duration = self.mean.in_flight / self.mean.completion_rate;
        let known = self.min_duration.unwrap_or(duration);
        let raised = known * (1.0 + DURATION_GROWTH * elapsed.as_secs_f64());
        self.min_duration = Some(raised.min(duration));
    }

    /// Returns the load to plan for.
    fn current_load(&self) -> Load {
        let factor = match self.work {
            Some(_) => MAX_DURATION_FACTOR_WITH_WORK,
            None => MAX_DURATION_FACTOR,
        };
        let cap = self.min_duration.map_or(f64::INFINITY, |duration| {
            self.mean.arrival_rate * duration * factor
        });
        Load {
            concurrency: self.mean.in_flight.min(cap),
            busy_servers: self.work.unwrap_or_default() * self.mean.arrival_rate,
        }
    }

    /// Returns how many servers with `slots` each carry the load.
    pub fn estimate(&self, slots: u32, now: Time) -> CapacityEstimate {
        let per_server = TARGET_CONCURRENCY
            .min(f64::from(slots) * MAX_SLOT_FRACTION)
            .max(1.0);
        let peak = self.peaks[0].max(self.peaks[1]);
        let by_slots = peak.concurrency / per_server;
        let by_work = peak.busy_servers / TARGET_BUSY_FRACTION;
        CapacityEstimate {
            servers: by_slots.max(by_work).ceil().max(1.0) as u32,
            is_learned: self
                .first_request
                .is_some_and(|since| now.since(since) >= LEARNING_PERIOD),
            is_unused: self.first_request.is_none(),
        }
    }
}

/// The number of servers that a service needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityEstimate {
    /// Servers that carry the load.
    pub servers: u32,
    /// Whether enough traffic was seen to run fewer servers than exist.
    pub is_learned: bool,
    /// Whether no request has arrived yet.
    pub is_unused: bool,
}
