//! One request of a caller, from its head to the end of the answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;

use crate::core::Name;
use crate::core::catalog::Catalog;
use crate::core::catalog::Kind;
use crate::core::catalog::Route;
use crate::core::catalog::Workspace;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::request::Ask;
use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::core::retry::Tries;
use crate::core::retry::crash::Crash;
use crate::core::retry::crash::Fingerprint;
use crate::core::time::Time;
use crate::core::verdict::Verdict;
use crate::entry::Entry;
use crate::entry::backends::Chosen;
use crate::entry::backends::Want;
use crate::entry::moves::Moves;
use crate::telemetry::events::Event;
use crate::web;
use crate::web::Body;

pub mod attempt;
pub mod transfer;

/// Wait after which a caller is told to come back when a node is at fault.
const SHORT_RETRY: Duration = Duration::from_millis(150);

/// Span over which callers that are told to come back are spread.
const RETRY_SPREAD: Duration = Duration::from_millis(350);

/// Largest part of the memory that bodies of open requests may take.
const BODIES_PART: f64 = 0.3;

/// Memory counted for an open request beside its body, in bytes.
const REQUEST_BYTES: usize = 48 * 1024;

/// One request on its way.
pub struct Call {
    entry: Arc<Entry>,
    ask: Ask,
    route: Route,
    service: Name,
    workspace: Option<Workspace>,
    method: Method,
    target: String,
    headers: HeaderMap,
    body: Bytes,
    arrived: Time,
    deadline: Time,
    draw: u64,
    tries: Tries,
    tried: Vec<Name>,
    fingerprint: Fingerprint,
    is_counted: bool,
    /// Id of the last event that the caller has of a stream.
    last_event: Option<Name>,
    _memory: Reserved,
}

/// Memory that is counted for an open request until it is dropped.
struct Reserved {
    entry: Arc<Entry>,
    bytes: usize,
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.entry.memory.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Answers one request of a caller.
pub async fn answer(entry: &Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let arrived = entry.clock.now();
    let (head, body) = request.into_parts();
    let ask = match entry.outside.dialect.read_ask(&head) {
        Ok(ask) => ask,
        Err(refusal) => return refuse(entry, None, &refusal, arrived),
    };
    let id = ask.id.clone();
    match open(entry, ask, head, body, arrived).await {
        Ok(call) => call.run().await,
        Err(refusal) => refuse(entry, Some(&id), &refusal, arrived),
    }
}

/// Returns the answer to a refused request, and notes it.
fn refuse(entry: &Entry, id: Option<&str>, refusal: &Refusal, arrived: Time) -> Response<Body> {
    metrics::counter!(
        "cassialock_refusals_total",
        "reason" => refusal.reason.as_str(),
        "verdict" => refusal.verdict.as_str(),
    )
    .increment(1);
    let line = Event::for_request("refused", id.unwrap_or_default())
        .with("reason", refusal.reason.as_str())
        .with("verdict", refusal.verdict.as_str())
        .with("detail", &*refusal.detail)
        .with("catalog_version", entry.catalog.version())
        .with_ms("after_ms", entry.clock.now().since(arrived));
    let line = match entry.catalog.age(entry.clock.now()) {
        Some(age) => line.with_ms("catalog_age_ms", age),
        None => line,
    };
    let line = match refusal.retry_after {
        Some(wait) => line.with_ms("retry_after_ms", wait),
        None => line,
    };
    entry.events.write(line);
    entry.outside.dialect.refuse(refusal)
}

/// Returns a time after which the caller may come back, spread over callers.
fn come_back(entry: &Entry) -> Duration {
    SHORT_RETRY + entry.jitter(RETRY_SPREAD)
}

/// Checks a request against the declaration and reads its body.
async fn open(
    entry: &Arc<Entry>,
    ask: Ask,
    head: http::request::Parts,
    body: Incoming,
    arrived: Time,
) -> Result<Call, Refusal> {
    let Some(catalog) = entry.catalog.load() else {
        let refusal = Refusal::new(Reason::NotReady, "the node has no declaration yet");
        return Err(refusal.with_retry_after(come_back(entry)));
    };
    let (route, workspace) = admit(entry, &catalog, &ask, arrived)?;
    let limit = catalog.limits.body_bytes;
    if body.size_hint().lower() > limit as u64 {
        return Err(oversize(limit));
    }
    let timeout = ask.patience.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + timeout;
    let size = body.size_hint().upper().unwrap_or(limit as u64) as usize;
    let memory = reserve(entry, size.min(limit) + REQUEST_BYTES)?;
    let reading = web::read(body, limit);
    let body = match tokio::time::timeout_at(entry.clock.instant(deadline), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(web::ReadError::TooLarge)) => return Err(oversize(limit)),
        Ok(Err(web::ReadError::Cut)) => {
            return Err(Refusal::new(Reason::Malformed, "the body ended early"));
        }
        Err(_) => {
            return Err(Refusal::new(
                Reason::Deadline,
                "the body did not arrive in time",
            ));
        }
    };
    let draw = entry.draw();
    let service = route.service(draw).cloned().unwrap_or_default();
    let owner = workspace.map_or("", |workspace| &*workspace.name);
    let fingerprint = Fingerprint::new(owner, &ask.path, &body);
    if entry.crashes.lock().unwrap().is_blocked(fingerprint) {
        let detail = "the request took down the servers that ran it";
        return Err(Refusal::new(Reason::CrashingRequest, detail));
    }
    if let Some(workspace) = workspace {
        let now = entry.clock.now();
        entry
            .limits
            .take(workspace, &ask, entry.draw_part(), now)
            .map_err(|wait| {
                let detail = "the workspace has used up its quota";
                Refusal::new(Reason::WorkspaceLimit, detail)
                    .with_retry_after(wait + entry.jitter(RETRY_SPREAD))
            })?;
    }
    entry.limits.earn(&service);
    entry.fleet.count_asked(&service);
    metrics::counter!("cassialock_requests_total", "service" => service.to_string()).increment(1);
    Ok(Call {
        entry: Arc::clone(entry),
        last_event: ask.last_event.clone(),
        route: route.clone(),
        workspace: workspace.cloned(),
        service,
        method: head.method,
        target: head
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_string(),
        headers: head.headers,
        body,
        arrived,
        deadline,
        draw,
        tries: Tries::default(),
        tried: Vec::new(),
        fingerprint,
        is_counted: false,
        ask,
        _memory: memory,
    })
}

fn oversize(limit: usize) -> Refusal {
    let detail = format!("the body is larger than {limit} bytes");
    Refusal::new(Reason::Oversize, detail)
}

/// Counts memory for a request, or refuses it when too much is in use.
fn reserve(entry: &Arc<Entry>, bytes: usize) -> Result<Reserved, Refusal> {
    let limit = entry.settings.load().memory as f64 * BODIES_PART;
    if (entry.memory.load(Ordering::Relaxed) + bytes) as f64 > limit {
        let detail = "too many requests are open at this node";
        let refusal = Refusal::new(Reason::Overloaded, detail);
        return Err(refusal.with_retry_after(come_back(entry)));
    }
    entry.memory.fetch_add(bytes, Ordering::Relaxed);
    Ok(Reserved {
        entry: Arc::clone(entry),
        bytes,
    })
}

/// Finds the route and the workspace of a request.
fn admit<'a>(
    entry: &Entry,
    catalog: &'a Catalog,
    ask: &Ask,
    now: Time,
) -> Result<(&'a Route, Option<&'a Workspace>), Refusal> {
    let bounds = &entry.settings.load().bounds;
    let unsure = |what: &str| {
        let detail = format!("{what} is not known here, and a newer declaration may have it");
        Refusal::new(Reason::StoreUnavailable, detail).with_retry_after(come_back(entry))
    };
    let is_stale = entry.catalog.is_stale(bounds.revoke, now);
    let Some(route) = catalog.route(&ask.host, &ask.path) else {
        if is_stale {
            return Err(unsure("the route"));
        }
        let detail = format!("no route for {}{}", ask.host, ask.path);
        return Err(Refusal::new(Reason::UnknownRoute, detail));
    };
    let workspace = ask.key.as_deref().and_then(|key| catalog.workspace_of(key));
    if route.is_public || !catalog.has_workspaces() {
        return Ok((route, workspace));
    }
    if bounds.fail_closed && entry.catalog.is_expired(bounds.revoke, now) {
        let detail = "whether the key is still valid could not be confirmed lately";
        let refusal = Refusal::new(Reason::StoreUnavailable, detail);
        return Err(refusal.with_retry_after(come_back(entry)));
    }
    if workspace.is_none() && is_stale {
        return Err(unsure("the key"));
    }
    match workspace {
        Some(workspace) => Ok((route, Some(workspace))),
        None => Err(Refusal::new(
            Reason::UnknownKey,
            "no workspace holds the key",
        )),
    }
}

impl Call {
    /// Runs the request until an answer begins or every way has failed.
    async fn run(mut self) -> Response<Body> {
        loop {
            let cause = match self.attempt().await {
                Ok(sent) => match self.respond(sent).await {
                    Ok(response) => return response,
                    Err((cause, call)) => {
                        self = *call;
                        cause
                    }
                },
                Err(Attempted::Failed(cause)) => cause,
                Err(Attempted::NoServer) => return self.give_up(no_server(&self)),
            };
            if let Err(refusal) = self.after_failure(cause) {
                return self.give_up(refusal);
            }
        }
    }

    /// Returns the rank of the request.
    fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|w| w.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Chooses a server that was not tried yet, if there is one.
    fn choose(&self) -> Option<Chosen> {
        let now = self.entry.clock.now();
        let versions = self.entry.backends.versions(&self.service);
        let preferred = Moves::prefer(&self.entry, &self.service, &versions, self.draw, now);
        let want = Want {
            service: &self.service,
            version: preferred.version.as_deref(),
            session: if preferred.is_single {
                Some(0)
            } else {
                self.ask.session()
            },
            avoid: &self.tried,
            draw: self.entry.draw(),
        };
        self.entry.backends.choose(&want, now)
    }

    /// Records a failed attempt and decides whether to go on.
    fn after_failure(&mut self, cause: Cause) -> Result<(), Refusal> {
        self.tries.record(cause);
        metrics::counter!("cassialock_retries_total", "reason" => cause.as_str()).increment(1);
        let now = self.entry.clock.now();
        let repeatable = self.route.kind.is_repeatable();
        let mut decision = self
            .tries
            .decide(self.route.attempts, repeatable, self.deadline, now);
        // An attempt that reached no server costs the servers nothing.
        let is_paid = cause == Cause::Connect || decision != Decision::Again;
        if !is_paid && !self.entry.limits.spend(&self.service) {
            decision = Decision::Budget;
        }
        self.entry.events.write(
            Event::for_request("attempt_failed", &self.ask.id)
                .with("route", &*self.route.name)
                .with("backend", self.tried.last().map_or("", |id| &**id))
                .with("cause", cause.as_str())
                .with("runs", self.tries.runs)
                .with("sends", self.tries.sends)
                .with("decision", format!("{decision:?}"))
                .with_ms("after_ms", now.since(self.arrived)),
        );
        let verdict = self.tries.verdict();
        let (reason, detail) = match decision {
            Decision::Again => return Ok(()),
            Decision::Deadline => (Reason::Deadline, "no answer came in time"),
            Decision::Budget => (Reason::RetryBudget, "too many requests fail at the moment"),
            Decision::Attempts | Decision::NotRepeatable => {
                (Reason::BackendFailed, "no server answered")
            }
        };
        let refusal = Refusal::new(reason, detail).with_verdict(verdict);
        Err(match verdict {
            Verdict::NotRun => refusal.with_retry_after(come_back(&self.entry)),
            Verdict::MayHaveRun => refusal,
        })
    }

    fn give_up(&self, refusal: Refusal) -> Response<Body> {
        refuse(&self.entry, Some(&self.ask.id), &refusal, self.arrived)
    }

    /// Returns the time that is left.
    fn left(&self) -> Duration {
        self.deadline.since(self.entry.clock.now())
    }

    /// Counts the request for its workspace when it begins to run.
    fn count_run(&mut self) {
        if std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        if let Some(workspace) = &self.workspace {
            let time = self.entry.true_time();
            self.entry.usage.record(&workspace.name, time);
        }
    }

    /// Returns the mark that the request took down a server.
    fn crash(&self, id: &Name) -> Crash {
        Crash {
            fingerprint: self.fingerprint,
            server: id.clone(),
            at: self.entry.clock.now(),
        }
    }

    /// Returns whether the answer is a series of events that can be resumed.
    fn is_resumable(&self) -> bool {
        self.route.kind == Kind::Resumable
    }
}

/// Why an attempt gave nothing that could be passed on.
pub enum Attempted {
    /// There is no server to try.
    NoServer,
    /// The attempt failed.
    Failed(Cause),
}

/// Records that a server went down while it ran a request.
fn record_crash(entry: &Entry, request: &str, crash: Crash) {
    let line = Event::for_request("backend_crashed", request).with("backend", &*crash.server);
    if entry.crashes.lock().unwrap().record(crash) {
        entry.events.write(line);
    }
}

fn no_server(call: &Call) -> Refusal {
    let detail = format!("{} has no live server", call.service);
    Refusal::new(Reason::NoServer, detail)
        .with_verdict(call.tries.verdict())
        .with_retry_after(come_back(&call.entry))
}
