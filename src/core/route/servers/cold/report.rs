//! Changes of cold servers for the log.

use crate::core::Name;
use crate::core::route::servers::Servers;
use crate::core::route::servers::cold::Coldness;
use crate::core::time::Time;

/// Maximum number of statements kept for the log.
const MAX_IGNORED: usize = 64;

/// Maximum number of servers in one report; the others follow in the next.
const MAX_CHANGES: usize = 64;

/// A change that the log shows.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A server counts as cold from now on.
    Cold(Name, Coldness),
    /// A server counts as warm from now on.
    Warm(Name),
    /// All servers that may be cold count as cold from now on.
    AllCold(Coldness),
    /// Each server counts again as what is known of it.
    AllKnown,
    /// A statement was ignored, or bounded to the longest time.
    Ignored(Name, Name),
}

/// What was not reported yet.
#[derive(Debug, Default)]
pub(super) struct Reports {
    ignored: Vec<(Name, Name)>,
    ignored_count: u64,
    is_all_cold: bool,
}

impl Reports {
    pub(super) fn ignore(&mut self, id: &str, value: &str, is_new: bool) {
        self.ignored_count += 1;
        if is_new && self.ignored.len() < MAX_IGNORED {
            self.ignored.push((id.into(), value.into()));
        }
    }
}

impl Servers {
    /// Returns the changes since the last call, and the number of ignored statements.
    pub fn cold_changes(&mut self, now: Time) -> (Vec<Change>, u64) {
        let ignored = std::mem::take(&mut self.cold.reports.ignored);
        let ignored = ignored
            .into_iter()
            .map(|(id, value)| Change::Ignored(id, value));
        let mut changes: Vec<Change> = ignored.collect();
        let count = std::mem::take(&mut self.cold.reports.ignored_count);
        if !self.has_cold_starts() {
            return (changes, count);
        }
        let all = self.cold.coldness(now);
        if all.is_some() != self.cold.reports.is_all_cold {
            self.cold.reports.is_all_cold = all.is_some();
            changes.push(all.map_or(Change::AllKnown, Change::AllCold));
        }
        let known = self.by_id.iter_mut();
        let known = known.map(|(id, server)| (id, &mut server.cold));
        let changed = known.filter_map(|(id, known)| {
            known.rule?;
            let coldness = known.own_coldness(now);
            if coldness.is_some() == known.is_logged {
                return None;
            }
            Some((id, known, coldness))
        });
        for (id, known, coldness) in changed.take(MAX_CHANGES) {
            known.is_logged = coldness.is_some();
            changes.push(match coldness {
                Some(coldness) => Change::Cold(id.clone(), coldness),
                None => Change::Warm(id.clone()),
            });
        }
        (changes, count)
    }
}
