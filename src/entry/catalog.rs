//! The catalog in force and when it was last confirmed to be the newest.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwapOption;

use crate::core::catalog::Catalog;
use crate::core::catalog::KeyPolicy;
use crate::core::catalog::WorkspaceHistory;
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
    history: Mutex<WorkspaceHistory>,
    /// Era of the store in which it has the record that workspaces were declared.
    recorded_era: Mutex<Option<u64>>,
}

impl CurrentCatalog {
    /// Creates a holder without a catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets what is known of the workspaces before the first catalog.
    #[must_use]
    pub fn with_history(self, history: WorkspaceHistory) -> Self {
        Self {
            history: Mutex::new(history),
            ..self
        }
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
        if catalog.has_workspaces() {
            self.record_history(WorkspaceHistory::Declared);
        }
        self.current.store(Some(Arc::new(catalog)));
        true
    }

    /// Returns what is known of the workspaces that were ever declared.
    pub fn history(&self) -> WorkspaceHistory {
        *self.history.lock().unwrap()
    }

    /// Records what was learned of the workspaces that were ever declared, and returns
    /// whether it was new.
    ///
    /// Nothing takes back that workspaces were declared.
    pub fn record_history(&self, learned: WorkspaceHistory) -> bool {
        let mut history = self.history.lock().unwrap();
        let is_new = match learned {
            WorkspaceHistory::Unknown => false,
            WorkspaceHistory::Never => *history == WorkspaceHistory::Unknown,
            WorkspaceHistory::Declared => *history != WorkspaceHistory::Declared,
        };
        if is_new {
            *history = learned;
        }
        is_new
    }

    /// Returns the era in which the store has the record that workspaces were declared.
    pub fn recorded_era(&self) -> Option<u64> {
        *self.recorded_era.lock().unwrap()
    }

    /// Sets the era in which the store has the record that workspaces were declared.
    pub fn set_recorded_era(&self, era: u64) {
        *self.recorded_era.lock().unwrap() = Some(era);
    }

    /// Returns whether the catalog in force declares no workspaces any more.
    pub fn has_lost_workspaces(&self) -> bool {
        let current = self.current.load();
        let declares_none = current.as_ref().is_some_and(|c| !c.has_workspaces());
        declares_none && self.history() == WorkspaceHistory::Declared
    }

    /// Returns whether the catalog in force leaves open if requests need a key.
    pub fn needs_history(&self) -> bool {
        let current = self.current.load();
        let policy = current.as_ref().map(|c| c.key_policy(self.history()));
        policy == Some(KeyPolicy::Unknown)
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
