//! What a node's candidates for a service show of all its servers.

use std::time::Duration;

use crate::core::route::servers::Servers;
use crate::core::time::Time;

/// Age up to which a load report is used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// What the candidates for a service show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Fraction of the candidates that are usable.
    pub usable: f64,
    /// Running and waiting requests per slot in recent load reports, if there are any.
    pub occupancy: Option<f64>,
    /// Age of the oldest of these reports.
    pub report_age: Duration,
}

impl Servers {
    /// Samples this node's candidates for a service.
    ///
    /// The list of servers shows seconds later which of them have ended.
    pub fn sample(&self, service: &str, now: Time) -> Sample {
        let (mut count, mut usable) = (0_u32, 0_u32);
        let (mut requests, mut slots, mut oldest) = (0.0, 0.0, Duration::ZERO);
        for server in self.service_candidates(service) {
            count += 1;
            usable += u32::from(server.is_usable(now));
            let Some((load, at)) = server.last_load() else {
                continue;
            };
            let age = now.since(at);
            if let Some(stated) = load.slots.filter(|_| age <= MAX_REPORT_AGE) {
                requests += f64::from(load.running) + f64::from(load.waiting);
                slots += f64::from(stated);
                oldest = oldest.max(age);
            }
        }
        Sample {
            usable: f64::from(usable) / f64::from(count.max(1)),
            occupancy: (slots > 0.0 && requests > 0.0).then(|| requests / slots),
            report_age: oldest,
        }
    }
}
