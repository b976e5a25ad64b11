//! Membership of entries: registrations in the store and messages over UDP.
//!
//! In a small deployment, every entry sends heartbeats to every other. In a large
//! one, entries report to the aggregators of their failure domain and learn the
//! state of the fleet from them; see [`crate::core::aggregate`].
//!
//! Lost datagrams are not retransmitted, because each message carries the full
//! state of its sender. There is no connection between entries that could stall.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::core::Name;
use crate::core::aggregate::view::News;
use crate::core::fleet::load::Traffic;
use crate::core::lease;
use crate::core::lease::Lease;
use crate::core::name_map::NameMap;
use crate::core::peer;
use crate::core::peer::NodeStatus;
use crate::core::peer::Peers;
use crate::core::peer::Phase;
use crate::core::relay;
use crate::core::time::Time;
use crate::core::usage::WindowCounts;
use crate::entry::Entry;
use crate::entry::membership::aggregation::Aggregation;
use crate::entry::speeds::Routes;

pub mod aggregation;
pub mod datagrams;
mod traffic;

/// Number of other entries up to which heartbeats are sent to all of them.
const FULL_MESH_LIMIT: usize = 15;

/// Age up to which the state of the fleet is used to direct callers and to decide
/// who acts for all.
const FLEET_TIMEOUT: Duration = Duration::from_secs(5);

/// Age up to which the load of the fleet is used.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Age up to which a failure domain counts as heard.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a registered entry counts as present before its first heartbeat.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without heartbeats after which a registration is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

/// Describes an entry, as registered in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// UDP address for heartbeats.
    pub peer: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Start time in microseconds since 1970, by its own clock.
    pub started: u64,
    /// Processor capacity in thousandths of a core, or 0 if unknown.
    #[serde(default)]
    pub millicores: u32,
}

#[derive(Clone, Debug)]
struct KnownRegistration {
    registration: Registration,
    revision: u64,
    since: Time,
}

#[derive(Default)]
struct State {
    peers: Peers,
    registrations: NameMap<KnownRegistration>,
    aggregation: Aggregation,
    incarnation: u64,
    seq: u64,
    lease: Option<Lease>,
    /// Where the speeds of servers are sent to.
    speed_routes: Routes,
}

impl State {
    /// Returns whether there are too many entries for heartbeats between all.
    fn is_aggregated(&self) -> bool {
        let registered = self.registrations.len().saturating_sub(1);
        registered.max(self.peers.len()) > FULL_MESH_LIMIT
    }
}

/// Request counts of all entries, by time window and workspace.
#[derive(Clone, Debug)]
pub struct FleetCounts {
    /// The counts, of which several may be of the same window.
    pub counts: Vec<WindowCounts>,
    /// Whether all failure domains have reported recently.
    pub is_complete: bool,
}

/// Describes how the quotas are used and how many entries share them.
#[derive(Clone, Debug)]
pub struct QuotaUsage {
    /// Number of entries, including this one.
    pub nodes: usize,
    /// Number of registered entries without a heartbeat so far.
    pub unheard: usize,
    /// Quota usage of the other entries, by workspace.
    pub others: NameMap<peer::QuotaUsage>,
    /// What of `others` was learnt since the last call.
    pub news: News,
}

/// Tracks the other entries of the deployment.
#[derive(Default)]
pub struct Membership {
    state: Mutex<State>,
    /// Wakes the sender of heartbeats when others must know something at once.
    urgent: Notify,
    /// Wakes the sender when the speed of a server has changed.
    speeds_urgent: Notify,
}

impl Membership {
    /// Creates a tracker without other entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the incarnation of this process, unless it is already set.
    ///
    /// A process that registers again keeps its first incarnation, so that its
    /// counts are not attributed to another process.
    pub fn set_incarnation(&self, revision: u64) {
        let mut state = self.state.lock().unwrap();
        if state.incarnation == 0 {
            state.incarnation = revision;
        }
    }

    /// Returns the incarnation of this process, or 0 before it is registered.
    pub fn incarnation(&self) -> u64 {
        self.state.lock().unwrap().incarnation
    }

    /// Sets the lease that this entry holds and announces in its heartbeats.
    pub fn set_lease(&self, lease: Option<Lease>) {
        self.state.lock().unwrap().lease = lease;
    }

    /// Adds or replaces a registration, or removes it if `registration` is `None`.
    pub fn set_registration(
        &self,
        name: &Name,
        registration: Option<(Registration, u64)>,
        now: Time,
    ) {
        let mut state = self.state.lock().unwrap();
        match registration {
            Some((registration, revision)) => {
                let known = KnownRegistration {
                    registration,
                    revision,
                    since: now,
                };
                state.registrations.insert(name.clone(), known);
            }
            None => {
                state.registrations.remove(name);
                state.peers.remove(name, now);
            }
        }
    }

    /// Returns whether this entry holds the lease, as it tells others.
    pub fn is_lease_holder(&self) -> bool {
        self.state.lock().unwrap().lease.is_some()
    }

    /// Sends the messages of a round at once.
    pub fn send_soon(&self) {
        self.urgent.notify_one();
    }

    /// Sends changed speeds of servers at once.
    pub fn send_speeds_soon(&self) {
        self.speeds_urgent.notify_one();
    }

    /// Records that all registrations were listed.
    pub fn record_listed(&self) {
        self.send_soon();
    }

    /// Returns the names of all registered entries.
    pub fn registered(&self) -> Vec<Name> {
        let state = self.state.lock().unwrap();
        state
            .registrations
            .iter()
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the sorted names of all known entries and of this one, `own`.
    pub fn names(&self, own: &Name) -> Vec<Name> {
        let state = self.state.lock().unwrap();
        let registered = state.registrations.iter().map(|(name, _)| name.clone());
        let heard = state.peers.names();
        let mut names: Vec<Name> = registered.chain(heard).collect();
        names.push(own.clone());
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the registrations that this entry should remove, with their
    /// revisions.
    ///
    /// These are the registrations of entries without recent heartbeats. The lease
    /// holder removes them, and in a large deployment the aggregators of their
    /// failure domain, which receive these heartbeats.
    pub fn stale_registrations(
        &self,
        own: &str,
        domain: &str,
        is_holder: bool,
        now: Time,
    ) -> Vec<(Name, u64)> {
        let state = self.state.lock().unwrap();
        let is_aggregated = state.is_aggregated();
        let is_responsible = if is_aggregated {
            state.aggregation.has_acted_for(REMOVE_AFTER, now)
        } else {
            is_holder
        };
        if !is_responsible {
            return Vec::new();
        }
        let heard = state.peers.heard_within(now, REMOVE_AFTER);
        let is_heard = |name: &Name| **name == *own || heard.binary_search(name).is_ok();
        let reports = |row: &Registration| !is_aggregated || *row.domain == *domain;
        state
            .registrations
            .iter()
            .filter(|(name, row)| !is_heard(name) && reports(&row.registration))
            .filter(|(_, row)| now.since(row.since) > REMOVE_AFTER)
            .map(|(name, row)| (name.clone(), row.revision))
            .collect()
    }

    /// Returns whether the registrations have been read from the store.
    pub fn has_registrations(&self) -> bool {
        !self.state.lock().unwrap().registrations.is_empty()
    }

    /// Returns the demand of the other entries and the units that they admitted
    /// since the last call; `own` is the usage of this entry.
    pub fn take_quota_usage(&self, own: &NameMap<peer::QuotaUsage>, now: Time) -> QuotaUsage {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let is_new = |row: &KnownRegistration| now.since(row.since) < FIRST_HEARTBEAT_TIMEOUT;
        if state.is_aggregated() {
            let registered = state.registrations.len();
            let recent = state.registrations.iter().filter(|(_, row)| is_new(row));
            let summary = state.aggregation.view.summary(LOAD_TIMEOUT, now);
            let reported = summary.map_or(1, |summary| summary.nodes as usize);
            let unheard = recent.count().min(registered.saturating_sub(reported));
            return QuotaUsage {
                nodes: reported + unheard,
                unheard,
                news: state.aggregation.view.take_news(),
                others: state.aggregation.view.take_quota_usage(own),
            };
        }
        let news = match state.peers.has_news() {
            true => News::Units,
            false => News::Nothing,
        };
        let (heard, usage) = state.peers.take_quota_usage(now);
        let known = state.peers.names();
        let unheard = state
            .registrations
            .iter()
            .filter(|(name, row)| known.binary_search(name).is_err() && is_new(row));
        // This entry sends itself no heartbeats, so its own registration is
        // subtracted.
        let unheard = unheard.count().saturating_sub(1);
        QuotaUsage {
            nodes: heard + unheard + 1,
            unheard,
            others: usage,
            news,
        }
    }

    /// Returns the median clock offset of the live entries, in microseconds.
    pub fn clock_offset(&self, now: Time) -> i64 {
        let state = self.state.lock().unwrap();
        match state.aggregation.clock_offset(now) {
            Some(offset) if state.is_aggregated() => offset,
            _ => state.peers.clock_offset(now),
        }
    }

    /// Returns the request counts of all entries.
    pub fn usage_counts(&self, entry: &Entry) -> FleetCounts {
        let now = entry.clock.now();
        let state = self.state.lock().unwrap();
        if state.is_aggregated() {
            let collector = &state.aggregation.collector;
            let domains = &entry.settings.load().domains;
            return FleetCounts {
                counts: collector.request_counts(),
                is_complete: collector.is_complete(domains, DOMAIN_TIMEOUT, now),
            };
        }
        let others = state.peers.request_counts().cloned();
        FleetCounts {
            counts: entry.usage.counts().into_iter().chain(others).collect(),
            is_complete: true,
        }
    }

    /// Returns the lease as last announced by an entry.
    pub fn lease(&self, now: Time) -> Option<Lease> {
        let state = self.state.lock().unwrap();
        let summary = state.aggregation.view.summary(FLEET_TIMEOUT, now);
        let order = |lease: &&Lease| (lease.fence, lease.renewal);
        let reported = summary.and_then(|summary| summary.lease.as_ref());
        let leases = state.peers.lease().into_iter().chain(reported);
        leases.max_by_key(order).cloned()
    }

    /// Merges the status of another entry, and returns whether it was new.
    pub fn merge(&self, status: NodeStatus, now: Time) -> bool {
        self.state.lock().unwrap().peers.merge(status, now)
    }

    /// Returns whether the deployment is too large for heartbeats between all
    /// entries.
    pub fn is_aggregated(&self) -> bool {
        self.state.lock().unwrap().is_aggregated()
    }

    /// Returns whether the store changes that this entry `own` needs may come from
    /// another entry.
    pub fn expects_relay(&self, own: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.is_aggregated() && !state.aggregation.is_first(own)
    }

    /// Returns whether another entry is in contact with the store.
    pub fn has_ready_peer(&self, now: Time) -> bool {
        let state = self.state.lock().unwrap();
        if state.is_aggregated() {
            let summary = state.aggregation.view.summary(FLEET_TIMEOUT, now);
            return summary.is_some_and(|summary| summary.phase == Phase::Ready);
        }
        let mut live = state.peers.live(now);
        live.any(|status| status.phase == Phase::Ready)
    }

    /// Returns whether this entry is the one that should acquire a lease which
    /// `holder` no longer holds.
    ///
    /// Entries that know the same others agree. If they do not agree, the
    /// conditional write of the lease lets only one of them succeed.
    pub fn is_lease_candidate(&self, own: &str, holder: Option<&Name>, now: Time) -> bool {
        let state = self.state.lock().unwrap();
        if state.is_aggregated() {
            let summary = state.aggregation.view.summary(FLEET_TIMEOUT, now);
            return summary.is_some_and(|summary| summary.is_next_holder(own, holder));
        }
        let others = state
            .peers
            .live(now)
            .filter(|status| status.phase == Phase::Ready && Some(&status.node) != holder)
            .map(|status| status.incarnation);
        lease::is_next_holder(state.incarnation, others)
    }

    /// Returns the traffic of all entries by service, or `None` if it is unknown;
    /// `own` is the traffic of this entry.
    pub fn traffic(&self, own: NameMap<Traffic>, now: Time) -> Option<NameMap<Traffic>> {
        let state = self.state.lock().unwrap();
        if state.is_aggregated() {
            let summary = state.aggregation.view.summary(LOAD_TIMEOUT, now);
            return summary.map(|summary| summary.traffic.clone());
        }
        let mut sum = own;
        for status in state.peers.live(now) {
            for (service, traffic) in status.traffic.iter() {
                sum.get_or_insert_with(service, Traffic::default)
                    .add(traffic);
            }
        }
        Some(sum)
    }

    /// Records that another entry queried this one as its relay.
    pub fn record_query(&self, now: Time) {
        self.state.lock().unwrap().aggregation.record_query(now);
    }

    /// Records that a relay did not answer.
    pub fn record_silent_relay(&self, relay: Name, now: Time) {
        let mut state = self.state.lock().unwrap();
        state.aggregation.record_silent_relay(relay, now);
    }

    /// Returns the entry that relays store changes to this entry, if any, and its
    /// address.
    pub fn relay(&self, own: &str, phase: Phase, now: Time) -> Option<(Name, SocketAddr)> {
        let mut state = self.state.lock().unwrap();
        if state.is_aggregated() {
            return state.aggregation.relay(own, now);
        }
        let state = &mut *state;
        let live: Vec<&NodeStatus> = state
            .peers
            .live(now)
            .filter(|status| status.phase == Phase::Ready)
            .collect();
        let mut names: Vec<Name> = live.iter().map(|status| status.node.clone()).collect();
        if phase == Phase::Ready {
            names.push(own.into());
        }
        let relay = relay::relay_of(own, &names)?;
        let status = live.into_iter().find(|status| status.node == relay)?;
        Some((relay, status.peer))
    }

    /// Returns the caller addresses of the other entries in the best serving phase,
    /// and whether this entry, in phase `own`, is in that phase too.
    ///
    /// In a large deployment, these are the addresses of some of the entries.
    pub fn best_fronts(&self, own: Phase, now: Time) -> (bool, Vec<SocketAddr>) {
        let state = self.state.lock().unwrap();
        let serving = |phase| matches!(phase, Phase::Ready | Phase::Stale);
        let summary = state.aggregation.view.summary(FLEET_TIMEOUT, now);
        if let Some(summary) = summary.filter(|_| state.is_aggregated()) {
            let best = [summary.phase, own]
                .into_iter()
                .filter(|p| serving(*p))
                .max();
            return match best {
                Some(best) if summary.phase == best => (own == best, summary.fronts.clone()),
                Some(best) => (own == best, Vec::new()),
                None => (false, Vec::new()),
            };
        }
        let best = state
            .peers
            .live(now)
            .map(|status| status.phase)
            .chain([own])
            .filter(|phase| serving(*phase))
            .max();
        let Some(best) = best else {
            return (false, Vec::new());
        };
        let fronts = state
            .peers
            .live(now)
            .filter(|status| status.phase == best)
            .map(|status| status.front)
            .collect();
        (own == best, fronts)
    }
}

/// Returns the current phase of this entry.
pub fn phase(entry: &Entry) -> Phase {
    let now = entry.clock.now();
    if entry.is_leaving() {
        Phase::Leaving
    } else if entry.catalog.version() == 0 {
        Phase::Starting
    } else if entry
        .catalog
        .is_stale(entry.settings.load().bounds.revoke_delay, now)
    {
        Phase::Stale
    } else {
        Phase::Ready
    }
}
