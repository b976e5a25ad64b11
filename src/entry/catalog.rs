//! The catalog in force and when it was last confirmed to be the newest.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwapOption;

use crate::core::catalog::Catalog;
use crate::core::time::Time;

/// Fraction of the revocation delay after which the catalog counts as stale.
const STALE_FRACTION: f64 = 0.55;

/// Fraction of the revocation delay reserved for the transit of a request.
const TRANSIT_FRACTION: f64 = 0.06;

/// Holds the operator's catalog in force.
#[derive(Debug, Default)]
pub struct CurrentCatalog {
    current: ArcSwapOption<Catalog>,
    confirmed: Mutex<Option<Time>>,
}

impl CurrentCatalog {
    /// Creates a holder without a catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the catalog in force, or `None` before the first one.
    pub fn load(&self) -> Option<Arc<Catalog>> {
        self.current.load_full()
    }

    /// Returns the version of the catalog in force, or 0 before the first one.
    pub fn version(&self) -> u64 {
        self.current
            .load()
            .as_ref()
            .map_or(0, |catalog| catalog.version)
    }

    /// Installs a catalog if it is newer than the one in force, and returns whether it did.
    pub fn install(&self, catalog: Catalog) -> bool {
        if catalog.version <= self.version() {
            return false;
        }
        self.current.store(Some(Arc::new(catalog)));
        true
    }

    /// Records that the catalog in force was the newest at `time`.
    pub fn confirm(&self, time: Time) {
        let mut confirmed = self.confirmed.lock().unwrap();
        *confirmed = Some(confirmed.map_or(time, |known| known.max(time)));
    }

    /// Returns the time since the catalog in force was confirmed to be the newest.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let confirmed = *self.confirmed.lock().unwrap();
        confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether the catalog has been unconfirmed for so long that callers
    /// should use another entry.
    pub fn is_stale(&self, revoke_delay: Duration, now: Time) -> bool {
        self.age(now)
            .is_none_or(|age| age > revoke_delay.mul_f64(STALE_FRACTION))
    }

    /// Returns whether a key of the catalog may have been revoked more than
    /// `revoke_delay` ago.
    pub fn is_expired(&self, revoke_delay: Duration, now: Time) -> bool {
        self.age(now)
            .is_none_or(|age| age > revoke_delay.mul_f64(1.0 - TRANSIT_FRACTION))
    }
}
