//! What an operator has declared for an entry: routes, services, workspaces and limits.
//!
//! A [`Catalog`] is one numbered version of the declaration, decoded and
//! indexed. It never changes; a newer version replaces it as a whole.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;

/// One version of the declaration.
///
/// # Invariants
///
/// `routes` is sorted by host and prefix, `keys` by key.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Number of the version; a later version has a higher one.
    pub version: u64,
    /// Services by name.
    pub services: NameMap<Service>,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    routes: Vec<Route>,
    workspaces: Vec<Workspace>,
    keys: Vec<(Name, usize)>,
}

/// What may be repeated of the requests on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once.
    AtMostOnce,
    /// Streams that run at most once.
    Stream,
    /// Streams that another server can go on with after the last event.
    Resumable,
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Resumable)
    }

    /// Returns whether answers are series of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::Resumable)
    }
}

/// A route from callers to one or more services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Beginning of the paths that belong to the route; it ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that callers aim at.
    pub target_latency: Duration,
    /// Longest pause between two events that callers aim at.
    pub max_gap: Option<Duration>,
    /// Rank among routes; 0 goes first.
    pub priority: u8,
    /// Services with the weight of each.
    pub split: Vec<(Name, u32)>,
    /// Servers on which one request may run, at most.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Returns the service for a request, given a random number drawn for it.
    pub fn choose_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.1)).sum();
        if total == 0 {
            return self.split.first().map(|part| &part.0);
        }
        let mut at = draw % total;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if at < weight {
                return Some(service);
            }
            at -= weight;
        }
        None
    }
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Requests that one server runs at the same time, if it runs models.
    pub slots: Option<u32>,
    /// How many servers may be ordered, if the operator lets the system decide.
    pub scale: Option<Scale>,
}

/// Bounds and prices of the servers of a service in one failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scale {
    /// Fewest servers.
    pub min: u32,
    /// Most servers.
    pub max: u32,
    /// Time from an order to a server that serves.
    pub boot_time: Duration,
    /// Price of a reclaimable server as a part of the price of another; `None`
    /// if there are none.
    pub reclaimable_price: Option<f64>,
    /// Price of a server-second by failure domain.
    pub domain_prices: NameMap<f64>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace and its limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Keys that belong to it.
    pub keys: Vec<Name>,
    /// Rank that replaces that of the route.
    pub priority: Option<u8>,
    /// Quota over all nodes, in units a second; 0 for none.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// How requests are counted against the quota.
    pub unit: BillingUnit,
}

/// How requests are counted against a quota.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BillingUnit {
    /// Each request counts one.
    #[default]
    Requests,
    /// Each request counts its tokens.
    Tokens {
        /// Tokens of a request that names none.
        default_tokens: u64,
    },
}

impl Catalog {
    /// Creates a version without routes and workspaces.
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Sets the routes.
    #[must_use]
    pub fn with_routes(mut self, mut routes: Vec<Route>) -> Self {
        // INVARIANT: sorted here and never changed.
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        self.routes = routes;
        self
    }

    /// Sets the workspaces.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: Vec<Workspace>) -> Self {
        let mut keys: Vec<(Name, usize)> = Vec::new();
        for (at, workspace) in workspaces.iter().enumerate() {
            keys.extend(workspace.keys.iter().map(|key| (key.clone(), at)));
        }
        // INVARIANT: sorted here and never changed.
        keys.sort();
        self.keys = keys;
        self.workspaces = workspaces;
        self
    }

    /// Sets the services.
    #[must_use]
    pub fn with_services(mut self, services: NameMap<Service>) -> Self {
        self.services = services;
        self
    }

    /// Sets the bounds on what a caller may send.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns whether requests need keys.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the workspace that holds `key`.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        let at = self.keys.binary_search_by(|row| (*row.0).cmp(key)).ok()?;
        Some(&self.workspaces[self.keys[at].1])
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let found = self
                .routes
                .binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&(host, prefix)));
            if let Ok(at) = found {
                return Some(&self.routes[at]);
            }
            end = slash;
        }
        None
    }
}
