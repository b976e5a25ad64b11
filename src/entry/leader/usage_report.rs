//! Reports usage, one window at a time.
//!
//! The counts of a window are written to the store as a claim before they are
//! sent.

use serde_json::Value;

use crate::core::name_map::NameMap;
use crate::core::usage::WindowCounts;
use crate::core::usage::claims::Next;
use crate::entry::Entry;
use crate::entry::adapter::CloudReply;
use crate::entry::adapter::Content;
use crate::entry::adapter::LeaseHolder;
use crate::entry::adapter::ObjectKind;
use crate::entry::leader;
use crate::entry::leader::Leadership;
use crate::telemetry::events::Event;

/// Name of the store object that holds the claim.
const CLAIM_NAME: &str = "claim";

/// The counts of one window that are to be reported, as written to the store.
pub(super) struct UsageClaim {
    revision: Option<u64>,
    counts: Option<WindowCounts>,
    is_sent: bool,
}

impl UsageClaim {
    /// Creates a claim that this node has not reported.
    ///
    /// A claim without counts closes windows, so that there is nothing to report.
    fn new(revision: Option<u64>, counts: Option<WindowCounts>) -> Self {
        Self {
            is_sent: counts.as_ref().is_some_and(WindowCounts::is_empty),
            revision,
            counts,
        }
    }
}

impl Leadership {
    /// Reports the usage of the next window that has ended.
    ///
    /// The counts are written to the store before they are sent, so that a window
    /// is never reported with two different counts.
    pub(super) async fn report_usage(&mut self, entry: &Entry, holder: &LeaseHolder) {
        if self.claim.is_none() && !self.read_claim(entry).await {
            return;
        }
        let Some(claim) = &self.claim else { return };
        let stored = claim.counts.as_ref().map(|counts| counts.window);
        let reported = match self.claim_history.next(stored) {
            Next::After(window) => Some(window).max(entry.usage.claimed()),
            Next::Close => return self.close_windows(entry).await,
        };
        if claim.is_sent || stored.is_none() || stored < reported {
            let Some(counts) = entry.usage.due(entry, reported) else {
                return;
            };
            if !self.write_claim(entry, counts).await {
                return;
            }
        }
        if !self.lease_state.may_send_order(entry.clock.now()) {
            return;
        }
        let Some(claim) = &mut self.claim else { return };
        let Some(counts) = &claim.counts else { return };
        let reply = leader::with_timeout(entry.adapter.cloud.report_usage(holder, counts)).await;
        entry.events.write(
            Event::new("usage_reported")
                .with("window", counts.window)
                .with("fence", holder.fence)
                .with("outcome", format!("{reply:?}")),
        );
        match reply {
            CloudReply::Done => claim.is_sent = true,
            CloudReply::Refused => {
                self.claim = None;
                self.lease_state.invalidate();
            }
            CloudReply::Busy | CloudReply::Lost => {}
        }
    }

    /// Claims the windows that have ended without reporting them.
    async fn close_windows(&mut self, entry: &Entry) {
        let window = entry.usage.newest_ended(entry.cluster_time());
        let counts = WindowCounts {
            window,
            requests: NameMap::new(),
        };
        if self.write_claim(entry, counts).await {
            let event = Event::new("usage_windows_closed").with("window", window);
            entry
                .events
                .write(event.with("era", self.lease_state.era()));
        }
    }

    async fn read_claim(&mut self, entry: &Entry) -> bool {
        match self.read_record(entry, ObjectKind::Usage, CLAIM_NAME).await {
            Ok(object) => {
                let revision = object.as_ref().map(|object| object.revision);
                let counts: Option<WindowCounts> = object.and_then(|object| match object.content {
                    Content::Record(value) => serde_json::from_value(value).ok(),
                    _ => None,
                });
                if let Some(counts) = &counts {
                    self.record_claimed(entry, counts.window);
                }
                self.claim = Some(UsageClaim::new(revision, counts));
                true
            }
            Err(e) => {
                leader::record_store_failure(entry, "claim_read", &e);
                false
            }
        }
    }

    async fn write_claim(&mut self, entry: &Entry, counts: WindowCounts) -> bool {
        let revision = self.claim.as_ref().and_then(|claim| claim.revision);
        let value = serde_json::to_value(&counts).unwrap_or(Value::Null);
        let written = self
            .write_record(entry, ObjectKind::Usage, CLAIM_NAME, revision, &value)
            .await;
        match written {
            Ok(revision) => {
                self.record_claimed(entry, counts.window);
                self.claim = Some(UsageClaim::new(Some(revision), Some(counts)));
                true
            }
            Err(e) => {
                leader::record_store_failure(entry, "claim_write", &e);
                // Forces the stored claim to be read before anything else is sent.
                self.claim = None;
                false
            }
        }
    }

    /// Remembers the window of a claim, which the other entries are told.
    fn record_claimed(&mut self, entry: &Entry, window: u64) {
        self.claim_history.record_claim(window);
        entry.usage.record_claimed(window, entry.cluster_time());
    }
}
