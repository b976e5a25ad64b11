//! The traffic of all entries, with its age.

use std::time::Duration;

use crate::core::fleet::load::Traffic;
use crate::core::name_map::NameMap;
use crate::core::time::Time;
use crate::entry::membership::Membership;

/// Fraction of the other entries whose traffic must be known to speak for all.
const MIN_HEARD: f64 = 0.75;

impl Membership {
    /// Returns the traffic of all entries by service and its age, or `None` if that of too
    /// many entries is unknown; `own` is the traffic of this entry.
    pub fn fleet_traffic(
        &self,
        own: NameMap<Traffic>,
        now: Time,
    ) -> Option<(NameMap<Traffic>, Duration)> {
        let traffic = self.traffic(own, now)?;
        let state = self.state.lock().unwrap();
        if state.is_aggregated() {
            return Some((traffic, state.aggregation.view.age(now)?));
        }
        let (live, age) = state.peers.live_age(now);
        // This entry sends itself no heartbeats, but is registered.
        let others = state.registrations.len().checked_sub(1)?;
        let is_known = live as f64 >= others as f64 * MIN_HEARD;
        is_known.then_some((traffic, age))
    }
}
