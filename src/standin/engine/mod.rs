//! A model engine that answers with a fixed function of the prompt.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::core::completion::request::Completion;
use crate::core::completion::request::Endpoint;
use crate::core::route::prefix;
use crate::core::route::servers::LoadReport;
use crate::standin::Standin;
use crate::standin::engine::batch::Batch;
use crate::standin::engine::batch::Costs;
use crate::standin::engine::batch::Sequence;
use crate::standin::engine::faults::Faults;
use crate::web;
use crate::web::Body;
use crate::web::client::Client;

pub mod batch;
pub mod cache;
pub mod faults;

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1_048_576;

/// Chunks that may wait for a slow reader.
const CHUNK_QUEUE: usize = 64;

/// Priority of a request that names none.
const DEFAULT_PRIORITY: u64 = 1;

/// Time to import one block from another engine, in microseconds.
const IMPORT_BLOCK_US: u64 = 200;

/// Time between two snapshots of the load.
const LOAD_STEP: Duration = Duration::from_millis(20);

/// Options of an engine.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Costs and limits.
    pub costs: Costs,
    /// Faults at the start.
    pub faults: Faults,
    /// Whether the process ends when the engine dies.
    pub exits: bool,
}

struct Engine {
    options: Options,
    batch: Mutex<Batch>,
    faults: Mutex<Faults>,
    pushed: Notify,
    loads: Mutex<Vec<(Instant, LoadReport)>>,
    counts: Mutex<Counts>,
    fence: Mutex<u64>,
    dead: watch::Sender<bool>,
    client: Client,
}

/// Requests counted since the start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Requests that were begun.
    pub requests: u64,
    /// Prompt tokens that were computed.
    pub prefilled: u64,
    /// Orders that were carried out.
    pub orders: u64,
    /// Orders that were refused for their fencing number.
    pub fenced: u64,
}

/// An order to an engine, by `POST /orders`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Order {
    /// Fencing number of the order giver.
    pub fence: u64,
    /// The version that the engine is to run.
    pub version: String,
    /// Whether the engine checks the fencing number.
    #[serde(default)]
    pub checked: bool,
}

/// Where to import cached blocks from, by `POST /kv/import`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Import {
    /// URL of the export.
    pub source: String,
}

/// Starts an engine.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
pub async fn start(address: &str, options: Options) -> io::Result<Standin> {
    let (listener, address) = super::listen(address).await?;
    let (stop, stopped) = watch::channel(false);
    let engine = Arc::new(Engine {
        batch: Mutex::new(Batch::new(options.costs)),
        faults: Mutex::new(options.faults.clone()),
        options,
        pushed: Notify::new(),
        loads: Mutex::new(Vec::new()),
        counts: Mutex::new(Counts::default()),
        fence: Mutex::new(0),
        dead: watch::channel(false).0,
        client: Client::new(),
    });
    let mut dead = engine.dead.subscribe();
    let server = Arc::clone(&engine);
    let handler = move |request, _| handle(Arc::clone(&server), request);
    let task = tokio::spawn(async move {
        let steps = tokio::spawn(run_steps(Arc::clone(&engine)));
        let loads = tokio::spawn(record_loads(Arc::clone(&engine)));
        tokio::select! {
            () = web::serve(listener, handler, stopped) => {}
            () = web::wait_stopped(&mut dead) => {}
        }
        engine.batch.lock().unwrap().abort();
        steps.abort();
        loads.abort();
    });
    Ok(Standin::new(address, stop, task))
}

async fn run_steps(engine: Arc<Engine>) {
    loop {
        if engine.batch.lock().unwrap().is_idle() {
            engine.pushed.notified().await;
        }
        let step = engine.batch.lock().unwrap().begin_step();
        let faults = engine.faults.lock().unwrap().clone();
        tokio::time::sleep(step.mul_f64(faults.slow_factor)).await;
        let mut batch = engine.batch.lock().unwrap();
        batch.end_step(&faults, Instant::now());
    }
}

async fn record_loads(engine: Arc<Engine>) {
    loop {
        tokio::time::sleep(LOAD_STEP).await;
        let load = engine.batch.lock().unwrap().load();
        let lag = Duration::from_millis(engine.faults.lock().unwrap().load_lag_ms);
        let now = Instant::now();
        let mut loads = engine.loads.lock().unwrap();
        loads.push((now, load));
        // The first entry is the newest that is older than the lag.
        let old = loads.iter().filter(|(at, _)| now - *at >= lag).count();
        loads.drain(..old.saturating_sub(1));
    }
}

impl Engine {
    fn die(&self) {
        if self.options.exits {
            std::process::exit(101);
        }
        self.dead.send_replace(true);
        self.batch.lock().unwrap().abort();
    }

    fn reported_load(&self) -> LoadReport {
        let loads = self.loads.lock().unwrap();
        loads.first().map(|(_, load)| *load).unwrap_or_default()
    }
}

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    if *engine.dead.borrow() {
        return web::abort();
    }
    let path = request.uri().path().to_string();
    if let Some(shape) = Endpoint::from_path(&path) {
        return complete(&engine, shape, request).await;
    }
    if let Some(id) = path.strip_prefix("/kv/export/") {
        return export(&engine, id);
    }
    match path.as_str() {
        "/control" => control(&engine, request).await,
        "/health" => web::text(StatusCode::OK, "ok\n"),
        "/load" => web::json(StatusCode::OK, &engine.reported_load()),
        "/counts" => {
            let mut counts = engine.counts.lock().unwrap().clone();
            counts.prefilled = engine.batch.lock().unwrap().prefilled;
            web::json(StatusCode::OK, &counts)
        }
        "/cache/events" => {
            let from = web::query_number(request.uri(), "from", 0);
            let events = engine
                .batch
                .lock()
                .unwrap()
                .cache
                .events_from(from, Instant::now());
            web::json(StatusCode::OK, &events)
        }
        "/cache/snapshot" => {
            let snapshot = engine.batch.lock().unwrap().cache.snapshot();
            web::json(StatusCode::OK, &snapshot)
        }
        "/kv/import" => import(&engine, request).await,
        "/orders" => order(&engine, request).await,
        _ => web::text(StatusCode::NOT_FOUND, "no such call\n"),
    }
}

async fn control(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    match web::read_json::<Faults>(request.into_body(), MAX_BODY_BYTES).await {
        Ok(faults) => {
            let dies = faults.die;
            *engine.faults.lock().unwrap() = faults;
            if dies {
                engine.die();
            }
            web::text(StatusCode::OK, "ok\n")
        }
        Err(response) => response,
    }
}

fn header<'a>(request: &'a Request<Incoming>, name: &str) -> &'a str {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

async fn complete(engine: &Engine, shape: Endpoint, request: Request<Incoming>) -> Response<Body> {
    let id = header(&request, "x-request-id").to_string();
    let priority = header(&request, "x-priority")
        .parse()
        .unwrap_or(DEFAULT_PRIORITY) as u32;
    let body = match web::read(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(e) => return web::text(StatusCode::PAYLOAD_TOO_LARGE, format!("{e:?}\n")),
    };
    let completion = match Completion::parse(shape, &body) {
        Ok(completion) => completion,
        Err(e) => return web::text(StatusCode::BAD_REQUEST, format!("{e}\n")),
    };
    let faults = engine.faults.lock().unwrap().clone();
    if !faults.crash_on.is_empty() && completion.prompt.contains(&faults.crash_on) {
        engine.die();
        return web::abort();
    }
    if faults.busy {
        return web::text(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    }
    let running = engine.batch.lock().unwrap().load().running;
    let count = {
        let mut counts = engine.counts.lock().unwrap();
        counts.requests += 1;
        counts.requests
    };
    if faults.fails(shape.path(), count, running) {
        return web::text(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
    }
    let (out, parts) = mpsc::channel(CHUNK_QUEUE);
    let sequence = Sequence::new(id, &completion, priority, out);
    engine.batch.lock().unwrap().push(sequence);
    engine.pushed.notify_one();
    let load = engine.reported_load();
    let mut response = web::event_stream(parts);
    let headers = response.headers_mut();
    headers.insert("x-load-running", load.running.into());
    headers.insert("x-load-waiting", load.waiting.into());
    response
}

fn export(engine: &Engine, request: &str) -> Response<Body> {
    let batch = engine.batch.lock().unwrap();
    match batch.text_of(request) {
        Some(text) => web::json(StatusCode::OK, &prefix::block_hashes(text)),
        None => web::text(StatusCode::NOT_FOUND, "no such request\n"),
    }
}

async fn import(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    let order: Import = match web::read_json(request.into_body(), MAX_BODY_BYTES).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    let Some(blocks) = fetch_blocks(engine, &order.source).await else {
        return web::text(StatusCode::BAD_GATEWAY, "no export\n");
    };
    tokio::time::sleep(Duration::from_micros(IMPORT_BLOCK_US * blocks.len() as u64)).await;
    let mut batch = engine.batch.lock().unwrap();
    batch.cache.store(&blocks, Instant::now());
    web::json(StatusCode::OK, &blocks.len())
}

async fn fetch_blocks(engine: &Engine, source: &str) -> Option<Vec<u64>> {
    let request = Request::get(source).body(Full::default()).ok()?;
    let timeout = Duration::from_secs(2);
    let response = engine.client.send(request, true, timeout).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let content = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&content).ok()
}

async fn order(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    let order: Order = match web::read_json(request.into_body(), MAX_BODY_BYTES).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    let mut fence = engine.fence.lock().unwrap();
    let mut counts = engine.counts.lock().unwrap();
    if order.checked && order.fence < *fence {
        counts.fenced += 1;
        return web::text(StatusCode::CONFLICT, "old fencing number\n");
    }
    *fence = order.fence.max(*fence);
    counts.orders += 1;
    web::text(StatusCode::OK, "ok\n")
}
