//! A node: the process that stands between callers and backend servers.
//!
//! The parts here hold sockets, files and timers; what they decide comes from
//! [`crate::core`].

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
use crate::core::retry::Budget;
use crate::core::retry::crash::Crashes;
use crate::core::route::Policy;
use crate::core::route::servers::Servers;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::error::Error;
use crate::in_flight::InFlight;
use crate::node::admission::Admission;
use crate::node::moves::Moves;
use crate::node::once::Once;
use crate::node::peers::client::Peers;
use crate::node::settings::Settings;
use crate::node::store::Platform;
use crate::node::streams::Streams;
use crate::node::vms::VmList;
use crate::telemetry;
use crate::web;
use crate::web::client::Client;

pub mod admission;
pub mod backends;
pub mod callers;
pub mod config;
pub mod feed;
pub mod log;
pub mod members;
pub mod moves;
pub mod once;
pub mod operators;
pub mod peers;

pub mod settings;
pub mod store;
pub mod streams;
pub mod vms;

/// Time before a reclaim at which a node must have stopped.
const RECLAIM_MARGIN: Duration = Duration::from_secs(1);

/// Time for neighbours to hear that the node is leaving before streams move.
const LEAVE_PAUSE: Duration = Duration::from_millis(100);

/// The parts of a node, shared by its tasks.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// The platform.
    pub platform: Box<dyn Platform>,
    /// The configuration in force.
    pub config: config::Holder,
    /// HTTP client for backend servers.
    pub client: Client,
    /// Connections to other nodes.
    pub peers: Peers,
    /// Address at which other nodes reach this one.
    pub peer_address: Name,
    /// Backend servers.
    pub servers: Mutex<Servers>,
    /// The platform's list of VMs.
    pub vms: Mutex<VmList>,
    /// Backend servers under notice and when they go.
    pub notices: Mutex<Table<Time>>,
    /// Raised when a backend server begins to leave.
    pub leaving: watch::Sender<u64>,
    /// The nodes.
    pub roster: Mutex<Roster>,
    /// Peer addresses of the neighbours.
    pub links: Mutex<Vec<Name>>,
    /// Facts that nodes tell each other.
    pub gossip: Mutex<Gossip>,
    /// Requests that took down servers.
    pub crashes: Mutex<Crashes>,
    /// Budget for retries.
    pub budget: Mutex<Budget>,
    /// Routing policy.
    pub policy: Mutex<Box<dyn Policy>>,
    /// Version moves.
    pub moves: Moves,
    /// Admission of requests.
    pub admission: Admission,
    /// Claims of keyed calls.
    pub once: Once,
    /// Streams that callers can come back to.
    pub streams: Streams,
    /// Becomes true when the node drains.
    pub draining: watch::Sender<bool>,
    /// Set when the platform takes this node's own VM back.
    pub notice: watch::Sender<Option<Time>>,
    /// Open work.
    pub open_work: InFlight,
    stop_asked: watch::Sender<bool>,
    rng: Mutex<SmallRng>,
    numbers: AtomicU64,
    incarnation: u64,
    metrics: PrometheusHandle,
}

impl Node {
    /// Returns the label of this node in metrics.
    pub fn label(&self) -> Name {
        self.settings.id.clone()
    }

    /// Returns a random number.
    pub fn draw(&self) -> u64 {
        self.rng.lock().unwrap().random()
    }

    /// Returns a random time below `bound`.
    pub fn jitter(&self, bound: Duration) -> Duration {
        bound.mul_f64(self.rng.lock().unwrap().random())
    }

    /// Returns a number that this process has not used before.
    pub fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a name that no process has used before.
    pub fn next_id(&self) -> Name {
        format!(
            "{}-{:x}-{:x}",
            self.settings.id,
            self.incarnation,
            self.next_number()
        )
        .into()
    }

    /// Returns whether the node is stopping.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns whether a backend server is known to leave.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.notices.lock().unwrap().get(server).is_some()
            || self
                .servers
                .lock()
                .unwrap()
                .get(server)
                .is_none_or(|server| server.leaving)
    }

    /// Returns when a backend server goes, if it is under notice.
    pub fn leaving_until(&self, server: &str) -> Option<Time> {
        self.notices.lock().unwrap().get(server).copied()
    }

    /// Asks the node to stop as by a signal.
    pub fn ask_to_stop(&self) {
        self.stop_asked.send_replace(true);
    }

    /// Counts a call that the platform did not answer.
    pub fn count_store_failure(&self, call: &'static str) {
        metrics::counter!("cassialock_store_failures_total", "node" => self.label(), "call" => call)
            .increment(1);
    }

    /// Returns the metrics in Prometheus text.
    pub fn render_metrics(&self) -> String {
        for (service, work, requests) in self.admission.queues() {
            metrics::gauge!("cassialock_queued_tokens", "node" => self.label(), "service" => service.clone())
                .set(work as f64);
            metrics::gauge!("cassialock_queued_requests", "node" => self.label(), "service" => service)
                .set(requests as f64);
        }
        metrics::gauge!("cassialock_config_number", "node" => self.label())
            .set(self.config.number() as f64);
        self.metrics.render()
    }
}

/// A running node.
pub struct Running {
    /// The node.
    pub node: Arc<Node>,
    /// Address for callers and operators.
    pub address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    stop: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts a node.
///
/// # Errors
///
/// Returns an error if one of its addresses cannot be listened on.
pub async fn start(settings: Settings) -> Result<Running, Error> {
    let listener = bind(settings.listen).await?;
    let peer_listener = bind(settings.peer_listen).await?;
    let address = local_address(&listener)?;
    let peer_address = local_address(&peer_listener)?;
    let clock = Clock::new();
    let (once, queues) = Once::new();
    let node = Arc::new(build(settings, clock, address, peer_address, once));
    let (stop, stopped) = watch::channel(false);
    let handler = {
        let node = Arc::clone(&node);
        move |request, _| callers::handle(Arc::clone(&node), request)
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
        tokio::spawn(once::run(Arc::clone(&node), queues)),
        tokio::spawn(feed::follow_list(Arc::clone(&node))),
        tokio::spawn(feed::follow_notices(Arc::clone(&node))),
        tokio::spawn(feed::poll(Arc::clone(&node))),
        tokio::spawn(members::run(Arc::clone(&node))),
        tokio::spawn(config::follow(Arc::clone(&node))),
        tokio::spawn(moves::run(Arc::clone(&node))),
        tokio::spawn(Admission::run(Arc::clone(&node))),
    ];
    ::log::info!("node: {} listens on {address}", node.settings.id);
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
    once: Once,
) -> Node {
    let now = clock.now();
    let me = Member {
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
        platform: Box::new(store::remote::Remote::new(settings.platform)),
        config: config::Holder::new(),
        client: Client::new(),
        peers: Peers::new(),
        peer_address: me.peer.clone(),
        servers: Mutex::new(Servers::new(settings.id.clone(), settings.domain.clone())),
        vms: Mutex::new(VmList::new()),
        notices: Mutex::new(Table::new()),
        leaving: watch::channel(0).0,
        roster: Mutex::new(Roster::new(me)),
        links: Mutex::new(Vec::new()),
        gossip: Mutex::new(Gossip::new()),
        crashes: Mutex::new(Crashes::new()),
        budget: Mutex::new(Budget::new()),
        policy: Mutex::new(settings.policy.build()),
        moves: Moves::new(),
        admission: Admission::new(),
        once,
        streams: Streams::new(),
        draining: watch::channel(false).0,
        notice: watch::channel(None).0,
        open_work: InFlight::new(),
        stop_asked: watch::channel(false).0,
        rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        numbers: AtomicU64::new(1),
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
    /// Waits until the node is asked to stop by a call or by a notice for its VM.
    ///
    /// Returns the time that is left for stopping.
    pub async fn stop_asked(&self) -> Duration {
        let mut asked = self.node.stop_asked.subscribe();
        let mut notice = self.node.notice.subscribe();
        let drain = self.node.settings.drain;
        tokio::select! {
            () = web::wait_stopped(&mut asked) => drain,
            noticed = notice.wait_for(Option::is_some) => match noticed {
                Ok(until) => {
                    let left = until.unwrap_or_default().since(self.node.clock.now());
                    left.saturating_sub(RECLAIM_MARGIN).min(drain)
                }
                Err(_) => drain,
            },
        }
    }

    /// Stops the node gracefully within `limit`.
    ///
    /// It leaves the entries at once, hands its open streams to other nodes,
    /// and finishes what cannot be moved.
    pub async fn drain(self, limit: Duration) {
        let node = &self.node;
        ::log::info!("node: {} drains", node.settings.id);
        members::set_state(node, State::Leaving).await;
        tokio::time::sleep(LEAVE_PAUSE).await;
        node.draining.send_replace(true);
        for record in node.streams.take_detached() {
            if callers::llm::reply::give_away(node, &record)
                .await
                .is_none()
            {
                node.streams.insert(record, node.clock.now());
            }
        }
        if tokio::time::timeout(limit, node.open_work.wait_idle())
            .await
            .is_err()
        {
            ::log::warn!(
                "node: {} stops with {} requests open",
                node.settings.id,
                node.open_work.count()
            );
        }
        members::set_state(node, State::Gone).await;
        self.end().await;
    }

    async fn end(self) {
        self.stop.send_replace(true);
        for server in self.servers {
            // A server only fails if it panicked, which is in the logs.
            let _ = server.await;
        }
        for task in self.tasks {
            task.abort();
        }
    }

    /// Ends the node without finishing anything, as a crash would.
    pub fn kill(self) {
        for task in self.servers.into_iter().chain(self.tasks) {
            task.abort();
        }
    }
}
