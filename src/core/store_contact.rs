//! When the store last answered, and whether it was away for everyone.

use std::time::Duration;

use crate::core::time::Time;

/// Minimum duration of an outage in which entries of live servers may expire.
///
/// It is shorter than the three heartbeats after which the store removes an entry.
const MIN_OUTAGE: Duration = Duration::from_secs(2);

/// Duration of an outage after which the other nodes would have reported it if it
/// affected them too.
const PEER_REPORT_TIME: Duration = Duration::from_millis(3_500);

/// Tracks the answers of the store to calls of any kind.
///
/// A store that answers some calls while one kind of calls fails is not away.
#[derive(Clone, Debug, Default)]
pub struct StoreContact {
    /// Time of the last answer to any call, of this node or of its relay.
    last_answer: Option<Time>,
    /// Time of the last answer before the first failure that followed it.
    outage_start: Option<Time>,
    served_others: bool,
    /// Era of the store, or `None` before the first answer.
    era: Option<u64>,
}

impl StoreContact {
    /// Creates a state without any answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a call failed.
    ///
    /// `serves_others` tells whether the store answers other nodes, which do not count
    /// before they would have reported the outage.
    pub fn record_failure(&mut self, serves_others: bool, now: Time) {
        let last_answer = self.last_answer.unwrap_or(now);
        let start = *self.outage_start.get_or_insert(last_answer);
        self.served_others |= serves_others && now.since(start) >= PEER_REPORT_TIME;
    }

    /// Records an answer to any call, which the store sent at `sent` or later, and its era
    /// if that is known.
    ///
    /// Returns whether the store has returned from an outage that affected all nodes, or
    /// from an older copy of itself. In both cases entries of live servers may be missing
    /// for a while.
    pub fn record_answer(&mut self, era: Option<u64>, sent: Time, now: Time) -> bool {
        self.last_answer = self.last_answer.max(Some(sent));
        let outage = self.outage_start.take().map(|start| now.since(start));
        let was_away = outage.is_some_and(|outage| outage >= MIN_OUTAGE);
        let served_others = std::mem::take(&mut self.served_others);
        let is_restored = self.era.is_some() && era > self.era;
        self.era = self.era.max(era);
        is_restored || was_away && !served_others
    }

    /// Returns the time of the last answer to any call.
    pub const fn last_answer(&self) -> Option<Time> {
        self.last_answer
    }
}
