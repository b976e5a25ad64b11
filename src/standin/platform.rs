//! The platform: object API, cloud API, list of VMs and weight store.

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

/// Largest value of an object, in bytes.
const MAX_VALUE_BYTES: usize = 1_048_576;

/// Longest time that a watch waits.
const MAX_WATCH: Duration = Duration::from_secs(30);

/// Faults of the object API, set by `POST /control`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is answered with 503.
    pub down: bool,
    /// Every call gets no answer at all.
    pub silent: bool,
    /// Added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Every `lose_every`th write takes effect and its reply is lost; 0 for none.
    pub lose_every: u64,
    /// Reads answer with the version before the last.
    pub stale: bool,
    /// The list of VMs shows what was true this long ago, in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Starts of VMs are refused.
    pub refuse_starts: bool,
}

/// Calls counted since the start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Reads of objects.
    pub reads: u64,
    /// Writes of objects, refused ones included.
    pub writes: u64,
    /// Watches, each counted as one call.
    pub watches: u64,
    /// Calls of the cloud API and reads of the list.
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
    writes_since_loss: u64,
}

struct Platform {
    state: Mutex<State>,
    changed: Notify,
    cloud: Cloud,
}

/// One changed object in the answer to a watch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Event {
    /// Key of the object.
    pub key: String,
    /// Its version.
    pub version: u64,
}

/// Answer to a watch or a list call.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Events {
    /// Revision that the answer reflects.
    pub revision: u64,
    /// Objects that changed after the revision asked for.
    pub events: Vec<Event>,
}

/// Starts the platform stand-in.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
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
        return control(&platform, request).await;
    }
    if path == "/counts" {
        return web::json(StatusCode::OK, &platform.state.lock().unwrap().counts);
    }
    if let Some(key) = path.strip_prefix("/objects/") {
        return object(&platform, key, request).await;
    }
    match path.as_str() {
        "/objects" => list(&platform, &request).await,
        "/watch" => watch_objects(&platform, &request).await,
        _ if path.starts_with("/weights/") => weights(&platform).await,
        _ => cloud_call(&platform, &path, request).await,
    }
}

async fn control(platform: &Platform, request: Request<Incoming>) -> Response<Body> {
    match web::read_json::<Faults>(request.into_body(), MAX_VALUE_BYTES).await {
        Ok(faults) => {
            platform.state.lock().unwrap().faults = faults;
            platform.changed.notify_waiters();
            web::text(StatusCode::OK, "ok\n")
        }
        Err(response) => response,
    }
}

/// Applies the faults that hit every call.
async fn suffer(platform: &Platform) -> Option<Response<Body>> {
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

async fn object(platform: &Platform, key: &str, request: Request<Incoming>) -> Response<Body> {
    let is_read = request.method() == Method::GET;
    {
        let mut state = platform.state.lock().unwrap();
        if is_read {
            state.counts.reads += 1;
        } else {
            state.counts.writes += 1;
        }
    }
    if let Some(response) = suffer(platform).await {
        return response;
    }
    if is_read {
        return read_object(platform, key);
    }
    let condition = match Condition::parse(&request) {
        Ok(condition) => condition,
        Err(response) => return response,
    };
    let is_delete = request.method() == Method::DELETE;
    let value = match web::read(request.into_body(), MAX_VALUE_BYTES).await {
        Ok(value) => value,
        Err(e) => return web::text(StatusCode::PAYLOAD_TOO_LARGE, format!("{e:?}\n")),
    };
    write_object(platform, key, condition, (!is_delete).then_some(value))
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

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug)]
enum Condition {
    Any,
    Absent,
    Version(u64),
}

impl Condition {
    #[expect(
        clippy::result_large_err,
        reason = "the error is the answer to the caller"
    )]
    fn parse(request: &Request<Incoming>) -> Result<Self, Response<Body>> {
        if request.headers().contains_key(header::IF_NONE_MATCH) {
            return Ok(Condition::Absent);
        }
        let Some(tag) = request.headers().get(header::IF_MATCH) else {
            return Ok(Condition::Any);
        };
        tag.to_str()
            .ok()
            .and_then(|tag| tag.trim_matches('"').parse().ok())
            .map(Condition::Version)
            .ok_or_else(|| web::text(StatusCode::BAD_REQUEST, "if-match: not a version\n"))
    }

    fn holds(self, current: Option<u64>) -> bool {
        match self {
            Condition::Any => true,
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current == Some(version),
        }
    }
}

fn write_object(
    platform: &Platform,
    key: &str,
    condition: Condition,
    value: Option<Bytes>,
) -> Response<Body> {
    let mut state = platform.state.lock().unwrap();
    let current = state.objects.get(key).map(|object| object.version);
    if !condition.holds(current) {
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
    state.writes_since_loss += 1;
    let is_lost = state.faults.lose_every > 0 && state.writes_since_loss >= state.faults.lose_every;
    if is_lost {
        state.writes_since_loss = 0;
    }
    drop(state);
    platform.changed.notify_waiters();
    if is_lost {
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

fn changed_since(platform: &Platform, prefix: &str, after: u64) -> Events {
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

async fn list(platform: &Platform, request: &Request<Incoming>) -> Response<Body> {
    platform.state.lock().unwrap().counts.reads += 1;
    if let Some(response) = suffer(platform).await {
        return response;
    }
    let prefix = web::query_param(request.uri(), "prefix").unwrap_or_default();
    web::json(StatusCode::OK, &changed_since(platform, &prefix, 0))
}

async fn watch_objects(platform: &Platform, request: &Request<Incoming>) -> Response<Body> {
    platform.state.lock().unwrap().counts.watches += 1;
    if let Some(response) = suffer(platform).await {
        return response;
    }
    let prefix = web::query_param(request.uri(), "prefix").unwrap_or_default();
    let after = web::query_number(request.uri(), "after", 0);
    let wait = Duration::from_millis(web::query_number(request.uri(), "wait_ms", 0));
    let until = Instant::now() + wait.min(MAX_WATCH);
    loop {
        let changed = platform.changed.notified();
        let events = changed_since(platform, &prefix, after);
        if !events.events.is_empty() {
            return web::json(StatusCode::OK, &events);
        }
        if tokio::time::timeout_at(until, changed).await.is_err() {
            return web::json(StatusCode::OK, &events);
        }
        if let Some(response) = suffer(platform).await {
            return response;
        }
    }
}

async fn weights(platform: &Platform) -> Response<Body> {
    platform.state.lock().unwrap().counts.weights += 1;
    if platform.cloud.take_weights(Instant::now()) {
        web::text(StatusCode::OK, "weights\n")
    } else {
        web::text(StatusCode::TOO_MANY_REQUESTS, "too many reads\n")
    }
}

async fn cloud_call(platform: &Platform, path: &str, request: Request<Incoming>) -> Response<Body> {
    let faults = {
        let mut state = platform.state.lock().unwrap();
        state.counts.cloud += 1;
        state.faults.clone()
    };
    let lag = Duration::from_millis(faults.list_lag_ms.unwrap_or(cloud::DEFAULT_LAG_MS));
    platform
        .cloud
        .handle(path, request, lag, faults.refuse_starts)
        .await
}
