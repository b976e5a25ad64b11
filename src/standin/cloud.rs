//! The cloud API and the lagging list of VMs.

use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::core::Name;
use crate::core::limit::bucket::Bucket;
use crate::core::route::servers::Vm;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::web;
use crate::web::Body;

/// Time by which the list of VMs lags behind, in milliseconds, unless set otherwise.
pub const DEFAULT_LAG_MS: u64 = 500;

/// Largest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 65_536;

/// Reads of the weight store allowed each second.
const WEIGHT_RATE: f64 = 4.0;

/// Changes of the list, in the answer to `GET /vms`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Revision that the answer reflects.
    pub revision: u64,
    /// VMs that were added or changed.
    pub vms: Vec<Vm>,
    /// VMs that were removed.
    pub removed: Vec<Name>,
}

/// Notice that the platform takes a VM back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Position in the sequence of notices, from 1.
    pub seq: u64,
    /// Name of the VM.
    pub vm: Name,
    /// When the VM goes, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// Notices, in the answer to `GET /notices`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notices {
    /// The notices after the one asked for.
    pub notices: Vec<Notice>,
}

/// Orders a notice, by `POST /control/notices`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NoticeRequest {
    /// Name of the VM.
    pub vm: Name,
    /// When the VM goes, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

#[derive(Clone, Debug)]
struct Row {
    revision: u64,
    at: Instant,
    vm: Option<Vm>,
}

#[derive(Default)]
struct State {
    revision: u64,
    rows: Table<Row>,
    notices: Vec<Notice>,
}

/// The cloud side of the platform stand-in.
pub struct Cloud {
    state: Mutex<State>,
    noticed: Notify,
    weights: Mutex<Bucket>,
    start: Instant,
}

impl Cloud {
    /// Creates a cloud without VMs.
    pub fn new(start: Instant) -> Self {
        let burst = Duration::from_secs(1);
        Self {
            state: Mutex::new(State::default()),
            noticed: Notify::new(),
            weights: Mutex::new(Bucket::new(WEIGHT_RATE, burst, Time::default())),
            start,
        }
    }

    /// Returns whether the weight store allows a read now.
    pub fn take_weights(&self, now: Instant) -> bool {
        let now = Time::default() + (now - self.start);
        self.weights.lock().unwrap().take(1.0, now).is_ok()
    }

    /// Answers a call.
    pub async fn handle(
        &self,
        path: &str,
        request: Request<Incoming>,
        lag: Duration,
        refuses_starts: bool,
    ) -> Response<Body> {
        let method = request.method().clone();
        match (method, path) {
            (Method::GET, "/vms") => {
                let after = web::query_number(request.uri(), "after", 0);
                web::json(StatusCode::OK, &self.changes(after, lag))
            }
            (Method::GET, "/notices") => self.notices(&request).await,
            (Method::GET, "/prices") => web::json(StatusCode::OK, &prices()),
            (Method::POST, "/vms") if refuses_starts => {
                web::text(StatusCode::SERVICE_UNAVAILABLE, "no capacity\n")
            }
            (Method::POST, "/vms") => {
                match web::read_json(request.into_body(), MAX_BODY_BYTES).await {
                    Ok(vm) => self.add(vm),
                    Err(response) => response,
                }
            }
            (Method::POST, "/control/notices") => {
                match web::read_json(request.into_body(), MAX_BODY_BYTES).await {
                    Ok(order) => self.notify(order),
                    Err(response) => response,
                }
            }
            (Method::DELETE, _) if path.starts_with("/vms/") => self.remove(&path[5..]),
            _ => web::text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    /// Returns the changes after a revision that are older than the lag.
    fn changes(&self, after: u64, lag: Duration) -> Changes {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let hidden = state
            .rows
            .iter()
            .filter(|(_, row)| now - row.at < lag)
            .map(|(_, row)| row.revision)
            .min();
        let visible = hidden.map_or(state.revision, |first| first - 1);
        let mut changes = Changes {
            revision: visible.max(after),
            ..Changes::default()
        };
        for (id, row) in state.rows.iter() {
            if row.revision <= after || row.revision > visible {
                continue;
            }
            match &row.vm {
                Some(vm) => changes.vms.push(vm.clone()),
                None => changes.removed.push(id.clone()),
            }
        }
        changes
    }

    fn set(&self, id: Name, vm: Option<Vm>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let row = Row {
            revision: state.revision,
            at: Instant::now(),
            vm,
        };
        state.rows.insert(id, row);
    }

    fn add(&self, vm: Vm) -> Response<Body> {
        self.set(vm.id.clone(), Some(vm));
        web::text(StatusCode::CREATED, "")
    }

    fn remove(&self, id: &str) -> Response<Body> {
        self.set(id.into(), None);
        web::text(StatusCode::OK, "")
    }

    fn notify(&self, order: NoticeRequest) -> Response<Body> {
        let vm = self
            .state
            .lock()
            .unwrap()
            .rows
            .get(&order.vm)
            .and_then(|row| row.vm.clone());
        if let Some(vm) = vm {
            let leaving = Vm {
                leaving: true,
                ..vm
            };
            self.set(order.vm.clone(), Some(leaving));
        }
        let mut state = self.state.lock().unwrap();
        let seq = state.notices.len() as u64 + 1;
        state.notices.push(Notice {
            seq,
            vm: order.vm,
            until_ms: order.until_ms,
        });
        drop(state);
        self.noticed.notify_waiters();
        web::text(StatusCode::OK, "ok\n")
    }

    async fn notices(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = web::query_number(request.uri(), "after", 0);
        let wait = Duration::from_millis(web::query_number(request.uri(), "wait_ms", 0));
        let until = Instant::now() + wait;
        loop {
            let noticed = self.noticed.notified();
            let notices: Vec<Notice> = {
                let state = self.state.lock().unwrap();
                state
                    .notices
                    .iter()
                    .filter(|n| n.seq > after)
                    .cloned()
                    .collect()
            };
            let is_over = Instant::now() >= until;
            if !notices.is_empty() || is_over {
                return web::json(StatusCode::OK, &Notices { notices });
            }
            // Ends the wait in either case; the loop looks again.
            let _ = tokio::time::timeout_at(until, noticed).await;
        }
    }
}

/// Price of one VM-hour for a failure domain and class, in cents.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Price {
    /// Failure domain.
    pub domain: Name,
    /// Price of a reclaimable VM.
    pub reclaimable: f64,
    /// Price of an on-demand VM.
    pub on_demand: f64,
}

fn prices() -> Vec<Price> {
    let price = |domain: &str, reclaimable, on_demand| Price {
        domain: domain.into(),
        reclaimable,
        on_demand,
    };
    vec![
        price("rionegro", 62.0, 190.0),
        price("guatape", 55.0, 185.0),
        price("santa-elena", 71.0, 200.0),
        price("seoul-a", 80.0, 240.0),
        price("seoul-b", 74.0, 235.0),
        price("seoul-c", 90.0, 250.0),
    ]
}
