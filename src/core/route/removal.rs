//! Removal of servers whose store entries disappear during an outage of the store.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::time::Time;

/// Minimum duration of an outage in which entries of live servers may expire.
///
/// It is shorter than the three heartbeats after which the store removes an entry.
const MIN_OUTAGE: Duration = Duration::from_secs(2);

/// Duration of an outage after which the other nodes would have reported it if it
/// affected them too.
const PEER_REPORT_TIME: Duration = Duration::from_millis(3_500);

/// Time after the end of an outage by which the entries of live servers exist again.
const RECOVERY_TIME: Duration = Duration::from_millis(2_100);

/// Decides whether a server is removed when its entry disappears from the store.
///
/// During an outage of the store, the entries of live servers expire; they are
/// created again shortly after the outage. An entry that disappears at any other
/// time means that its server is gone.
#[derive(Clone, Debug, Default)]
pub struct RemovalFilter {
    /// Time of the last response to any call, of this node or of its relay.
    last_answer: Option<Time>,
    /// Time of the last response before the first failure that followed it.
    outage_start: Option<Time>,
    served_others: bool,
    /// Era of the store, which rises when the store returns from an older copy, or `None`
    /// before the first response.
    era: Option<u64>,
    outage_end: Option<Time>,
    pending_removals: NameMap<Time>,
}

impl RemovalFilter {
    /// Creates a filter that has seen no outage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a call to the store failed.
    ///
    /// `serves_others` tells whether the store responds to other nodes. In that case
    /// the entries of live servers do not expire, and a server whose entry disappears
    /// is gone.
    pub fn record_failure(&mut self, serves_others: bool, now: Time) {
        let last_answer = self.last_answer.unwrap_or(now);
        let start = *self.outage_start.get_or_insert(last_answer);
        self.served_others |= serves_others && now.since(start) >= PEER_REPORT_TIME;
    }

    /// Records a response to any call, which the store sent at `sent` or later.
    ///
    /// A store that responds to other calls while one kind of calls fails is not away.
    pub fn record_answer(&mut self, sent: Time, now: Time) {
        self.last_answer = self.last_answer.max(Some(sent));
        let was_outage = self
            .outage_start
            .take()
            .is_some_and(|start| now.since(start) >= MIN_OUTAGE);
        let served_others = std::mem::take(&mut self.served_others);
        if was_outage && !served_others {
            self.outage_end = Some(now);
        }
    }

    /// Records the era that the store is in.
    ///
    /// Entries that are missing from an older copy are created again like those that
    /// expired during an outage.
    pub fn record_era(&mut self, era: u64, now: Time) {
        if self.era.is_some_and(|known| era > known) {
            self.outage_end = Some(now);
        }
        self.era = self.era.max(Some(era));
    }

    /// Returns the time of the last response to any call.
    pub fn last_answer(&self) -> Option<Time> {
        self.last_answer
    }

    /// Returns whether the server of a disappeared entry is to be removed now.
    ///
    /// Otherwise its removal is pending until [`take_expired`](Self::take_expired)
    /// returns it.
    pub fn should_remove(&mut self, id: &Name, now: Time) -> bool {
        let Some(outage_end) = self.outage_end else {
            return true;
        };
        if now.since(outage_end) >= RECOVERY_TIME {
            self.outage_end = None;
            return true;
        }
        self.pending_removals
            .get_or_insert_with(id, || outage_end + RECOVERY_TIME);
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
