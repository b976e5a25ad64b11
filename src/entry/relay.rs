//! Relaying of store changes between entries.
//!
//! An entry that does not follow the store itself queries a relay, which is an
//! entry that does, for the catalog version and changes of backend servers.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::core::Name;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::adapter::BackendServer;
use crate::entry::membership;
use crate::telemetry::events::Event;

/// Interval of queries to a relay.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a reply after which an entry follows the store itself.
const REPLY_TIMEOUT: Duration = Duration::from_millis(950);

/// Longest wait of a starting entry for the first reply of a relay.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which a starting entry checks for the first reply.
const FIRST_REPLY_STEP: Duration = Duration::from_millis(50);

/// Upper bound of the random delay before an entry of a large deployment follows
/// the store itself, so that a replacement for a lost relay can be found first.
const TAKEOVER_JITTER: Duration = Duration::from_millis(500);

/// Age of the relay's catalog from which an entry follows the store itself, as a
/// fraction of the time within which a new catalog must be in force.
///
/// The rest covers the search for another relay and a call to the store.
const MAX_AGE_FRACTION: f64 = 0.75;

/// Time without a response of the store about the backend servers after which a
/// relay does not answer queries.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(3_200);

/// Changes of backend servers kept for queries from other entries.
const MAX_LOGGED: usize = 1_024;

/// Changes in one reply; as many fit into a datagram.
const MAX_REPLY_CHANGES: usize = 160;

/// Asks a relay for changes of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Query {
    /// Matches replies to queries.
    pub nonce: u64,
    /// Revision up to which the sender knows the backend servers.
    pub revision: u64,
}

/// Answers a [`Query`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// Nonce of the query.
    pub nonce: u64,
    /// Version of the catalog in force at the relay.
    pub version: u64,
    /// Time since the relay confirmed that this catalog is the newest.
    pub age: Duration,
    /// Changes of backend servers, or `None` if the relay's log is incomplete.
    pub backends: Option<BackendChanges>,
}

/// Holds changes of backend servers after a revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BackendChanges {
    /// Revision that the changes follow.
    pub after: u64,
    /// Revision of the last change.
    pub revision: u64,
    /// Changed servers by name; `None` for a removed one.
    pub changes: Vec<(Name, Option<BackendServer>)>,
}

#[derive(Debug, Default)]
struct State {
    /// Revision up to which this entry knows the backend servers.
    revision: u64,
    /// Revision after which `log` is complete.
    log_start: u64,
    log: Vec<(u64, Name, Option<BackendServer>)>,
    /// Time of the last response of the store about the backend servers.
    responded_at: Time,
    pending: Option<(u64, Time)>,
    /// Newest catalog version named by a relay.
    catalog_version: u64,
    last_reply: Option<Time>,
    /// Time until which the last reply can be relied on.
    relied_until: Time,
    is_relayed: bool,
    /// Whether there is a relay to query.
    has_relay: bool,
    /// The relay, and when it was first queried.
    target: Option<(Name, Time)>,
}

/// Tracks this entry's role in relaying, as a relay or as a client of one.
#[derive(Debug, Default)]
pub struct Relay {
    state: Mutex<State>,
    /// Wakes the catalog feed when the relay has a newer catalog.
    newer_catalog: Notify,
    /// Wakes the feeds when a reply shows that the relay can no longer be relied on.
    unrelayed: Notify,
}

impl Relay {
    /// Creates a state without known revision or relay.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the store listed all backend servers at `revision`.
    pub fn record_list(&self, revision: u64) {
        let mut state = self.state.lock().unwrap();
        state.log.clear();
        state.log_start = revision;
        state.revision = revision;
    }

    /// Returns whether the changes since an earlier listing are recorded.
    pub fn has_list(&self) -> bool {
        self.state.lock().unwrap().revision > 0
    }

    /// Records changes up to `revision` for queries from other entries.
    pub fn record_changes(&self, revision: u64, changes: &[(Name, Option<BackendServer>)]) {
        let mut state = self.state.lock().unwrap();
        state.record(revision, changes);
    }

    /// Records a response of the store about the backend servers.
    pub fn record_response(&self, now: Time) {
        let mut state = self.state.lock().unwrap();
        state.responded_at = state.responded_at.max(now);
    }

    /// Returns the revision up to which the backend servers are known.
    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().revision
    }

    /// Returns the newest catalog version that a relay has named, or 0.
    pub fn catalog_version(&self) -> u64 {
        self.state.lock().unwrap().catalog_version
    }

    /// Returns whether this entry gets store changes from a relay.
    pub fn is_relayed(&self, now: Time) -> bool {
        let state = self.state.lock().unwrap();
        state.is_relayed && now < state.relied_until
    }

    /// Returns the time until which the last reply can be relied on.
    fn relied_until(&self) -> Time {
        self.state.lock().unwrap().relied_until
    }

    /// Reports a relay that has not answered within the timeout, so that another one
    /// is queried.
    fn record_silence(&self, entry: &Entry, now: Time) {
        let mut state = self.state.lock().unwrap();
        let Some((relay, since)) = state.target.clone() else {
            return;
        };
        let heard = state.last_reply.map_or(since, |at| at.max(since));
        let silence = now.since(heard);
        if silence < REPLY_TIMEOUT {
            return;
        }
        state.target = None;
        drop(state);
        let event = Event::new("relay_silent").with("relay", &*relay);
        entry.events.write(event.with_ms("silence_ms", silence));
        entry.membership.record_silent_relay(relay, now);
    }

    /// Waits for the first reply of a relay, for a limited time.
    ///
    /// An entry that starts in a large deployment has no relay until its first
    /// report to an aggregator is answered. If all entries start at once, they must
    /// not follow the store themselves until then.
    pub async fn wait_first_reply(&self, entry: &Entry) {
        let _ = tokio::time::timeout(FIRST_REPLY_TIMEOUT, async {
            let own = entry.settings.load().node.clone();
            while entry.membership.expects_relay(&own) && !self.is_relayed(entry.clock.now()) {
                tokio::time::sleep(FIRST_REPLY_STEP).await;
            }
        })
        .await;
    }

    /// Returns whether this entry of a large deployment has no relay although one may
    /// be known, so that it should query it at once.
    pub fn needs_query(&self, entry: &Entry) -> bool {
        let state = self.state.lock().unwrap();
        let is_waiting = !state.has_relay && state.revision > 0;
        drop(state);
        is_waiting && entry.membership.is_aggregated()
    }

    /// Returns whether this entry queries a relay, even if the relay does not answer.
    pub fn has_relay(&self) -> bool {
        self.state.lock().unwrap().has_relay
    }

    /// Waits until this entry no longer gets store changes from a relay.
    pub async fn wait_unrelayed(&self, entry: &Entry) {
        loop {
            let notified = self.unrelayed.notified();
            let now = entry.clock.now();
            if !self.is_relayed(now) {
                if !entry.membership.is_aggregated() || !self.has_relay() {
                    return;
                }
                tokio::time::sleep(entry.jitter(TAKEOVER_JITTER)).await;
                if !self.is_relayed(entry.clock.now()) {
                    return;
                }
                continue;
            }
            // A relay that stops answering triggers no notification.
            let left = self.relied_until().since(now);
            let _ = tokio::time::timeout(left, notified).await;
        }
    }

    /// Waits until the relay has a newer catalog, or this entry no longer gets
    /// store changes from a relay.
    pub async fn wait_newer_catalog(&self, entry: &Entry) {
        tokio::select! {
            () = self.newer_catalog.notified() => {}
            () = self.wait_unrelayed(entry) => {}
        }
    }
}

impl State {
    fn record(&mut self, revision: u64, changes: &[(Name, Option<BackendServer>)]) {
        for (name, server) in changes {
            self.log.push((revision, name.clone(), server.clone()));
        }
        self.revision = self.revision.max(revision);
        if self.log.len() > MAX_LOGGED {
            let excess = self.log.len() - MAX_LOGGED;
            self.log_start = self.log[excess - 1].0;
            let log_start = self.log_start;
            self.log.retain(|row| row.0 > log_start);
        }
    }

    /// Returns the changes after a revision, or the first of them if there are too
    /// many for one reply.
    fn changes_after(&self, after: u64) -> Option<BackendChanges> {
        if after < self.log_start || self.revision == 0 {
            return None;
        }
        let first = self.log.partition_point(|row| row.0 <= after);
        let rows = &self.log[first..];
        let mut count = rows.len();
        let mut revision = self.revision;
        if count > MAX_REPLY_CHANGES {
            // Changes of one revision are not separated.
            let next = rows[MAX_REPLY_CHANGES].0;
            count = rows.partition_point(|row| row.0 < next);
            revision = rows[..count].last()?.0;
        }
        let changes = rows[..count].iter();
        let changes = changes.map(|(_, name, server)| (name.clone(), server.clone()));
        Some(BackendChanges {
            after,
            revision,
            changes: changes.collect(),
        })
    }
}

/// Returns the next query and the address to send it to, if there is a relay.
pub fn next_query(entry: &Entry) -> Option<(SocketAddr, Query)> {
    let now = entry.clock.now();
    entry.relay.record_silence(entry, now);
    let phase = membership::phase(entry);
    let relay = entry
        .membership
        .relay(&entry.settings.load().node, phase, now);
    let mut state = entry.relay.state.lock().unwrap();
    let relay = relay.filter(|_| state.revision > 0);
    state.has_relay = relay.is_some();
    let Some((node, address)) = relay else {
        state.is_relayed = false;
        state.target = None;
        return None;
    };
    if state.target.as_ref().is_none_or(|target| target.0 != node) {
        state.target = Some((node, now));
    }
    let nonce = now.0;
    state.pending = Some((nonce, now));
    let query = Query {
        nonce,
        revision: state.revision,
    };
    Some((address, query))
}

/// Returns the reply to a query, if this entry follows the store itself.
pub fn answer(entry: &Entry, query: &Query) -> Option<Reply> {
    let now = entry.clock.now();
    if entry.relay.is_relayed(now) || entry.is_leaving() {
        return None;
    }
    entry.membership.record_query(now);
    let state = entry.relay.state.lock().unwrap();
    if now.since(state.responded_at) > MAX_STORE_SILENCE {
        return None;
    }
    Some(Reply {
        nonce: query.nonce,
        version: entry.catalog.version(),
        age: entry.catalog.age(now)?,
        backends: state.changes_after(query.revision),
    })
}

/// Applies a reply of the relay.
pub fn apply_reply(entry: &Entry, reply: Reply) {
    let now = entry.clock.now();
    let mut state = entry.relay.state.lock().unwrap();
    let Some((_, sent)) = state.pending.filter(|(nonce, _)| *nonce == reply.nonce) else {
        return;
    };
    state.pending = None;
    // The reply was created after the query was sent, so this is a lower bound for
    // the time at which the relay last confirmed the catalog.
    let known = Time(sent.0.saturating_sub(reply.age.as_micros() as u64));
    let config_delay = entry.settings.load().bounds.config_delay;
    let expires = known + config_delay.mul_f64(MAX_AGE_FRACTION);
    state.relied_until = expires.min(now + REPLY_TIMEOUT);
    let after = state.revision;
    let changes = reply.backends;
    if changes
        .as_ref()
        .is_some_and(|changes| changes.after != after)
    {
        // The store itself has delivered changes in the meantime.
        state.last_reply = Some(now);
        return;
    }
    // Without the changes, this entry has to read the servers from the store.
    let is_reliable = changes.is_some() && now < expires;
    let was_relayed = std::mem::replace(&mut state.is_relayed, is_reliable);
    state.last_reply = Some(now);
    state.catalog_version = state.catalog_version.max(reply.version);
    let is_relayed = state.is_relayed;
    if let Some(changes) = &changes {
        state.record(changes.revision, &changes.changes);
    }
    drop(state);
    if is_relayed {
        let store = &entry.adapter.store;
        let changes = changes.as_ref();
        let era = changes.map(|changes| store.era_of(changes.revision));
        entry.record_store_answer(era, known);
    }
    // The recorded revision has advanced, so the store will not deliver these
    // changes again.
    if let Some(changes) = changes
        && (is_relayed || !changes.changes.is_empty())
    {
        let events = entry.backends.apply_changes(changes.changes, now);
        events
            .into_iter()
            .for_each(|event| entry.events.write(event));
    }
    if was_relayed != is_relayed {
        let event = Event::new("relay_changed").with("is_told", is_relayed);
        entry.events.write(event.with_ms("relay_age_ms", reply.age));
    }
    if !is_relayed {
        entry.relay.unrelayed.notify_waiters();
        return;
    }
    if reply.version == entry.catalog.version() {
        entry.catalog.confirm(known);
    } else if reply.version > entry.catalog.version() {
        entry.relay.newer_catalog.notify_one();
    }
}
