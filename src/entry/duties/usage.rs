//! Reports of usage, each claimed in the store before it is sent.

use serde_json::Value;

use crate::core::usage::Counts;
use crate::entry::Entry;
use crate::entry::duties;
use crate::entry::duties::Duties;
use crate::entry::outside::CloudReply;
use crate::entry::outside::Content;
use crate::entry::outside::Holder;
use crate::entry::outside::Kind;
use crate::telemetry::events::Event;

/// Name of the object that holds the usage claimed for a report.
const CLAIM: &str = "claim";

/// The usage that is claimed for the report of one window.
pub(super) struct Claim {
    revision: Option<u64>,
    counts: Option<Counts>,
    is_sent: bool,
}

impl Duties {
    /// Reports the usage of the next window that is over.
    ///
    /// The counts are claimed in the store before they are sent, so that a
    /// window is never reported with two different counts.
    pub(super) async fn report(&mut self, entry: &Entry, holder: &Holder) {
        if self.claim.is_none() && !self.read_claim(entry).await {
            return;
        }
        let Some(claim) = &self.claim else { return };
        if claim.is_sent || claim.counts.is_none() {
            let reported = claim.counts.as_ref().map(|counts| counts.window);
            let Some(counts) = entry.usage.due(entry, reported) else {
                return;
            };
            if !self.write_claim(entry, counts).await {
                return;
            }
        }
        if !self.duty.may_order(entry.clock.now()) {
            return;
        }
        let Some(claim) = &mut self.claim else { return };
        let Some(counts) = &claim.counts else { return };
        let reply = duties::limited(entry.outside.cloud.report_usage(holder, counts)).await;
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
                self.duty.record_lost();
            }
            CloudReply::Busy | CloudReply::Lost => {}
        }
    }

    async fn read_claim(&mut self, entry: &Entry) -> bool {
        match entry.outside.store.get(Kind::Usage, CLAIM).await {
            Ok(object) => {
                let revision = object.as_ref().map(|object| object.revision);
                let counts = object.and_then(|object| match object.content {
                    Content::Record(value) => serde_json::from_value(value).ok(),
                    _ => None,
                });
                self.claim = Some(Claim {
                    revision,
                    counts,
                    is_sent: false,
                });
                true
            }
            Err(e) => {
                duties::note_store(entry, "claim_read", &e);
                false
            }
        }
    }

    async fn write_claim(&mut self, entry: &Entry, counts: Counts) -> bool {
        let revision = self.claim.as_ref().and_then(|claim| claim.revision);
        let value = serde_json::to_value(&counts).unwrap_or(Value::Null);
        let store = &entry.outside.store;
        match store.write(Kind::Usage, CLAIM, revision, &value).await {
            Ok(revision) => {
                self.claim = Some(Claim {
                    revision: Some(revision),
                    counts: Some(counts),
                    is_sent: false,
                });
                true
            }
            Err(e) => {
                duties::note_store(entry, "claim_write", &e);
                // What is there now is read before anything else is sent.
                self.claim = None;
                false
            }
        }
    }
}
