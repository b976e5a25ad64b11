//! A stand-in of the platform's store and of its duty calls.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Channel, Message, member, record, serve, unquote};

type Key = (String, String);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"create_revision\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.revision, self.created, self.spec, self.status
        )
    }
}

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Clone, Default)]
struct Content {
    objects: BTreeMap<Key, Object>,
    log: Vec<Change>,
    revision: u64,
    /// Changes up to this revision are no longer in the log.
    dropped: u64,
}

struct State {
    content: Content,
    copy: Option<Content>,
    era: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether the store is down and closes all channels.
    pub away: AtomicBool,
    /// Whether the store names its era.
    pub eras: AtomicBool,
}

fn not_found() -> (u16, String) {
    (404, "{}".into())
}

impl Store {
    pub fn new() -> Arc<Self> {
        let content = Content {
            revision: 10,
            dropped: 10,
            ..Content::default()
        };
        Arc::new(Self {
            state: Mutex::new(State {
                content,
                copy: None,
                era: 1,
            }),
            changed: Condvar::new(),
            away: AtomicBool::new(false),
            eras: AtomicBool::new(true),
        })
    }

    /// Listens at an address of its own for one entry; `cut` says that it gets no answer.
    pub fn listen(self: &Arc<Self>, ip: &str, cut: Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind(format!("{ip}:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::clone(self);
        serve(listener, move |stream| store.answer_all(stream, &cut));
        address
    }

    fn answer_all(&self, stream: TcpStream, cut: &AtomicBool) {
        let mut channel = Channel::new(stream);
        while let Ok(Some(request)) = channel.message(false) {
            if self.away.load(Ordering::SeqCst) {
                return;
            }
            // A silent channel stays silent until its peer closes it.
            if cut.load(Ordering::SeqCst) {
                while let Ok(Some(_)) = channel.message(false) {}
                return;
            }
            let era = self.state.lock().unwrap().era;
            let (status, body) = self.answer(&request);
            if self.away.load(Ordering::SeqCst) {
                return;
            }
            if cut.load(Ordering::SeqCst) {
                while let Ok(Some(_)) = channel.message(false) {}
                return;
            }
            // A call that an era ends in the middle of gets no answer.
            let state = self.state.lock().unwrap();
            if state.era != era {
                return;
            }
            let named = if self.eras.load(Ordering::SeqCst) {
                format!("Store-Era: {era}\r\n")
            } else {
                String::new()
            };
            drop(state);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{named}Content-Length: {}\r\n\r\n",
                body.len()
            );
            if channel
                .send(&[head.as_bytes(), body.as_bytes()].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut parts = path.trim_start_matches("/v1/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_string();
        let name = parts.next().unwrap_or("").to_string();
        let sub = parts.next().unwrap_or("");
        let param = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v.to_string())
        };
        let body = request.text();
        let meta = member(&body, "metadata").unwrap_or("{}").to_string();
        let revision = member(&meta, "revision").and_then(|v| v.parse::<u64>().ok());
        match request.method() {
            "GET" if !name.is_empty() => {
                let state = self.state.lock().unwrap();
                match state.content.objects.get(&(kind, name.clone())) {
                    Some(object) => (200, object.json(&name)),
                    None => not_found(),
                }
            }
            "GET" => match param("watch").and_then(|v| v.parse().ok()) {
                Some(after) => {
                    let wait = param("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                    self.watch(&kind, after, wait)
                }
                None => self.list(&kind),
            },
            "POST" => {
                let name = member(&meta, "name").map(unquote).unwrap_or_default();
                let spec = member(&body, "spec").unwrap_or("{}").to_string();
                let mut state = self.state.lock().unwrap();
                let key = (kind, name.clone());
                if let Some(object) = state.content.objects.get(&key) {
                    return (409, object.json(&name));
                }
                let json = put(&mut state.content, key, Some(spec), None);
                self.changed.notify_all();
                (200, json)
            }
            "PUT" => {
                let mut state = self.state.lock().unwrap();
                let key = (kind, name.clone());
                let Some(known) = state.content.objects.get(&key) else {
                    return not_found();
                };
                if revision.is_some_and(|revision| revision != known.revision) {
                    return (409, known.json(&name));
                }
                let spec = member(&body, "spec").map(str::to_string);
                let status = member(&body, "status").map(str::to_string);
                if sub == "status" {
                    record(format!(
                        "store: status of {}/{name} {}",
                        key.0,
                        status.clone().unwrap_or_default()
                    ));
                }
                let (spec, status) = if sub == "status" {
                    (None, status)
                } else {
                    (spec, None)
                };
                let json = put(&mut state.content, key, spec, status);
                self.changed.notify_all();
                (200, json)
            }
            "DELETE" => {
                let given = param("revision").and_then(|v| v.parse::<u64>().ok());
                let mut state = self.state.lock().unwrap();
                let key = (kind, name.clone());
                let Some(known) = state.content.objects.get(&key) else {
                    return not_found();
                };
                if given.is_some_and(|revision| revision != known.revision) {
                    return (409, known.json(&name));
                }
                remove(&mut state.content, key);
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let rows = state.content.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = rows.map(|((_, name), object)| object.json(name)).collect();
        let as_of = state.content.revision;
        (
            200,
            format!(
                "{{\"items\":[{}],\"has_more\":false,\"as_of\":{as_of}}}",
                items.join(",")
            ),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            let content = &state.content;
            if state.era != era || after > content.revision || after < content.dropped {
                return (410, "{}".into());
            }
            let rows = content.log.iter();
            let events: Vec<String> = rows
                .filter(|change| change.revision > after && change.kind == kind)
                .map(|c| format!("{{\"object\":{},\"deleted\":{}}}", c.object, c.deleted))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until || self.away.load(Ordering::SeqCst) {
                let as_of = content.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(",")),
                );
            }
            let step = (until - now).min(Duration::from_millis(100));
            state = self.changed.wait_timeout(state, step).unwrap().0;
        }
    }

    /// Writes an object as the operator or a server does.
    pub fn set(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        put(
            &mut state.content,
            (kind.into(), name.into()),
            Some(spec.into()),
            None,
        );
        self.changed.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        remove(&mut state.content, (kind.into(), name.into()));
        self.changed.notify_all();
    }

    /// Returns the status of an object.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let state = self.state.lock().unwrap();
        let object = state.content.objects.get(&(kind.into(), name.into()));
        object.map_or(String::new(), |object| object.status.clone())
    }

    /// Takes the copy from which the store comes back later.
    pub fn copy(&self) {
        let mut state = self.state.lock().unwrap();
        state.copy = Some(state.content.clone());
    }

    /// Comes back from the copy, in the next era.
    pub fn restore(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(copy) = state.copy.take() {
            state.content = copy;
            // The history before the copy is not kept.
            state.content.dropped = state.content.revision;
            state.content.log.clear();
        }
        state.era += 1;
        self.changed.notify_all();
    }
}

fn put(content: &mut Content, key: Key, spec: Option<String>, status: Option<String>) -> String {
    let known = content.objects.get(&key).cloned();
    let mut object = known.clone().unwrap_or(Object {
        revision: 0,
        created: content.revision + 1,
        spec: "{}".into(),
        status: "{}".into(),
    });
    object.spec = spec.unwrap_or(object.spec);
    object.status = status.unwrap_or(object.status);
    if known.is_some_and(|known| known.spec == object.spec && known.status == object.status) {
        return object.json(&key.1);
    }
    content.revision += 1;
    object.revision = content.revision;
    let json = object.json(&key.1);
    content.log.push(Change {
        revision: content.revision,
        kind: key.0.clone(),
        object: json.clone(),
        deleted: false,
    });
    content.objects.insert(key, object);
    json
}

fn remove(content: &mut Content, key: Key) {
    if let Some(mut object) = content.objects.remove(&key) {
        content.revision += 1;
        object.revision = content.revision;
        content.log.push(Change {
            revision: content.revision,
            kind: key.0,
            object: object.json(&key.1),
            deleted: true,
        });
    }
}

/// Listens for duty calls and records them.
pub fn cloud(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).unwrap();
    let address = listener.local_addr().unwrap();
    serve(listener, |stream| {
        let mut channel = Channel::new(stream);
        while let Ok(Some(request)) = channel.message(false) {
            let holder = request.header("x-cassialock-lease-holder").unwrap_or("");
            let fence = request.header("x-cassialock-fencing-token").unwrap_or("");
            record(format!(
                "cloud: {} from {holder} with {fence}: {}",
                request.target(),
                request.text()
            ));
            if channel
                .send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                .is_err()
            {
                return;
            }
        }
    });
    address
}
