//! The load of services over all entries, from which servers are ordered.

use std::sync::Mutex;

use crate::core::fleet::orders::Load;
use crate::core::fleet::orders::Need;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::entry::Entry;

/// The load of each service.
///
/// Every entry follows it, so that one that takes over the duties knows it.
#[derive(Default)]
pub struct Fleet {
    loads: Mutex<Table<Load>>,
}

impl Fleet {
    /// Creates a record without load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the servers with `slots` each that a service needs.
    pub fn needed(&self, service: &str, slots: u32, now: Time) -> Need {
        let loads = self.loads.lock().unwrap();
        let load = loads.get(service).cloned().unwrap_or_default();
        load.needed(slots, now)
    }
}

/// Takes over the requests that run now.
pub fn refresh(entry: &Entry) {
    let Some(catalog) = entry.catalog.load() else {
        return;
    };
    let now = entry.clock.now();
    let own = entry.backends.running();
    let others = entry.beats.live(now);
    let mut loads = entry.fleet.loads.lock().unwrap();
    let scaled = catalog.services.iter();
    for (service, _) in scaled.filter(|(_, service)| service.scale.is_some()) {
        let all = others.iter().map(|status| &status.running).chain([&own]);
        let running = all.filter_map(|running| running.get(service)).sum();
        loads
            .get_or_insert_with(service, Load::new)
            .record(running, now);
    }
}
