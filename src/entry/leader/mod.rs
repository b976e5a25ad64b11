//! Tasks that only the node that holds the lease may run.
//!
//! These are orders for backend servers, usage reports, reports of how version
//! moves ended, and the removal of old registrations.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::core::config::Fencing;
use crate::core::fleet::scaling::Autoscaler;
use crate::core::lease::Action;
use crate::core::lease::LeaderElector;
use crate::core::lease::Lease;
use crate::core::lease::Timings;
use crate::core::name_map::NameMap;
use crate::core::peer::Phase;
use crate::core::time::Time;
use crate::core::usage::claims::ClaimHistory;
use crate::entry::Entry;
use crate::entry::adapter::CloudReply;
use crate::entry::adapter::Content;
use crate::entry::adapter::LeaseHolder;
use crate::entry::adapter::ObjectKind;
use crate::entry::adapter::StoreError;
use crate::entry::leader::usage_report::UsageClaim;
use crate::entry::membership;
use crate::entry::workspaces;
use crate::telemetry::events::Event;

mod records;
mod scaling;
mod usage_report;

/// Interval at which the lease and the tasks are checked.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Term of the lease, as a multiple of the shortest time after which a node that
/// lost the lease may hold it again.
const TERM_FACTOR: f64 = 1.3;

/// Time between two renewals, as a fraction of the term.
const RENEWAL_FRACTION: f64 = 0.33;

/// Safety margin at the end of the term in which the holder does not act, as a
/// fraction of the term.
const MARGIN_FRACTION: f64 = 0.2;

/// Timeout of a call to the cloud, and longest time for which an order may be in
/// transit.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Name of the lease object.
const LEASE_NAME: &str = "duties";

/// Interval at which old registrations are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(20);

/// Time after which the reports of ended moves are sent again.
const MOVE_REPORT_INTERVAL: Duration = Duration::from_millis(700);

/// One node's view of the lease and its state of the tasks.
struct Leadership {
    lease_state: LeaderElector,
    /// Revision of the lease object as last read or written.
    revision: Option<u64>,
    /// The last lease write that failed or got no response, and when it was sent.
    pending: Option<(Lease, Time)>,
    claim: Option<UsageClaim>,
    claim_history: ClaimHistory,
    autoscalers: NameMap<Autoscaler>,
    cleaned_at: Time,
    moves_reported: Time,
}

/// Competes for the lease, and runs the tasks while this node holds it.
///
/// Does not return; the task is aborted when the entry stops.
pub async fn run(entry: Arc<Entry>) {
    let settings = entry.settings.load_full();
    let term = settings.bounds.lease.mul_f64(TERM_FACTOR);
    let timings = Timings {
        term,
        renewal_interval: term.mul_f64(RENEWAL_FRACTION),
        safety_margin: term.mul_f64(MARGIN_FRACTION),
        order_timeout: CALL_TIMEOUT,
    };
    let mut leadership = Leadership {
        lease_state: LeaderElector::new(settings.node.clone(), Fencing::Refused)
            .with_timings(timings),
        revision: None,
        pending: None,
        claim: None,
        claim_history: ClaimHistory::new(),
        autoscalers: NameMap::new(),
        cleaned_at: entry.clock.now(),
        moves_reported: Time::default(),
    };
    let mut interval = tokio::time::interval(STEP_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        leadership.step(&entry).await;
    }
}

impl Leadership {
    async fn step(&mut self, entry: &Entry) {
        let now = entry.clock.now();
        self.note_era(entry);
        self.remove_registrations(entry).await;
        if let Some(lease) = entry.membership.lease(now) {
            self.lease_state.record_reported(lease, now);
        }
        if entry.is_leaving() {
            self.release_lease(entry).await;
            return;
        }
        let is_ready = membership::phase(entry) == Phase::Ready;
        let is_holder = self.lease_state.is_held(now);
        let holder = self.lease_state.holder().cloned();
        let own = entry.settings.load().node.clone();
        let is_candidate = |holder| entry.membership.is_lease_candidate(&own, holder, now);
        let is_next = self.lease_state.held_before_era() || is_candidate(holder.as_ref());
        let wants_lease = is_ready && (is_holder || is_next);
        if wants_lease && !is_holder {
            if self.lease_state.is_stale(now) && !self.read_lease(entry).await {
                return;
            }
            if !self.lease_state.is_free(entry.clock.now()) {
                return;
            }
        }
        match self.lease_state.next_action(wants_lease, entry.clock.now()) {
            Action::Write(lease) => self.write_lease(entry, lease, is_holder).await,
            Action::Lead { fence, .. } => self.run_tasks(entry, fence).await,
            Action::Wait => {
                if !self.lease_state.is_held(entry.clock.now()) {
                    entry.membership.set_lease(None);
                }
            }
        }
    }

    /// Reads the lease and returns whether that succeeded.
    async fn read_lease(&mut self, entry: &Entry) -> bool {
        let read = self
            .read_record(entry, ObjectKind::Leases, LEASE_NAME)
            .await;
        match read {
            Ok(object) => {
                self.revision = object.as_ref().map(|object| object.revision);
                let lease = object.and_then(|object| match object.content {
                    Content::Record(value) => serde_json::from_value::<Lease>(value).ok(),
                    _ => None,
                });
                let pending = self.pending.take();
                match (lease, pending) {
                    // The last write took effect, and only the response to it was lost.
                    (Some(lease), Some((written, sent))) if lease == written => {
                        self.lease_state.record_written(lease, sent);
                    }
                    (lease, _) => self.lease_state.record_read(lease, entry.clock.now()),
                }
                true
            }
            Err(e) => {
                record_store_failure(entry, "lease_read", &e);
                false
            }
        }
    }

    async fn write_lease(&mut self, entry: &Entry, lease: Lease, was_held: bool) {
        let sent = entry.clock.now();
        let value = serde_json::to_value(&lease).unwrap_or(Value::Null);
        let written = self
            .write_record(entry, ObjectKind::Leases, LEASE_NAME, self.revision, &value)
            .await;
        match written {
            Ok(revision) => {
                self.revision = Some(revision);
                self.lease_state.record_written(lease.clone(), sent);
                if !was_held {
                    self.claim = None;
                    self.claim_history.record_taken();
                    self.autoscalers = NameMap::new();
                    entry.events.write(
                        Event::new("lease_taken")
                            .with("fence", lease.fence)
                            .with("revision", revision),
                    );
                }
                entry.membership.set_lease(Some(lease));
                if let Err(e) = workspaces::store(entry).await {
                    record_store_failure(entry, "workspaces_write", &e);
                }
            }
            Err(e) => {
                self.pending = Some((lease.clone(), sent));
                self.lease_state.invalidate();
                entry.membership.set_lease(None);
                if was_held {
                    let event = Event::new("lease_lost").with("fence", lease.fence);
                    entry.events.write(event.with("reason", e.to_string()));
                }
            }
        }
    }

    /// Releases the lease, so that another node can take it at once.
    async fn release_lease(&mut self, entry: &Entry) {
        let Some(lease) = self.lease_state.release() else {
            return;
        };
        entry.membership.set_lease(None);
        let value = serde_json::to_value(&lease).unwrap_or(Value::Null);
        let written = self
            .write_record(entry, ObjectKind::Leases, LEASE_NAME, self.revision, &value)
            .await;
        match written {
            Ok(_) => {
                let event = Event::new("lease_released").with("fence", lease.fence);
                entry.events.write(event);
            }
            Err(e) => record_store_failure(entry, "lease_release", &e),
        }
    }

    /// Runs the tasks that are due, with the fencing token `fence`.
    async fn run_tasks(&mut self, entry: &Entry, fence: u64) {
        let holder = LeaseHolder {
            node: entry.settings.load().node.clone(),
            fence,
        };
        self.order_servers(entry, &holder).await;
        if self.lease_state.may_send_order(entry.clock.now()) {
            self.report_usage(entry, &holder).await;
        }
        if self.lease_state.may_send_order(entry.clock.now()) {
            self.report_moves(entry).await;
        }
    }

    /// Reports how version moves ended.
    async fn report_moves(&mut self, entry: &Entry) {
        let now = entry.clock.now();
        if now.since(self.moves_reported) < MOVE_REPORT_INTERVAL {
            return;
        }
        for (service, target, outcome) in entry.moves.outcomes(now) {
            self.moves_reported = now;
            let store = &entry.adapter.store;
            let result = store.report_move(&service, &target, outcome).await;
            entry.events.write(
                Event::new("move_reported")
                    .with("service", &*service)
                    .with("target", &*target)
                    .with("outcome", format!("{outcome:?}"))
                    .with("reply", format!("{result:?}")),
            );
        }
    }

    /// Removes the registrations of entries that no longer run.
    async fn remove_registrations(&mut self, entry: &Entry) {
        let now = entry.clock.now();
        if now.since(self.cleaned_at) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_at = now;
        let settings = entry.settings.load_full();
        let (own, domain) = (&settings.node, &settings.domain);
        let is_holder = self.lease_state.is_held(now);
        let stale = entry
            .membership
            .stale_registrations(own, domain, is_holder, now);
        for (name, revision) in stale {
            match entry
                .adapter
                .store
                .remove(ObjectKind::Nodes, &name, revision)
                .await
            {
                Ok(()) => {
                    let event = Event::new("registration_removed").with("peer", &*name);
                    entry.events.write(event);
                }
                Err(e) => record_store_failure(entry, "registration_remove", &e),
            }
        }
    }
}

/// Limits a call to [`CALL_TIMEOUT`]; a call that takes longer may still be
/// carried out.
async fn with_timeout(call: impl Future<Output = CloudReply>) -> CloudReply {
    tokio::time::timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or(CloudReply::Lost)
}

fn record_store_failure(entry: &Entry, call: &'static str, e: &StoreError) {
    metrics::counter!("cassialock_store_failures_total", "call" => call).increment(1);
    entry.events.write(
        Event::new("store_call_failed")
            .with("call", call)
            .with("reason", e.to_string()),
    );
}
