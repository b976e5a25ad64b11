//! A stand-in for the platform's object store and cloud API, with fault injection.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::name_map::NameMap;
use cassialock::web;
use cassialock::web::Body;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum body size of a call, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Maximum delay of a write that is applied late.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(3_000);

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Every call is answered with 503.
    pub is_down: bool,
    /// No call gets an answer.
    pub is_silent: bool,
    /// Delay added to every call.
    pub delay: Duration,
    /// Fraction of writes that are applied without a reply.
    pub lost_ratio: f64,
    /// Fraction of writes that are applied after a delay and without a reply.
    pub late_ratio: f64,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Latest revision whose history was discarded.
    compacted_revision: u64,
    /// Objects in their response format, by `kind/name`.
    objects: NameMap<Value>,
    history: Vec<(u64, String, Value, bool)>,
    faults: Faults,
    calls: Vec<CloudCall>,
}

/// A cloud call, which only the holder of a lease may make.
#[derive(Clone, Debug)]
pub struct CloudCall {
    /// Lease holder that made the call.
    pub holder: String,
    /// Fencing token of the lease.
    pub fence: u64,
    /// Path of the call, with the service and zone if it has them.
    pub subject: String,
    /// JSON body of the call.
    pub body: Value,
}

/// Object store and cloud API of the platform.
pub struct Store {
    state: Mutex<State>,
    changed: Notify,
    rng: Mutex<SmallRng>,
}

impl Store {
    /// Creates an empty store whose random faults depend on `seed`.
    pub fn new(seed: u64) -> Arc<Self> {
        let state = State {
            revision: 1,
            ..State::default()
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        })
    }

    /// Updates the faults and wakes waiting watches.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().unwrap().faults);
        self.changed.notify_waiters();
    }

    /// Discards the history, so that watches must restart from a full read.
    pub fn compact(&self) {
        let mut state = self.state.lock().unwrap();
        state.compacted_revision = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Writes an object on behalf of the operator or a server.
    pub fn set(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state.lock().unwrap();
        state.write(kind, name, |object| object["spec"] = spec);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes an object on behalf of the operator or a server.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().remove(kind, name);
        self.changed.notify_waiters();
    }

    /// Returns the accepted cloud calls, in order.
    pub fn calls(&self) -> Vec<CloudCall> {
        self.state.lock().unwrap().calls.clone()
    }

    fn random_bool(&self, probability: f64) -> bool {
        self.rng.lock().unwrap().random_bool(probability)
    }

    fn faults(&self) -> Faults {
        self.state.lock().unwrap().faults
    }

    /// Handles one call.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let faults = self.faults();
        tokio::time::sleep(faults.delay).await;
        if faults.is_silent {
            std::future::pending::<()>().await;
        }
        if faults.is_down {
            return web::text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let path = request.uri().path().to_string();
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return self.cloud_call(&path, request).await;
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        if request.method() == Method::GET {
            return match web::query_param(request.uri(), "watch") {
                Some(after) => self.watch(kind, after.parse().unwrap(), &request).await,
                None => self.read(kind, name),
            };
        }
        let revision = web::query_param(request.uri(), "revision");
        let method = request.method().clone();
        let body = web::read(request.into_body(), MAX_BODY_BYTES)
            .await
            .unwrap();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let condition = revision
            .and_then(|revision| revision.parse().ok())
            .or_else(|| body["metadata"]["revision"].as_u64());
        let write = WriteRequest {
            kind: kind.into(),
            name: match name {
                "" => body["metadata"]["name"].as_str().unwrap().into(),
                name => name.into(),
            },
            method,
            condition,
            body,
        };
        if self.random_bool(faults.late_ratio) {
            let delay = MAX_WRITE_DELAY.mul_f64(self.rng.lock().unwrap().random());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                self.write(write)
            });
            return web::abort();
        }
        let is_lost = self.random_bool(faults.lost_ratio);
        let response = self.write(write);
        if is_lost { web::abort() } else { response }
    }

    fn read(&self, kind: &str, name: &str) -> Response<Body> {
        let state = self.state.lock().unwrap();
        if !name.is_empty() {
            return match state.objects.get(&format!("{kind}/{name}")) {
                Some(object) => web::json(StatusCode::OK, object),
                None => web::text(StatusCode::NOT_FOUND, "none"),
            };
        }
        let prefix = format!("{kind}/");
        let objects = state.objects.iter();
        let items: Vec<&Value> = objects
            .filter(|(key, _)| key.starts_with(&prefix))
            .map(|(_, object)| object)
            .collect();
        let page = json!({"items": items, "has_more": false, "as_of": state.revision});
        web::json(StatusCode::OK, &page)
    }

    async fn watch(&self, kind: &str, after: u64, request: &Request<Incoming>) -> Response<Body> {
        let wait = web::query_number(request.uri(), "wait_ms", 0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock().unwrap();
                if after < state.compacted_revision {
                    return web::text(StatusCode::GONE, "history is gone");
                }
                if state.faults.is_down {
                    return web::abort();
                }
                let events: Vec<Value> = state
                    .history
                    .iter()
                    .filter(|(revision, event_kind, ..)| *revision > after && event_kind == kind)
                    .map(|(_, _, object, deleted)| json!({"object": object, "deleted": deleted}))
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let answer = json!({"events": events, "as_of": state.revision});
                    return web::json(StatusCode::OK, &answer);
                }
            }
            // The next iteration detects that the wait has ended.
            let _ = tokio::time::timeout_at(until, changed).await;
            if self.faults().is_silent {
                std::future::pending::<()>().await;
            }
        }
    }

    fn write(&self, write: WriteRequest) -> Response<Body> {
        let mut state = self.state.lock().unwrap();
        let (name, is_status) = match write.name.strip_suffix("/status") {
            Some(name) => (name.to_string(), true),
            None => (write.name, false),
        };
        let current = state.objects.get(&format!("{}/{name}", write.kind));
        let revision = current.and_then(|object| object["metadata"]["revision"].as_u64());
        let status = match (&write.method, revision) {
            (&Method::POST, Some(_)) => StatusCode::CONFLICT,
            (&Method::PUT | &Method::DELETE, None) => StatusCode::NOT_FOUND,
            (_, Some(revision)) if write.condition.is_some_and(|known| known != revision) => {
                StatusCode::CONFLICT
            }
            _ => StatusCode::OK,
        };
        if status != StatusCode::OK {
            return web::text(status, "refused");
        }
        let object = if write.method == Method::DELETE {
            state.remove(&write.kind, &name);
            Value::Null
        } else {
            let field = if is_status { "status" } else { "spec" };
            let value = write.body[field].clone();
            state.write(&write.kind, &name, |object| object[field] = value)
        };
        drop(state);
        self.changed.notify_waiters();
        web::json(StatusCode::OK, &object)
    }

    async fn cloud_call(&self, path: &str, request: Request<Incoming>) -> Response<Body> {
        let header = |name: &str| request.headers()[name].to_str().unwrap().to_string();
        let (holder, fence) = (
            header("x-cassialock-lease-holder"),
            header("x-cassialock-fencing-token").parse().unwrap(),
        );
        let body = web::read(request.into_body(), MAX_BODY_BYTES)
            .await
            .unwrap();
        let body: Value = serde_json::from_slice(&body).unwrap();
        let subject = match path {
            "/usage" => path.to_string(),
            _ => format!("{path} {} {}", body["service"], body["zone"]),
        };
        let mut state = self.state.lock().unwrap();
        let calls = state.calls.iter().filter(|call| call.subject == subject);
        if calls.map(|call| call.fence).max() > Some(fence) {
            return web::text(StatusCode::CONFLICT, "a higher fence was seen");
        }
        state.calls.push(CloudCall {
            holder,
            fence,
            subject,
            body,
        });
        web::text(StatusCode::OK, "done")
    }
}

/// A call that writes or deletes an object.
struct WriteRequest {
    kind: String,
    name: String,
    method: Method,
    condition: Option<u64>,
    body: Value,
}

impl State {
    fn write(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Value)) -> Value {
        let key: Name = format!("{kind}/{name}").into();
        let new = || json!({"metadata": {"name": name}, "spec": null, "status": null});
        let mut object = self.objects.get(&key).cloned().unwrap_or_else(new);
        let before = object.clone();
        change(&mut object);
        if object == before {
            return object;
        }
        self.revision += 1;
        object["metadata"]["revision"] = self.revision.into();
        self.objects.insert(key, object.clone());
        let event = (self.revision, kind.into(), object.clone(), false);
        self.history.push(event);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&format!("{kind}/{name}")) {
            self.revision += 1;
            self.history
                .push((self.revision, kind.into(), object, true));
        }
    }
}
