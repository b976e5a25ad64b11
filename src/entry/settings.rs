//! Settings of an entry node.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::Name;
use crate::core::limit::quota::Tolerance;
use crate::core::route::servers::cold;

/// Holds the settings of an entry node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node.
    pub node: Name,
    /// Failure domain of the node.
    pub domain: Name,
    /// All failure domains of the deployment.
    pub domains: Vec<Name>,
    /// Address that callers connect to.
    pub front: Option<SocketAddr>,
    /// Address of the readiness probe.
    pub ready: Option<SocketAddr>,
    /// Address of the directory, which lists the entries that callers may use.
    pub directory: Option<SocketAddr>,
    /// UDP address for heartbeats from other nodes.
    pub peer: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time for which the store keeps its history.
    pub history: Duration,
    /// Address of the cloud API, which only the lease holder calls.
    pub cloud: Option<SocketAddr>,
    /// Memory usage at which the process is killed, in bytes.
    pub memory_limit: u64,
    /// Processor capacity of the VM in thousandths of a core, or 0 if unknown.
    pub millicores: u32,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Optional features.
    pub features: Features,
    /// Guarantees of the deployment.
    pub bounds: Bounds,
}

/// Holds the optional features of an entry, which are all off by default.
///
/// They come from flags and environment variables and not from the settings file, so they
/// do not change at a reload.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Features {
    /// Extra work of hedged requests in percent of the work of a service; 0 if they are
    /// off.
    pub hedge_percent: f64,
    /// Whether requests are held and refused early while servers are short of capacity.
    pub admission: bool,
    /// Whether requests are placed by predicted time, and servers ordered by the work of
    /// requests, for services whose servers state how long work takes.
    pub prediction: bool,
}

/// Holds the bounds that the deployment guarantees to callers and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace_period: Duration,
    /// Time within which a new configuration must be in force.
    pub config_delay: Duration,
    /// Time after which a revoked key must no longer be accepted.
    pub revoke_delay: Duration,
    /// Whether the deployment may declare workspaces.
    pub has_workspaces: bool,
    /// Whether keys are refused when their validity cannot be confirmed.
    pub fail_closed: bool,
    /// Retries allowed per request of a service, over all nodes.
    pub retry_ratio: f64,
    /// Retries of a service allowed in a window in excess of the ratio.
    pub retry_slack: f64,
    /// How far the workspaces may exceed their quotas.
    pub quota: Tolerance,
    /// Minimum time before a node that has lost a lease may acquire it again.
    pub lease: Duration,
    /// Length of the windows for usage counts.
    pub window: Duration,
    /// Fraction of a service's requests that an untested version may receive.
    pub exposed_share: f64,
    /// Maximum time for which a directory response may be cached.
    pub ttl_max: Duration,
    /// Whether an operator may evacuate failure domains.
    pub has_evacuations: bool,
    /// How far the requests at a cold server may exceed what it tolerates.
    pub cold: cold::Tolerance,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_period: Duration::from_secs(8),
            config_delay: Duration::from_secs(2),
            revoke_delay: Duration::from_secs(5),
            has_workspaces: true,
            fail_closed: true,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            quota: Tolerance::default(),
            lease: Duration::from_secs(3),
            window: Duration::from_secs(5),
            exposed_share: 0.1,
            ttl_max: Duration::from_secs(5),
            has_evacuations: false,
            cold: cold::Tolerance::default(),
        }
    }
}
