//! Real node processes between the stand-ins, and the faults that hit them.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cassialock::standin::proxy;
use cassialock::web;
use cassialock::web::pool::Connection;
use http::Request;
use http_body_util::Full;
use rand::RngExt;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::servers::Log;
use crate::servers::Server;
use crate::store::Store;

/// Nodes of a world.
const NODES: usize = 5;

/// Worlds of one process that can run at the same time.
const MAX_WORLDS: usize = 40;

/// Servers of each service.
const SERVERS: usize = 4;

/// Longest wait for a node to start.
const START: Duration = Duration::from_secs(10);

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// Time without disturbance after which bounds hold again.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Spans in which something was disturbed; the last one may be open.
#[derive(Debug, Default)]
pub struct Spans(Mutex<Vec<(Instant, Instant)>>);

impl Spans {
    /// Records a disturbance from now on for `length`.
    pub fn add(&self, length: Duration) {
        let now = Instant::now();
        self.0.lock().unwrap().push((now, now + length));
    }

    /// Returns whether nothing was disturbed from `from` to `to`.
    pub fn is_calm(&self, from: Instant, to: Instant) -> bool {
        let spans = self.0.lock().unwrap();
        !spans
            .iter()
            .any(|(start, end)| *start <= to && from <= *end)
    }
}

/// One node and its link to the store.
pub struct Node {
    /// Where callers connect.
    pub front: SocketAddr,
    /// When it was disturbed, and not by planned work.
    pub unplanned: Spans,
    /// When it was stopped as planned.
    pub planned: Spans,
    settings: PathBuf,
    output: PathBuf,
    child: Mutex<Option<Child>>,
    link: proxy::ProxyHandle,
    faults: Mutex<proxy::Faults>,
}

/// Everything that one seed runs.
pub struct World {
    /// The store.
    pub store: Arc<Store>,
    /// When the store was disturbed.
    pub disturbed: Spans,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The servers in use, and when each was disturbed.
    pub servers: Mutex<Vec<(Arc<Server>, Arc<Spans>)>>,
    /// What the servers saw.
    pub log: Log,
    /// When each server reported that it leaves, by name.
    pub leaving: Mutex<Vec<(String, Instant)>>,
    /// When routes were added, by number.
    pub routes: Mutex<Vec<Instant>>,
    /// When the second key was taken away.
    pub revoked: Mutex<Option<Instant>>,
    host: String,
    version: Mutex<u64>,
    _stop: watch::Sender<bool>,
}

/// Returns loopback addresses that no other world uses: of the stand-ins, and of
/// each node, whose ports are the same everywhere.
fn addresses() -> (String, Vec<String>) {
    static WORLDS: AtomicUsize = AtomicUsize::new(0);
    let first = WORLDS.fetch_add(1, Ordering::Relaxed) % MAX_WORLDS * (NODES + 1) + 1;
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = |at| format!("127.{}.{low}.{}", high.max(1), first + at);
    (ip(0), (1..=NODES).map(ip).collect())
}

impl World {
    /// Starts the stand-ins and the nodes.
    pub async fn start(seed: u64) -> Arc<Self> {
        let (host, ips) = addresses();
        let store = Store::new(seed);
        let listener = TcpListener::bind(format!("{host}:0")).await.unwrap();
        let address = listener.local_addr().unwrap();
        let own = Arc::clone(&store);
        let handler = move |request, _| Arc::clone(&own).handle(request);
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(web::serve(listener, handler, stopped));
        let mut nodes = Vec::new();
        for (at, ip) in ips.iter().enumerate() {
            nodes.push(Node::prepare(seed, at, ip, address).await);
        }
        let world = Arc::new(Self {
            store,
            disturbed: Spans::default(),
            nodes,
            servers: Mutex::default(),
            log: Log::default(),
            leaving: Mutex::default(),
            routes: Mutex::default(),
            revoked: Mutex::default(),
            host,
            version: Mutex::new(0),
            _stop: stop,
        });
        for service in ["llm", "portal"] {
            for at in 0..SERVERS {
                world.add_server(&format!("{service}-{at}"), service).await;
            }
        }
        world.publish();
        for node in &world.nodes {
            node.spawn();
        }
        for node in &world.nodes {
            node.wait_started().await;
        }
        world
    }

    async fn add_server(&self, name: &str, service: &'static str) {
        let server = Server::start(&self.host, name, service, &self.log).await;
        self.store.set("servers", name, server.entry("ready"));
        let row = (server, Arc::default());
        self.servers.lock().unwrap().push(row);
    }

    /// Writes a configuration with the routes and keys of now.
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
        for at in 0..self.routes.lock().unwrap().len() {
            routes.push(route(&format!("/new-{at}/"), "idempotent", "portal"));
        }
        let second: Vec<&str> = match *self.revoked.lock().unwrap() {
            None => vec!["k-2"],
            Some(_) => Vec::new(),
        };
        let spec = json!({
            "version": *version, "routes": routes,
            "services": [{"name": "llm"}, {"name": "portal"}],
            "tenants": [{"name": "one", "api_keys": ["k-1"]}, {"name": "two", "api_keys": second}],
        });
        self.store.set("config", "main", spec);
    }
}

impl Node {
    async fn prepare(seed: u64, at: usize, ip: &str, store: SocketAddr) -> Self {
        let (own, store) = (format!("{ip}:0"), store.to_string());
        let link = proxy::start(&own, &own, &store).await.unwrap();
        let name = format!("soak-{seed}-{}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).unwrap();
        let settings = dir.join(format!("node-{at}.toml"));
        let front = format!("{ip}:8221").parse().unwrap();
        let text = format!(
            "node = \"edge-{at}\"\nrole = \"entry\"\nip = \"{ip}\"\nzone = \"a\"\n\
             port_range = [7600, 7615]\n[listen]\nfront = \"{front}\"\n\
             ready = \"{ip}:8224\"\ndirectory = \"{ip}:8220\"\n\
             [bounds]\ngrace_period_s = 8\nrevoke_ms = 5000\nfail_closed = true\n\
             lease_ms = 3000\nwindow_s = 2\nbudget_slack = 50\n\
             [platform]\naddress = \"{link}\"\n[cloud]\naddress = \"{link}\"\n",
            link = link.proxy.address,
        );
        std::fs::write(&settings, text).unwrap();
        Self {
            front,
            unplanned: Spans::default(),
            planned: Spans::default(),
            settings,
            output: dir.join(format!("node-{at}.log")),
            child: Mutex::new(None),
            link,
            faults: Mutex::default(),
        }
    }

    /// Starts the process, unless it runs: faults of a node can overlap.
    fn spawn(&self) {
        // Held until the new process is known, so that only one is started.
        let mut running = self.child.lock().unwrap();
        if is_running(running.as_mut()) {
            return;
        }
        let output = File::options().create(true).append(true).open(&self.output);
        let output = output.unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_cassialockd"))
            .env("CASSIALOCK_CONFIG", &self.settings)
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .stdin(Stdio::null())
            .spawn();
        *running = Some(child.unwrap());
    }

    async fn wait_started(&self) {
        let began = Instant::now();
        while Connection::open(self.front, START).await.is_err() {
            assert!(began.elapsed() < START, "{} does not start", self.front);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a signal by its name, if the process runs.
    fn signal(&self, name: &str) {
        let mut child = self.child.lock().unwrap();
        let Some(child) = child.as_mut() else { return };
        // A process that has ended keeps its id until it is waited for.
        if child.try_wait().unwrap().is_none() {
            let pid = child.id().to_string();
            let status = Command::new("kill")
                .args([&format!("-{name}"), &pid])
                .status();
            assert!(status.unwrap().success());
        }
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            // A process that has ended already need not be ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn id(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    fn is_running(&self) -> bool {
        is_running(self.child.lock().unwrap().as_mut())
    }

    async fn set_link(&self, change: impl FnOnce(&mut proxy::Faults)) {
        let body = {
            let mut faults = self.faults.lock().unwrap();
            change(&mut faults);
            serde_json::to_vec(&*faults).unwrap()
        };
        let control = self.link.control.address;
        let mut connection = Connection::open(control, START).await.unwrap();
        let request = Request::post("/control").header("host", "control");
        let request = request.body(Full::new(body.into())).unwrap();
        connection.send(request).await.unwrap();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn is_running(child: Option<&mut Child>) -> bool {
    child.is_some_and(|child| child.try_wait().unwrap().is_none())
}

/// What can happen.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A node is killed and starts again.
    Kill,
    /// A node is stopped as planned and starts again.
    Term,
    /// A node stands still.
    Pause,
    /// A node's settings are said to have changed.
    Reload,
    /// A node's link to the store fails in one of five ways.
    Link(u8),
    /// The store is down, silent, slow, loses answers or carries out late.
    Store(u8),
    /// The store forgets its history.
    Compact,
    /// A server reports that it leaves, and another one comes.
    Leave,
    /// A server cuts what it runs.
    Cutting,
    /// A server fails what it runs.
    Failing,
    /// A route is added.
    Route,
    /// A key is taken away.
    Revoke,
}

impl Fault {
    /// Draws a fault.
    pub fn draw(rng: &mut SmallRng) -> Self {
        match rng.random_range(0..14) {
            0 | 1 => Fault::Kill,
            2 => Fault::Term,
            3 => Fault::Pause,
            4 => Fault::Reload,
            5 | 6 => Fault::Link(rng.random_range(0..5)),
            7 | 8 => Fault::Store(rng.random_range(0..5)),
            9 => Fault::Compact,
            10 => Fault::Leave,
            11 => Fault::Cutting,
            12 => Fault::Failing,
            _ if rng.random_bool(0.6) => Fault::Route,
            _ => Fault::Revoke,
        }
    }

    /// Brings the fault about for `length`.
    pub async fn play(self, world: &World, node: usize, pick: u64, length: Duration) {
        let node = &world.nodes[node];
        match self {
            Fault::Kill => {
                node.unplanned.add(length + START);
                node.kill();
                tokio::time::sleep(length).await;
                node.spawn();
            }
            Fault::Term => node.restart().await,
            Fault::Pause => {
                node.unplanned.add(length);
                node.signal("STOP");
                tokio::time::sleep(length).await;
                node.signal("CONT");
            }
            Fault::Reload => node.signal("HUP"),
            Fault::Link(how) => node.disturb_link(how, length).await,
            Fault::Store(how) => world.disturb_store(how, length).await,
            Fault::Compact => {
                world.disturbed.add(Duration::from_secs(1));
                world.store.compact();
            }
            Fault::Leave => world.leave(pick, length).await,
            Fault::Cutting => {
                let (server, spans) = world.server(pick);
                spans.add(length + Duration::from_secs(1));
                server.is_cutting.store(true, Ordering::Relaxed);
                tokio::time::sleep(length).await;
                server.is_cutting.store(false, Ordering::Relaxed);
            }
            Fault::Failing => {
                let (server, _) = world.server(pick);
                server.failing.store(400, Ordering::Relaxed);
                tokio::time::sleep(length).await;
                server.failing.store(0, Ordering::Relaxed);
            }
            Fault::Route => {
                world.routes.lock().unwrap().push(Instant::now());
                world.publish();
            }
            Fault::Revoke => {
                world
                    .revoked
                    .lock()
                    .unwrap()
                    .get_or_insert_with(Instant::now);
                world.publish();
            }
        }
    }
}

impl Node {
    /// Stops the process as planned, waits for its end and starts it again.
    async fn restart(&self) {
        self.planned.add(Duration::from_secs(9));
        let stopped = self.id();
        self.signal("TERM");
        let began = Instant::now();
        while self.is_running() && began.elapsed() < GRACE && self.id() == stopped {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Another fault may have started it again meanwhile.
        if self.id() == stopped {
            self.kill();
        }
        self.spawn();
    }

    async fn disturb_link(&self, how: u8, length: Duration) {
        self.unplanned.add(length);
        self.set_link(|faults| match how {
            0 => faults.delay_ms = 300,
            1 => faults.refuse = true,
            2 => faults.silence += 1,
            3 => faults.drop_replies = true,
            _ => faults.cut += 1,
        })
        .await;
        if how == 1 {
            self.set_link(|faults| faults.cut += 1).await;
        }
        tokio::time::sleep(length).await;
        self.set_link(|faults| match how {
            0 => faults.delay_ms = 0,
            1 => faults.refuse = false,
            3 => faults.drop_replies = false,
            _ => {}
        })
        .await;
    }
}

impl World {
    fn server(&self, pick: u64) -> (Arc<Server>, Arc<Spans>) {
        let servers = self.servers.lock().unwrap();
        servers[pick as usize % servers.len()].clone()
    }

    async fn disturb_store(&self, how: u8, length: Duration) {
        self.disturbed.add(length);
        self.store.set_faults(|faults| match how {
            0 => faults.is_down = true,
            1 => faults.is_silent = true,
            2 => faults.delay = Duration::from_millis(250),
            3 => faults.lost = 0.4,
            _ => faults.late = 0.3,
        });
        tokio::time::sleep(length).await;
        self.store.set_faults(|faults| match how {
            0 => faults.is_down = false,
            1 => faults.is_silent = false,
            2 => faults.delay = Duration::ZERO,
            3 => faults.lost = 0.0,
            _ => faults.late = 0.0,
        });
    }

    /// Replaces a server: the new one comes first, the old one stays for a while.
    async fn leave(&self, pick: u64, length: Duration) {
        let (server, _) = self.server(pick);
        let is_left = |(name, _): &(String, Instant)| *name == server.name;
        if self.leaving.lock().unwrap().iter().any(is_left) {
            return;
        }
        let service = if server.name.starts_with("llm") {
            "llm"
        } else {
            "portal"
        };
        self.add_server(&format!("{}+", server.name), service).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let entry: Value = server.entry("draining");
        self.store.set("servers", &server.name, entry);
        let row = (server.name.clone(), Instant::now());
        self.leaving.lock().unwrap().push(row);
        tokio::time::sleep(Duration::from_secs(3) + length).await;
        self.store.remove("servers", &server.name);
        server.stop();
    }
}
