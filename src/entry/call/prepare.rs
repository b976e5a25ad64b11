//! Checks a request against the catalog and the limits before its first attempt.

use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Incoming;

use crate::core::catalog::Catalog;
use crate::core::catalog::KeyPolicy;
use crate::core::catalog::Route;
use crate::core::catalog::Workspace;
use crate::core::fingerprint::Identity;
use crate::core::limit::quota::Exceeded;
use crate::core::limit::scarcity::Level;
use crate::core::quarantine::features::Features;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::request::RequestInfo;
use crate::core::retry::AttemptCounts;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::call::Call;
use crate::entry::call::RETRY_JITTER;
use crate::entry::call::deadlines::Deadlines;
use crate::entry::call::hedge::HedgeState;
use crate::entry::call::memory::MemoryReservation;
use crate::entry::call::outcome::Outcome;
use crate::entry::call::outcome::Stage;
use crate::entry::call::retry_delay;
use crate::entry::quarantine;
use crate::web;

/// Memory reserved for an open request in addition to its body.
const REQUEST_OVERHEAD_BYTES: usize = 48 * 1024;

/// Checks a request against the catalog and the limits, and reads its body.
pub async fn prepare(
    entry: &Arc<Entry>,
    request: RequestInfo,
    head: http::request::Parts,
    body: &mut Option<Incoming>,
    arrived: Time,
) -> Result<Call, Refusal> {
    let Some(catalog) = entry.catalog.load() else {
        let refusal = Refusal::new(Reason::NotReady, "the node has not loaded a catalog yet");
        return Err(refusal.with_retry_after(retry_delay(entry)));
    };
    let (route, workspace) = authorize(entry, &catalog, &request, arrived)?;
    let limit = catalog.limits.body_bytes;
    let size = body.as_ref().map(HttpBody::size_hint).unwrap_or_default();
    if size.lower() > limit as u64 {
        return Err(body_too_large(limit));
    }
    let deadlines = Deadlines::new(arrived, request.timeout, route.timeout);
    let size = size.upper().unwrap_or(limit as u64) as usize;
    let memory = reserve_memory(entry, size.min(limit) + REQUEST_OVERHEAD_BYTES)?;
    let reading = async {
        match body.take() {
            Some(body) => web::read(body, limit).await,
            None => Ok(Bytes::new()),
        }
    };
    let body = match tokio::time::timeout_at(entry.clock.instant(deadlines.refusal), reading).await
    {
        Ok(Ok(body)) => body,
        Ok(Err(web::ReadError::TooLarge)) => return Err(body_too_large(limit)),
        Ok(Err(web::ReadError::Cut)) => {
            return Err(Refusal::new(
                Reason::Malformed,
                "the request body ended before it was complete",
            ));
        }
        Err(_) => {
            return Err(Refusal::new(
                Reason::Deadline,
                "the request body did not arrive before the deadline",
            ));
        }
    };
    let draw = entry.random_u64();
    let service = route.choose_service(draw).cloned().unwrap_or_default();
    let owner = workspace.map_or("", |workspace| &*workspace.name);
    let identity = Identity {
        workspace: owner,
        service: &service,
        host: &request.host,
        method: head.method.as_str(),
        path: &request.path,
        query: head.uri.query(),
        body: &body,
    };
    let fingerprint = identity.fingerprint();
    let features = Features::new(&identity, request.shared_parts());
    quarantine::check(entry, &features)?;
    if let Some(workspace) = workspace {
        let now = entry.clock.now();
        let tolerance = entry.settings.load().bounds.quota;
        entry
            .limits
            .take(workspace, &request, tolerance, entry.random_fraction(), now)
            .map_err(|exceeded| quota_refusal(entry, &workspace.name, &exceeded))?;
    }
    entry.limits.earn_retry(&service);
    entry.service_load.count_arrived(&service);
    metrics::counter!("cassialock_requests_total", "service" => service.to_string()).increment(1);
    Ok(Call {
        entry: Arc::clone(entry),
        last_event: request.last_event_id.clone(),
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
        body: memory.hold(body),
        arrived,
        deadlines,
        draw,
        level: Level::Normal,
        attempts: AttemptCounts::default(),
        tried: Vec::new(),
        fingerprint,
        features,
        usage_counted: false,
        hedge: HedgeState::default(),
        outcome: Outcome::new(entry, request.id.clone(), arrived, Stage::Server),
        request,
    })
}

/// Returns the refusal of a request that exceeds the quota of its workspace.
fn quota_refusal(entry: &Entry, workspace: &str, exceeded: &Exceeded) -> Refusal {
    let Exceeded {
        wait,
        rate,
        level,
        used,
        expected,
        own_demand,
        peer_demand,
        peer_age,
    } = exceeded;
    let inputs = format!(
        "workspace {workspace}, rate {rate:.0}/s, level {level:.0}, used {used:.0}, \
         expected {expected:.0}, demand {own_demand:.0}/s here, {peer_demand:.0}/s \
         elsewhere as of {} ms ago",
        peer_age.as_millis()
    );
    Refusal::new(
        Reason::WorkspaceLimit,
        "the workspace has exceeded its quota",
    )
    .with_inputs(inputs)
    .with_retry_after(*wait + entry.jitter(RETRY_JITTER))
}

fn body_too_large(limit: usize) -> Refusal {
    let detail = format!("the request body is larger than {limit} bytes");
    Refusal::new(Reason::Oversize, detail)
}

/// Reserves memory for a request, or refuses the request if too much is in use.
fn reserve_memory(entry: &Arc<Entry>, bytes: usize) -> Result<MemoryReservation, Refusal> {
    MemoryReservation::new(entry, bytes).ok_or_else(|| {
        let detail = "the node has too many open requests";
        let refusal = Refusal::new(Reason::Overloaded, detail);
        refusal.with_retry_after(retry_delay(entry))
    })
}

/// Finds the route and the workspace of a request, and checks its key.
fn authorize<'a>(
    entry: &Entry,
    catalog: &'a Catalog,
    request: &RequestInfo,
    now: Time,
) -> Result<(&'a Route, Option<&'a Workspace>), Refusal> {
    let bounds = &entry.settings.load().bounds;
    let unconfirmed = |what: &str| {
        let detail = format!("{what} is not in the catalog of this node, which may be out of date");
        Refusal::new(Reason::StoreUnavailable, detail).with_retry_after(retry_delay(entry))
    };
    let is_stale = entry.catalog.is_stale(bounds.revoke_delay, now);
    let Some(route) = catalog.route(&request.host, &request.path) else {
        if is_stale {
            return Err(unconfirmed("the route"));
        }
        let detail = format!("no route matches {}{}", request.host, request.path);
        return Err(Refusal::new(Reason::UnknownRoute, detail));
    };
    let workspace = request
        .api_key
        .as_deref()
        .and_then(|key| catalog.workspace_by_key(key));
    let policy = catalog.key_policy(entry.catalog.history());
    if route.is_public || policy == KeyPolicy::Open {
        return Ok((route, workspace));
    }
    if policy == KeyPolicy::Unknown {
        let detail = "whether requests need a key has not been read from the store yet";
        let refusal = Refusal::new(Reason::NotReady, detail);
        return Err(refusal.with_retry_after(retry_delay(entry)));
    }
    if bounds.fail_closed && entry.catalog.is_expired(bounds.revoke_delay, now) {
        let detail = "the catalog is too old to confirm that the key is still valid";
        let refusal = Refusal::new(Reason::StoreUnavailable, detail);
        return Err(refusal.with_retry_after(retry_delay(entry)));
    }
    if workspace.is_none() && is_stale {
        return Err(unconfirmed("the key"));
    }
    if workspace.is_none() && request.api_key.is_some() && catalog.has_unreadable_workspaces() {
        let detail = "the key may belong to a workspace whose declaration cannot be read";
        let refusal = Refusal::new(Reason::StoreUnavailable, detail);
        return Err(refusal.with_retry_after(retry_delay(entry)));
    }
    match workspace {
        Some(workspace) => Ok((route, Some(workspace))),
        None => Err(Refusal::new(
            Reason::UnknownKey,
            "the key belongs to no workspace",
        )),
    }
}
