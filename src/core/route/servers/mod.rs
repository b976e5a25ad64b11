//! View of a node on the backend servers and their load.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::Candidate;
use crate::core::route::Request;
use crate::core::route::prefix;
use crate::core::route::servers::closure::Closure;
use crate::core::route::servers::evacuation::Evacuated;
use crate::core::route::servers::health::Health;
use crate::core::route::servers::limit::RateLimit;
use crate::core::route::servers::silence::Silence;
use crate::core::route::subset;
use crate::core::time::Time;

pub mod closure;
pub mod cold;
pub mod evacuation;
pub mod explain;
pub mod health;
pub mod hedge;
pub mod in_flight;
pub mod limit;
pub mod notice;
pub mod sample;
pub mod silence;
pub mod standing;

/// Age at which the weight of a load report has halved, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 500.0;

/// Requests per slot at a server above which further requests wait in the queue of the node.
const MAX_REQUESTS_PER_SLOT: f64 = 1.25;

/// Number of candidates for a version below which others are chosen.
///
/// The choice takes time for each server, so it is not made for each one that leaves.
const MIN_CANDIDATES: usize = subset::MAX_CANDIDATES * 3 / 4;

/// Smoothing factor of the load reports.
const REPORT_SMOOTHING: f64 = 0.2;

/// Smoothing factor of the request duration.
const DURATION_SMOOTHING: f64 = 0.1;

/// Whether the platform can reclaim a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The platform can reclaim the VM at short notice.
    Reclaimable,
    /// The VM runs until it is deleted.
    OnDemand,
}

/// A VM as listed by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// ID of the VM.
    pub id: Name,
    /// Service that runs on the VM.
    pub service: Name,
    /// Version of the service.
    pub version: Name,
    /// IP address and port.
    pub address: Name,
    /// Failure domain.
    pub domain: Name,
    /// Whether the platform can reclaim the VM.
    pub class: Class,
    /// Whether the VM is shutting down.
    pub leaving: bool,
}

/// A load report published by a backend server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that the server runs concurrently, if stated.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Time that work takes at the moment in percent of the usual time, if the server
    /// states it; 100 means as usual.
    #[serde(default)]
    pub work_percent: Option<u32>,
}

/// A backend server as seen from this node.
#[derive(Clone, Debug)]
pub struct Server {
    /// VM as listed by the platform.
    pub vm: Vm,
    /// Number of requests of this node in flight at the server.
    pub own_requests: u32,
    /// Number of requests of this node at the server that are suspected of having crashed
    /// another server.
    pub suspect_requests: u32,
    /// Whether the server is shutting down and gets no more requests.
    pub leaving: bool,
    health: Health,
    /// Time of the last sign of life.
    heard_at: Time,
    silence: Option<Silence>,
    reported_at: Time,
    last_load: LoadReport,
    mean_reported: f64,
    mean_own: f64,
    request_ms: f64,
    rate_limit: Option<RateLimit>,
    cold: cold::Knowledge,
    closure: Option<Box<Closure>>,
    index: prefix::Index,
}

impl Server {
    fn new(vm: Vm) -> Self {
        Self {
            leaving: vm.leaving,
            vm,
            own_requests: 0,
            suspect_requests: 0,
            health: Health::default(),
            heard_at: Time::default(),
            silence: None,
            reported_at: Time::default(),
            last_load: LoadReport::default(),
            mean_reported: 0.0,
            mean_own: 0.0,
            request_ms: 0.0,
            rate_limit: None,
            cold: cold::Knowledge::new(),
            closure: None,
            index: prefix::Index::new(),
        }
    }

    /// Estimates the number of requests in flight at the server, from all nodes.
    ///
    /// The requests of this node are counted exactly. Those of other nodes are
    /// estimated as the mean of recent load reports minus the mean of this node's own
    /// requests at the times of the reports: a single report lags, and its difference
    /// from the current own count is mostly noise. The weight of the estimate decays
    /// exponentially with the age of the last report.
    pub fn inflight(&self, now: Time) -> f64 {
        let others = (self.mean_reported - self.mean_own).max(0.0);
        let age_ms = now.since(self.reported_at).as_secs_f64() * 1_000.0;
        let weight = 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        f64::from(self.own_requests) + others * weight
    }

    /// Returns the last load report and its time, if there is one.
    pub fn last_load(&self) -> Option<(LoadReport, Time)> {
        let is_known = self.reported_at != Time::default();
        is_known.then_some((self.last_load, self.reported_at))
    }

    /// Returns whether the server is to get requests.
    fn is_choosable(&self, evacuated: &Evacuated) -> bool {
        !self.leaving && !evacuated.contains(&self.vm.domain)
    }

    fn subset_item(&self) -> subset::SubsetItem {
        subset::SubsetItem {
            id: self.vm.id.clone(),
            domain: self.vm.domain.clone(),
        }
    }

    fn is_usable(&self, now: Time) -> bool {
        let is_ejected = self.health.is_ejected(now) || self.is_suspected(now);
        !self.leaving && !is_ejected && self.is_open(now)
    }
}

/// Candidates of this node for each version of a service.
type Subsets = NameMap<Vec<Name>>;

/// The backend servers of all services, as seen from one node.
///
/// # Invariants
///
/// `subsets` contains, by service and version, candidates among the servers in `by_id`
/// that are to get requests: all of them, or at least [`MIN_CANDIDATES`]. It changes only
/// with the list, with the evacuated domains and when a server is marked as leaving, so
/// choosing a server does not scan all servers.
#[derive(Debug)]
pub struct Servers {
    node: Name,
    domain: Name,
    by_id: NameMap<Server>,
    subsets: NameMap<Subsets>,
    /// Servers that have announced that they leave, and when.
    announced: NameMap<Time>,
    /// The last server of the last message about departures.
    last_told: Option<Name>,
    /// Closures of servers that are no longer listed; an older listing may show such a
    /// server again.
    unlisted: NameMap<Box<Closure>>,
    /// Failure domains whose servers get no requests.
    evacuated: Evacuated,
    /// Sorted names of the nodes that share the rate limits of the servers.
    nodes: Vec<Name>,
    /// Whether the shares of the rate limits follow from the current nodes and candidates.
    has_shares: bool,
    /// Servers whose limit has ended, and when.
    ended_limits: NameMap<Time>,
    cold: cold::Fleet,
}

impl Servers {
    /// Creates an empty view for the node `node` in failure domain `domain`.
    pub fn new(node: Name, domain: Name) -> Self {
        Self {
            node,
            domain,
            by_id: NameMap::new(),
            subsets: NameMap::new(),
            announced: NameMap::new(),
            last_told: None,
            unlisted: NameMap::new(),
            evacuated: Evacuated::new(),
            nodes: Vec::new(),
            has_shares: false,
            ended_limits: NameMap::new(),
            cold: cold::Fleet::default(),
        }
    }

    /// Updates the servers from the platform's list.
    ///
    /// The list lags: a server that is known to be leaving remains so even if the list
    /// does not show it yet, or shows the server again after it was missing. A server
    /// that is no longer listed is removed if it has no requests of this node.
    pub fn update(&mut self, list: &[Vm]) {
        for vm in list {
            match self.by_id.get_mut(&vm.id) {
                Some(server) => {
                    server.leaving |= vm.leaving;
                    server.vm = vm.clone();
                }
                None => {
                    let mut server = Server::new(vm.clone());
                    server.leaving |= self.announced.get(&vm.id).is_some();
                    server.closure = self.unlisted.remove(&vm.id);
                    self.by_id.insert(vm.id.clone(), server);
                }
            }
        }
        let mut listed: Vec<&Name> = list.iter().map(|vm| &vm.id).collect();
        listed.sort_unstable();
        self.by_id.retain(|id, server| {
            let is_listed = listed.binary_search(&id).is_ok();
            server.leaving |= !is_listed;
            let is_kept = is_listed || server.own_requests > 0;
            if !is_kept && let Some(closure) = server.closure.take() {
                self.unlisted.insert(id.clone(), closure);
            }
            is_kept
        });
        self.rebuild_subsets();
    }

    /// Recomputes the candidates of all services and versions.
    fn rebuild_subsets(&mut self) {
        let mut groups: NameMap<NameMap<Vec<subset::SubsetItem>>> = NameMap::new();
        for server in self
            .iter()
            .filter(|server| server.is_choosable(&self.evacuated))
        {
            groups
                .get_or_insert_with(&server.vm.service, NameMap::new)
                .get_or_insert_with(&server.vm.version, Vec::new)
                .push(server.subset_item());
        }
        let pick = |items: &Vec<subset::SubsetItem>| {
            subset::pick(&self.node, items, subset::MAX_CANDIDATES)
        };
        let pick_versions = |versions: &NameMap<Vec<subset::SubsetItem>>| -> Subsets {
            let picked = versions
                .iter()
                .map(|(name, items)| (name.clone(), pick(items)));
            picked.collect()
        };
        let subsets = groups
            .iter()
            .map(|(name, versions)| (name.clone(), pick_versions(versions)))
            .collect();
        // INVARIANT: this function runs after every change of the list or of the
        // evacuated domains.
        self.subsets = subsets;
        self.has_shares = false;
    }

    /// Removes a server that is leaving from the candidates, and chooses others if few
    /// are left.
    fn remove_candidate(&mut self, id: &str) {
        let Some(server) = self.by_id.get(id) else {
            return;
        };
        let Vm {
            service, version, ..
        } = &server.vm;
        let versions = self.subsets.get_mut(service);
        let Some(picked) = versions.and_then(|versions| versions.get_mut(version)) else {
            return;
        };
        // A server that is not a candidate has no influence on the choice of the others.
        let Some(place) = picked.iter().position(|candidate| **candidate == *id) else {
            return;
        };
        picked.remove(place);
        if picked.len() >= MIN_CANDIDATES {
            return;
        }
        let items: Vec<subset::SubsetItem> = self
            .by_id
            .iter()
            .map(|(_, server)| server)
            .filter(|server| server.vm.service == *service && server.vm.version == *version)
            .filter(|server| server.is_choosable(&self.evacuated))
            .map(Server::subset_item)
            .collect();
        *picked = subset::pick(&self.node, &items, subset::MAX_CANDIDATES);
        self.has_shares = false;
    }

    /// Returns this node's candidates for all versions of a service.
    fn service_candidates(&self, service: &str) -> impl Iterator<Item = &Server> {
        self.subsets
            .get(service)
            .into_iter()
            .flat_map(|versions| versions.iter())
            .flat_map(|(_, ids)| ids)
            .filter_map(|id| self.by_id.get(id))
    }

    /// Marks a server as leaving, so that it gets no more requests.
    ///
    /// Returns whether the server is known and was not marked before.
    pub fn set_leaving(&mut self, id: &str) -> bool {
        let was_set = match self.by_id.get_mut(id) {
            Some(server) => std::mem::replace(&mut server.leaving, true),
            None => return false,
        };
        if !was_set {
            self.remove_candidate(id);
        }
        !was_set
    }

    /// Records a failure and ejects the server for a time that doubles with each
    /// consecutive failure.
    ///
    /// Without the ejection, a server that fails fast would look idle and attract all
    /// requests.
    pub fn record_failure(&mut self, id: &str, now: Time) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.health.record_failure(now);
        }
    }

    /// Records a successful request that took `duration`, and resets the number of
    /// consecutive failures.
    pub fn record_success(&mut self, id: &str, duration: Duration) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.health.record_success();
            let ms = duration.as_secs_f64() * 1_000.0;
            server.request_ms += DURATION_SMOOTHING * (ms - server.request_ms);
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, id: &str, load: LoadReport, now: Time) {
        if let Some(server) = self.by_id.get_mut(id) {
            let reported = f64::from(load.running + load.waiting);
            let own = f64::from(server.own_requests);
            let is_first = server.reported_at == Time::default();
            let smoothing = if is_first { 1.0 } else { REPORT_SMOOTHING };
            server.mean_reported += smoothing * (reported - server.mean_reported);
            server.mean_own += smoothing * (own - server.mean_own);
            server.reported_at = now;
            server.last_load = load;
        }
    }

    /// Returns a mutable reference to the prefix index of a server.
    pub fn index_mut(&mut self, id: &str) -> Option<&mut prefix::Index> {
        self.by_id.get_mut(id).map(|server| &mut server.index)
    }

    /// Returns the server with the given ID.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.by_id.get(id)
    }

    /// Returns an iterator over all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.by_id.iter().map(|(_, server)| server)
    }

    /// Returns this node's candidates for one version of a service, or for all versions.
    pub fn subset<'a>(
        &'a self,
        service: &str,
        version: Option<&'a str>,
    ) -> impl Iterator<Item = &'a Server> {
        self.service_candidates(service)
            .filter(move |server| version.is_none_or(|version| *server.vm.version == *version))
    }

    /// Returns the candidates for a request that match `filter`.
    pub fn candidates(&self, filter: &Filter<'_>, request: &Request, now: Time) -> Vec<Candidate> {
        let servers: Vec<&Server> = self
            .subset(filter.service, filter.version)
            .filter(|server| !filter.excluded.contains(&server.vm.id))
            .filter(|server| !server.leaving && server.is_open(now))
            .collect();
        // If all servers are ejected, using one of them is better than using none.
        let all_ejected = servers.iter().all(|server| !server.is_usable(now));
        let candidates = servers
            .into_iter()
            .filter(|server| all_ejected || server.is_usable(now))
            .filter(|server| self.pacing_of(server, now).is_zero())
            .filter(|server| !filter.exclude_suspected || server.suspect_requests == 0)
            .map(|server| Candidate {
                id: server.vm.id.clone(),
                inflight: server.inflight(now),
                slots: filter.slots,
                cached_tokens: server.index.expected_tokens(&request.block_hashes),
                same_domain: server.vm.domain == self.domain,
                reclaimable: server.vm.class == Class::Reclaimable,
                request_ms: server.request_ms,
            });
        let candidates = candidates.collect();
        if filter.excluded.is_empty() {
            self.prefer_due(candidates, now)
        } else {
            candidates
        }
    }

    /// Returns the number of further requests that this node's candidates for a service
    /// can take.
    pub fn free_capacity(&self, service: &str, slots: u32, now: Time) -> u32 {
        let limit = f64::from(slots) * MAX_REQUESTS_PER_SLOT;
        let all_ejected = !self.has_usable(service, now);
        self.service_candidates(service)
            .filter(|server| server.is_open(now) && (all_ejected || server.is_usable(now)))
            .map(|server| (limit - server.inflight(now)).max(0.0).floor() as u32)
            .sum()
    }

    /// Returns whether a service has a candidate that is neither leaving, ejected nor closed.
    pub fn has_usable(&self, service: &str, now: Time) -> bool {
        self.service_candidates(service)
            .any(|server| server.is_usable(now))
    }
}

/// Conditions on the candidates for a request.
#[derive(Clone, Copy, Debug)]
pub struct Filter<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Version of the service, or `None` for any version.
    pub version: Option<&'a str>,
    /// Maximum number of concurrent requests on one server of the service.
    pub slots: u32,
    /// IDs of the servers to exclude, which have already been tried.
    pub excluded: &'a [Name],
    /// Whether to exclude servers with a suspected request.
    pub exclude_suspected: bool,
}
