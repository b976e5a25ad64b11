//! A node: the proxy process between callers and backend servers.
//!
//! The modules here do the input and output and run the timers; the decisions are
//! made in [`crate::core`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::core::Name;
use crate::core::member::Member;
use crate::core::member::State;
use crate::core::member::gossip::Gossip;
use crate::core::member::roster::Roster;
use crate::core::name_map::NameMap;
use crate::core::retry::RetryBudget;
use crate::core::retry::crash::CrashHistory;
use crate::core::retry::hedge::Hedges;
use crate::core::route::Policy;
use crate::core::route::servers::Servers;
use crate::core::time::Time;
use crate::error::Error;
use crate::in_flight::InFlight;
use crate::node::admission::Admission;
use crate::node::claims::ClaimStore;
use crate::node::moves::Moves;
use crate::node::peers::client::PeerClient;
use crate::node::platform_api::Platform;
use crate::node::settings::Settings;
use crate::node::streams::Streams;
use crate::node::vms::VmList;
use crate::telemetry;
use crate::web;
use crate::web::client::Client;

pub mod admission;
pub mod api;
pub mod backends;
pub mod claims;
pub mod config;
pub mod discovery;
pub mod explain;
pub mod hedging;
pub mod logging;
pub mod members;
pub mod moves;
pub mod operator_api;
pub mod peers;

pub mod platform_api;
pub mod settings;
pub mod streams;
pub mod vms;

/// Time before a reclaim by which a node must have stopped.
const RECLAIM_MARGIN: Duration = Duration::from_secs(1);

/// Time between the announcement that the node is leaving and the transfer of its
/// streams, so that other nodes learn of it first.
const LEAVE_DELAY: Duration = Duration::from_millis(100);

/// The state of a node, shared by its tasks.
pub struct Node {
    /// Settings of the node.
    pub settings: Settings,
    /// Clock of the node.
    pub clock: Clock,
    /// Client of the platform.
    pub platform: Box<dyn Platform>,
    /// Configuration in force.
    pub config: config::ActiveConfig,
    /// HTTP client for backend servers.
    pub client: Client,
    /// Client for calls to other nodes.
    pub peers: PeerClient,
    /// Address at which other nodes call this one.
    pub peer_address: Name,
    /// Backend servers and their load.
    pub servers: Mutex<Servers>,
    /// The platform's list of VMs.
    pub vms: Mutex<VmList>,
    /// Backend servers with a reclaim notice and the time of the reclaim.
    pub notices: Mutex<NameMap<Time>>,
    /// Counter that is incremented when a backend server may have started to leave.
    pub leave_count: watch::Sender<u64>,
    /// Membership of the cluster.
    pub roster: Mutex<Roster>,
    /// Peer addresses of the neighbours, to which heartbeats and facts are sent.
    pub neighbour_addresses: Mutex<Vec<Name>>,
    /// Facts that nodes exchange by gossip.
    pub gossip: Mutex<Gossip>,
    /// Requests that crashed backend servers.
    pub crashes: Mutex<CrashHistory>,
    /// Retry budget.
    pub budget: Mutex<RetryBudget>,
    /// What is known of the requests to hedge them.
    pub hedges: Mutex<Hedges>,
    /// Routing policy.
    pub policy: Mutex<Box<dyn Policy>>,
    /// Version moves declared in the configuration.
    pub moves: Moves,
    /// Admission of requests.
    pub admission: Admission,
    /// Claims on the idempotency keys of calls.
    pub claims: ClaimStore,
    /// Streams that callers can resume.
    pub streams: Streams,
    /// True once the node drains.
    pub draining: watch::Sender<bool>,
    /// Time at which the platform reclaims this node's own VM, once known.
    pub own_notice: watch::Sender<Option<Time>>,
    /// Counter of open requests and writes that a draining node waits for.
    pub in_flight: InFlight,
    stop_request: watch::Sender<bool>,
    rng: Mutex<SmallRng>,
    counter: AtomicU64,
    incarnation: u64,
    metrics: PrometheusHandle,
}

impl Node {
    /// Returns the value of the `node` label of metrics.
    pub fn label(&self) -> Name {
        self.settings.id.clone()
    }

    /// Returns a random number.
    pub fn random_u64(&self) -> u64 {
        self.rng.lock().unwrap().random()
    }

    /// Returns a random duration below `bound`.
    pub fn jitter(&self, bound: Duration) -> Duration {
        bound.mul_f64(self.rng.lock().unwrap().random())
    }

    /// Returns a number that is unique in this process.
    pub fn next_number(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a name that is unique across all nodes and their restarts.
    pub fn next_id(&self) -> Name {
        format!(
            "{}-{:x}-{:x}",
            self.settings.id,
            self.incarnation,
            self.next_number()
        )
        .into()
    }

    /// Returns whether the node is draining.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns whether a backend server is leaving or is no longer known.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.notices.lock().unwrap().get(server).is_some()
            || self
                .servers
                .lock()
                .unwrap()
                .get(server)
                .is_none_or(|server| server.leaving)
    }

    /// Returns when a backend server is reclaimed, if it has a notice.
    pub fn reclaim_time(&self, server: &str) -> Option<Time> {
        self.notices.lock().unwrap().get(server).copied()
    }

    /// Requests a graceful stop, as a signal does.
    pub fn request_stop(&self) {
        self.stop_request.send_replace(true);
    }

    /// Counts a platform call that got no answer.
    pub fn count_store_failure(&self, call: &'static str) {
        metrics::counter!("cassialock_store_failures_total", "node" => self.label(), "call" => call)
            .increment(1);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        for (service, work, requests) in self.admission.queues() {
            metrics::gauge!("cassialock_queued_tokens", "node" => self.label(), "service" => service.clone())
                .set(work as f64);
            metrics::gauge!("cassialock_queued_requests", "node" => self.label(), "service" => service)
                .set(requests as f64);
        }
        hedging::update_gauges(self);
        metrics::gauge!("cassialock_config_number", "node" => self.label())
            .set(self.config.number() as f64);
        self.metrics.render()
    }
}

/// A started node with its servers and tasks.
pub struct Running {
    /// State of the node.
    pub node: Arc<Node>,
    /// Address for callers and operators.
    pub address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    stop: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts a node: binds its listeners and spawns its servers and tasks.
///
/// # Errors
///
/// Returns an error if one of its listen addresses cannot be bound.
pub async fn start(settings: Settings) -> Result<Running, Error> {
    let listener = bind(settings.listen).await?;
    let peer_listener = bind(settings.peer_listen).await?;
    let address = local_address(&listener)?;
    let peer_address = local_address(&peer_listener)?;
    let clock = Clock::new();
    let (claims, queues) = ClaimStore::new();
    let node = Arc::new(build(settings, clock, address, peer_address, claims));
    let (stop, stopped) = watch::channel(false);
    let handler = {
        let node = Arc::clone(&node);
        move |request, _| api::handle(Arc::clone(&node), request)
    };
    let servers = vec![
        tokio::spawn(web::serve(listener, handler, stopped.clone())),
        tokio::spawn(peers::server::serve(
            Arc::clone(&node),
            peer_listener,
            stopped,
        )),
    ];
    let tasks = vec![
        tokio::spawn(claims::run(Arc::clone(&node), queues)),
        tokio::spawn(discovery::sync_vms(Arc::clone(&node))),
        tokio::spawn(discovery::watch_notices(Arc::clone(&node))),
        tokio::spawn(discovery::poll_servers(Arc::clone(&node))),
        tokio::spawn(members::run(Arc::clone(&node))),
        tokio::spawn(config::run(Arc::clone(&node))),
        tokio::spawn(moves::run(Arc::clone(&node))),
        tokio::spawn(Admission::run(Arc::clone(&node))),
    ];
    log::info!("node: {} is listening on {address}", node.settings.id);
    Ok(Running {
        node,
        address,
        peer_address,
        stop,
        servers,
        tasks,
    })
}

fn build(
    settings: Settings,
    clock: Clock,
    address: SocketAddr,
    peer_address: SocketAddr,
    claims: ClaimStore,
) -> Node {
    let now = clock.now();
    let local = Member {
        id: settings.id.clone(),
        incarnation: now.as_millis(),
        state: State::Live,
        at: now,
        address: address.to_string().into(),
        peer: peer_address.to_string().into(),
        domain: settings.domain.clone(),
    };
    let seed = crate::core::hash(&[&settings.id, &now.0.to_string()]);
    Node {
        platform: Box::new(platform_api::client::HttpPlatform::new(settings.platform)),
        config: config::ActiveConfig::new(),
        client: Client::new(),
        peers: PeerClient::new(),
        peer_address: local.peer.clone(),
        servers: Mutex::new(Servers::new(settings.id.clone(), settings.domain.clone())),
        vms: Mutex::new(VmList::new()),
        notices: Mutex::new(NameMap::new()),
        leave_count: watch::channel(0).0,
        roster: Mutex::new(Roster::new(local)),
        neighbour_addresses: Mutex::new(Vec::new()),
        gossip: Mutex::new(Gossip::new()),
        crashes: Mutex::new(CrashHistory::new()),
        budget: Mutex::new(RetryBudget::new()),
        hedges: Mutex::new(Hedges::new()),
        policy: Mutex::new(settings.policy.build()),
        moves: Moves::new(),
        admission: Admission::new(),
        claims,
        streams: Streams::new(),
        draining: watch::channel(false).0,
        own_notice: watch::channel(None).0,
        in_flight: InFlight::new(),
        stop_request: watch::channel(false).0,
        rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        counter: AtomicU64::new(1),
        incarnation: now.as_millis(),
        metrics: telemetry::metrics::prometheus_handle(),
        settings,
        clock,
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|e| Error::io(address.to_string(), &e))
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|e| Error::io("listen", &e))
}

impl Running {
    /// Waits until the node is told to stop by a call or by a notice for its VM.
    ///
    /// Returns the time that is left to drain.
    pub async fn stop_requested(&self) -> Duration {
        let mut stop_request = self.node.stop_request.subscribe();
        let mut notice = self.node.own_notice.subscribe();
        let drain = self.node.settings.drain;
        tokio::select! {
            () = web::wait_stopped(&mut stop_request) => drain,
            noticed = notice.wait_for(Option::is_some) => match noticed {
                Ok(until) => {
                    let left = until.unwrap_or_default().since(self.node.clock.now());
                    left.saturating_sub(RECLAIM_MARGIN).min(drain)
                }
                Err(_) => drain,
            },
        }
    }

    /// Drains the node and stops it once all requests are done or `limit` has
    /// passed.
    ///
    /// The node immediately withdraws from the list of entry nodes, transfers its
    /// open streams to other nodes and finishes the requests that cannot be
    /// transferred.
    pub async fn drain(self, limit: Duration) {
        let node = &self.node;
        log::info!("node: {} is draining", node.settings.id);
        members::set_state(node, State::Leaving).await;
        tokio::time::sleep(LEAVE_DELAY).await;
        node.draining.send_replace(true);
        for record in node.streams.take_detached() {
            if api::llm::response::transfer_stream(node, &record)
                .await
                .is_none()
            {
                node.streams.detach(record, node.clock.now());
            }
        }
        if tokio::time::timeout(limit, node.in_flight.wait_idle())
            .await
            .is_err()
        {
            log::warn!(
                "node: {} is stopping with {} requests open",
                node.settings.id,
                node.in_flight.count()
            );
        }
        members::set_state(node, State::Gone).await;
        self.shut_down().await;
    }

    async fn shut_down(self) {
        self.stop.send_replace(true);
        for server in self.servers {
            // The join fails only if the server panicked, which is already logged.
            let _ = server.await;
        }
        for task in self.tasks {
            task.abort();
        }
    }

    /// Aborts all tasks without draining, as a crash would.
    pub fn kill(self) {
        for task in self.servers.into_iter().chain(self.tasks) {
            task.abort();
        }
    }
}
