//! The calls that only one node may make: usage reports and orders for servers.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::core::Name;
use crate::core::config::Fencing;
use crate::core::fleet::orders::Planner;
use crate::core::lease;
use crate::core::lease::Duty;
use crate::core::lease::Lease;
use crate::core::lease::Step;
use crate::core::lease::Terms;
use crate::core::peer::Phase;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::beats;
use crate::entry::duties::usage::Claim;
use crate::entry::outside::CloudReply;
use crate::entry::outside::Content;
use crate::entry::outside::Holder;
use crate::entry::outside::Kind;
use crate::entry::outside::StoreError;
use crate::telemetry::events::Event;

mod servers;
mod usage;

/// Time between two looks at the duties.
const STEP: Duration = Duration::from_millis(250);

/// Time for which the lease is given, as a multiple of the least time after
/// which a node that lost it may have it again.
const TERM_FACTOR: f64 = 1.3;

/// Part of the term between two renewals.
const RENEWAL_PART: f64 = 0.33;

/// Part of the term that the holder does not use.
const MARGIN_PART: f64 = 0.2;

/// Longest time for which a call may be on its way.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Name of the lease object.
const LEASE: &str = "duties";

/// Time between two removals of old registrations.
const SWEEP: Duration = Duration::from_secs(20);

/// Time after a report of a move's end until it is sent again.
const REPORT_REST: Duration = Duration::from_millis(700);

/// One node's part in the duties.
struct Duties {
    duty: Duty,
    /// Revision of the lease object as last read or written.
    revision: Option<u64>,
    /// A write of the lease that got no answer, and when it was sent.
    pending: Option<(Lease, Time)>,
    claim: Option<Claim>,
    planners: Table<Planner>,
    swept_at: Time,
    reported_at: Time,
}

/// Runs the duties until the entry has stopped.
pub async fn run(entry: Arc<Entry>) {
    let settings = entry.settings.load_full();
    let term = settings.bounds.lease.mul_f64(TERM_FACTOR);
    let terms = Terms {
        term,
        renewal: term.mul_f64(RENEWAL_PART),
        margin: term.mul_f64(MARGIN_PART),
        order: CALL_TIMEOUT,
    };
    let mut duties = Duties {
        duty: Duty::new(settings.node.clone(), Fencing::Refused).with_terms(terms),
        revision: None,
        pending: None,
        claim: None,
        planners: Table::new(),
        swept_at: entry.clock.now(),
        reported_at: Time::default(),
    };
    let mut step = tokio::time::interval(STEP);
    step.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        step.tick().await;
        duties.step(&entry).await;
    }
}

/// Returns whether this node is the one to ask for the lease.
///
/// All nodes agree on it as far as they hear the same others; the lease decides
/// where they do not.
fn is_first(entry: &Entry, holder: Option<&Name>, now: Time) -> bool {
    let live = entry.beats.live(now);
    let others = live
        .iter()
        .filter(|status| status.phase == Phase::Ready && Some(&status.node) != holder)
        .map(|status| status.incarnation);
    lease::is_next(entry.beats.incarnation(), others)
}

impl Duties {
    async fn step(&mut self, entry: &Entry) {
        let now = entry.clock.now();
        if let Some(lease) = entry.beats.lease() {
            self.duty.record_heard(lease, now);
        }
        if entry.is_leaving() {
            self.release(entry).await;
            return;
        }
        let is_able = beats::phase(entry) == Phase::Ready;
        let is_holder = self.duty.is_held(now);
        let holder = self.duty.holder().cloned();
        let wanted = is_able && (is_holder || is_first(entry, holder.as_ref(), now));
        if wanted && !is_holder {
            if self.duty.is_overdue(now) && !self.read(entry).await {
                return;
            }
            if !self.duty.is_free(entry.clock.now()) {
                return;
            }
        }
        match self.duty.step(wanted, entry.clock.now()) {
            Step::Write(lease) => self.write(entry, lease, is_holder).await,
            Step::Act { fence, .. } => self.act(entry, fence).await,
            Step::Wait => {
                if !self.duty.is_held(entry.clock.now()) {
                    entry.beats.set_lease(None);
                }
            }
        }
    }

    /// Reads the lease and returns whether it is known now.
    async fn read(&mut self, entry: &Entry) -> bool {
        match entry.outside.store.get(Kind::Leases, LEASE).await {
            Ok(object) => {
                self.revision = object.as_ref().map(|object| object.revision);
                let lease = object.and_then(|object| match object.content {
                    Content::Record(value) => serde_json::from_value::<Lease>(value).ok(),
                    _ => None,
                });
                let pending = self.pending.take();
                match (lease, pending) {
                    // The reply to the last write was lost, not the write.
                    (Some(lease), Some((written, sent))) if lease == written => {
                        self.duty.record_written(lease, sent);
                    }
                    (lease, _) => self.duty.record_read(lease, entry.clock.now()),
                }
                true
            }
            Err(e) => {
                note_store(entry, "lease_read", &e);
                false
            }
        }
    }

    async fn write(&mut self, entry: &Entry, lease: Lease, was_held: bool) {
        let sent = entry.clock.now();
        let value = serde_json::to_value(&lease).unwrap_or(Value::Null);
        let store = &entry.outside.store;
        let written = store
            .write(Kind::Leases, LEASE, self.revision, &value)
            .await;
        match written {
            Ok(revision) => {
                self.revision = Some(revision);
                self.duty.record_written(lease.clone(), sent);
                if !was_held {
                    self.claim = None;
                    self.planners = Table::new();
                    entry.events.write(
                        Event::new("lease_taken")
                            .with("fence", lease.fence)
                            .with("revision", revision),
                    );
                }
                entry.beats.set_lease(Some(lease));
            }
            Err(e) => {
                self.pending = Some((lease.clone(), sent));
                self.duty.record_lost();
                entry.beats.set_lease(None);
                if was_held {
                    let line = Event::new("lease_lost").with("fence", lease.fence);
                    entry.events.write(line.with("reason", e.to_string()));
                }
            }
        }
    }

    /// Gives the lease back, so that another node can take it at once.
    async fn release(&mut self, entry: &Entry) {
        let Some(lease) = self.duty.release() else {
            return;
        };
        entry.beats.set_lease(None);
        let value = serde_json::to_value(&lease).unwrap_or(Value::Null);
        let store = &entry.outside.store;
        match store
            .write(Kind::Leases, LEASE, self.revision, &value)
            .await
        {
            Ok(_) => {
                let line = Event::new("lease_released").with("fence", lease.fence);
                entry.events.write(line);
            }
            Err(e) => note_store(entry, "lease_release", &e),
        }
    }

    /// Makes the calls that are due, as the holder with `fence`.
    async fn act(&mut self, entry: &Entry, fence: u64) {
        let holder = Holder {
            node: entry.settings.load().node.clone(),
            fence,
        };
        self.order(entry, &holder).await;
        if self.duty.may_order(entry.clock.now()) {
            self.report(entry, &holder).await;
        }
        if self.duty.may_order(entry.clock.now()) {
            self.end_moves(entry).await;
        }
        self.sweep(entry).await;
    }

    /// Reports how version moves ended.
    async fn end_moves(&mut self, entry: &Entry) {
        let now = entry.clock.now();
        if now.since(self.reported_at) < REPORT_REST {
            return;
        }
        for (service, target, outcome) in entry.moves.outcomes(now) {
            self.reported_at = now;
            let store = &entry.outside.store;
            let reported = store.report_move(&service, &target, outcome).await;
            entry.events.write(
                Event::new("move_reported")
                    .with("service", &*service)
                    .with("target", &*target)
                    .with("outcome", format!("{outcome:?}"))
                    .with("reply", format!("{reported:?}")),
            );
        }
    }

    /// Removes registrations of entries that are gone.
    async fn sweep(&mut self, entry: &Entry) {
        let now = entry.clock.now();
        if now.since(self.swept_at) < SWEEP {
            return;
        }
        self.swept_at = now;
        let own = entry.settings.load().node.clone();
        for (name, revision) in entry.beats.removable(&own, now) {
            match entry
                .outside
                .store
                .remove(Kind::Nodes, &name, revision)
                .await
            {
                Ok(()) => {
                    let line = Event::new("registration_removed").with("peer", &*name);
                    entry.events.write(line);
                }
                Err(e) => note_store(entry, "registration_remove", &e),
            }
        }
    }
}

/// Bounds the time of a call; one that takes longer may still be carried out.
async fn limited(call: impl Future<Output = CloudReply>) -> CloudReply {
    tokio::time::timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or(CloudReply::Lost)
}

fn note_store(entry: &Entry, call: &'static str, e: &StoreError) {
    metrics::counter!("cassialock_store_failures_total", "call" => call).increment(1);
    entry.events.write(
        Event::new("store_call_failed")
            .with("call", call)
            .with("reason", e.to_string()),
    );
}
