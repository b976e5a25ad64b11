//! The declaration in force and how surely it is the newest.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwapOption;

use crate::core::catalog::Catalog;
use crate::core::time::Time;

/// Part of the time to revoke a key after which the declaration counts as stale.
const STALE_PART: f64 = 0.55;

/// Part of the time to revoke a key that is left for the request to arrive.
const ARRIVAL_PART: f64 = 0.06;

/// The declaration in force.
#[derive(Debug, Default)]
pub struct CurrentCatalog {
    current: ArcSwapOption<Catalog>,
    confirmed: Mutex<Option<Time>>,
}

impl CurrentCatalog {
    /// Creates a holder without a declaration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the declaration in force.
    pub fn load(&self) -> Option<Arc<Catalog>> {
        self.current.load_full()
    }

    /// Returns the number of the declaration in force, or 0.
    pub fn version(&self) -> u64 {
        self.current
            .load()
            .as_ref()
            .map_or(0, |catalog| catalog.version)
    }

    /// Puts a declaration into force unless a newer one is, and returns whether it did.
    pub fn install(&self, catalog: Catalog) -> bool {
        if catalog.version <= self.version() {
            return false;
        }
        self.current.store(Some(Arc::new(catalog)));
        true
    }

    /// Records that the declaration was the newest at `time`.
    pub fn confirm(&self, time: Time) {
        let mut confirmed = self.confirmed.lock().unwrap();
        *confirmed = Some(confirmed.map_or(time, |known| known.max(time)));
    }

    /// Returns how long ago the declaration was known to be the newest.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let confirmed = *self.confirmed.lock().unwrap();
        confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether the store was out of reach for so long that callers are
    /// better led to another entry.
    pub fn is_stale(&self, revoke: Duration, now: Time) -> bool {
        self.age(now)
            .is_none_or(|age| age > revoke.mul_f64(STALE_PART))
    }

    /// Returns whether a key of the declaration may have been withdrawn for
    /// longer than `revoke`.
    pub fn is_expired(&self, revoke: Duration, now: Time) -> bool {
        self.age(now)
            .is_none_or(|age| age > revoke.mul_f64(1.0 - ARRIVAL_PART))
    }
}
