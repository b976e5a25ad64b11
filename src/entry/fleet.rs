//! The load of services over all entries, from which servers are ordered.

use std::sync::Mutex;

use crate::core::Name;
use crate::core::fleet::load::CapacityEstimate;
use crate::core::fleet::load::LoadEstimator;
use crate::core::fleet::load::Traffic;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::entry::Entry;

/// The load of each service.
///
/// Every entry follows it, so that one that takes over the duties knows it.
#[derive(Default)]
pub struct Fleet {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    loads: Table<LoadEstimator>,
    own: Table<Own>,
    at: Option<Time>,
}

/// What this entry is asked for.
#[derive(Debug, Default)]
struct Own {
    /// Requests that began since the last look.
    asked: u32,
    /// Requests that servers answered since the last look.
    answered: u32,
    traffic: Traffic,
}

impl Fleet {
    /// Creates a record without load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that begins.
    pub fn count_asked(&self, service: &Name) {
        let mut state = self.state.lock().unwrap();
        state.own.get_or_insert_with(service, Own::default).asked += 1;
    }

    /// Counts a request that a server answers.
    pub fn count_answered(&self, service: &Name) {
        let mut state = self.state.lock().unwrap();
        state.own.get_or_insert_with(service, Own::default).answered += 1;
    }

    /// Returns what this entry is asked for, by service.
    pub fn traffic(&self) -> Table<Traffic> {
        let state = self.state.lock().unwrap();
        let rows = state.own.iter();
        rows.map(|(service, own)| (service.clone(), own.traffic))
            .collect()
    }

    /// Returns the servers with `slots` each that a service needs.
    pub fn needed(&self, service: &str, slots: u32, now: Time) -> CapacityEstimate {
        let state = self.state.lock().unwrap();
        let load = state.loads.get(service).cloned().unwrap_or_default();
        load.estimate(slots, now)
    }
}

impl State {
    /// Turns the counts since the last look into rates.
    fn look(&mut self, running: &Table<f64>, now: Time) {
        let passed = self.at.map(|at| now.since(at).as_secs_f64());
        self.at = Some(now);
        for (service, _) in running.iter() {
            self.own.get_or_insert_with(service, Own::default);
        }
        let Some(passed) = passed.filter(|passed| *passed > 0.0) else {
            return;
        };
        for (service, own) in self.own.iter_mut() {
            own.traffic = Traffic {
                in_flight: running.get(service).copied().unwrap_or_default(),
                arrival_rate: f64::from(std::mem::take(&mut own.asked)) / passed,
                completion_rate: f64::from(std::mem::take(&mut own.answered)) / passed,
            };
        }
    }
}

/// Takes over what all entries are asked for now.
pub fn refresh(entry: &Entry) {
    let Some(catalog) = entry.catalog.load() else {
        return;
    };
    let now = entry.clock.now();
    let running = entry.backends.running();
    let others = entry.beats.live(now);
    let mut state = entry.fleet.state.lock().unwrap();
    state.look(&running, now);
    let scaled = catalog.services.iter();
    for (service, _) in scaled.filter(|(_, service)| service.scale.is_some()) {
        let mut sum = state
            .own
            .get(service)
            .map_or_else(Traffic::default, |own| own.traffic);
        for status in &others {
            if let Some(traffic) = status.traffic.get(service) {
                sum.add(traffic);
            }
        }
        state
            .loads
            .get_or_insert_with(service, LoadEstimator::new)
            .record(&sum, now);
    }
}
