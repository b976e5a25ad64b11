//! Stand-in for a model engine, whose completions are a fixed function of the prompt.

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
use crate::platform::protocol;
use crate::standin::Standin;
use crate::standin::engine::batch::Batch;
use crate::standin::engine::batch::Costs;
use crate::standin::engine::batch::Sequence;
use crate::standin::engine::cold::ColdPhase;
use crate::standin::engine::faults::Faults;
use crate::web;
use crate::web::Body;
use crate::web::client::Client;

pub mod batch;
pub mod cache;
pub mod cold;
pub mod faults;

/// Maximum body size of a request, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1_048_576;

/// Maximum number of chunks queued for a slow reader.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Priority of a request without a priority header.
const DEFAULT_PRIORITY: u64 = 1;

/// Time to import one block from another engine, in microseconds.
const BLOCK_IMPORT_US: u64 = 200;

/// Interval between load samples.
const LOAD_INTERVAL: Duration = Duration::from_millis(20);

/// Options of an engine.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Cost model and limits.
    pub costs: Costs,
    /// Initial faults.
    pub faults: Faults,
    /// Whether a crash of the engine ends the process.
    pub exits: bool,
}

struct Engine {
    options: Options,
    batch: Mutex<Batch>,
    faults: Mutex<Faults>,
    cold: Mutex<ColdPhase>,
    request_added: Notify,
    load_history: Mutex<Vec<(Instant, LoadReport)>>,
    counts: Mutex<Counts>,
    max_fence: Mutex<u64>,
    crashed: watch::Sender<bool>,
    client: Client,
}

/// Number of requests, tokens and orders since the start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Requests that were started, failed ones included.
    pub requests: u64,
    /// Prompt tokens that were computed, without cached ones.
    pub prefilled: u64,
    /// Orders that were executed.
    pub orders: u64,
    /// Orders that were refused because of an old fencing token.
    pub fenced: u64,
}

/// Body of `POST /orders`, which tells an engine to run a version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Order {
    /// Fencing token of the sender.
    pub fence: u64,
    /// Version that the engine must run.
    pub version: String,
    /// Whether the engine must check the fencing token.
    #[serde(default)]
    pub checked: bool,
}

/// Body of `POST /kv/import`, which imports cached blocks from another engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ImportRequest {
    /// URL of the export to import from.
    pub source: String,
}

/// Starts the engine stand-in.
///
/// # Errors
///
/// Returns an error if the listener cannot be bound to `address`.
pub async fn start(address: &str, options: Options) -> io::Result<Standin> {
    let (listener, address) = super::listen(address).await?;
    let (stop, stopped) = watch::channel(false);
    let engine = Arc::new(Engine {
        batch: Mutex::new(Batch::new(options.costs)),
        faults: Mutex::new(options.faults.clone()),
        cold: Mutex::new(options.faults.cold_phase()),
        options,
        request_added: Notify::new(),
        load_history: Mutex::new(Vec::new()),
        counts: Mutex::new(Counts::default()),
        max_fence: Mutex::new(0),
        crashed: watch::channel(false).0,
        client: Client::new(),
    });
    let mut crashed = engine.crashed.subscribe();
    let server = Arc::clone(&engine);
    let handler = move |request, _| handle(Arc::clone(&server), request);
    let task = tokio::spawn(async move {
        let steps = tokio::spawn(run_steps(Arc::clone(&engine)));
        let loads = tokio::spawn(record_load(Arc::clone(&engine)));
        tokio::select! {
            () = web::serve(listener, handler, stopped) => {}
            () = web::wait_stopped(&mut crashed) => {}
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
            engine.request_added.notified().await;
        }
        let step = engine.batch.lock().unwrap().begin_step();
        let faults = engine.faults.lock().unwrap().clone();
        let is_cold = !engine.cold.lock().unwrap().left().is_zero();
        let cold_factor = if is_cold { cold::SLOW_FACTOR } else { 1.0 };
        tokio::time::sleep(step.mul_f64(faults.slow_factor * cold_factor)).await;
        let mut batch = engine.batch.lock().unwrap();
        batch.end_step(&faults, Instant::now());
    }
}

async fn record_load(engine: Arc<Engine>) {
    loop {
        tokio::time::sleep(LOAD_INTERVAL).await;
        let load = engine.batch.lock().unwrap().load();
        let lag = Duration::from_millis(engine.faults.lock().unwrap().load_lag_ms);
        let now = Instant::now();
        let mut loads = engine.load_history.lock().unwrap();
        loads.push((now, load));
        // Keeps the newest sample that is at least as old as the lag as the first entry.
        let old = loads.iter().filter(|(at, _)| now - *at >= lag).count();
        loads.drain(..old.saturating_sub(1));
    }
}

impl Engine {
    fn crash(&self) {
        if self.options.exits {
            std::process::exit(101);
        }
        self.crashed.send_replace(true);
        self.batch.lock().unwrap().abort();
    }

    fn reported_load(&self) -> LoadReport {
        let loads = self.load_history.lock().unwrap();
        loads.first().map(|(_, load)| *load).unwrap_or_default()
    }
}

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    if *engine.crashed.borrow() {
        return web::abort();
    }
    let path = request.uri().path().to_string();
    if let Some(endpoint) = Endpoint::from_path(&path) {
        return complete(&engine, endpoint, request).await;
    }
    if let Some(id) = path.strip_prefix("/kv/export/") {
        return export_blocks(&engine, id);
    }
    match path.as_str() {
        "/control" => set_faults(&engine, request).await,
        "/health" => health(&engine),
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
        "/kv/import" => import_blocks(&engine, request).await,
        "/orders" => handle_order(&engine, request).await,
        _ => web::text(StatusCode::NOT_FOUND, "no such call\n"),
    }
}

/// Answers a health probe, with the time for which the engine stays cold.
fn health(engine: &Engine) -> Response<Body> {
    let mut response = web::text(StatusCode::OK, "ok\n");
    let left = engine.cold.lock().unwrap().left().as_millis();
    if left > 0 {
        let millis = u64::try_from(left).unwrap_or(u64::MAX);
        response.headers_mut().insert(protocol::COLD, millis.into());
    }
    response
}

async fn set_faults(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    match web::read_json::<Faults>(request.into_body(), MAX_BODY_BYTES).await {
        Ok(faults) => {
            let dies = faults.die;
            *engine.cold.lock().unwrap() = faults.cold_phase();
            *engine.faults.lock().unwrap() = faults;
            if dies {
                engine.crash();
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

async fn complete(
    engine: &Engine,
    endpoint: Endpoint,
    request: Request<Incoming>,
) -> Response<Body> {
    let id = header(&request, "x-request-id").to_string();
    let priority = header(&request, "x-priority")
        .parse()
        .unwrap_or(DEFAULT_PRIORITY) as u32;
    let body = match web::read(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(e) => return web::text(StatusCode::PAYLOAD_TOO_LARGE, format!("{e:?}\n")),
    };
    let completion = match Completion::parse(endpoint, &body) {
        Ok(completion) => completion,
        Err(e) => return web::text(StatusCode::BAD_REQUEST, format!("{e}\n")),
    };
    if engine.cold.lock().unwrap().count() {
        engine.crash();
        return web::abort();
    }
    let faults = engine.faults.lock().unwrap().clone();
    if !faults.crash_on.is_empty() && completion.prompt.contains(&faults.crash_on) {
        engine.crash();
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
    if faults.fails_request(endpoint.path(), count, running) {
        return web::text(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
    }
    let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let sequence = Sequence::new(id, &completion, priority, sender);
    engine.batch.lock().unwrap().push(sequence);
    engine.request_added.notify_one();
    let load = engine.reported_load();
    let mut response = web::event_stream(chunks);
    let headers = response.headers_mut();
    headers.insert("x-load-running", load.running.into());
    headers.insert("x-load-waiting", load.waiting.into());
    response
}

fn export_blocks(engine: &Engine, request: &str) -> Response<Body> {
    let batch = engine.batch.lock().unwrap();
    match batch.text(request) {
        Some(text) => web::json(StatusCode::OK, &prefix::block_hashes(text)),
        None => web::text(StatusCode::NOT_FOUND, "no such request\n"),
    }
}

async fn import_blocks(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    let import: ImportRequest = match web::read_json(request.into_body(), MAX_BODY_BYTES).await {
        Ok(import) => import,
        Err(response) => return response,
    };
    let Some(blocks) = fetch_blocks(engine, &import.source).await else {
        return web::text(StatusCode::BAD_GATEWAY, "no export\n");
    };
    tokio::time::sleep(Duration::from_micros(BLOCK_IMPORT_US * blocks.len() as u64)).await;
    let mut batch = engine.batch.lock().unwrap();
    batch.cache.insert(&blocks, Instant::now());
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

async fn handle_order(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    let order: Order = match web::read_json(request.into_body(), MAX_BODY_BYTES).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    let mut max_fence = engine.max_fence.lock().unwrap();
    let mut counts = engine.counts.lock().unwrap();
    if order.checked && order.fence < *max_fence {
        counts.fenced += 1;
        return web::text(StatusCode::CONFLICT, "old fencing number\n");
    }
    *max_fence = order.fence.max(*max_fence);
    counts.orders += 1;
    web::text(StatusCode::OK, "ok\n")
}
