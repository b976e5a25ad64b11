//! The operator's declaration for an entry: routes, services, workspaces and limits.
//!
//! A [`Catalog`] is one numbered version of the declaration, decoded and
//! indexed. It is immutable; a newer version replaces it as a whole.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::servers::cold::ColdStart;

/// Holds one version of the declaration, indexed for lookup.
///
/// # Invariants
///
/// `routes` is sorted by host and prefix, `keys` by key.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version number, which increases with every version.
    pub version: u64,
    /// Services by name.
    pub services: NameMap<Service>,
    /// Limits on the size and idle time of requests.
    pub limits: Limits,
    routes: Vec<Route>,
    workspaces: Vec<Workspace>,
    has_unreadable_workspaces: bool,
    keys: Vec<(Name, usize)>,
}

/// Says whether requests on a route may be repeated, and whether they are streamed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that must run at most once.
    AtMostOnce,
    /// Streams that must run at most once.
    Stream,
    /// Streams that another server can resume after the last event.
    Resumable,
}

impl RouteKind {
    /// Returns whether a request that may already have run can be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Resumable)
    }

    /// Returns whether responses are event streams.
    pub const fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::Resumable)
    }
}

/// Routes requests by host and path prefix to one or more services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host name that requests must carry.
    pub host: Name,
    /// Path prefix of the route, which ends with a slash.
    pub prefix: Name,
    /// Whether requests may be repeated and whether they are streamed.
    pub kind: RouteKind,
    /// Maximum time for which a caller waits for a response.
    pub timeout: Duration,
    /// Target time to the response, or to its first event.
    pub target_latency: Duration,
    /// Target for the longest time between two events of a stream.
    pub max_gap: Option<Duration>,
    /// Priority among routes; 0 is the highest.
    pub priority: u8,
    /// Services of the route and their weights.
    pub split: Vec<(Name, u32)>,
    /// Maximum number of servers on which one request may run.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
}

impl Route {
    /// Chooses the service for a request by weight.
    ///
    /// `random` is a random number generated for the request.
    pub fn choose_service(&self, random: u64) -> Option<&Name> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.1)).sum();
        if total == 0 {
            return self.split.first().map(|part| &part.0);
        }
        let mut offset = random % total;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if offset < weight {
                return Some(service);
            }
            offset -= weight;
        }
        None
    }
}

/// Describes the servers of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Requests that one server runs concurrently, if it runs models.
    pub slots: Option<u32>,
    /// Path of the health check, if servers have one.
    pub health_path: Option<Name>,
    /// Bounds for automatic scaling, if the operator allows it.
    pub scale: Option<Scale>,
    /// How servers start, if they are cold for some time.
    pub cold: Option<ColdStart>,
}

/// Bounds on the servers of a service in each failure domain, and their prices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scale {
    /// Minimum number of servers.
    pub min: u32,
    /// Maximum number of servers.
    pub max: u32,
    /// Time from ordering a server until it serves requests.
    pub boot_time: Duration,
    /// Price of a reclaimable server as a fraction of the price of one that is
    /// not reclaimable; `None` if no reclaimable servers are offered.
    pub reclaimable_price: Option<f64>,
    /// Price of one server-second by failure domain.
    pub domain_prices: NameMap<f64>,
}

/// Limits the size of requests and the idle time of connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Time that the head of a request may take to arrive.
    pub head_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
            head_timeout: Duration::from_secs(10),
        }
    }
}

/// Describes a workspace, its API keys and its quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// API keys that identify the workspace.
    pub keys: Vec<Name>,
    /// Priority that overrides the one of the route.
    pub priority: Option<u8>,
    /// Quota over all nodes, in units per second; 0 means no quota.
    pub rate: f64,
    /// Burst allowance on top of the rate, in units.
    pub burst: f64,
    /// Unit in which requests are counted against the quota.
    pub unit: BillingUnit,
}

/// What is known of the workspaces that a deployment declared in any version so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkspaceHistory {
    /// Nothing is known.
    #[default]
    Unknown,
    /// No workspace was ever declared.
    Never,
    /// Workspaces are, or were, declared.
    Declared,
}

/// Whether requests on routes that are not public need an API key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyPolicy {
    /// Any request is accepted.
    Open,
    /// Only requests with a key of a workspace are accepted.
    Required,
    /// It is not known yet.
    Unknown,
}

/// Unit in which requests are counted against a quota.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BillingUnit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// Each request counts as many units as it has tokens.
    Tokens {
        /// Token count assumed for a request that does not state one.
        default_tokens: u64,
    },
}

impl Catalog {
    /// Creates a catalog without routes and workspaces.
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Returns the routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Sets the routes.
    #[must_use]
    pub fn with_routes(mut self, mut routes: Vec<Route>) -> Self {
        // INVARIANT: sorted here and not modified afterwards.
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        self.routes = routes;
        self
    }

    /// Sets the workspaces.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: Vec<Workspace>) -> Self {
        let mut keys: Vec<(Name, usize)> = Vec::new();
        for (index, workspace) in workspaces.iter().enumerate() {
            keys.extend(workspace.keys.iter().map(|key| (key.clone(), index)));
        }
        // INVARIANT: sorted here and not modified afterwards.
        keys.sort();
        self.keys = keys;
        self.workspaces = workspaces;
        self
    }

    /// Marks the catalog as one that declares more workspaces than could be read.
    #[must_use]
    pub fn with_unreadable_workspaces(mut self) -> Self {
        self.has_unreadable_workspaces = true;
        self
    }

    /// Sets the services.
    #[must_use]
    pub fn with_services(mut self, services: NameMap<Service>) -> Self {
        self.services = services;
        self
    }

    /// Sets the limits on requests and connections.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the declared workspaces.
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }

    /// Returns whether any workspace is declared.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty() || self.has_unreadable_workspaces
    }

    /// Returns whether an unknown key may belong to a workspace that could not be read.
    pub fn has_unreadable_workspaces(&self) -> bool {
        self.has_unreadable_workspaces
    }

    /// Returns whether requests need an API key.
    ///
    /// The last workspace takes its keys with it, so that a list that has become empty
    /// admits nobody, while a deployment that never had one admits everybody.
    pub fn key_policy(&self, history: WorkspaceHistory) -> KeyPolicy {
        match history {
            _ if self.has_workspaces() => KeyPolicy::Required,
            WorkspaceHistory::Declared => KeyPolicy::Required,
            WorkspaceHistory::Never => KeyPolicy::Open,
            WorkspaceHistory::Unknown => KeyPolicy::Unknown,
        }
    }

    /// Returns the workspace that the API key `key` belongs to.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        let index = self.keys.binary_search_by(|row| (*row.0).cmp(key)).ok()?;
        Some(&self.workspaces[self.keys[index].1])
    }

    /// Returns the route of `host` whose prefix is the longest match for `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let found = self
                .routes
                .binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&(host, prefix)));
            if let Ok(index) = found {
                return Some(&self.routes[index]);
            }
            end = slash;
        }
        None
    }
}
