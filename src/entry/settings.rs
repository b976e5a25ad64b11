//! Settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::Name;

/// What an entry needs to know before it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node.
    pub node: Name,
    /// Failure domain of the node.
    pub domain: Name,
    /// All failure domains of the deployment.
    pub domains: Vec<Name>,
    /// Address for callers.
    pub front: Option<SocketAddr>,
    /// Address that tells whether the node is ready.
    pub ready: Option<SocketAddr>,
    /// Address at which callers ask which entry to use.
    pub directory: Option<SocketAddr>,
    /// Address for heartbeats of other nodes.
    pub peer: SocketAddr,
    /// Address of the metrics.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the calls that only one node may make.
    pub cloud: Option<SocketAddr>,
    /// Memory at which the process is killed, in bytes.
    pub memory_limit: u64,
    /// Bounds that the deployment promises.
    pub bounds: Bounds,
}

/// Bounds that the deployment promises to its callers and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace_period: Duration,
    /// Time in which a new configuration must be in force.
    pub config_delay: Duration,
    /// Time after which a withdrawn key must not be served.
    pub revoke_delay: Duration,
    /// Whether keys are refused when their validity cannot be confirmed.
    pub fail_closed: bool,
    /// Retries allowed for each request of a service, over all nodes.
    pub retry_ratio: f64,
    /// Retries of a service allowed beyond the ratio in a window.
    pub retry_slack: f64,
    /// Least time in which the lease of a duty may come back to a node that
    /// has lost it.
    pub lease: Duration,
    /// Length of the windows in which usage is counted.
    pub window: Duration,
    /// Part of a service's requests that an untested version may get.
    pub exposed_share: f64,
    /// Longest time for which an answer to a caller that asks for entries holds.
    pub ttl_max: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_period: Duration::from_secs(8),
            config_delay: Duration::from_secs(2),
            revoke_delay: Duration::from_secs(5),
            fail_closed: true,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            lease: Duration::from_secs(3),
            window: Duration::from_secs(5),
            exposed_share: 0.1,
            ttl_max: Duration::from_secs(5),
        }
    }
}
