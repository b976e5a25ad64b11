//! Request counts by time window and workspace.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::time::Time;

/// Number of windows that a node keeps and publishes.
const MAX_WINDOWS: usize = 3;

/// Time after the end of a window until the counts of all nodes have arrived.
///
/// With many nodes, this takes several heartbeat rounds.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Numbers of requests that started in one time window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Number of the window, counted from the Unix epoch.
    pub window: u64,
    /// Number of requests by workspace.
    pub requests: NameMap<u64>,
}

impl WindowCounts {
    fn add(&mut self, other: &WindowCounts) {
        for (workspace, count) in other.requests.iter() {
            *self.requests.get_or_insert_with(workspace, || 0) += count;
        }
    }

    /// Returns whether no request started in the window.
    pub fn is_empty(&self) -> bool {
        self.requests.iter().all(|(_, count)| *count == 0)
    }
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

    /// Returns the sum over all nodes for the first complete window after `reported`.
    ///
    /// A window is complete when all counts have had time to arrive; `None`
    /// means that there is no such window yet. Windows without requests are
    /// skipped, as are windows that no node keeps any more.
    pub fn next_complete<'a>(
        &'a self,
        reported: Option<u64>,
        others: impl Iterator<Item = &'a WindowCounts>,
        time: Time,
    ) -> Option<WindowCounts> {
        let is_complete = |window: u64| {
            reported.is_none_or(|last| window > last) && self.end(window) + SETTLE_TIME <= time
        };
        let mut sum: Option<WindowCounts> = None;
        for counts in self.rows.iter().chain(others) {
            if !is_complete(counts.window) || counts.is_empty() {
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
