//! Load of each service over all entries, which determines the servers to order.

use std::sync::Mutex;

use crate::core::Name;
use crate::core::fleet::load::CapacityEstimate;
use crate::core::fleet::load::LoadEstimator;
use crate::core::fleet::load::Traffic;
use crate::core::name_map::NameMap;
use crate::core::time::Time;
use crate::entry::Entry;

/// Tracks the load of each service.
///
/// Every entry tracks it, so that a new lease holder knows it at once.
#[derive(Default)]
pub struct ServiceLoad {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    loads: NameMap<LoadEstimator>,
    local: NameMap<LocalCounts>,
    /// Traffic of all entries as of the last sample.
    total: NameMap<Traffic>,
    sampled_at: Option<Time>,
}

/// Counts the requests for a service at this entry.
#[derive(Debug, Default)]
struct LocalCounts {
    /// Requests that arrived since the last sample.
    arrived: u32,
    /// Requests answered by servers since the last sample.
    answered: u32,
    traffic: Traffic,
}

impl ServiceLoad {
    /// Creates a tracker without load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that arrives.
    pub fn count_arrived(&self, service: &Name) {
        let mut state = self.state.lock().unwrap();
        state
            .local
            .get_or_insert_with(service, LocalCounts::default)
            .arrived += 1;
    }

    /// Counts a request that a server has answered.
    pub fn count_answered(&self, service: &Name) {
        let mut state = self.state.lock().unwrap();
        state
            .local
            .get_or_insert_with(service, LocalCounts::default)
            .answered += 1;
    }

    /// Returns the traffic of this entry by service.
    pub fn traffic(&self) -> NameMap<Traffic> {
        self.state.lock().unwrap().traffic()
    }

    /// Returns the requests for a service that were in progress at all entries when they
    /// were last counted.
    pub fn in_flight(&self, service: &str) -> f64 {
        let state = self.state.lock().unwrap();
        state.total.get(service).map_or(0.0, |sum| sum.in_flight)
    }

    /// Returns the number of servers with `slots` each that a service needs.
    pub fn needed_servers(&self, service: &str, slots: u32, now: Time) -> CapacityEstimate {
        let state = self.state.lock().unwrap();
        let load = state.loads.get(service).cloned().unwrap_or_default();
        load.estimate(slots, now)
    }
}

impl State {
    fn traffic(&self) -> NameMap<Traffic> {
        let rows = self.local.iter();
        rows.map(|(service, counts)| (service.clone(), counts.traffic))
            .collect()
    }

    /// Converts the counts since the last sample into rates.
    fn sample(&mut self, in_flight: &NameMap<f64>, now: Time) {
        let elapsed = self.sampled_at.map(|at| now.since(at).as_secs_f64());
        self.sampled_at = Some(now);
        for (service, _) in in_flight.iter() {
            self.local.get_or_insert_with(service, LocalCounts::default);
        }
        let Some(elapsed) = elapsed.filter(|elapsed| *elapsed > 0.0) else {
            return;
        };
        for (service, counts) in self.local.iter_mut() {
            counts.traffic = Traffic {
                in_flight: in_flight.get(service).copied().unwrap_or_default(),
                arrival_rate: f64::from(std::mem::take(&mut counts.arrived)) / elapsed,
                completion_rate: f64::from(std::mem::take(&mut counts.answered)) / elapsed,
            };
        }
    }
}

/// Samples the local traffic and records the sum over all entries.
pub fn refresh(entry: &Entry) {
    let Some(catalog) = entry.catalog.load() else {
        return;
    };
    let now = entry.clock.now();
    let in_flight = entry.backends.in_flight();
    let mut state = entry.service_load.state.lock().unwrap();
    state.sample(&in_flight, now);
    let Some(traffic) = entry.membership.traffic(state.traffic(), now) else {
        state.total = state.traffic();
        return;
    };
    let scaled = catalog.services.iter();
    for (service, _) in scaled.filter(|(_, service)| service.scale.is_some()) {
        let sum = traffic.get(service).copied().unwrap_or_default();
        let load = state.loads.get_or_insert_with(service, LoadEstimator::new);
        load.set_work(entry.backends.mean_work(service));
        load.record(&sum, now);
    }
    state.total = traffic;
}
