//! The cloud API and the VM list, which lags behind changes.

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
use crate::core::limit::token_bucket::TokenBucket;
use crate::core::name_map::NameMap;
use crate::core::route::servers::Vm;
use crate::core::time::Time;
use crate::web;
use crate::web::Body;

/// Default lag of the VM list, in milliseconds.
pub const DEFAULT_LIST_LAG_MS: u64 = 500;

/// Maximum body size of a call, in bytes.
const MAX_BODY_BYTES: usize = 65_536;

/// Maximum rate of weight store reads, per second.
const MAX_WEIGHT_READ_RATE: f64 = 4.0;

/// Changes to the VM list, returned by `GET /vms`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmChanges {
    /// Latest revision that the answer includes.
    pub revision: u64,
    /// VMs that were added or changed.
    pub vms: Vec<Vm>,
    /// VMs that were removed.
    pub removed: Vec<Name>,
}

/// Notice that the platform is about to reclaim a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Sequence number of the notice, starting at 1.
    pub seq: u64,
    /// Name of the VM.
    pub vm: Name,
    /// Time when the VM is reclaimed, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// Reclaim notices, returned by `GET /notices`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notices {
    /// Notices after the requested sequence number.
    pub notices: Vec<Notice>,
}

/// Body of `POST /control/notices`, which issues a reclaim notice.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NoticeRequest {
    /// Name of the VM.
    pub vm: Name,
    /// Time when the VM is reclaimed, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

#[derive(Clone, Debug)]
struct VmRecord {
    revision: u64,
    changed: Instant,
    vm: Option<Vm>,
}

#[derive(Default)]
struct State {
    revision: u64,
    records: NameMap<VmRecord>,
    notices: Vec<Notice>,
}

/// Cloud API of the platform stand-in.
pub struct Cloud {
    state: Mutex<State>,
    notice_added: Notify,
    weight_reads: Mutex<TokenBucket>,
    start: Instant,
}

impl Cloud {
    /// Creates a cloud without VMs.
    pub fn new(start: Instant) -> Self {
        let burst = Duration::from_secs(1);
        Self {
            state: Mutex::new(State::default()),
            notice_added: Notify::new(),
            weight_reads: Mutex::new(TokenBucket::new(
                MAX_WEIGHT_READ_RATE,
                burst,
                Time::default(),
            )),
            start,
        }
    }

    /// Returns whether the rate limit of the weight store allows a read at `now`, and
    /// counts the read if so.
    pub fn allow_weight_read(&self, now: Instant) -> bool {
        let now = Time::default() + (now - self.start);
        self.weight_reads.lock().unwrap().take(1.0, now).is_ok()
    }

    /// Handles a call.
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
            (Method::GET, "/notices") => self.wait_notices(&request).await,
            (Method::GET, "/prices") => web::json(StatusCode::OK, &prices()),
            (Method::POST, "/vms") if refuses_starts => {
                web::text(StatusCode::SERVICE_UNAVAILABLE, "no capacity\n")
            }
            (Method::POST, "/vms") => {
                match web::read_json(request.into_body(), MAX_BODY_BYTES).await {
                    Ok(vm) => self.add_vm(vm),
                    Err(response) => response,
                }
            }
            (Method::POST, "/control/notices") => {
                match web::read_json(request.into_body(), MAX_BODY_BYTES).await {
                    Ok(request) => self.add_notice(request),
                    Err(response) => response,
                }
            }
            (Method::DELETE, _) if path.starts_with("/vms/") => self.remove_vm(&path[5..]),
            _ => web::text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    /// Returns the changes after a revision, up to the first change more recent than
    /// the lag.
    fn changes(&self, after: u64, lag: Duration) -> VmChanges {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let hidden = state
            .records
            .iter()
            .filter(|(_, record)| now - record.changed < lag)
            .map(|(_, record)| record.revision)
            .min();
        let visible = hidden.map_or(state.revision, |first| first - 1);
        let mut changes = VmChanges {
            revision: visible.max(after),
            ..VmChanges::default()
        };
        for (id, record) in state.records.iter() {
            if record.revision <= after || record.revision > visible {
                continue;
            }
            match &record.vm {
                Some(vm) => changes.vms.push(vm.clone()),
                None => changes.removed.push(id.clone()),
            }
        }
        changes
    }

    fn record_change(&self, id: Name, vm: Option<Vm>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let record = VmRecord {
            revision: state.revision,
            changed: Instant::now(),
            vm,
        };
        state.records.insert(id, record);
    }

    fn add_vm(&self, vm: Vm) -> Response<Body> {
        self.record_change(vm.id.clone(), Some(vm));
        web::text(StatusCode::CREATED, "")
    }

    fn remove_vm(&self, id: &str) -> Response<Body> {
        self.record_change(id.into(), None);
        web::text(StatusCode::OK, "")
    }

    fn add_notice(&self, request: NoticeRequest) -> Response<Body> {
        let vm = self
            .state
            .lock()
            .unwrap()
            .records
            .get(&request.vm)
            .and_then(|record| record.vm.clone());
        if let Some(vm) = vm {
            let leaving = Vm {
                leaving: true,
                ..vm
            };
            self.record_change(request.vm.clone(), Some(leaving));
        }
        let mut state = self.state.lock().unwrap();
        let seq = state.notices.len() as u64 + 1;
        state.notices.push(Notice {
            seq,
            vm: request.vm,
            until_ms: request.until_ms,
        });
        drop(state);
        self.notice_added.notify_waiters();
        web::text(StatusCode::OK, "ok\n")
    }

    async fn wait_notices(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = web::query_number(request.uri(), "after", 0);
        let wait = Duration::from_millis(web::query_number(request.uri(), "wait_ms", 0));
        let deadline = Instant::now() + wait;
        loop {
            let notice_added = self.notice_added.notified();
            let notices: Vec<Notice> = {
                let state = self.state.lock().unwrap();
                state
                    .notices
                    .iter()
                    .filter(|n| n.seq > after)
                    .cloned()
                    .collect()
            };
            let is_expired = Instant::now() >= deadline;
            if !notices.is_empty() || is_expired {
                return web::json(StatusCode::OK, &Notices { notices });
            }
            // The loop checks again, whether notified or timed out.
            let _ = tokio::time::timeout_at(deadline, notice_added).await;
        }
    }
}

/// Prices of one VM-hour in a failure domain, in cents.
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
