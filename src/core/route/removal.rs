//! Entries that vanish while the store is away.

use std::time::Duration;

use crate::core::Name;
use crate::core::table::Table;
use crate::core::time::Time;

/// Time without the store in which a live server's entry may lapse: less than
/// the three heartbeats after which the store drops it.
const OUTAGE: Duration = Duration::from_secs(2);

/// Time without the store after which the other nodes would say so if they were
/// without it too.
const TOLD_AFTER: Duration = Duration::from_millis(3_500);

/// Time after the store's return in which a live server's entry is back.
const RETURN: Duration = Duration::from_millis(2_100);

/// Decides when a vanished entry means that its server is gone.
///
/// While the store is away, entries of live servers lapse; they come back
/// shortly after it does. An entry that vanishes at any other time is gone.
#[derive(Clone, Debug, Default)]
pub struct RemovalFilter {
    lost: Option<Time>,
    served_others: bool,
    returned: Option<Time>,
    held: Table<Time>,
}

impl RemovalFilter {
    /// Creates the view of a store that was never away.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the store did not answer, and was last heard from at `since`.
    ///
    /// `serves_others` says that it answers other nodes. Entries of live servers
    /// then do not lapse, and what vanishes is gone.
    pub fn record_failure(&mut self, serves_others: bool, since: Time, now: Time) {
        let lost = *self.lost.get_or_insert(since);
        self.served_others |= serves_others && now.since(lost) >= TOLD_AFTER;
    }

    /// Records an answer of the store.
    pub fn record_answer(&mut self, now: Time) {
        let was_away = self
            .lost
            .take()
            .is_some_and(|lost| now.since(lost) >= OUTAGE);
        let served_others = std::mem::take(&mut self.served_others);
        if was_away && !served_others {
            self.returned = Some(now);
        }
    }

    /// Returns whether a vanished entry is to be dropped now; it is held else.
    pub fn should_remove(&mut self, id: &Name, now: Time) -> bool {
        let Some(returned) = self.returned else {
            return true;
        };
        if now.since(returned) >= RETURN {
            self.returned = None;
            return true;
        }
        self.held.get_or_insert_with(id, || returned + RETURN);
        false
    }

    /// Records that an entry is there.
    pub fn record_present(&mut self, id: &str) {
        self.held.remove(id);
    }

    /// Takes out the entries that did not come back in time.
    pub fn take_expired(&mut self, now: Time) -> Vec<Name> {
        let mut expired = Vec::new();
        self.held.retain(|id, until| {
            let is_held = *until > now;
            if !is_held {
                expired.push(id.clone());
            }
            is_held
        });
        expired
    }
}
