//! A cluster of node processes, the stand-ins around it, and fault injection.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cassialock::web;
use rand::RngExt;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::node::Disruptions;
use crate::node::Node;
use crate::node::START_TIMEOUT;
use crate::servers::ArrivalLog;
use crate::servers::Server;
use crate::store::Store;

/// Number of nodes in a cluster.
const NODES: usize = 5;

/// Maximum number of clusters that one test process can run in parallel.
const MAX_CLUSTERS: usize = 40;

/// Number of backend servers of each service.
const SERVERS_PER_SERVICE: usize = 4;

/// Time after a disruption until the time bounds hold again.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Nodes, backend servers and store that one seed runs.
pub struct Cluster {
    /// Store and cloud API of the platform.
    pub store: Arc<Store>,
    /// Disruptions of the store.
    pub store_disruptions: Disruptions,
    /// Node processes.
    pub nodes: Vec<Node>,
    /// Backend servers and the disruptions of each.
    pub servers: Mutex<Vec<(Arc<Server>, Arc<Disruptions>)>>,
    /// Requests that reached a backend server.
    pub arrivals: ArrivalLog,
    /// Names of draining servers and the times when they announced it.
    pub draining: Mutex<Vec<(String, Instant)>>,
    /// Times when the numbered routes were added, by route number.
    pub route_times: Mutex<Vec<Instant>>,
    /// Time when the second API key was revoked.
    pub revoked_at: Mutex<Option<Instant>>,
    host: String,
    version: Mutex<u64>,
    _stop: watch::Sender<bool>,
}

/// Returns loopback addresses that no other cluster uses: one for the stand-ins and
/// one for each node, because all nodes listen on the same ports.
fn addresses() -> (String, Vec<String>) {
    static STARTED: AtomicUsize = AtomicUsize::new(0);
    let first = STARTED.fetch_add(1, Ordering::Relaxed) % MAX_CLUSTERS * (NODES + 1) + 1;
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = |index| format!("127.{}.{low}.{}", high.max(1), first + index);
    (ip(0), (1..=NODES).map(ip).collect())
}

impl Cluster {
    /// Starts the stand-ins and the nodes, and waits until the nodes accept connections.
    pub async fn start(seed: u64) -> Arc<Self> {
        let (host, ips) = addresses();
        let store = Store::new(seed);
        let listener = TcpListener::bind(format!("{host}:0")).await.unwrap();
        let address = listener.local_addr().unwrap();
        let handler_store = Arc::clone(&store);
        let handler = move |request, _| Arc::clone(&handler_store).handle(request);
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(web::serve(listener, handler, stopped));
        let mut nodes = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            nodes.push(Node::prepare(seed, index, ip, address).await);
        }
        let cluster = Arc::new(Self {
            store,
            store_disruptions: Disruptions::default(),
            nodes,
            servers: Mutex::default(),
            arrivals: ArrivalLog::default(),
            draining: Mutex::default(),
            route_times: Mutex::default(),
            revoked_at: Mutex::default(),
            host,
            version: Mutex::new(0),
            _stop: stop,
        });
        for service in ["llm", "portal"] {
            for index in 0..SERVERS_PER_SERVICE {
                cluster
                    .add_server(&format!("{service}-{index}"), service)
                    .await;
            }
        }
        cluster.publish();
        for node in &cluster.nodes {
            node.spawn();
        }
        for node in &cluster.nodes {
            node.wait_started().await;
        }
        cluster
    }

    async fn add_server(&self, name: &str, service: &'static str) {
        let server = Server::start(&self.host, name, service, &self.arrivals).await;
        self.store
            .set("servers", name, server.registration("ready"));
        let entry = (server, Arc::default());
        self.servers.lock().unwrap().push(entry);
    }

    /// Writes a new configuration with the current routes and API keys.
    fn publish(&self) {
        let mut version = self.version.lock().unwrap();
        *version += 3;
        let route = |prefix: &str, kind: &str, service: &str| {
            json!({"name": prefix, "host": "shop", "path_prefix": prefix, "kind": kind,
                   "timeout_ms": 2_000, "target_latency_ms": 300, "service": service,
                   "max_attempts": 2})
        };
        let mut routes = vec![
            route("/read/", "idempotent", "portal"),
            route("/order/", "non_idempotent", "portal"),
            route("/draft/", "streaming", "llm"),
        ];
        for index in 0..self.route_times.lock().unwrap().len() {
            routes.push(route(&format!("/new-{index}/"), "idempotent", "portal"));
        }
        let second_keys: Vec<&str> = match *self.revoked_at.lock().unwrap() {
            None => vec!["k-2"],
            Some(_) => Vec::new(),
        };
        let spec = json!({
            "version": *version, "routes": routes,
            "services": [{"name": "llm"}, {"name": "portal"}],
            "tenants": [{"name": "one", "api_keys": ["k-1"]},
                        {"name": "two", "api_keys": second_keys}],
        });
        self.store.set("config", "main", spec);
    }
}

/// A fault or an operator's change that a test run injects.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Kills a node and starts it again.
    KillNode,
    /// Shuts a node down gracefully and starts it again.
    RestartNode,
    /// Suspends a node's process and resumes it.
    FreezeNode,
    /// Tells a node to reload its settings.
    ReloadSettings,
    /// Disrupts a node's connection to the store in one of five ways: delayed,
    /// refused, silent, replies dropped or cut.
    DisruptLink(u8),
    /// Disrupts the store in one of five ways: down, silent, slow, losing replies
    /// or applying writes late.
    DisruptStore(u8),
    /// Discards the watch history of the store.
    CompactStore,
    /// Drains a backend server and adds a replacement.
    DrainServer,
    /// Makes a backend server close connections while requests run.
    CutAnswers,
    /// Makes a backend server turn requests away for some time.
    TurnAway,
    /// Makes a backend server answer some requests with 500 after they run.
    FailRequests,
    /// Adds a route.
    AddRoute,
    /// Revokes the second API key.
    RevokeKey,
}

impl Fault {
    /// Returns a random fault.
    pub fn random(rng: &mut SmallRng) -> Self {
        match rng.random_range(0..14) {
            0 | 1 => Fault::KillNode,
            2 => Fault::RestartNode,
            3 => Fault::FreezeNode,
            4 => Fault::ReloadSettings,
            5 | 6 => Fault::DisruptLink(rng.random_range(0..5)),
            7 | 8 => Fault::DisruptStore(rng.random_range(0..5)),
            9 => Fault::CompactStore,
            10 => Fault::DrainServer,
            11 => Fault::CutAnswers,
            12 => Fault::FailRequests,
            _ if rng.random_bool(0.6) => Fault::AddRoute,
            _ => Fault::RevokeKey,
        }
    }

    /// Injects the fault for `duration`.
    pub async fn inject(
        self,
        cluster: &Cluster,
        node: usize,
        server_index: u64,
        duration: Duration,
    ) {
        let node = &cluster.nodes[node];
        match self {
            Fault::KillNode => {
                node.unplanned.add(duration + START_TIMEOUT);
                node.kill();
                tokio::time::sleep(duration).await;
                node.spawn();
            }
            Fault::RestartNode => node.restart().await,
            Fault::FreezeNode => {
                node.unplanned.add(duration);
                node.signal("STOP");
                tokio::time::sleep(duration).await;
                node.signal("CONT");
            }
            Fault::ReloadSettings => node.signal("HUP"),
            Fault::DisruptLink(mode) => node.disrupt_link(mode, duration).await,
            Fault::DisruptStore(mode) => cluster.disrupt_store(mode, duration).await,
            Fault::CompactStore => {
                cluster.store_disruptions.add(Duration::from_secs(1));
                cluster.store.compact();
            }
            Fault::DrainServer => cluster.replace_server(server_index, duration).await,
            Fault::CutAnswers => {
                let (server, disruptions) = cluster.server(server_index);
                disruptions.add(duration + Duration::from_secs(1));
                server.is_cutting.store(true, Ordering::Relaxed);
                tokio::time::sleep(duration).await;
                server.is_cutting.store(false, Ordering::Relaxed);
            }
            Fault::TurnAway => {
                let (server, _) = cluster.server(server_index);
                server.is_closed.store(true, Ordering::Relaxed);
                tokio::time::sleep(duration).await;
                server.is_closed.store(false, Ordering::Relaxed);
            }
            Fault::FailRequests => {
                let (server, _) = cluster.server(server_index);
                server.fail_permille.store(400, Ordering::Relaxed);
                tokio::time::sleep(duration).await;
                server.fail_permille.store(0, Ordering::Relaxed);
            }
            Fault::AddRoute => {
                cluster.route_times.lock().unwrap().push(Instant::now());
                cluster.publish();
            }
            Fault::RevokeKey => {
                cluster
                    .revoked_at
                    .lock()
                    .unwrap()
                    .get_or_insert_with(Instant::now);
                cluster.publish();
            }
        }
    }
}

impl Cluster {
    fn server(&self, server_index: u64) -> (Arc<Server>, Arc<Disruptions>) {
        let servers = self.servers.lock().unwrap();
        servers[server_index as usize % servers.len()].clone()
    }

    async fn disrupt_store(&self, mode: u8, duration: Duration) {
        self.store_disruptions.add(duration);
        self.store.set_faults(|faults| match mode {
            0 => faults.is_down = true,
            1 => faults.is_silent = true,
            2 => faults.delay = Duration::from_millis(250),
            3 => faults.lost_ratio = 0.4,
            _ => faults.late_ratio = 0.3,
        });
        tokio::time::sleep(duration).await;
        self.store.set_faults(|faults| match mode {
            0 => faults.is_down = false,
            1 => faults.is_silent = false,
            2 => faults.delay = Duration::ZERO,
            3 => faults.lost_ratio = 0.0,
            _ => faults.late_ratio = 0.0,
        });
    }

    /// Replaces a server: adds the new one first and lets the old one drain before
    /// removing it.
    async fn replace_server(&self, server_index: u64, duration: Duration) {
        let (server, _) = self.server(server_index);
        let is_draining = |(name, _): &(String, Instant)| *name == server.name;
        if self.draining.lock().unwrap().iter().any(is_draining) {
            return;
        }
        let service = if server.name.starts_with("llm") {
            "llm"
        } else {
            "portal"
        };
        self.add_server(&format!("{}+", server.name), service).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        server.is_leaving.store(true, Ordering::Relaxed);
        let registration: Value = server.registration("draining");
        self.store.set("servers", &server.name, registration);
        let entry = (server.name.clone(), Instant::now());
        self.draining.lock().unwrap().push(entry);
        tokio::time::sleep(Duration::from_secs(3) + duration).await;
        self.store.remove("servers", &server.name);
        server.stop();
    }
}
