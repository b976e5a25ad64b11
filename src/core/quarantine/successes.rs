//! Features of requests that were answered.

use std::time::Duration;

use crate::core::quarantine::features::Feature;
use crate::core::quarantine::features::Features;
use crate::core::time::Time;

/// Time after which a success is forgotten at the latest, as a number of
/// generations of this length.
const GENERATION_TIME: Duration = Duration::from_secs(60);

/// Maximum number of features in a generation.
const MAX_FEATURES: usize = 2_048;

/// Remembers when requests with a feature were last answered at this node.
///
/// # Invariants
///
/// `recent` and `earlier` are sorted by feature, without repeats.
#[derive(Clone, Debug, Default)]
pub struct Successes {
    recent: Vec<(Feature, Time)>,
    earlier: Vec<(Feature, Time)>,
    rotated_at: Time,
}

fn find(rows: &[(Feature, Time)], feature: Feature) -> Result<usize, usize> {
    rows.binary_search_by_key(&feature, |row| row.0)
}

impl Successes {
    /// Records that the answer to a request with these features began at `at`.
    ///
    /// The fingerprint of a request with prompt parts is left out, since such
    /// requests seldom repeat.
    pub fn record(&mut self, features: &Features, at: Time) {
        let is_full = self.recent.len() >= MAX_FEATURES;
        if is_full || at.since(self.rotated_at) >= GENERATION_TIME {
            self.earlier = std::mem::take(&mut self.recent);
            self.rotated_at = at;
        }
        let has_parts = features.iter().any(|f| matches!(f, Feature::Part(_)));
        for feature in features.iter() {
            if has_parts && matches!(feature, Feature::Request(_)) {
                continue;
            }
            match find(&self.recent, feature) {
                Ok(index) => self.recent[index].1 = self.recent[index].1.max(at),
                Err(index) => self.recent.insert(index, (feature, at)),
            }
        }
    }

    /// Returns when the last answer to a request with this feature began.
    pub fn last(&self, feature: Feature) -> Option<Time> {
        let at = |rows: &[(Feature, Time)]| find(rows, feature).ok().map(|index| rows[index].1);
        at(&self.recent).or_else(|| at(&self.earlier))
    }
}
