//! Requests to backend servers.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use http_body_util::Full;

use crate::core::Name;
use crate::core::config::Service;
use crate::core::retry::Cause;
use crate::core::retry::crash::Fingerprint;
use crate::core::route::Request as RouteRequest;
use crate::core::route::servers::Filter;
use crate::core::time::Time;
use crate::node::Node;

pub mod engine;
pub mod plain;

/// Time in which a server must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A server that was chosen for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chosen {
    /// Name of the backend server.
    pub id: Name,
    /// Its IP number and port.
    pub address: Name,
    /// Its version of the service.
    pub version: Name,
}

/// Counts a request at a server until it is dropped.
pub struct Seat {
    node: Arc<Node>,
    server: Name,
    is_suspect: bool,
}

impl Seat {
    /// Counts a request at `server`.
    pub fn new(node: &Arc<Node>, server: &Name, blocks: &[u64]) -> Self {
        node.servers.lock().unwrap().begin(server, blocks);
        Self {
            node: Arc::clone(node),
            server: server.clone(),
            is_suspect: false,
        }
    }

    /// Marks the request as one that may have taken down another server.
    #[must_use]
    pub fn with_suspect(mut self, is_suspect: bool) -> Self {
        if is_suspect {
            self.is_suspect = true;
            self.node.servers.lock().unwrap().add_suspect(&self.server);
        }
        self
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        {
            let mut servers = self.node.servers.lock().unwrap();
            servers.end(&self.server);
            if self.is_suspect {
                servers.remove_suspect(&self.server);
            }
        }
        self.node.admission.wake();
    }
}

/// What is known when a server is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// Name of the service.
    pub name: &'a str,
    /// The service.
    pub service: &'a Service,
    /// The request.
    pub request: &'a RouteRequest,
    /// Servers that were tried already.
    pub avoid: &'a [Name],
    /// A random number drawn for the request; it decides on the version.
    pub draw: u64,
    /// The request's fingerprint, if it may have taken down another server.
    ///
    /// It then goes to a server that runs no other such request of this node,
    /// in an order that differs for each request, so that the next crash shows
    /// which of them is to blame.
    pub suspect: Option<Fingerprint>,
}

/// Chooses a server, or returns `None` if there is none.
///
/// Servers in `avoid` are used again only if there are no others.
pub fn choose(node: &Node, choice: &Choice<'_>) -> Option<Chosen> {
    let now = node.clock.now();
    let versions = node
        .moves
        .preferred_versions(choice.name, choice.service, choice.draw, now);
    for avoid in [choice.avoid, &[]] {
        for version in &versions {
            let filter = Filter {
                service: choice.name,
                version: Some(version),
                slots: choice.service.slots,
                avoid,
                alone: choice.suspect.is_some(),
            };
            if let Some(chosen) = choose_of(node, &filter, choice, now) {
                return Some(chosen);
            }
        }
    }
    None
}

fn choose_of(node: &Node, filter: &Filter<'_>, choice: &Choice<'_>, now: Time) -> Option<Chosen> {
    let servers = node.servers.lock().unwrap();
    let candidates = servers.candidates(filter, choice.request, now);
    let at = match choice.suspect {
        Some(suspect) => {
            let names: Vec<Name> = candidates.iter().map(|c| c.id.clone()).collect();
            let crashes = node.crashes.lock().unwrap();
            crashes.assign(suspect, &names, now)?
        }
        None => {
            let draw = node.random_u64();
            let mut policy = node.policy.lock().unwrap();
            policy.choose(choice.request, &candidates, draw)?
        }
    };
    let id = &candidates[at].id;
    let vm = &servers.get(id)?.vm;
    Some(Chosen {
        id: id.clone(),
        address: vm.address.clone(),
        version: vm.version.clone(),
    })
}

/// Asks a server over a new connection whether it lives.
pub async fn is_alive(node: &Node, address: &str) -> bool {
    let request = Request::get(format!("http://{address}/health")).body(Full::default());
    let Ok(request) = request else { return false };
    let answer = node.client.send(request, true, PROBE_TIMEOUT).await;
    answer.is_ok_and(|response| response.status() == StatusCode::OK)
}

/// Returns the cause to act on, given what else is known about the server.
///
/// A server that is leaving may go at any moment, and its end is not a failure.
pub fn known_cause(node: &Node, server: &str, cause: Cause) -> Cause {
    let is_leaving = node.is_leaving(server);
    match cause {
        Cause::Cut | Cause::Connect | Cause::Silent if is_leaving => Cause::Leaving,
        cause => cause,
    }
}
