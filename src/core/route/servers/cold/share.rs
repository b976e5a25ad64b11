//! The share of a node of the rate that a cold server tolerates.
//!
//! A node that has sent nothing for a while may send a whole request at once, however
//! small its share is. Up to a number of nodes, all have a share; of more, only some do,
//! chosen by a hash, and each of these sends at most one request in a second.

use crate::core;
use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::servers::Servers;
use crate::core::route::servers::Vm;
use crate::core::route::servers::cold::Tolerance;
use crate::core::route::subset;

/// Span in which the requests sent may arrive within one second, in seconds: that second,
/// the longest time from the choice of the server until the request is sent, and the
/// difference between two transit times.
const WINDOW_S: f64 = 1.2;

/// Fraction of the allowed requests that is planned for; the rest is left for nodes that do
/// not yet agree on who has a share.
const PLANNED_FRACTION: f64 = 0.8;

/// Fraction of the tolerated rate that is used.
const RATE_FRACTION: f64 = 0.75;

/// Fraction of the allowed requests that are used per second at most, which matters where
/// hardly more than the rate is allowed.
const ALLOWED_FRACTION: f64 = 0.6;

/// Fraction of a node's share that a starting server gets at least while there are requests.
///
/// A tenth of the tolerated rate must be used, although some nodes may not know of the
/// server and others may have no requests.
pub(super) const LEAST_FRACTION: f64 = 0.3;

/// Number of nodes up to which those with a share are ranked, which takes time for each.
const MAX_RANKED: usize = 300;

/// Standard deviations by which a number drawn at random may be exceeded.
const DEVIATIONS: f64 = 3.5;

/// A node's share of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Share {
    /// Not computed yet.
    Unknown,
    /// Other nodes send to the server.
    None,
    /// Requests per second.
    Rate(f64),
}

impl Share {
    /// Returns the requests per second, or `None` if there are none.
    pub(super) const fn rate(self) -> Option<f64> {
        match self {
            Share::Unknown | Share::None => None,
            Share::Rate(rate) => Some(rate),
        }
    }
}

/// Returns the requests per second that all nodes together send to a cold server.
pub(super) fn used_rate(rate: f64, tolerance: Tolerance) -> f64 {
    let allowed = rate * tolerance.ratio + tolerance.slack;
    (rate * RATE_FRACTION).min(allowed * ALLOWED_FRACTION)
}

/// Returns the first level of a node's pacer for a server, which spreads the first
/// requests of all nodes.
pub(super) fn first_level(node: &str, id: &str) -> f64 {
    fraction(&["cold level", node, id])
}

fn fraction(parts: &[&str]) -> f64 {
    core::hash(parts) as f64 / u64::MAX as f64
}

/// How many nodes may send to a server.
struct Plan {
    /// Requests per second of all nodes together.
    rate: f64,
    /// Requests in a window.
    planned: f64,
}

impl Plan {
    fn new(rate: f64, tolerance: Tolerance) -> Self {
        let allowed = rate * tolerance.ratio + tolerance.slack;
        Self {
            rate: used_rate(rate, tolerance),
            planned: (allowed * PLANNED_FRACTION).max(1.0),
        }
    }

    /// Returns the number of nodes that may each hold a request besides the rate.
    fn burst_nodes(&self) -> usize {
        ((self.planned - self.rate * WINDOW_S) as usize).max(1)
    }

    /// Returns the number of nodes that may each send one request in a window.
    fn spread_nodes(&self) -> usize {
        self.planned as usize
    }

    /// Returns the rate of each of `nodes` nodes that send one request in a window.
    fn spread_rate(&self, nodes: f64) -> f64 {
        (self.rate / nodes).min(1.0 / WINDOW_S)
    }
}

/// Returns this node's shares of its candidates of the services whose servers start cold.
pub(super) fn shares(servers: &Servers, is_joining: bool) -> Vec<(Name, Share)> {
    let mut shares = Vec::new();
    for (service, rule) in servers.cold.rules.iter() {
        let plan = Plan::new(rule.rate, servers.cold.tolerance);
        let sizes = group_sizes(servers, service);
        for server in servers.subset(service, None) {
            let Vm {
                id,
                version,
                domain,
                ..
            } = &server.vm;
            let share = if is_joining {
                let nodes = servers.nodes.len().max(plan.spread_nodes());
                Share::Rate(plan.spread_rate(nodes as f64))
            } else {
                let by_domain = sizes.get(version);
                let used = by_domain.map_or(1.0, |sizes| used_fraction(sizes, domain));
                share(servers, &plan, id, used)
            };
            shares.push((id.clone(), share));
        }
    }
    shares
}

/// Returns the share of a server that a fraction `used` of all nodes has among its
/// candidates.
fn share(servers: &Servers, plan: &Plan, id: &str, used: f64) -> Share {
    let nodes = servers.nodes.len().max(1);
    let expected = nodes as f64 * used;
    let most = if used >= 1.0 {
        nodes
    } else {
        nodes.min((expected + DEVIATIONS * expected.sqrt() + 1.0) as usize)
    };
    if most <= plan.burst_nodes() {
        return Share::Rate(plan.rate / most as f64);
    }
    let spread = plan.spread_nodes();
    if most <= spread {
        return Share::Rate(plan.spread_rate(most as f64));
    }
    let own = core::hash(&["limit", &servers.node, id]);
    if used >= 1.0 && nodes <= MAX_RANKED {
        let is_before = |name: &&Name| core::hash(&["limit", name, id]) > own;
        let before = servers.nodes.iter().filter(is_before);
        if before.take(spread).count() >= spread {
            return Share::None;
        }
        return Share::Rate(plan.spread_rate(spread as f64));
    }
    // The nodes that have the server among their candidates are not known one by one, so
    // each is drawn at random, and few enough on average.
    let drawn = mean_below(spread as f64);
    if own as f64 / u64::MAX as f64 > drawn / expected {
        return Share::None;
    }
    Share::Rate(plan.spread_rate(drawn))
}

/// Returns the mean of a random number of nodes that does not exceed `limit`.
fn mean_below(limit: f64) -> f64 {
    let root = (DEVIATIONS * DEVIATIONS + 4.0 * limit).sqrt() - DEVIATIONS;
    (root / 2.0).powi(2)
}

/// Returns the numbers of servers of a service by version and failure domain.
fn group_sizes(servers: &Servers, service: &str) -> NameMap<NameMap<usize>> {
    let mut sizes: NameMap<NameMap<usize>> = NameMap::new();
    let listed = servers
        .iter()
        .filter(|server| *server.vm.service == *service);
    for server in listed.filter(|server| server.is_choosable(&servers.evacuated)) {
        let by_domain = sizes.get_or_insert_with(&server.vm.version, NameMap::new);
        *by_domain.get_or_insert_with(&server.vm.domain, || 0) += 1;
    }
    sizes
}

/// Returns the fraction of a domain's servers that each node has among its candidates.
fn used_fraction(sizes: &NameMap<usize>, domain: &str) -> f64 {
    let size = sizes.get(domain).copied().unwrap_or(1).max(1);
    let taken = |rounds: usize| -> usize {
        let sizes = sizes.iter().map(|(_, size)| rounds.min(*size));
        sizes.sum()
    };
    // A subset takes one server of each domain in turn.
    let used = (1..=size).find(|rounds| taken(*rounds) >= subset::MAX_CANDIDATES);
    used.map_or(1.0, |used| used as f64 / size as f64)
}
