//! The platform's store and cloud, as PROTOCOL.md and the news pages describe them.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::json::map;

/// Stands for a byte that cannot be read, wherever an object of another writer has one.
pub const ODD: char = '\u{f8ff}';

/// Returns the bytes of a body, with the bytes that cannot be read.
fn with_odd_bytes(body: &str) -> Vec<u8> {
    let parts: Vec<&[u8]> = body.split(ODD).map(str::as_bytes).collect();
    parts.join(&0xff)
}

#[derive(Clone)]
struct Object {
    revision: i64,
    created: i64,
    spec: Json,
    status: Json,
}

impl Object {
    fn json(&self, name: &str) -> Json {
        map([
            (
                "metadata",
                map([
                    ("name", Json::Text(name.into())),
                    ("revision", Json::Int(self.revision)),
                    ("create_revision", Json::Int(self.created)),
                    ("finalizers", Json::List(Vec::new())),
                    ("deleting", Json::Bool(false)),
                ]),
            ),
            ("spec", self.spec.clone()),
            ("status", self.status.clone()),
        ])
    }
}

type Objects = BTreeMap<(String, String), Object>;

/// A copy of the store.
#[derive(Clone)]
pub struct Copy {
    revision: i64,
    objects: Objects,
    pub at: Instant,
}

struct State {
    era: u64,
    revision: i64,
    objects: Objects,
    history: Vec<(i64, String, Json, bool)>,
    /// Revision before which no history is kept.
    oldest: i64,
    is_away: bool,
    /// Number of times that the waiting watches of the servers were cut off.
    cuts: u64,
    calls: Vec<CloudCall>,
}

/// A call to the cloud that was accepted or refused.
#[derive(Clone, Debug)]
pub struct CloudCall {
    pub at: Instant,
    pub holder: String,
    pub fence: i64,
    pub subject: String,
    pub body: Json,
    pub status: u16,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                era: 1,
                revision: 1,
                objects: Objects::new(),
                history: Vec::new(),
                oldest: 1,
                is_away: false,
                cuts: 0,
                calls: Vec::new(),
            }),
            changed: Condvar::new(),
        });
        let handler = Arc::clone(&store);
        http::serve(listener, move |request, channel| {
            let Some((status, body)) = handler.handle(request) else {
                return false;
            };
            let era = handler.state.lock().unwrap().era;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            channel.send(&http::answer(&status, &headers, with_odd_bytes(&body)))
        });
        store
    }

    /// Writes an object for the operator or a server; returns whether it was accepted.
    pub fn set(&self, kind: &str, name: &str, spec: Json) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.write(kind, name, |object| object.spec = spec);
        self.changed.notify_all();
        true
    }

    pub fn calls(&self) -> Vec<CloudCall> {
        self.state.lock().unwrap().calls.clone()
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.lock().unwrap();
        Copy {
            revision: state.revision,
            objects: state.objects.clone(),
            at: Instant::now(),
        }
    }

    /// Removes the entry of a server; returns whether that was accepted.
    pub fn remove_server(&self, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.remove("servers", name);
        self.changed.notify_all();
        true
    }

    /// Cuts off the watches of the servers that are waiting.
    pub fn cut_watches(&self) {
        self.state.lock().unwrap().cuts += 1;
        self.changed.notify_all();
    }

    /// Takes the store away: calls get 503, and watches are cut off.
    pub fn leave(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Brings the store back from a copy, in the next era.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.state.lock().unwrap();
        state.era += 1;
        state.revision = copy.revision;
        state.objects = copy.objects.clone();
        state.history.clear();
        state.oldest = copy.revision;
        state.is_away = false;
        self.changed.notify_all();
    }

    /// Returns the status and the body of an answer, or `None` to cut the channel.
    fn handle(&self, request: &Message) -> Option<(String, String)> {
        let ok = |body: Json| Some(("200 OK".to_string(), body.write()));
        let fail = |status: &str| Some((status.to_string(), "{}".to_string()));
        if self.state.lock().unwrap().is_away {
            return fail("503 Service Unavailable");
        }
        std::thread::sleep(Duration::from_millis(4));
        let Some(rest) = request.path().strip_prefix("/v1/objects/") else {
            return self.cloud(request);
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        if request.method() == "GET" {
            return match request.query("watch") {
                Some(after) => self.watch(kind, after.parse().unwrap_or(0), request),
                None if name.is_empty() => ok(self.list(kind)),
                None => {
                    let state = self.state.lock().unwrap();
                    let object = state.objects.get(&(kind.into(), name.into()));
                    match object.map(|object| object.json(name)) {
                        Some(object) => ok(object),
                        None => fail("404 Not Found"),
                    }
                }
            };
        }
        let body = Json::parse(&request.text());
        let condition = request.query("revision").and_then(|text| text.parse().ok());
        let condition = condition.or(body.get("metadata").get("revision").as_int());
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name.to_string(), true),
            None if name.is_empty() => {
                let name = body.get("metadata").get("name").as_text();
                (name.unwrap_or_default().to_string(), false)
            }
            None => (name.to_string(), false),
        };
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return fail("503 Service Unavailable");
        }
        let known = state
            .objects
            .get(&(kind.to_string(), name.clone()))
            .cloned();
        let object = match (request.method(), known) {
            ("POST", Some(known)) => {
                return Some(("409 Conflict".into(), known.json(&name).write()));
            }
            ("PUT" | "DELETE", None) => return fail("404 Not Found"),
            (_, Some(known)) if condition.is_some_and(|revision| revision != known.revision) => {
                return Some(("409 Conflict".into(), known.json(&name).write()));
            }
            ("DELETE", Some(known)) => {
                state.remove(kind, &name);
                known.json(&name)
            }
            _ if is_status => {
                let status = body.get("status").clone();
                state.write(kind, &name, |object| object.status = status)
            }
            _ => {
                let spec = body.get("spec").clone();
                state.write(kind, &name, |object| object.spec = spec)
            }
        };
        self.changed.notify_all();
        ok(object)
    }

    fn list(&self, kind: &str) -> Json {
        let state = self.state.lock().unwrap();
        let objects = state.objects.iter().filter(|row| row.0.0 == kind);
        map([
            (
                "items",
                Json::List(objects.map(|row| row.1.json(&row.0.1)).collect()),
            ),
            ("has_more", Json::Bool(false)),
            ("as_of", Json::Int(state.revision)),
        ])
    }

    fn watch(&self, kind: &str, after: i64, request: &Message) -> Option<(String, String)> {
        let wait = request.query("wait_ms").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        let (era, cuts) = (state.era, state.cuts);
        loop {
            let is_cut = kind == "servers" && state.cuts != cuts;
            if state.is_away || state.era != era || is_cut {
                return None;
            }
            if after < state.oldest || after > state.revision {
                return Some(("410 Gone".into(), "{}".into()));
            }
            let rows = state.history.iter();
            let rows = rows.filter(|row| row.0 > after && row.1 == kind);
            let events: Vec<Json> = rows
                .map(|row| map([("object", row.2.clone()), ("deleted", Json::Bool(row.3))]))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = map([
                    ("events", Json::List(events)),
                    ("as_of", Json::Int(state.revision)),
                ]);
                return Some(("200 OK".into(), body.write()));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn cloud(&self, request: &Message) -> Option<(String, String)> {
        let body = Json::parse(&request.text());
        let subject = match request.path() {
            "/scale" => format!(
                "/scale {} {}",
                body.get("service").as_text().unwrap_or_default(),
                body.get("zone").as_text().unwrap_or_default()
            ),
            path => path.to_string(),
        };
        let holder = request.header("x-cassialock-lease-holder");
        let fence = request.header("x-cassialock-fencing-token");
        let fence = fence.and_then(|text| text.parse().ok()).unwrap_or(-1);
        let mut state = self.state.lock().unwrap();
        let calls = state.calls.iter();
        let accepted = calls.filter(|call| call.subject == subject && call.status == 200);
        let highest = accepted.map(|call| call.fence).max().unwrap_or(-1);
        let status = if fence < highest { 409 } else { 200 };
        state.calls.push(CloudCall {
            at: Instant::now(),
            holder: holder.unwrap_or_default().into(),
            fence,
            subject,
            body,
            status,
        });
        let status = if status == 200 {
            "200 OK"
        } else {
            "409 Conflict"
        };
        Some((status.into(), "{}".into()))
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> Json {
        let key = (kind.to_string(), name.to_string());
        let next = self.revision + 1;
        let known = self.objects.get(&key).cloned();
        let mut object = known.clone().unwrap_or(Object {
            revision: next,
            created: next,
            spec: Json::Null,
            status: Json::Null,
        });
        change(&mut object);
        // The entry of a server changes when more than its `seq` changes.
        let is_same = |known: &Object| {
            known.spec.without("seq") == object.spec.without("seq") && known.status == object.status
        };
        if known.as_ref().is_some_and(is_same) {
            return object.json(name);
        }
        self.revision = next;
        object.revision = next;
        let json = object.json(name);
        self.objects.insert(key, object);
        self.history.push((next, kind.into(), json.clone(), false));
        json
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_string(), name.to_string());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            let row = (self.revision, kind.into(), object.json(name), true);
            self.history.push(row);
        }
    }
}
