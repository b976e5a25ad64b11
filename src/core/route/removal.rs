//! Removal of servers whose store entries disappear while the store is not complete.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::time::Time;

/// Time after the return of the store by which the entries of live servers exist again.
const RECOVERY_TIME: Duration = Duration::from_millis(2_100);

/// Decides whether a server is removed when its entry disappears from the store.
///
/// During an outage of the store, the entries of live servers expire, and an older copy of
/// it may lack them; they are created again shortly after its return. An entry that
/// disappears at any other time means that its server is gone.
#[derive(Clone, Debug, Default)]
pub struct RemovalFilter {
    returned_at: Option<Time>,
    pending_removals: NameMap<Time>,
}

impl RemovalFilter {
    /// Creates a filter that holds no removal.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the store has returned and may lack entries of live servers.
    pub fn record_return(&mut self, now: Time) {
        self.returned_at = Some(now);
    }

    /// Returns whether the server of a disappeared entry is to be removed now.
    ///
    /// Otherwise its removal is pending until [`take_expired`](Self::take_expired)
    /// returns it.
    pub fn should_remove(&mut self, id: &Name, now: Time) -> bool {
        let Some(returned_at) = self.returned_at else {
            return true;
        };
        if now.since(returned_at) >= RECOVERY_TIME {
            self.returned_at = None;
            return true;
        }
        self.pending_removals
            .get_or_insert_with(id, || returned_at + RECOVERY_TIME);
        false
    }

    /// Records that an entry exists, which cancels a pending removal.
    pub fn record_present(&mut self, id: &str) {
        self.pending_removals.remove(id);
    }

    /// Removes and returns the entries that were not created again in time.
    pub fn take_expired(&mut self, now: Time) -> Vec<Name> {
        let mut expired = Vec::new();
        self.pending_removals.retain(|id, deadline| {
            let is_pending = *deadline > now;
            if !is_pending {
                expired.push(id.clone());
            }
            is_pending
        });
        expired
    }
}
