//! Node statuses and the view that each node has of its peers.
//!
//! Each node publishes a [`NodeStatus`] several times a second. A status only
//! replaces an older one of the same node, so statuses may arrive in any order
//! and any node may forward those of others.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::fleet::load::Traffic;
use crate::core::lease::Lease;
use crate::core::moves::detector::Evidence;
use crate::core::moves::detector::RouteCounts;
use crate::core::name_map::NameMap;
use crate::core::retry::crash::Crash;
use crate::core::time::Time;
use crate::core::usage::WindowCounts;

/// Time without a new status after which a node is not considered live: five heartbeats.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without a new status after which a node no longer gets a share of the quotas.
const QUOTA_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which the request counts of a stopped node are kept.
const COUNT_RETENTION: Duration = Duration::from_secs(30);

/// Lifecycle phase of a node.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Phase {
    /// It cannot serve requests yet.
    #[default]
    Starting,
    /// It serves requests, but has had no contact with the platform's store for a while.
    Stale,
    /// It serves requests.
    Ready,
    /// It is shutting down.
    Leaving,
}

/// Quota usage of a workspace at one node.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaUsage {
    /// Recent demand in units per second.
    pub demand: f64,
    /// Total units admitted since the node started.
    pub admitted: f64,
}

/// State that a node publishes about itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: Name,
    /// Increases with every start of the node.
    pub incarnation: u64,
    /// Sequence number of the status within its incarnation.
    pub seq: u64,
    /// Failure domain.
    pub domain: Name,
    /// Address that serves callers.
    pub front: SocketAddr,
    /// Address that serves other nodes.
    pub peer: SocketAddr,
    /// Lifecycle phase of the node.
    pub phase: Phase,
    /// Wall clock of the node.
    pub time: Time,
    /// Lease on the cluster-wide duties, if the node holds it.
    pub lease: Option<Lease>,
    /// Quota usage by workspace.
    pub quota_usage: NameMap<QuotaUsage>,
    /// Traffic at the node by service.
    pub traffic: NameMap<Traffic>,
    /// Requests started, by time window and workspace.
    pub request_counts: Vec<WindowCounts>,
    /// Nodes of this build publish none; the field keeps the encoding of earlier ones.
    pub crashes: Vec<Crash>,
    /// Response counts of new versions, by service.
    pub evidence: NameMap<Evidence>,
    /// Faults found in new versions, by service and version.
    pub vetoes: NameMap<Name>,
}

/// Statuses that one datagram carries.
///
/// Nodes of this build forward none; the field keeps the encoding of earlier ones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Status of the sender.
    pub own: NodeStatus,
    /// Forwarded statuses of other nodes.
    pub others: Vec<NodeStatus>,
}

#[derive(Clone, Debug)]
struct PeerEntry {
    status: NodeStatus,
    last_update: Time,
    /// Clock of the node minus the local clock, in microseconds.
    offset: Option<i64>,
}

/// Request counts of a stopped process.
#[derive(Clone, Debug)]
struct RetainedCounts {
    counts: Vec<WindowCounts>,
    until: Time,
}

/// Tracks the other nodes from the point of view of one node.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    entries: NameMap<PeerEntry>,
    retained: Vec<RetainedCounts>,
    /// Response counts of new versions at processes that have ended, by failure domain
    /// and service.
    ended: NameMap<NameMap<Evidence>>,
    /// Units admitted by other nodes since the last `take_quota_usage`, by workspace.
    admitted: NameMap<f64>,
    /// Whether a status has arrived since the last `take_quota_usage`.
    has_news: bool,
}

impl Peers {
    /// Creates a view that knows no other node.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a status and returns whether it was newer than the known one.
    pub fn merge(&mut self, status: NodeStatus, now: Time) -> bool {
        let Some(entry) = self.entries.get_mut(&status.node) else {
            let entry = PeerEntry {
                last_update: now,
                offset: None,
                status: status.clone(),
            };
            self.entries.insert(status.node.clone(), entry);
            self.has_news = true;
            return true;
        };
        let known = (entry.status.incarnation, entry.status.seq);
        if (status.incarnation, status.seq) <= known {
            return false;
        }
        let is_same = status.incarnation == known.0;
        for (workspace, usage) in status.quota_usage.iter() {
            let before = entry.status.quota_usage.get(workspace).filter(|_| is_same);
            let before = before.map_or(0.0, |usage| usage.admitted);
            *self.admitted.get_or_insert_with(workspace, || 0.0) += usage.admitted - before;
        }
        if !is_same {
            add_evidence(&mut self.ended, &entry.status);
            self.retained.push(RetainedCounts {
                counts: std::mem::take(&mut entry.status.request_counts),
                until: now + COUNT_RETENTION,
            });
            entry.offset = None;
        }
        entry.status = status;
        entry.last_update = now;
        self.has_news = true;
        self.retained.retain(|retained| retained.until > now);
        true
    }

    /// Records the clock of a node from a status that it sent directly.
    pub fn record_time(&mut self, node: &str, remote: Time, local: Time) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.offset = Some(remote.0 as i64 - local.0 as i64);
        }
    }

    /// Forgets a permanently removed node, but retains its request counts for a while.
    pub fn remove(&mut self, node: &str, now: Time) {
        if let Some(entry) = self.entries.remove(node) {
            add_evidence(&mut self.ended, &entry.status);
            self.retained.push(RetainedCounts {
                counts: entry.status.request_counts,
                until: now + COUNT_RETENTION,
            });
        }
    }

    /// Returns the median of all clocks minus the local clock, in microseconds.
    ///
    /// The median is not affected by a single clock that has jumped.
    pub fn clock_offset(&self, now: Time) -> i64 {
        let mut offsets: Vec<i64> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_live(entry, now))
            .filter_map(|(_, entry)| entry.offset)
            .collect();
        offsets.push(0);
        offsets.sort_unstable();
        offsets[offsets.len() / 2]
    }

    /// Iterates over the nodes with a recent status.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &NodeStatus> {
        self.entries
            .iter()
            .filter(move |(_, entry)| is_live(entry, now))
            .map(|(_, entry)| &entry.status)
    }

    /// Returns the number of live nodes and the median age of their statuses.
    pub fn live_age(&self, now: Time) -> (usize, Duration) {
        let live = self.entries.iter().filter(|(_, entry)| is_live(entry, now));
        let ages = live.map(|(_, entry)| now.since(entry.last_update));
        let mut ages: Vec<Duration> = ages.collect();
        ages.sort_unstable();
        let median = ages.get(ages.len() / 2).copied();
        (ages.len(), median.unwrap_or_default())
    }

    /// Iterates over the last statuses of all known nodes.
    pub fn statuses(&self) -> impl Iterator<Item = &NodeStatus> {
        self.entries.iter().map(|(_, entry)| &entry.status)
    }

    /// Returns the response counts of new versions at processes of a failure domain that
    /// have ended, by service.
    pub fn ended_evidence(&self, domain: &str) -> Option<&NameMap<Evidence>> {
        self.ended.get(domain)
    }

    /// Forgets the response counts of processes that have ended, except for the services
    /// in `current`, whose moves are in progress.
    pub fn forget_evidence(&mut self, current: &NameMap<Evidence>, now: Time) {
        let is_current = |service: &Name| current.get(service).is_some();
        for (_, services) in self.ended.iter_mut() {
            services.retain(|service, _| is_current(service));
        }
        for (_, entry) in self.entries.iter_mut() {
            if !is_live(entry, now) {
                let evidence = &mut entry.status.evidence;
                evidence.retain(|service, _| is_current(service));
            }
        }
    }

    /// Returns the number of known nodes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the units that other nodes admitted since the last call, by
    /// workspace.
    pub fn take_admitted(&mut self) -> NameMap<f64> {
        std::mem::take(&mut self.admitted)
    }

    /// Iterates over the nodes that share the quotas.
    ///
    /// A node with a recent status of fewer than half of the others may be
    /// partitioned itself, so it keeps counting all of them.
    pub fn quota_members(&self, now: Time) -> impl Iterator<Item = &NodeStatus> {
        let is_recent = move |entry: &PeerEntry| now.since(entry.last_update) < QUOTA_TIMEOUT;
        let recent = self
            .entries
            .iter()
            .filter(|(_, entry)| is_recent(entry))
            .count();
        let is_partitioned = recent * 2 < self.entries.len();
        self.entries
            .iter()
            .filter(move |(_, entry)| is_partitioned || is_recent(entry))
            .map(|(_, entry)| &entry.status)
    }

    /// Returns the newest published lease on the cluster-wide duties.
    pub fn lease(&self) -> Option<&Lease> {
        let leases = self
            .entries
            .iter()
            .filter_map(|(_, entry)| entry.status.lease.as_ref());
        leases.max_by_key(|lease| (lease.fence, lease.renewal))
    }

    /// Returns whether a status has arrived since the last `take_quota_usage`.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Returns how many other nodes share the quotas, and their quota usage.
    ///
    /// The usage is their current demand and the units that they admitted since
    /// the last call.
    pub fn take_quota_usage(&mut self, now: Time) -> (usize, NameMap<QuotaUsage>) {
        self.has_news = false;
        let mut sum: NameMap<QuotaUsage> = NameMap::new();
        let mut nodes = 0;
        for status in self.quota_members(now) {
            nodes += 1;
            for (workspace, usage) in status.quota_usage.iter() {
                sum.get_or_insert_with(workspace, QuotaUsage::default)
                    .demand += usage.demand;
            }
        }
        for (workspace, admitted) in self.take_admitted().iter() {
            sum.get_or_insert_with(workspace, QuotaUsage::default)
                .admitted = *admitted;
        }
        (nodes, sum)
    }

    /// Iterates over the request counts of all other nodes, including stopped ones.
    pub fn request_counts(&self) -> impl Iterator<Item = &WindowCounts> {
        let present = self
            .entries
            .iter()
            .flat_map(|(_, entry)| &entry.status.request_counts);
        let retained = self.retained.iter().flat_map(|retained| &retained.counts);
        present.chain(retained)
    }

    /// Returns the phase of a node with a recent status.
    pub fn phase(&self, node: &str, now: Time) -> Option<Phase> {
        let entry = self.entries.get(node).filter(|entry| is_live(entry, now))?;
        Some(entry.status.phase)
    }

    /// Returns the sorted names of the nodes whose status was updated within `span`.
    pub fn heard_within(&self, now: Time, span: Duration) -> Vec<Name> {
        self.entries
            .iter()
            .filter(|(_, entry)| now.since(entry.last_update) < span)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the names of all known nodes.
    pub fn names(&self) -> Vec<Name> {
        self.entries.iter().map(|(name, _)| name.clone()).collect()
    }
}

fn is_live(entry: &PeerEntry, now: Time) -> bool {
    now.since(entry.last_update) < LIVENESS_TIMEOUT
}

fn add_evidence(ended: &mut NameMap<NameMap<Evidence>>, status: &NodeStatus) {
    for (service, evidence) in status.evidence.iter() {
        let sum = ended
            .get_or_insert_with(&status.domain, NameMap::new)
            .get_or_insert_with(service, Evidence::new);
        for (route, counts) in evidence.iter() {
            let total = sum.get_or_insert_with(route, RouteCounts::default);
            total.add(counts);
        }
    }
}
