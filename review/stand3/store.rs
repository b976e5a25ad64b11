//! The platform's store and cloud, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Req};
use crate::json::{self, J};
use crate::note;

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: J,
    status: J,
}

impl Object {
    fn json(&self) -> J {
        J::obj(vec![
            (
                "metadata",
                J::obj(vec![
                    ("name", J::str(&self.name)),
                    ("revision", J::num(self.revision)),
                    ("create_revision", J::num(self.created)),
                    ("finalizers", J::Arr(vec![])),
                    ("deleting", J::Bool(false)),
                ]),
            ),
            ("spec", self.spec.clone()),
            ("status", self.status.clone()),
        ])
    }
}

#[derive(Clone, Default)]
pub struct Data {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object, whether it was deleted.
    history: Vec<(u64, String, J, bool)>,
}

impl Data {
    fn write(&mut self, kind: &str, name: &str, spec: Option<J>, status: Option<J>) -> Object {
        let key = (kind.to_string(), name.to_string());
        let old = self.objects.get(&key).cloned();
        let mut new = old.clone().unwrap_or(Object {
            name: name.into(),
            revision: 0,
            created: self.revision + 1,
            spec: J::Null,
            status: J::Null,
        });
        if let Some(spec) = spec {
            new.spec = spec;
        }
        if let Some(status) = status {
            new.status = status;
        }
        if old.is_some_and(|old| old.spec == new.spec && old.status == new.status) {
            return new;
        }
        self.revision += 1;
        new.revision = self.revision;
        self.history.push((self.revision, kind.into(), new.json(), false));
        self.objects.insert(key, new.clone());
        new
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(old) = self.objects.remove(&(kind.to_string(), name.to_string())) else {
            return false;
        };
        self.revision += 1;
        self.history.push((self.revision, kind.into(), old.json(), true));
        true
    }
}

/// One accepted or refused call to the cloud.
#[derive(Clone, Debug)]
pub struct CloudCall {
    pub at: Instant,
    pub node: usize,
    pub subject: String,
    pub holder: String,
    pub number: u64,
    pub body: String,
    pub status: u16,
}

pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
    /// Era that the answers name; 0 names none.
    era: Mutex<u64>,
    /// By machine: 0 serves it, 1 answers nothing, 2 answers 503.
    pub modes: Vec<AtomicU8>,
    /// When each machine last began to wait for changes of the roll-outs.
    pub waits: Mutex<Vec<Option<Instant>>>,
    pub calls: Mutex<Vec<CloudCall>>,
}

pub const SILENT: u8 = 1;
pub const RESET: u8 = 3;

impl Store {
    pub fn new(nodes: usize, era: u64) -> Arc<Self> {
        let data = Data { revision: 100, ..Data::default() };
        Arc::new(Self {
            data: Mutex::new(data),
            changed: Condvar::new(),
            era: Mutex::new(era),
            modes: (0..nodes).map(|_| AtomicU8::new(0)).collect(),
            waits: Mutex::new(vec![None; nodes]),
            calls: Mutex::default(),
        })
    }

    /// Writes an object for the operator or a server.
    pub fn set(&self, kind: &str, name: &str, spec: J) {
        self.data.lock().unwrap().write(kind, name, Some(spec), None);
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let was = self.data.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
        if was {
            note(&format!("store removes {kind}/{name}"));
        }
    }

    pub fn has(&self, kind: &str, name: &str) -> bool {
        let key = (kind.to_string(), name.to_string());
        self.data.lock().unwrap().objects.contains_key(&key)
    }

    pub fn status(&self, kind: &str, name: &str) -> J {
        let key = (kind.to_string(), name.to_string());
        let data = self.data.lock().unwrap();
        data.objects.get(&key).map_or(J::Null, |o| o.status.clone())
    }

    pub fn count(&self, kind: &str) -> usize {
        let data = self.data.lock().unwrap();
        data.objects.keys().filter(|k| k.0 == kind).count()
    }

    /// Serves the store and the cloud to one machine and returns the address.
    pub fn listen(self: &Arc<Self>, ip: &str, node: usize) -> SocketAddr {
        let store = Arc::clone(self);
        http::serve(&format!("{ip}:0"), Arc::new(move |q, out| store.handle(node, q, out)))
    }

    fn answer(&self, out: &mut TcpStream, status: u16, body: &J) -> bool {
        let mut headers = vec![("Content-Type", "application/json".to_string())];
        let era = *self.era.lock().unwrap();
        if era > 0 {
            headers.push(("Store-Era", era.to_string()));
        }
        std::thread::sleep(Duration::from_millis(4));
        http::reply(out, status, &headers, body.string().as_bytes())
    }

    fn handle(&self, node: usize, q: &Req, out: &mut TcpStream) -> bool {
        match self.modes[node].load(Ordering::Relaxed) {
            SILENT => {
                std::thread::sleep(Duration::from_secs(30));
                return false;
            }
            0 => {}
            RESET => return false,
            _ => return self.answer(out, 503, &J::Null),
        }
        let path = q.path().to_string();
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return self.cloud(node, q, out);
        };
        let mut parts = rest.splitn(3, '/');
        let kind = parts.next().unwrap_or("").to_string();
        let name = parts.next().unwrap_or("").to_string();
        let is_status = parts.next() == Some("status");
        if q.method == "GET" {
            if let Some(after) = q.query("watch") {
                return self.watch(node, &kind, after.parse().unwrap_or(0), q, out);
            }
            let data = self.data.lock().unwrap();
            if !name.is_empty() {
                let found = data.objects.get(&(kind, name)).map(Object::json);
                drop(data);
                return match found {
                    Some(object) => self.answer(out, 200, &object),
                    None => self.answer(out, 404, &J::Null),
                };
            }
            let after = q.query("after").unwrap_or("").to_string();
            let rows = data.objects.iter().filter(|r| r.0.0 == kind && r.0.1 > after);
            let items: Vec<J> = rows.map(|r| r.1.json()).collect();
            let as_of = data.revision;
            drop(data);
            let page = J::obj(vec![
                ("items", J::Arr(items)),
                ("has_more", J::Bool(false)),
                ("as_of", J::num(as_of)),
            ]);
            return self.answer(out, 200, &page);
        }
        let body = json::parse(&String::from_utf8_lossy(&q.body)).unwrap_or(J::Null);
        let named = body.get("metadata").get("name").text().to_string();
        let name = if name.is_empty() { named } else { name };
        let condition = q.query("revision").and_then(|r| r.parse().ok());
        let condition: Option<u64> = condition.or(body.get("metadata").get("revision").u64());
        let mut data = self.data.lock().unwrap();
        let known = data.objects.get(&(kind.clone(), name.clone())).cloned();
        let refused = match (&*q.method, &known) {
            ("POST", Some(_)) => Some(409),
            ("PUT" | "DELETE", None) => Some(404),
            (_, Some(known)) if condition.is_some_and(|c| c != known.revision) => Some(409),
            _ => None,
        };
        if let Some(status) = refused {
            drop(data);
            return self.answer(out, status, &known.map_or(J::Null, |o| o.json()));
        }
        let result = if q.method == "DELETE" {
            data.remove(&kind, &name);
            J::Null
        } else if is_status {
            data.write(&kind, &name, None, Some(body.get("status").clone())).json()
        } else {
            data.write(&kind, &name, Some(body.get("spec").clone()), None).json()
        };
        drop(data);
        self.changed.notify_all();
        if kind != "servers" && kind != "cassialock-leases" {
            note(&format!("machine {node} {} {kind}/{name} status={is_status} {}", q.method, String::from_utf8_lossy(&q.body)));
        }
        self.answer(out, 200, &result)
    }

    fn watch(&self, node: usize, kind: &str, after: u64, q: &Req, out: &mut TcpStream) -> bool {
        let wait = q.query("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        if kind == "rollouts" && wait > 10_000 {
            self.waits.lock().unwrap()[node] = Some(Instant::now());
        }
        let era = *self.era.lock().unwrap();
        let mut data = self.data.lock().unwrap();
        loop {
            let is_gone = after > data.revision || *self.era.lock().unwrap() != era;
            if is_gone {
                drop(data);
                return self.answer(out, 410, &J::Null);
            }
            let rows = data.history.iter().filter(|r| r.0 > after && r.1 == kind);
            let events: Vec<J> = rows
                .map(|r| J::obj(vec![("object", r.2.clone()), ("deleted", J::Bool(r.3))]))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = data.revision;
                drop(data);
                // An answer that falls into an outage is lost, and its channel with it.
                let mode = self.modes[node].load(Ordering::Relaxed);
                if mode == RESET {
                    return false;
                }
                if mode != 0 {
                    std::thread::sleep(Duration::from_secs(30));
                    return false;
                }
                let page = J::obj(vec![("events", J::Arr(events)), ("as_of", J::num(as_of))]);
                return self.answer(out, 200, &page);
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }

    fn cloud(&self, node: usize, q: &Req, out: &mut TcpStream) -> bool {
        let number = q.header("x-cassialock-fencing-token").parse().unwrap_or(0);
        let text = String::from_utf8_lossy(&q.body).into_owned();
        let body = json::parse(&text).unwrap_or(J::Null);
        let subject = match q.path() {
            "/usage" => "usage".to_string(),
            path => format!("{path} {} {}", body.get("service").text(), body.get("zone").text()),
        };
        let mut calls = self.calls.lock().unwrap();
        let same = calls.iter().filter(|c| c.subject == subject && c.status == 200);
        let status = if same.map(|c| c.number).max() > Some(number) { 409 } else { 200 };
        calls.push(CloudCall {
            at: Instant::now(),
            node,
            subject,
            holder: q.header("x-cassialock-lease-holder").into(),
            number,
            body: text,
            status,
        });
        drop(calls);
        self.answer(out, status, &J::Null)
    }
}
