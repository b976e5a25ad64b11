//! What a node knows of the speeds and the load of all servers.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::servers::LoadReport;
use crate::core::route::speed::Utilization;
use crate::core::route::speed::sum;
use crate::core::route::speed::sum::Sum;
use crate::core::time::Time;

/// Time after which the weight of a load report has halved.
pub const LOAD_HALF_LIFE: Duration = Duration::from_secs(2);

/// Maximum number of services.
const MAX_SERVICES: usize = 64;

/// Speeds and load of the servers, learned from the responses of all nodes.
#[derive(Debug, Default)]
pub struct SpeedTable {
    loads: NameMap<Sum>,
}

impl SpeedTable {
    /// Creates a table that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the load report of a response.
    ///
    /// Reports without the number of slots are not from model servers and are ignored.
    pub fn record_load(&mut self, service: &Name, load: &LoadReport, now: Time) {
        let is_full = self.loads.len() >= MAX_SERVICES && self.loads.get(service).is_none();
        if load.slots.is_none() || is_full {
            return;
        }
        let value = f64::from(u8::from(load.waiting > 0));
        self.loads.get_or_insert_with(service, Sum::default).add(
            value,
            1.0,
            LOAD_HALF_LIFE,
            now,
            now,
        );
    }

    /// Returns how busy the servers of a service are, or `None` without recent reports.
    pub fn utilization(&self, service: &str, now: Time) -> Option<Utilization> {
        let sum = self.loads.get(service)?.decayed(LOAD_HALF_LIFE, now);
        (sum.weight >= sum::MIN_WEIGHT).then(|| Utilization {
            busy: sum.mean().clamp(0.0, 1.0),
            samples: sum.weight,
            age: now.since(sum.newest),
        })
    }
}
