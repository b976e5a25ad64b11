//! Counts of requests by window of time and workspace.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::time::Time;

/// Windows that a node keeps and tells others.
const KEPT: usize = 3;

/// Time after the end of a window until the counts of all nodes have arrived,
/// which takes some rounds of heartbeats when there are many nodes.
const SETTLE: Duration = Duration::from_secs(4);

/// Requests that began to run in one window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Number of the window since 1970.
    pub window: u64,
    /// Requests by workspace.
    pub requests: NameMap<u64>,
}

impl WindowCounts {
    fn add(&mut self, other: &WindowCounts) {
        for (workspace, count) in other.requests.iter() {
            *self.requests.get_or_insert_with(workspace, || 0) += count;
        }
    }

    /// Returns whether no request began in the window.
    pub fn is_empty(&self) -> bool {
        self.requests.iter().all(|(_, count)| *count == 0)
    }
}

/// The requests that began at this node.
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
    /// Creates a meter for windows of `length`.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            rows: Vec::new(),
        }
    }

    /// Returns the window that contains `time`.
    pub fn window_at(&self, time: Time) -> u64 {
        time.0 / (self.length.as_micros() as u64).max(1)
    }

    /// Returns the end of a window.
    fn end(&self, window: u64) -> Time {
        Time((window + 1) * self.length.as_micros() as u64)
    }

    /// WindowCounts a request of `workspace` that began at `time`.
    pub fn record(&mut self, workspace: &Name, time: Time) {
        let window = self.window_at(time);
        let at = match self.rows.binary_search_by_key(&window, |row| row.window) {
            Ok(at) => at,
            Err(at) => {
                let row = WindowCounts {
                    window,
                    requests: NameMap::new(),
                };
                self.rows.insert(at, row);
                if self.rows.len() > KEPT {
                    self.rows.remove(0);
                }
                at.min(self.rows.len() - 1)
            }
        };
        *self.rows[at].requests.get_or_insert_with(workspace, || 0) += 1;
    }

    /// Returns the counts of the last windows.
    pub fn counts(&self) -> &[WindowCounts] {
        &self.rows
    }

    /// Returns the sum over all nodes for the first window after `reported`
    /// that is over for long enough, or `None` if there is none yet.
    ///
    /// Windows without requests are passed over, as are those that no node
    /// remembers any more.
    pub fn next_complete<'a>(
        &'a self,
        reported: Option<u64>,
        others: impl Iterator<Item = &'a WindowCounts>,
        time: Time,
    ) -> Option<WindowCounts> {
        let is_due = |window: u64| {
            reported.is_none_or(|last| window > last) && self.end(window) + SETTLE <= time
        };
        let mut sum: Option<WindowCounts> = None;
        for counts in self.rows.iter().chain(others) {
            if !is_due(counts.window) || counts.is_empty() {
                continue;
            }
            match &mut sum {
                Some(known) if known.window < counts.window => {}
                Some(known) if known.window == counts.window => known.add(counts),
                _ => sum = Some(counts.clone()),
            }
        }
        sum
    }
}
