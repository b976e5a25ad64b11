//! Backend servers that record what reaches them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cassialock::web;
use cassialock::web::Body;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

/// Events of a stream.
pub const EVENTS: usize = 6;

/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(40);

/// Longest work of a plain request.
const MAX_WORK: Duration = Duration::from_millis(60);

/// A request as a server saw it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub id: String,
    /// The server.
    pub server: String,
    /// When it came.
    pub at: Instant,
    /// Whether the server began to work on it.
    pub ran: bool,
    /// The caller's workspace as the server was told.
    pub workspace: String,
    /// Whether the caller's key came along.
    pub has_key: bool,
}

/// What all servers have seen.
pub type Log = Arc<Mutex<Vec<Arrival>>>;

/// One server.
pub struct Server {
    /// Its name.
    pub name: String,
    service: &'static str,
    port: u16,
    host: String,
    log: Log,
    /// In 1,000 requests, those that fail after they ran.
    pub failing: AtomicU64,
    /// Whether requests are cut while they run.
    pub is_cutting: AtomicBool,
    stop: watch::Sender<bool>,
    born: u64,
}

impl Server {
    /// Starts a server on an address of `host`.
    pub async fn start(host: &str, name: &str, service: &'static str, log: &Log) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{host}:0")).await.unwrap();
        let (stop, stopped) = watch::channel(false);
        let server = Arc::new(Self {
            name: name.into(),
            service,
            port: listener.local_addr().unwrap().port(),
            host: host.into(),
            log: Arc::clone(log),
            failing: AtomicU64::new(0),
            is_cutting: AtomicBool::new(false),
            stop,
            born: rand::rng().random_range(1_700_000_000_000..1_800_000_000_000),
        });
        let own = Arc::clone(&server);
        let handler = move |request, _| Arc::clone(&own).handle(request);
        tokio::spawn(web::serve(listener, handler, stopped));
        server
    }

    /// Returns the entry that the server writes to the store.
    pub fn entry(&self, state: &str) -> Value {
        json!({
            "service": self.service, "address": format!("{}:{}", self.host, self.port),
            "zone": "a", "version": "v1", "slots": 8, "state": state, "seq": 1, "born": self.born,
        })
    }

    /// Stops taking connections.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let header = |name: &str| {
            let value = request.headers().get(name);
            value
                .map_or("", |value| value.to_str().unwrap())
                .to_string()
        };
        let id = header("x-cassialock-request-id");
        let is_other = header("x-cassialock-expect-instance") != self.name;
        self.log.lock().unwrap().push(Arrival {
            id: id.clone(),
            server: self.name.clone(),
            at: Instant::now(),
            ran: !is_other,
            workspace: header("x-cassialock-tenant"),
            has_key: request.headers().contains_key("authorization"),
        });
        if is_other {
            let mut response = web::text(StatusCode::MISDIRECTED_REQUEST, "another");
            let headers = response.headers_mut();
            headers.insert("x-cassialock-not-executed", "1".parse().unwrap());
            return response;
        }
        let mut response = if self.is_cutting.load(Ordering::Relaxed) {
            tokio::time::sleep(EVENT_GAP).await;
            return web::abort();
        } else if rand::rng().random_range(0..1_000) < self.failing.load(Ordering::Relaxed) {
            web::text(StatusCode::INTERNAL_SERVER_ERROR, "failed")
        } else if request.uri().path().starts_with("/draft/") {
            let (sender, parts) = mpsc::channel(1);
            tokio::spawn(write_events(id.clone(), sender));
            web::event_stream(parts)
        } else {
            let work = MAX_WORK.mul_f64(rand::rng().random());
            tokio::time::sleep(work).await;
            web::text(StatusCode::OK, format!("answer {id}"))
        };
        let headers = response.headers_mut();
        headers.insert("x-cassialock-request-id", id.parse().unwrap());
        headers.insert("x-cassialock-response-stamp", self.name.parse().unwrap());
        response
    }
}

/// Returns the whole answer to a stream.
pub fn stream_of(id: &str) -> String {
    (0..EVENTS).map(|at| event(id, at)).collect()
}

fn event(id: &str, at: usize) -> String {
    format!("id: {}\ndata: {id}\n\n", at + 1)
}

async fn write_events(id: String, parts: mpsc::Sender<web::BodyChunk>) {
    for at in 0..EVENTS {
        tokio::time::sleep(EVENT_GAP).await;
        if parts.send(Ok(event(&id, at).into())).await.is_err() {
            // The caller has gone.
            return;
        }
    }
}
