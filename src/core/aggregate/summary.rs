//! The combined state of several nodes.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::fleet::load::Traffic;
use crate::core::lease::Lease;
use crate::core::moves::detector::Evidence;
use crate::core::moves::detector::RouteCounts;
use crate::core::name_map::NameMap;
use crate::core::peer::NodeStatus;
use crate::core::peer::Peers;
use crate::core::peer::Phase;
use crate::core::peer::QuotaUsage;
use crate::core::retry::crash::Crash;
use crate::core::time::Time;
use crate::core::usage;
use crate::core::usage::WindowCounts;

/// Maximum number of caller addresses in a summary.
const MAX_FRONTS: usize = 64;

/// Maximum number of lease candidates in a summary.
///
/// The first may be the current holder, and the second may just have stopped.
const MAX_CANDIDATES: usize = 3;

/// A node that may acquire the lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidate {
    /// Name of the node.
    pub node: Name,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Processor capacity in thousandths of a core, or 0 if unknown.
    pub millicores: u32,
}

/// State of several nodes combined, whose size does not depend on their number.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// Number of nodes that share the quotas.
    pub nodes: u32,
    /// Best serving phase of any node; [`Phase::Starting`] if no node serves.
    pub phase: Phase,
    /// Caller addresses of some of the nodes in this phase.
    pub fronts: Vec<SocketAddr>,
    /// The first nodes in the order in which they acquire a free lease.
    pub candidates: Vec<Candidate>,
    /// Demand and admitted units by workspace; the units are counted from an
    /// arbitrary start and never decrease.
    pub quota_usage: NameMap<QuotaUsage>,
    /// Traffic by service.
    pub traffic: NameMap<Traffic>,
    /// The newest lease that a node announced.
    pub lease: Option<Lease>,
    /// Nodes of this build publish none; the field keeps the encoding of earlier ones.
    pub crashes: Vec<Crash>,
    /// Response counts of new versions, by failure domain and service.
    pub evidence: NameMap<NameMap<Evidence>>,
    /// Faults found in new versions, as service and version.
    pub vetoes: Vec<(Name, Name)>,
}

impl Summary {
    /// Merges the state of other nodes.
    pub fn merge(&mut self, other: &Summary) {
        self.merge_load(other);
        match serving_rank(other.phase).cmp(&serving_rank(self.phase)) {
            std::cmp::Ordering::Greater => {
                self.phase = other.phase;
                self.fronts.clone_from(&other.fronts);
            }
            std::cmp::Ordering::Equal => self.fronts.extend(&other.fronts),
            std::cmp::Ordering::Less => {}
        }
        for candidate in &other.candidates {
            self.add_candidate(candidate.clone());
        }
        self.add_lease(other.lease.as_ref());
        for (domain, services) in other.evidence.iter() {
            self.evidence.insert(domain.clone(), services.clone());
        }
        for (service, version) in &other.vetoes {
            self.add_veto(service, version);
        }
    }

    /// Merges only the load of nodes that may have stopped.
    pub fn merge_load(&mut self, other: &Summary) {
        self.nodes += other.nodes;
        for (workspace, usage) in other.quota_usage.iter() {
            self.add_quota_usage(workspace, usage);
        }
        for (service, traffic) in other.traffic.iter() {
            self.traffic
                .get_or_insert_with(service, Traffic::default)
                .add(traffic);
        }
    }

    /// Keeps at most [`MAX_FRONTS`] caller addresses, starting at a position that
    /// depends on `random`, so that repeated summaries name different nodes.
    pub fn sample_fronts(&mut self, random: u64) {
        if self.fronts.len() > MAX_FRONTS {
            let first = (random % self.fronts.len() as u64) as usize;
            self.fronts.rotate_left(first);
            self.fronts.truncate(MAX_FRONTS);
        }
    }

    /// Returns whether `node` is the next to acquire a lease that `holder` no
    /// longer holds.
    pub fn is_next_holder(&self, node: &str, holder: Option<&Name>) -> bool {
        let next = self
            .candidates
            .iter()
            .find(|candidate| Some(&candidate.node) != holder);
        next.is_some_and(|candidate| *candidate.node == *node)
    }

    /// Returns the admitted units, by workspace.
    pub fn admitted(&self) -> NameMap<f64> {
        let usage = self.quota_usage.iter();
        usage
            .map(|(workspace, usage)| (workspace.clone(), usage.admitted))
            .collect()
    }

    fn add_quota_usage(&mut self, workspace: &Name, usage: &QuotaUsage) {
        let sum = self
            .quota_usage
            .get_or_insert_with(workspace, QuotaUsage::default);
        sum.demand += usage.demand;
        sum.admitted += usage.admitted;
    }

    /// Larger nodes come first, and of the same size that which runs for longest.
    fn add_candidate(&mut self, candidate: Candidate) {
        let key = |row: &Candidate| (std::cmp::Reverse(row.millicores), row.incarnation);
        let index = self
            .candidates
            .partition_point(|row| key(row) < key(&candidate));
        self.candidates.insert(index, candidate);
        self.candidates.truncate(MAX_CANDIDATES);
    }

    fn add_lease(&mut self, lease: Option<&Lease>) {
        let order = |lease: &Lease| (lease.fence, lease.renewal);
        if lease.map(order) > self.lease.as_ref().map(order) {
            self.lease = lease.cloned();
        }
    }

    fn add_veto(&mut self, service: &Name, version: &Name) {
        let veto = (service.clone(), version.clone());
        if let Err(index) = self.vetoes.binary_search(&veto) {
            self.vetoes.insert(index, veto);
        }
    }

    /// Adds a node that was heard recently.
    fn add_live(&mut self, status: &NodeStatus, millicores: u32) {
        match serving_rank(status.phase).cmp(&serving_rank(self.phase)) {
            std::cmp::Ordering::Greater => {
                self.phase = status.phase;
                self.fronts = vec![status.front];
            }
            std::cmp::Ordering::Equal if serving_rank(status.phase) > 0 => {
                self.fronts.push(status.front);
            }
            _ => {}
        }
        if status.phase == Phase::Ready && status.incarnation > 0 {
            self.add_candidate(Candidate {
                node: status.node.clone(),
                incarnation: status.incarnation,
                millicores,
            });
        }
        for (service, traffic) in status.traffic.iter() {
            self.traffic
                .get_or_insert_with(service, Traffic::default)
                .add(traffic);
        }
        for (service, version) in status.vetoes.iter() {
            self.add_veto(service, version);
        }
    }

    fn add_evidence(&mut self, domain: &Name, services: &NameMap<Evidence>) {
        for (service, evidence) in services.iter() {
            let sum = self
                .evidence
                .get_or_insert_with(domain, NameMap::new)
                .get_or_insert_with(service, Evidence::new);
            for (route, counts) in evidence.iter() {
                let total = sum.get_or_insert_with(route, RouteCounts::default);
                total.add(counts);
            }
        }
    }
}

/// Returns how well a phase serves callers, from 0 for not at all.
const fn serving_rank(phase: Phase) -> u8 {
    match phase {
        Phase::Starting | Phase::Leaving => 0,
        Phase::Stale => 1,
        Phase::Ready => 2,
    }
}

/// The state of the nodes of one failure domain, as one of its aggregators
/// publishes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainSummary {
    /// The failure domain.
    pub domain: Name,
    /// The aggregator.
    pub node: Name,
    /// Address of the aggregator for other nodes.
    pub peer: SocketAddr,
    /// Incarnation of the aggregator.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// The combined state.
    pub summary: Summary,
    /// Requests started, by time window and workspace.
    pub request_counts: Vec<WindowCounts>,
}

impl DomainSummary {
    /// Summarizes the nodes in the failure domain of `own` that report to it.
    ///
    /// `admitted` are the units admitted by these nodes, by workspace, `millicores`
    /// returns the processor capacity of a node, and `random` selects the caller
    /// addresses.
    pub fn new(
        own: &NodeStatus,
        peers: &Peers,
        admitted: &NameMap<f64>,
        millicores: impl Fn(&str) -> u32,
        random: u64,
        now: Time,
    ) -> Self {
        let is_local = |status: &&NodeStatus| status.domain == own.domain;
        let mut summary = Summary::default();
        for status in peers.quota_members(now).filter(is_local).chain([own]) {
            summary.nodes += 1;
            for (workspace, usage) in status.quota_usage.iter() {
                let demand = QuotaUsage {
                    demand: usage.demand,
                    admitted: 0.0,
                };
                summary.add_quota_usage(workspace, &demand);
            }
        }
        for (workspace, units) in admitted.iter() {
            let units = QuotaUsage {
                demand: 0.0,
                admitted: *units,
            };
            summary.add_quota_usage(workspace, &units);
        }
        for status in peers.live(now).filter(is_local).chain([own]) {
            summary.add_live(status, millicores(&status.node));
        }
        for status in peers.statuses().filter(is_local).chain([own]) {
            summary.add_evidence(&own.domain, &status.evidence);
            summary.add_lease(status.lease.as_ref());
        }
        if let Some(ended) = peers.ended_evidence(&own.domain) {
            summary.add_evidence(&own.domain, ended);
        }
        summary.sample_fronts(random);
        let counts = peers.request_counts().chain(&own.request_counts);
        Self {
            domain: own.domain.clone(),
            node: own.node.clone(),
            peer: own.peer,
            incarnation: own.incarnation,
            seq: own.seq,
            summary,
            request_counts: usage::sum(counts),
        }
    }
}
