//! What a node knows about backend servers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::route::Candidate;
use crate::core::route::Request;
use crate::core::route::prefix;
use crate::core::route::subset;
use crate::core::table::Table;
use crate::core::time::Time;

/// Time for which a server gets no new work after its first failure.
const REST: Duration = Duration::from_millis(500);

/// Longest time for which a failing server gets no new work.
const MAX_REST: Duration = Duration::from_secs(10);

/// Age at which a load report has lost half of its weight.
const REPORT_HALF_LIFE_MS: f64 = 500.0;

/// Requests for each slot that may be at a server before work waits at the node.
const SLOT_FACTOR: f64 = 1.25;

/// Part of failed answers from which a server rests though others succeed.
const ERROR_PART: f64 = 0.3;

/// Time for which such a server rests.
const ERROR_REST: Duration = Duration::from_secs(3);

/// Smoothing factor of the part of failed answers.
const ERROR_SMOOTHING: f64 = 0.12;

/// Smoothing factor of load reports.
const REPORT_SMOOTHING: f64 = 0.2;

/// Smoothing factor of the averages kept for each server.
const SMOOTHING: f64 = 0.1;

/// Whether a VM can be reclaimed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The platform may take the VM back on short notice.
    Reclaimable,
    /// The VM stays until it is deleted.
    OnDemand,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub id: Name,
    /// The service that runs on it.
    pub service: Name,
    /// The version of the service.
    pub version: Name,
    /// IP number and port.
    pub address: Name,
    /// Failure domain.
    pub domain: Name,
    /// Whether it can be reclaimed.
    pub class: Class,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A load report published by a backend server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// One backend server as seen from this node.
#[derive(Clone, Debug)]
pub struct Server {
    /// The VM as listed.
    pub vm: Vm,
    /// Requests of this node at the server now.
    pub own_requests: u32,
    /// Requests of this node at the server that may have taken down another.
    pub suspect_requests: u32,
    /// Whether the server gets no new work for good.
    pub leaving: bool,
    rests_until: Time,
    failures: u32,
    errors: f64,
    load_at: Time,
    reported: f64,
    own_reported: f64,
    request_ms: f64,
    index: prefix::Index,
}

impl Server {
    fn new(vm: Vm) -> Self {
        Self {
            leaving: vm.leaving,
            vm,
            own_requests: 0,
            suspect_requests: 0,
            rests_until: Time::default(),
            failures: 0,
            errors: 0.0,
            load_at: Time::default(),
            reported: 0.0,
            own_reported: 0.0,
            request_ms: 0.0,
            index: prefix::Index::new(),
        }
    }

    /// Estimates the requests at the server now, from all nodes.
    ///
    /// The requests of this node are counted exactly. Those of others are the
    /// mean of recent reports less the mean of this node's own requests at the
    /// same times: a single report lags, and its difference to the own count
    /// of now is mostly noise. The weight of the reports halves with age.
    pub fn inflight(&self, now: Time) -> f64 {
        let others = (self.reported - self.own_reported).max(0.0);
        let age_ms = now.since(self.load_at).as_secs_f64() * 1_000.0;
        let weight = 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        f64::from(self.own_requests) + others * weight
    }

    fn is_usable(&self, now: Time) -> bool {
        !self.leaving && self.rests_until <= now
    }
}

/// This node's candidates for each version of a service.
type Subsets = Table<Vec<Name>>;

/// The backend servers of all services, as seen from one node.
///
/// # Invariants
///
/// `subsets` holds, by service and version, the candidates among the servers
/// of `rows` that are not leaving. They change only with the list and with
/// notices, so a choice looks at the candidates alone.
#[derive(Debug)]
pub struct Servers {
    node: Name,
    domain: Name,
    rows: Table<Server>,
    subsets: Table<Subsets>,
}

impl Servers {
    /// Creates an empty view for the node `node` in failure domain `domain`.
    pub fn new(node: Name, domain: Name) -> Self {
        Self {
            node,
            domain,
            rows: Table::new(),
            subsets: Table::new(),
        }
    }

    /// Takes over the platform's list.
    ///
    /// The list lags: a server that is known to leave stays so even if the list
    /// does not say it yet. A server that the list no longer has is dropped
    /// when no request of this node is at it.
    pub fn update(&mut self, list: &[Vm]) {
        for vm in list {
            match self.rows.get_mut(&vm.id) {
                Some(server) => {
                    server.leaving |= vm.leaving;
                    server.vm = vm.clone();
                }
                None => {
                    self.rows.insert(vm.id.clone(), Server::new(vm.clone()));
                }
            }
        }
        let mut listed: Vec<&Name> = list.iter().map(|vm| &vm.id).collect();
        listed.sort_unstable();
        self.rows.retain(|id, server| {
            let is_listed = listed.binary_search(&id).is_ok();
            server.leaving |= !is_listed;
            is_listed || server.own_requests > 0
        });
        self.rebuild();
    }

    /// Computes the candidates of every service and version anew.
    fn rebuild(&mut self) {
        let mut groups: Table<Table<Vec<subset::SubsetItem>>> = Table::new();
        for server in self.iter().filter(|server| !server.leaving) {
            groups
                .get_or_insert_with(&server.vm.service, Table::new)
                .get_or_insert_with(&server.vm.version, Vec::new)
                .push(subset::SubsetItem {
                    id: server.vm.id.clone(),
                    domain: server.vm.domain.clone(),
                });
        }
        let pick = |items: &Vec<subset::SubsetItem>| {
            subset::pick(&self.node, items, subset::MAX_CANDIDATES)
        };
        let pick_all = |versions: &Table<Vec<subset::SubsetItem>>| -> Subsets {
            let picked = versions
                .iter()
                .map(|(name, items)| (name.clone(), pick(items)));
            picked.collect()
        };
        let subsets = groups
            .iter()
            .map(|(name, versions)| (name.clone(), pick_all(versions)))
            .collect();
        // INVARIANT: every change of the list or of `leaving` ends here.
        self.subsets = subsets;
    }

    /// Iterates over this node's candidates for all versions of a service.
    fn of_service(&self, service: &str) -> impl Iterator<Item = &Server> {
        self.subsets
            .get(service)
            .into_iter()
            .flat_map(|versions| versions.iter())
            .flat_map(|(_, ids)| ids)
            .filter_map(|id| self.rows.get(id))
    }

    /// Marks a server as leaving; it gets no new work from now on.
    pub fn set_leaving(&mut self, id: &str) -> bool {
        let was_set = match self.rows.get_mut(id) {
            Some(server) => std::mem::replace(&mut server.leaving, true),
            None => return false,
        };
        if !was_set {
            self.rebuild();
        }
        !was_set
    }

    /// Keeps new work from a server for a time that doubles with each failure
    /// in a row.
    ///
    /// A server that fails fast looks idle, and would else draw all requests.
    pub fn record_failure(&mut self, id: &str, now: Time) {
        if let Some(server) = self.rows.get_mut(id) {
            let mut rest = REST * (1 << server.failures.min(8));
            server.errors += ERROR_SMOOTHING * (1.0 - server.errors);
            if server.errors > ERROR_PART {
                rest = rest.max(ERROR_REST);
            }
            server.rests_until = now + rest.min(MAX_REST);
            server.failures += 1;
        }
    }

    /// Records a good answer that took `time`, and ends the count of failures
    /// in a row.
    pub fn record_success(&mut self, id: &str, time: Duration) {
        if let Some(server) = self.rows.get_mut(id) {
            server.failures = 0;
            server.errors -= ERROR_SMOOTHING * server.errors;
            let ms = time.as_secs_f64() * 1_000.0;
            server.request_ms += SMOOTHING * (ms - server.request_ms);
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, id: &str, load: LoadReport, now: Time) {
        if let Some(server) = self.rows.get_mut(id) {
            let reported = f64::from(load.running + load.waiting);
            let own = f64::from(server.own_requests);
            let is_first = server.load_at == Time::default();
            let part = if is_first { 1.0 } else { REPORT_SMOOTHING };
            server.reported += part * (reported - server.reported);
            server.own_reported += part * (own - server.own_reported);
            server.load_at = now;
        }
    }

    /// Counts a request that is sent to a server.
    pub fn begin_request(&mut self, id: &str, blocks: &[u64]) {
        if let Some(server) = self.rows.get_mut(id) {
            server.own_requests += 1;
            server.index.add(blocks);
        }
    }

    /// Counts a request that is no longer at a server.
    pub fn end_request(&mut self, id: &str) {
        if let Some(server) = self.rows.get_mut(id) {
            server.own_requests = server.own_requests.saturating_sub(1);
        }
    }

    /// Counts a request at a server that may have taken down another.
    pub fn add_suspect(&mut self, id: &str) {
        if let Some(server) = self.rows.get_mut(id) {
            server.suspect_requests += 1;
        }
    }

    /// Counts such a request as ended.
    pub fn remove_suspect(&mut self, id: &str) {
        if let Some(server) = self.rows.get_mut(id) {
            server.suspect_requests = server.suspect_requests.saturating_sub(1);
        }
    }

    /// Gives access to the prefix index of a server.
    pub fn index_mut(&mut self, id: &str) -> Option<&mut prefix::Index> {
        self.rows.get_mut(id).map(|server| &mut server.index)
    }

    /// Returns a server by its name.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.rows.get(id)
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.rows.iter().map(|(_, server)| server)
    }

    /// Returns this node's candidates for a service, of one version or of all.
    pub fn subset<'a>(
        &'a self,
        service: &str,
        version: Option<&'a str>,
    ) -> impl Iterator<Item = &'a Server> {
        self.of_service(service)
            .filter(move |server| version.is_none_or(|version| *server.vm.version == *version))
    }

    /// Returns the candidates for a request, without those in `avoid`.
    pub fn candidates(&self, filter: &Filter<'_>, request: &Request, now: Time) -> Vec<Candidate> {
        let servers: Vec<&Server> = self
            .subset(filter.service, filter.version)
            .filter(|server| !filter.excluded.contains(&server.vm.id))
            .filter(|server| !server.leaving)
            .collect();
        // When every server rests, a doubtful one is better than none.
        let all_rest = servers.iter().all(|server| !server.is_usable(now));
        servers
            .into_iter()
            .filter(|server| all_rest || server.is_usable(now))
            .filter(|server| !filter.exclude_suspected || server.suspect_requests == 0)
            .map(|server| Candidate {
                id: server.vm.id.clone(),
                inflight: server.inflight(now),
                slots: filter.slots,
                cached_tokens: server.index.expected_tokens(&request.block_hashes),
                same_domain: server.vm.domain == self.domain,
                reclaimable: server.vm.class == Class::Reclaimable,
                request_ms: server.request_ms,
            })
            .collect()
    }

    /// Returns how many more requests this node's candidates of a service can take.
    pub fn free_capacity(&self, service: &str, slots: u32, now: Time) -> u32 {
        let limit = f64::from(slots) * SLOT_FACTOR;
        let all_rest = !self.has_usable(service, now);
        self.of_service(service)
            .filter(|server| all_rest || server.is_usable(now))
            .map(|server| (limit - server.inflight(now)).max(0.0).floor() as u32)
            .sum()
    }

    /// Returns whether a service has a server that may take work.
    pub fn has_usable(&self, service: &str, now: Time) -> bool {
        self.of_service(service).any(|server| server.is_usable(now))
    }
}

/// Which servers may be candidates.
#[derive(Clone, Copy, Debug)]
pub struct Filter<'a> {
    /// The service.
    pub service: &'a str,
    /// The version of the service, or any if `None`.
    pub version: Option<&'a str>,
    /// Requests that one server of the service runs at the same time.
    pub slots: u32,
    /// Servers that were tried already.
    pub excluded: &'a [Name],
    /// Whether only servers that run no suspected request may be candidates.
    pub exclude_suspected: bool,
}
