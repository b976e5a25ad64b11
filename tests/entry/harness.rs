//! An entry that runs in front of backend servers of a test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cassialock::clock::Clock;
use cassialock::core::Name;
use cassialock::core::catalog::Catalog;
use cassialock::core::catalog::Route;
use cassialock::core::catalog::RouteKind;
use cassialock::core::catalog::Workspace;
use cassialock::core::limit::scarcity::Level;
use cassialock::core::route::servers::evacuation::Evacuations;
use cassialock::entry;
use cassialock::entry::Entry;
use cassialock::entry::adapter::Adapter;
use cassialock::entry::adapter::BackendServer;
use cassialock::entry::adapter::Content;
use cassialock::entry::adapter::DeclaredMove;
use cassialock::entry::adapter::Listing;
use cassialock::entry::adapter::Object;
use cassialock::entry::backends::Criteria;
use cassialock::entry::backends::cold;
use cassialock::entry::backends::in_flight::InFlight;
use cassialock::entry::evacuations;
use cassialock::entry::settings::Settings;
use cassialock::platform::protocol::HeaderProtocol;
use cassialock::telemetry::events::EventLog;
use crossbeam::channel;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::fakes;
use crate::fakes::FakeCloud;
use crate::fakes::FakeStore;
use crate::fakes::Script;
use crate::pathwise;

/// Timeout for anything that must happen.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Requests in flight at a server that is not to be chosen.
const OCCUPIED_REQUESTS: usize = 3;

/// An entry in front of one backend server.
pub struct Harness {
    pub front: SocketAddr,
    lines: channel::Receiver<String>,
    runs: Arc<AtomicUsize>,
    pub cancelled: Arc<AtomicUsize>,
    pub entry: Arc<Entry>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
    _port: TcpSocket,
}

fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.into(),
        host: "shop".into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(300),
        max_gap: None,
        priority: 0,
        split: vec![("dosel-llm".into(), 1)],
        max_attempts: 2,
        is_public: false,
    }
}

/// Returns the catalog that an entry of the harness starts with.
pub fn catalog() -> Catalog {
    Catalog::new(1)
        .with_routes(vec![
            route("/read/", RouteKind::Idempotent),
            route("/order/", RouteKind::AtMostOnce),
            route("/draft/", RouteKind::Stream),
            route("/follow/", RouteKind::Resumable),
            Route {
                timeout: Duration::from_secs(5),
                ..route("/patient/", RouteKind::Resumable)
            },
            Route {
                timeout: Duration::from_secs(20),
                ..route("/late-read/", RouteKind::Idempotent)
            },
            Route {
                timeout: Duration::from_secs(20),
                ..route("/late-order/", RouteKind::AtMostOnce)
            },
            Route {
                max_attempts: 1,
                ..route("/follow-once/", RouteKind::Resumable)
            },
            Route {
                max_attempts: 3,
                timeout: Duration::from_secs(5),
                ..route("/follow-long/", RouteKind::Resumable)
            },
        ])
        .with_workspaces(vec![Workspace {
            name: "familias".into(),
            keys: vec!["k-1".into()],
            ..Workspace::default()
        }])
}

/// Returns the store objects of backend servers at some addresses, with versions.
fn backend_objects(servers: &[(SocketAddr, &str)]) -> Vec<Object> {
    let objects = servers
        .iter()
        .enumerate()
        .map(|(index, (address, version))| {
            let mut object = fakes::backend(&format!("i-{}", index + 1), 1);
            if let Content::Backend(server) = &mut object.content {
                server.address = *address;
                server.version = (*version).into();
            }
            object
        });
    objects.collect()
}

async fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Binds a socket to a port, which no other socket gets unless it asks for this one.
fn reserve_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    socket
}

impl Harness {
    /// Starts an entry with one backend server, which listens only if `has_backend`.
    pub async fn start(has_backend: bool) -> Self {
        let (runs, cancelled) = (Arc::default(), Arc::default());
        let address = if has_backend {
            pathwise::backend(Arc::clone(&runs), Arc::clone(&cancelled)).await
        } else {
            free_port().await
        };
        Self {
            runs,
            cancelled,
            ..Self::with_backend(address).await
        }
    }

    /// Starts an entry with a backend server at `address`.
    pub async fn with_backend(address: SocketAddr) -> Self {
        Self::with_backends(&[address]).await
    }

    /// Starts an entry with a backend server at each of the addresses.
    pub async fn with_backends(addresses: &[SocketAddr]) -> Self {
        let servers: Vec<(SocketAddr, &str)> = addresses.iter().map(|at| (*at, "v1")).collect();
        Self::with_objects(backend_objects(&servers)).await
    }

    /// Starts an entry with backend servers of some versions and a declared move.
    pub async fn with_move(servers: &[(SocketAddr, &str)], declared: DeclaredMove) -> Self {
        let mut objects = backend_objects(servers);
        objects.push(Object {
            name: declared.service.clone(),
            revision: 1,
            content: Content::Move(declared),
        });
        Self::with_objects(objects).await
    }

    /// Starts an entry that may hedge requests up to `percent` of the work, with a backend
    /// server at each of the addresses.
    pub async fn with_hedging(addresses: &[SocketAddr], percent: f64) -> Self {
        let servers: Vec<(SocketAddr, &str)> = addresses.iter().map(|at| (*at, "v1")).collect();
        let change = |settings: &mut Settings| settings.features.hedge_percent = percent;
        Self::with_settings(backend_objects(&servers), change).await
    }

    pub async fn with_objects(objects: Vec<Object>) -> Self {
        Self::with_settings(objects, |_| {}).await
    }

    /// Starts an entry with a catalog, a backend server at `address` and what `script` has
    /// in the store.
    pub async fn with_catalog(
        address: SocketAddr,
        catalog: Catalog,
        script: Arc<Script>,
        change: impl Fn(&mut Settings),
    ) -> Self {
        let objects = backend_objects(&[(address, "v1")]);
        Self::with_store(objects, catalog, script, change).await
    }

    async fn with_settings(objects: Vec<Object>, change: impl Fn(&mut Settings)) -> Self {
        Self::with_store(objects, catalog(), Arc::new(Script::default()), change).await
    }

    async fn with_store(
        mut objects: Vec<Object>,
        catalog: Catalog,
        script: Arc<Script>,
        change: impl Fn(&mut Settings),
    ) -> Self {
        objects.push(Object {
            name: "main".into(),
            revision: 1,
            content: Content::Catalog(Box::new(catalog)),
        });
        *script.listing.lock().unwrap() = Listing {
            revision: 1,
            objects,
        };
        let mut settings = fakes::settings();
        settings.features.admission = true;
        let port = reserve_port();
        let front = port.local_addr().unwrap();
        settings.front = Some(front);
        // The fake store does not confirm the catalog after the first list.
        settings.bounds.revoke_delay = Duration::from_secs(60);
        change(&mut settings);
        let clock = Clock::new();
        let (sender, lines) = channel::unbounded();
        let events = EventLog::with_sender("entry-2".into(), clock, Some(sender));
        let adapter = Adapter {
            dialect: Box::new(HeaderProtocol::new()),
            store: Box::new(FakeStore(script)),
            cloud: Box::new(FakeCloud),
        };
        let entry = Arc::new(Entry::new(settings, adapter, events, clock));
        let (stop, stopped) = watch::channel(false);
        let running = entry::run(Arc::clone(&entry), stopped);
        let task = tokio::spawn(async move { running.await.unwrap() });
        let began = Instant::now();
        while !entry.backends.has_usable("dosel-llm", entry.clock.now())
            || entry.catalog.version() == 0
            || TcpStream::connect(front).await.is_err()
        {
            assert!(began.elapsed() < TIMEOUT, "the entry did not start in time");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Self {
            front,
            lines,
            runs: Arc::default(),
            cancelled: Arc::default(),
            entry,
            stop,
            task,
            _port: port,
        }
    }

    /// Returns the level of the service.
    pub fn level(&self) -> Level {
        self.entry.admission.level("dosel-llm")
    }

    /// Returns the number of requests that the entry holds.
    pub fn held(&self) -> usize {
        self.entry.admission.held()
    }

    /// Tells the entry to stop, as SIGTERM does.
    pub fn begin_stop(&self) {
        self.stop.send_replace(true);
    }

    /// Stops the entry as SIGTERM does, and waits until its process would exit.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap();
    }

    /// Sends raw bytes and returns everything received until the connection closes.
    pub async fn send(&self, bytes: &str) -> String {
        let mut stream = TcpStream::connect(self.front).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        // A connection reset after the response does not lose what was received.
        let _ = tokio::time::timeout(TIMEOUT, reading).await.unwrap();
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Sends a request and returns its status.
    pub async fn call(&self, method: &str, path: &str, id: &str, key: &str) -> u16 {
        let key = format!("authorization: Token {key}\r\n");
        self.exchange(method, path, id, &key, "").await
    }

    /// Sends a request with further headers and a body, and returns its status.
    pub async fn call_with(
        &self,
        method: &str,
        path: &str,
        id: &str,
        headers: &str,
        body: &str,
    ) -> u16 {
        let headers = format!("authorization: Token k-1\r\n{headers}");
        self.exchange(method, path, id, &headers, body).await
    }

    pub async fn exchange(
        &self,
        method: &str,
        path: &str,
        id: &str,
        headers: &str,
        body: &str,
    ) -> u16 {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: {id}\r\n\
             {headers}x-cassialock-deadline-ms: 2000\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        );
        status(&self.send(&request).await)
    }

    /// Returns the event lines of a request, found by its id as an operator would.
    pub fn lines_of(&self, id: &str) -> Vec<serde_json::Value> {
        std::thread::sleep(Duration::from_millis(50));
        self.lines
            .try_iter()
            .map(|line| serde_json::from_str::<serde_json::Value>(&line).unwrap())
            .filter(|line| line["request"] == id)
            .collect()
    }

    /// Returns the services whose new version was found to be faulty.
    pub fn vetoes(&self) -> Vec<Name> {
        let vetoes = self.entry.moves.vetoes();
        vetoes.iter().map(|(service, _)| service.clone()).collect()
    }

    /// Records an answer of the store, which the fake one does not give again.
    pub fn confirm_store(&self) {
        cold::confirm(&self.entry);
    }

    /// Replaces the list of backend servers.
    pub fn list(&self, servers: Vec<BackendServer>) {
        let now = self.entry.clock.now();
        self.entry.backends.replace(servers, now);
    }

    /// Puts a newer catalog in force.
    pub fn install(&self, catalog: Catalog) {
        assert!(self.entry.catalog.install(catalog));
    }

    /// Applies changed settings, as SIGHUP does.
    pub fn reload(&self, change: impl Fn(&mut Settings)) {
        let mut settings = (**self.entry.settings.load()).clone();
        change(&mut settings);
        self.entry.reload(settings);
    }

    /// Applies a listing of the evacuated failure domains.
    pub fn evacuate(&self, revision: u64, domains: &[&str]) {
        let domains = domains.iter().map(|domain| Name::from(*domain)).collect();
        evacuations::apply(&self.entry, Evacuations { revision, domains });
    }

    /// Uses up the retry budget of the service.
    pub fn exhaust_retries(&self) {
        while self.entry.limits.spend_retry(&"dosel-llm".into()) {}
    }

    /// Counts requests as in flight at a server, so that others are preferred.
    pub fn occupy(&self, server: &str) {
        let others: Vec<Name> = ["i-1/1", "i-2/1"]
            .into_iter()
            .filter(|id| *id != server)
            .map(Name::from)
            .collect();
        let criteria = Criteria {
            service: "dosel-llm",
            version: None,
            session: None,
            avoid: &others,
            has_fallback: false,
            random: 0,
            prompt: None,
        };
        let now = self.entry.clock.now();
        let chosen = self.entry.backends.choose(&criteria, now).unwrap();
        for _ in 0..OCCUPIED_REQUESTS {
            std::mem::forget(InFlight::new(&self.entry, &chosen));
        }
    }

    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that the entry counts as usage.
    pub fn usage(&self) -> u64 {
        let counts = self.entry.usage.counts();
        let requests = counts.iter().flat_map(|counts| counts.requests.iter());
        requests.map(|(_, count)| count).sum()
    }
}

/// Returns whether an answer is a success that looks complete to its caller.
pub fn is_complete(answer: &str) -> bool {
    let is_chunked = answer
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    answer.starts_with("HTTP/1.1 200") && (!is_chunked || answer.ends_with("\r\n0\r\n\r\n"))
}

/// Returns the status of an answer, or 0.
pub fn status(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1).unwrap_or_default();
    status.parse().unwrap_or_default()
}
