//! Request counts by time window and workspace.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::time::Time;

pub mod claims;

/// Number of windows that a node keeps and publishes.
const MAX_WINDOWS: usize = 3;

/// Time after the end of a window until the counts of all nodes have arrived.
///
/// With many nodes, this takes several heartbeat rounds.
pub const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time after the end of a window at which its counts are reported even if some
/// of them are missing.
pub const LATEST_SETTLE_TIME: Duration = Duration::from_secs(7);

/// Numbers of requests that started in one time window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Number of the window, counted from the Unix epoch.
    pub window: u64,
    /// Number of requests by workspace.
    pub requests: NameMap<u64>,
}

impl WindowCounts {
    /// Returns whether no request started in the window.
    pub fn is_empty(&self) -> bool {
        self.requests.iter().all(|(_, count)| *count == 0)
    }
}

/// Maximum number of windows in a sum over several nodes.
///
/// Clocks differ, so some nodes already count a window that others have not
/// reached.
const MAX_SUMMED_WINDOWS: usize = MAX_WINDOWS + 1;

/// Returns the sum of `counts` for each of the most recent windows.
pub fn sum<'a>(counts: impl Iterator<Item = &'a WindowCounts>) -> Vec<WindowCounts> {
    combine(counts, |total, count| *total += count)
}

/// Returns the highest of `counts` for each workspace in each of the most recent
/// windows.
pub fn highest<'a>(counts: impl Iterator<Item = &'a WindowCounts>) -> Vec<WindowCounts> {
    combine(counts, |total, count| *total = count.max(*total))
}

fn combine<'a>(
    counts: impl Iterator<Item = &'a WindowCounts>,
    add: impl Fn(&mut u64, u64),
) -> Vec<WindowCounts> {
    let mut rows: Vec<WindowCounts> = Vec::new();
    for row in counts {
        let index = match rows.binary_search_by_key(&row.window, |known| known.window) {
            Ok(index) => index,
            Err(index) => {
                let empty = WindowCounts {
                    window: row.window,
                    requests: NameMap::new(),
                };
                rows.insert(index, empty);
                index
            }
        };
        for (workspace, count) in row.requests.iter() {
            add(
                rows[index].requests.get_or_insert_with(workspace, || 0),
                *count,
            );
        }
    }
    let excess = rows.len().saturating_sub(MAX_SUMMED_WINDOWS);
    rows.drain(..excess);
    rows
}

/// Counts the requests that started at this node.
///
/// # Invariants
///
/// `rows` is sorted by window.
#[derive(Clone, Debug)]
pub struct UsageMeter {
    length: Duration,
    rows: Vec<WindowCounts>,
}

impl UsageMeter {
    /// Creates a meter with windows of `length`.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            rows: Vec::new(),
        }
    }

    /// Returns the number of the window that contains `time`.
    pub fn window_at(&self, time: Time) -> u64 {
        time.0 / (self.length.as_micros() as u64).max(1)
    }

    /// Returns the time at which a window ends.
    fn end(&self, window: u64) -> Time {
        Time((window + 1) * self.length.as_micros() as u64)
    }

    /// Counts a request of `workspace` that started at `time`.
    pub fn record(&mut self, workspace: &Name, time: Time) {
        let window = self.window_at(time);
        let index = match self.rows.binary_search_by_key(&window, |row| row.window) {
            Ok(index) => index,
            Err(index) => {
                let row = WindowCounts {
                    window,
                    requests: NameMap::new(),
                };
                self.rows.insert(index, row);
                if self.rows.len() > MAX_WINDOWS {
                    self.rows.remove(0);
                }
                index.min(self.rows.len() - 1)
            }
        };
        *self.rows[index]
            .requests
            .get_or_insert_with(workspace, || 0) += 1;
    }

    /// Returns the counts of the most recent windows.
    pub fn counts(&self) -> &[WindowCounts] {
        &self.rows
    }

    /// Returns the sum of `counts` for the first window after `reported` that ended
    /// `settle` ago or earlier.
    ///
    /// Windows without requests are skipped, as are windows that no node keeps any
    /// more.
    pub fn next_complete<'a>(
        &self,
        reported: Option<u64>,
        counts: impl Iterator<Item = &'a WindowCounts>,
        settle: Duration,
        time: Time,
    ) -> Option<WindowCounts> {
        let is_complete = |window: u64| {
            reported.is_none_or(|last| window > last) && self.end(window) + settle <= time
        };
        let complete = counts.filter(|counts| is_complete(counts.window) && !counts.is_empty());
        combine_first(complete)
    }
}

/// Returns the sum of `counts` for the first of their windows.
fn combine_first<'a>(counts: impl Iterator<Item = &'a WindowCounts>) -> Option<WindowCounts> {
    let counts: Vec<&WindowCounts> = counts.collect();
    let first = counts.iter().map(|counts| counts.window).min()?;
    let rows = counts.into_iter().filter(|counts| counts.window == first);
    sum(rows).pop()
}
