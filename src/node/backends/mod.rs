//! Selection of backend servers and requests to them.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use http_body_util::Full;

use crate::core::Name;
use crate::core::config::Service;
use crate::core::fingerprint::Fingerprint;
use crate::core::retry::Cause;
use crate::core::route::Request as RouteRequest;
use crate::core::route::servers::Filter;
use crate::core::time::Time;
use crate::node::Node;

pub mod engine;
pub mod plain;

/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Backend server that was selected for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SelectedServer {
    /// Server id.
    pub id: Name,
    /// IP address and port.
    pub address: Name,
    /// Version of the service that it runs.
    pub version: Name,
}

/// Guard that counts a request as in flight at a server until it is dropped.
pub struct InFlightGuard {
    node: Arc<Node>,
    server: Name,
    is_suspect: bool,
}

impl InFlightGuard {
    /// Counts a request whose prompt has `block_hashes` as in flight at `server`.
    pub fn new(node: &Arc<Node>, server: &Name, block_hashes: &[u64]) -> Self {
        node.servers
            .lock()
            .unwrap()
            .begin_request(server, block_hashes);
        Self {
            node: Arc::clone(node),
            server: server.clone(),
            is_suspect: false,
        }
    }

    /// Marks the request as a suspect in the crash of another server.
    #[must_use]
    pub fn with_suspect(mut self, is_suspect: bool) -> Self {
        if is_suspect {
            self.is_suspect = true;
            self.node.servers.lock().unwrap().add_suspect(&self.server);
        }
        self
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        {
            let mut servers = self.node.servers.lock().unwrap();
            servers.end_request(&self.server);
            if self.is_suspect {
                servers.remove_suspect(&self.server);
            }
        }
        self.node.admission.wake();
    }
}

/// Parameters for the selection of a server.
#[derive(Clone, Copy, Debug)]
pub struct Selection<'a> {
    /// Service name.
    pub name: &'a str,
    /// Service configuration.
    pub service: &'a Service,
    /// Request features that the routing policy uses.
    pub request: &'a RouteRequest,
    /// Servers that earlier attempts used or that crashed while running the request.
    pub deprioritized: &'a [Name],
    /// Random number drawn once for the request, which selects the version during a
    /// version move.
    pub random_number: u64,
    /// Fingerprint of the request, if it is suspected of crashing another server.
    ///
    /// A suspect is sent to a server that runs no other suspect of this node, in
    /// an order that differs for each request, so that the next crash identifies
    /// the request that causes it.
    pub suspect: Option<Fingerprint>,
}

/// Selects a server for an attempt, or returns `None` if none is available.
///
/// Servers in `deprioritized` are used only if no other server is available.
pub fn select(node: &Node, selection: &Selection<'_>) -> Option<SelectedServer> {
    let now = node.clock.now();
    let versions = node.moves.preferred_versions(
        selection.name,
        selection.service,
        selection.random_number,
        now,
    );
    for deprioritized in [selection.deprioritized, &[]] {
        for version in &versions {
            let filter = Filter {
                service: selection.name,
                version: Some(version),
                slots: selection.service.slots,
                excluded: deprioritized,
                exclude_suspected: selection.suspect.is_some(),
            };
            if let Some(chosen) = select_from(node, &filter, selection, now) {
                return Some(chosen);
            }
        }
    }
    None
}

fn select_from(
    node: &Node,
    filter: &Filter<'_>,
    selection: &Selection<'_>,
    now: Time,
) -> Option<SelectedServer> {
    let servers = node.servers.lock().unwrap();
    let candidates = servers.candidates(filter, selection.request, now);
    let index = match selection.suspect {
        Some(suspect) => {
            let names: Vec<Name> = candidates.iter().map(|c| c.id.clone()).collect();
            let crashes = node.crashes.lock().unwrap();
            crashes.assign(suspect, &names, now)?
        }
        None => {
            let random_number = node.random_u64();
            let mut policy = node.policy.lock().unwrap();
            policy.choose(selection.request, &candidates, random_number)?
        }
    };
    let id = &candidates[index].id;
    let vm = &servers.get(id)?.vm;
    Some(SelectedServer {
        id: id.clone(),
        address: vm.address.clone(),
        version: vm.version.clone(),
    })
}

/// Probes the health of a server over a new connection.
pub async fn is_alive(node: &Node, address: &str) -> bool {
    let request = Request::get(format!("http://{address}/health")).body(Full::default());
    let Ok(request) = request else { return false };
    let result = node.client.send(request, true, PROBE_TIMEOUT).await;
    result.is_ok_and(|response| response.status() == StatusCode::OK)
}

/// Replaces a connection failure at a leaving server by [`Cause::Leaving`].
///
/// A leaving server may go away at any moment, so such a failure
/// does not count as a fault of the server.
pub fn adjust_cause(node: &Node, server: &str, cause: Cause) -> Cause {
    let is_leaving = node.is_leaving(server);
    match cause {
        Cause::Cut | Cause::Connect | Cause::Silent if is_leaving => Cause::Leaving,
        cause => cause,
    }
}
