//! Usage metering: counts of the requests that started at this entry.

use std::sync::Mutex;
use std::time::Duration;

use crate::core::Name;
use crate::core::time::Time;
use crate::core::usage;
use crate::core::usage::UsageMeter;
use crate::core::usage::WindowCounts;
use crate::entry::Entry;

/// Counts started requests by window and workspace.
pub struct Usage {
    meter: Mutex<UsageMeter>,
    length: Duration,
    /// Newest window that a lease holder is known to have claimed.
    ///
    /// The store may come back from a copy that is older than the claim.
    claimed: Mutex<Option<u64>>,
}

impl Usage {
    /// Creates an empty meter for windows of `length`.
    pub fn new(length: Duration) -> Self {
        Self {
            meter: Mutex::new(UsageMeter::new(length)),
            length,
            claimed: Mutex::new(None),
        }
    }

    /// Returns the newest window that a lease holder is known to have claimed.
    pub fn claimed(&self) -> Option<u64> {
        *self.claimed.lock().unwrap()
    }

    /// Records that the lease holder has claimed `window`, as known at `time`.
    ///
    /// A window that has not begun cannot have been claimed.
    pub fn record_claimed(&self, window: u64, time: Time) {
        let length = self.length.as_micros().max(1) as u64;
        if window <= time.0 / length {
            let mut claimed = self.claimed.lock().unwrap();
            *claimed = (*claimed).max(Some(window));
        }
    }

    /// Returns the newest window that has ended at `time`.
    pub fn newest_ended(&self, time: Time) -> u64 {
        let meter = self.meter.lock().unwrap();
        meter.window_at(time).saturating_sub(1)
    }

    /// Counts a request that started at `time`.
    pub fn record(&self, workspace: &Name, time: Time) {
        self.meter.lock().unwrap().record(workspace, time);
    }

    /// Returns the counts of the most recent windows.
    pub fn counts(&self) -> Vec<WindowCounts> {
        self.meter.lock().unwrap().counts().to_vec()
    }

    /// Returns the next window to report after `reported`, summed over all nodes.
    ///
    /// The report waits for summaries of all failure domains, but not until it is
    /// late.
    pub fn due(&self, entry: &Entry, reported: Option<u64>) -> Option<WindowCounts> {
        let time = entry.cluster_time();
        let known = entry.membership.usage_counts(entry);
        let settle = if known.is_complete {
            usage::SETTLE_TIME
        } else {
            usage::LATEST_SETTLE_TIME
        };
        let meter = self.meter.lock().unwrap();
        meter.next_complete(reported, known.counts.iter(), settle, time)
    }
}
