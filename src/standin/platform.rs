//! Stand-in for the platform: object API, cloud API, VM list and weight store.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::core::name_map::NameMap;
use crate::standin::Standin;
use crate::standin::cloud;
use crate::standin::cloud::Cloud;
use crate::web;
use crate::web::Body;

/// Maximum size of an object's value, in bytes.
const MAX_VALUE_BYTES: usize = 1_048_576;

/// Maximum time that a watch waits for changes.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Faults of the platform, set by `POST /control`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call of the object API is answered with 503.
    pub down: bool,
    /// No call of the object API gets an answer.
    pub silent: bool,
    /// Delay added to every call of the object API, in milliseconds.
    pub slow_ms: u64,
    /// Every `lose_every`th write is applied and its reply is lost; 0 for none.
    pub lose_every: u64,
    /// Reads return the previous version of an object.
    pub stale: bool,
    /// Lag of the VM list, in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Requests to start a VM are refused.
    pub refuse_starts: bool,
}

/// Number of calls since the start, by type.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Reads of objects, listings included.
    pub reads: u64,
    /// Writes of objects, refused ones included.
    pub writes: u64,
    /// Watches, each counted once.
    pub watches: u64,
    /// Calls of the cloud API, reads of the VM list included.
    pub cloud: u64,
    /// Reads of the weight store.
    pub weights: u64,
}

#[derive(Clone, Debug)]
struct Object {
    version: u64,
    value: Bytes,
    previous: Option<(u64, Bytes)>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: NameMap<Object>,
    faults: Faults,
    counts: Counts,
    loss_counter: u64,
}

struct Platform {
    state: Mutex<State>,
    changed: Notify,
    cloud: Cloud,
}

/// A changed object, in the answer to a watch or list call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Event {
    /// Key of the object.
    pub key: String,
    /// Version of the object.
    pub version: u64,
}

/// Answer to a watch or list call.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Events {
    /// Latest revision that the answer includes.
    pub revision: u64,
    /// Objects that changed after the requested revision.
    pub events: Vec<Event>,
}

/// Starts the platform stand-in.
///
/// # Errors
///
/// Returns an error if the listener cannot be bound to `address`.
pub async fn start(address: &str) -> io::Result<Standin> {
    let (listener, address) = super::listen(address).await?;
    let (stop, stopped) = watch::channel(false);
    let platform = Arc::new(Platform {
        state: Mutex::new(State::default()),
        changed: Notify::new(),
        cloud: Cloud::new(Instant::now()),
    });
    let handler = move |request, _| handle(Arc::clone(&platform), request);
    let task = tokio::spawn(web::serve(listener, handler, stopped));
    Ok(Standin::new(address, stop, task))
}

async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_string();
    if path == "/control" {
        return set_faults(&platform, request).await;
    }
    if path == "/counts" {
        return web::json(StatusCode::OK, &platform.state.lock().unwrap().counts);
    }
    if let Some(key) = path.strip_prefix("/objects/") {
        return handle_object(&platform, key, request).await;
    }
    match path.as_str() {
        "/objects" => list_objects(&platform, &request).await,
        "/watch" => watch_objects(&platform, &request).await,
        _ if path.starts_with("/weights/") => read_weights(&platform).await,
        _ => handle_cloud(&platform, &path, request).await,
    }
}

async fn set_faults(platform: &Platform, request: Request<Incoming>) -> Response<Body> {
    match web::read_json::<Faults>(request.into_body(), MAX_VALUE_BYTES).await {
        Ok(faults) => {
            platform.state.lock().unwrap().faults = faults;
            platform.changed.notify_waiters();
            web::text(StatusCode::OK, "ok\n")
        }
        Err(response) => response,
    }
}

/// Applies the faults that affect every object call, and returns the response if a
/// fault ends the call.
async fn apply_faults(platform: &Platform) -> Option<Response<Body>> {
    let faults = platform.state.lock().unwrap().faults.clone();
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.silent {
        tokio::time::sleep(Duration::from_secs(60)).await;
        return Some(web::abort());
    }
    faults
        .down
        .then(|| web::text(StatusCode::SERVICE_UNAVAILABLE, "store is down\n"))
}

async fn handle_object(
    platform: &Platform,
    key: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    let is_read = request.method() == Method::GET;
    {
        let mut state = platform.state.lock().unwrap();
        if is_read {
            state.counts.reads += 1;
        } else {
            state.counts.writes += 1;
        }
    }
    if let Some(response) = apply_faults(platform).await {
        return response;
    }
    if is_read {
        return read_object(platform, key);
    }
    let precondition = match Precondition::parse(&request) {
        Ok(precondition) => precondition,
        Err(response) => return response,
    };
    let is_delete = request.method() == Method::DELETE;
    let value = match web::read(request.into_body(), MAX_VALUE_BYTES).await {
        Ok(value) => value,
        Err(e) => return web::text(StatusCode::PAYLOAD_TOO_LARGE, format!("{e:?}\n")),
    };
    write_object(platform, key, precondition, (!is_delete).then_some(value))
}

fn read_object(platform: &Platform, key: &str) -> Response<Body> {
    let state = platform.state.lock().unwrap();
    let Some(object) = state.objects.get(key) else {
        return web::text(StatusCode::NOT_FOUND, "no such object\n");
    };
    let (version, value) = match &object.previous {
        Some((version, value)) if state.faults.stale => (*version, value.clone()),
        _ => (object.version, object.value.clone()),
    };
    with_version(web::text(StatusCode::OK, value), version)
}

/// Precondition of a write, from its `If-Match` or `If-None-Match` header.
#[derive(Clone, Copy, Debug)]
enum Precondition {
    Any,
    Absent,
    Version(u64),
}

impl Precondition {
    #[expect(
        clippy::result_large_err,
        reason = "the error is the answer to the caller"
    )]
    fn parse(request: &Request<Incoming>) -> Result<Self, Response<Body>> {
        if request.headers().contains_key(header::IF_NONE_MATCH) {
            return Ok(Precondition::Absent);
        }
        let Some(tag) = request.headers().get(header::IF_MATCH) else {
            return Ok(Precondition::Any);
        };
        tag.to_str()
            .ok()
            .and_then(|tag| tag.trim_matches('"').parse().ok())
            .map(Precondition::Version)
            .ok_or_else(|| web::text(StatusCode::BAD_REQUEST, "if-match: not a version\n"))
    }

    fn holds(self, current: Option<u64>) -> bool {
        match self {
            Precondition::Any => true,
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        }
    }
}

fn write_object(
    platform: &Platform,
    key: &str,
    precondition: Precondition,
    value: Option<Bytes>,
) -> Response<Body> {
    let mut state = platform.state.lock().unwrap();
    let current = state.objects.get(key).map(|object| object.version);
    if !precondition.holds(current) {
        return web::text(StatusCode::PRECONDITION_FAILED, "version differs\n");
    }
    state.revision += 1;
    let version = state.revision;
    match value {
        Some(value) => {
            let previous = state.objects.get(key).map(|o| (o.version, o.value.clone()));
            let object = Object {
                version,
                value,
                previous,
            };
            state.objects.insert(key.into(), object);
        }
        None => {
            state.objects.remove(key);
        }
    }
    state.loss_counter += 1;
    let is_reply_lost =
        state.faults.lose_every > 0 && state.loss_counter >= state.faults.lose_every;
    if is_reply_lost {
        state.loss_counter = 0;
    }
    drop(state);
    platform.changed.notify_waiters();
    if is_reply_lost {
        return web::abort();
    }
    with_version(web::text(StatusCode::OK, ""), version)
}

fn with_version(mut response: Response<Body>, version: u64) -> Response<Body> {
    if let Ok(tag) = format!("\"{version}\"").parse() {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

fn changes_since(platform: &Platform, prefix: &str, after: u64) -> Events {
    let state = platform.state.lock().unwrap();
    let events = state
        .objects
        .iter()
        .filter(|(key, object)| key.starts_with(prefix) && object.version > after)
        .map(|(key, object)| Event {
            key: key.to_string(),
            version: object.version,
        })
        .collect();
    Events {
        revision: state.revision,
        events,
    }
}

async fn list_objects(platform: &Platform, request: &Request<Incoming>) -> Response<Body> {
    platform.state.lock().unwrap().counts.reads += 1;
    if let Some(response) = apply_faults(platform).await {
        return response;
    }
    let prefix = web::query_param(request.uri(), "prefix").unwrap_or_default();
    web::json(StatusCode::OK, &changes_since(platform, &prefix, 0))
}

async fn watch_objects(platform: &Platform, request: &Request<Incoming>) -> Response<Body> {
    platform.state.lock().unwrap().counts.watches += 1;
    if let Some(response) = apply_faults(platform).await {
        return response;
    }
    let prefix = web::query_param(request.uri(), "prefix").unwrap_or_default();
    let after = web::query_number(request.uri(), "after", 0);
    let wait = Duration::from_millis(web::query_number(request.uri(), "wait_ms", 0));
    let deadline = Instant::now() + wait.min(MAX_WATCH_WAIT);
    loop {
        let changed = platform.changed.notified();
        let events = changes_since(platform, &prefix, after);
        if !events.events.is_empty() {
            return web::json(StatusCode::OK, &events);
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return web::json(StatusCode::OK, &events);
        }
        if let Some(response) = apply_faults(platform).await {
            return response;
        }
    }
}

async fn read_weights(platform: &Platform) -> Response<Body> {
    platform.state.lock().unwrap().counts.weights += 1;
    if platform.cloud.allow_weight_read(Instant::now()) {
        web::text(StatusCode::OK, "weights\n")
    } else {
        web::text(StatusCode::TOO_MANY_REQUESTS, "too many reads\n")
    }
}

async fn handle_cloud(
    platform: &Platform,
    path: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    let faults = {
        let mut state = platform.state.lock().unwrap();
        state.counts.cloud += 1;
        state.faults.clone()
    };
    let lag = Duration::from_millis(faults.list_lag_ms.unwrap_or(cloud::DEFAULT_LIST_LAG_MS));
    platform
        .cloud
        .handle(path, request, lag, faults.refuse_starts)
        .await
}
