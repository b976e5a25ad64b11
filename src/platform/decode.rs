//! Decoding of the platform's objects into the types of this crate.

use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::core::Name;
use crate::core::catalog::BillingUnit;
use crate::core::catalog::Catalog;
use crate::core::catalog::Limits;
use crate::core::catalog::Route;
use crate::core::catalog::RouteKind;
use crate::core::catalog::Scale;
use crate::core::catalog::Service;
use crate::core::catalog::Workspace;
use crate::core::name_map::NameMap;
use crate::core::route::servers::Class;
use crate::core::route::servers::cold::ColdStart;
use crate::core::route::servers::cold::Stated;
use crate::entry::adapter::BackendServer;
use crate::entry::adapter::Content;
use crate::entry::adapter::DeclaredMove;
use crate::entry::adapter::MoveOutcome;

/// Tokens charged for a request without a token count, if the workspace names no
/// value.
const DEFAULT_PLAIN_TOKENS: u64 = 1;

/// Maximum number of characters of an invalid value that are kept for the log.
const MAX_SHOWN: usize = 64;

/// Converts milliseconds to a duration; an invalid value becomes zero.
fn millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1_000.0).unwrap_or_default()
}

/// Converts seconds to a duration; an invalid value becomes zero.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

/// Decodes a value; an error names the path of the first invalid field.
fn from_value<'de, T: Deserialize<'de>>(value: &'de Value) -> Result<T, String> {
    serde_path_to_error::deserialize(value).map_err(|e| e.to_string())
}

#[derive(Deserialize)]
struct WireCatalog {
    version: u64,
    #[serde(default)]
    routes: Vec<Value>,
    #[serde(default)]
    services: Vec<WireService>,
    #[serde(default)]
    limits: WireLimits,
    tenants: Option<Value>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: f64,
    target_latency_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<WireSplit>,
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    gap_aim_ms: Option<f64>,
}

#[derive(Deserialize)]
struct WireSplit {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
struct WireService {
    name: String,
    health_path: Option<String>,
    engine: Option<WireEngine>,
    scale: Option<WireScale>,
    /// Seconds for which a server is cold after its start; 0 if it never is.
    cold_start_s: Option<f64>,
    /// Requests per second that a cold server tolerates from all nodes together.
    cold_per_s: Option<f64>,
}

#[derive(Deserialize)]
struct WireEngine {
    slots: u32,
}

#[derive(Deserialize)]
struct WireScale {
    /// Bounds of the number of servers in each zone, both classes together.
    min: u32,
    max: u32,
    #[serde(default)]
    boot_s: f64,
    /// Price of a reclaimable server, as a fraction of the price of one that
    /// cannot be reclaimed.
    spot_price: Option<f64>,
    #[serde(default)]
    zone_prices: NameMap<f64>,
}

#[derive(Default, Deserialize)]
struct WireLimits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    idle_timeout_ms: Option<f64>,
    header_timeout_ms: Option<f64>,
}

#[derive(Deserialize)]
struct WireTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    #[serde(default)]
    billing_unit: String,
    plain_tokens: Option<u64>,
    /// Billing units per second over all nodes; 0 means no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

/// Decodes the operator's catalog.
///
/// An unreadable route makes the whole catalog unreadable, since requests to
/// that route would otherwise be refused as unknown.
pub fn catalog(spec: Value) -> Content {
    match try_catalog(&spec) {
        Ok(catalog) => Content::Catalog(Box::new(catalog)),
        Err(reason) => Content::Unreadable(reason),
    }
}

fn try_catalog(spec: &Value) -> Result<Catalog, String> {
    let wire: WireCatalog = from_value(spec)?;
    let mut routes = Vec::with_capacity(wire.routes.len());
    for (index, value) in wire.routes.iter().enumerate() {
        routes.push(route(value).map_err(|e| format!("routes[{index}].{e}"))?);
    }
    let services = wire.services.into_iter().map(service).collect();
    let catalog = Catalog::new(wire.version)
        .with_routes(routes)
        .with_services(services)
        .with_limits(limits(&wire.limits));
    Ok(match wire.tenants {
        Some(tenants) => with_workspaces(catalog, &tenants),
        None => catalog,
    })
}

/// Adds the workspaces that can be read.
///
/// One that cannot be read costs only its own callers, whose keys are not accepted; the
/// version is still in force for all others, and so is the removal of keys by it.
fn with_workspaces(catalog: Catalog, tenants: &Value) -> Catalog {
    let Some(tenants) = tenants.as_array() else {
        return catalog.with_unreadable_workspaces();
    };
    let readable = tenants.iter().filter_map(|value| from_value(value).ok());
    let workspaces: Vec<Workspace> = readable.map(workspace).collect();
    let is_complete = workspaces.len() == tenants.len();
    let catalog = catalog.with_workspaces(workspaces);
    if is_complete {
        catalog
    } else {
        catalog.with_unreadable_workspaces()
    }
}

fn route(value: &Value) -> Result<Route, String> {
    let wire: WireRoute = from_value(value)?;
    let kind = match (&*wire.kind, wire.resumable) {
        ("idempotent", _) => RouteKind::Idempotent,
        ("non_idempotent", _) => RouteKind::AtMostOnce,
        ("streaming", false) => RouteKind::Stream,
        ("streaming", true) => RouteKind::Resumable,
        (other, _) => return Err(format!("kind: unknown kind {other:?}")),
    };
    let mut split: Vec<(Name, u32)> = wire
        .traffic_split
        .into_iter()
        .map(|part| (part.service.into(), part.weight))
        .collect();
    if split.is_empty() {
        let service = wire.service.ok_or("service: is missing")?;
        split.push((service.into(), 1));
    }
    let timeout = millis(wire.timeout_ms);
    Ok(Route {
        name: wire.name.into(),
        host: wire.host.to_ascii_lowercase().into(),
        prefix: wire.path_prefix.into(),
        kind,
        timeout,
        target_latency: wire.target_latency_ms.map_or(timeout, millis),
        max_gap: wire.gap_aim_ms.map(millis),
        priority: wire.priority,
        split,
        max_attempts: wire.max_attempts.unwrap_or(1),
        is_public: wire.public,
    })
}

fn service(wire: WireService) -> (Name, Service) {
    let service = Service {
        slots: wire.engine.map(|engine| engine.slots),
        health_path: wire.health_path.map(Into::into),
        cold: cold_start(wire.cold_start_s, wire.cold_per_s),
        scale: wire.scale.map(|scale| Scale {
            min: scale.min,
            max: scale.max,
            boot_time: seconds(scale.boot_s),
            reclaimable_price: scale.spot_price,
            domain_prices: scale.zone_prices,
        }),
    };
    (wire.name.into(), service)
}

/// Returns how the servers of a service start, or `None` if they are never cold or no rate
/// is known that they tolerate.
fn cold_start(time_s: Option<f64>, rate: Option<f64>) -> Option<ColdStart> {
    let time = seconds(time_s?);
    let rate = rate.filter(|rate| rate.is_finite() && *rate > 0.0)?;
    (!time.is_zero()).then_some(ColdStart { time, rate })
}

/// Returns the time for which the record of a server states that it stays cold.
fn cold_time(value: Option<&Value>) -> Stated {
    let Some(value) = value else {
        return Stated::Missing;
    };
    let time = value.as_f64().filter(|millis| *millis >= 0.0);
    match time.and_then(|millis| Duration::try_from_secs_f64(millis / 1_000.0).ok()) {
        Some(time) => Stated::For(time),
        None => Stated::Invalid(
            value
                .to_string()
                .chars()
                .take(MAX_SHOWN)
                .collect::<String>()
                .into(),
        ),
    }
}

fn workspace(wire: WireTenant) -> Workspace {
    let unit = if wire.billing_unit == "token_stream" {
        BillingUnit::Tokens {
            default_tokens: wire.plain_tokens.unwrap_or(DEFAULT_PLAIN_TOKENS),
        }
    } else {
        BillingUnit::Requests
    };
    Workspace {
        name: wire.name.into(),
        keys: wire.api_keys.into_iter().map(Into::into).collect(),
        priority: wire.priority,
        rate: wire.rate_per_s,
        burst: wire.burst,
        unit,
    }
}

fn limits(wire: &WireLimits) -> Limits {
    let default = Limits::default();
    Limits {
        head_bytes: wire.max_header_bytes.unwrap_or(default.head_bytes),
        body_bytes: wire.max_body_bytes.unwrap_or(default.body_bytes),
        idle_timeout: wire.idle_timeout_ms.map_or(default.idle_timeout, millis),
        head_timeout: wire.header_timeout_ms.map_or(default.head_timeout, millis),
    }
}

#[derive(Deserialize)]
struct WireServer {
    service: String,
    address: String,
    zone: String,
    version: String,
    #[serde(default)]
    slots: u32,
    state: String,
    /// Start time in Unix milliseconds; 0 if the server does not report it.
    #[serde(default)]
    born: u64,
    #[serde(default)]
    spot: bool,
    /// Milliseconds for which the server stays cold; 0 if it is warm.
    cold_ms: Option<Value>,
}

/// Decodes the object of a backend server.
pub fn backend(name: &str, spec: &Value) -> Content {
    match try_backend(name, spec) {
        Ok(server) => Content::Backend(server),
        Err(reason) => Content::Unreadable(reason),
    }
}

fn try_backend(name: &str, spec: &Value) -> Result<BackendServer, String> {
    let wire: WireServer = from_value(spec)?;
    let is_leaving = match &*wire.state {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("state: unknown state {other:?}")),
    };
    let address = wire
        .address
        .parse()
        .map_err(|_| format!("address: not an IP number and port: {:?}", wire.address))?;
    Ok(BackendServer {
        instance: name.into(),
        started_ms: wire.born,
        service: wire.service.into(),
        address,
        domain: wire.zone.into(),
        version: wire.version.into(),
        slots: wire.slots,
        is_leaving,
        class: if wire.spot {
            Class::Reclaimable
        } else {
            Class::OnDemand
        },
        cold: cold_time(wire.cold_ms.as_ref()),
    })
}

#[derive(Deserialize)]
struct WireRollout {
    service: String,
    target: String,
    duration_s: f64,
}

/// Decodes a version move and its reported outcome.
///
/// An outcome that was reported for another target is ignored.
pub fn version_move(spec: Value, status: &Value) -> Content {
    let wire: WireRollout = match from_value(&spec) {
        Ok(wire) => wire,
        Err(reason) => return Content::Unreadable(reason),
    };
    let is_same_target = status["target"].as_str() == Some(&wire.target);
    let outcome = match status["state"].as_str().filter(|_| is_same_target) {
        Some("complete") => Some(MoveOutcome::Done),
        Some("rolled_back") => Some(MoveOutcome::TakenBack),
        Some(_) => Some(MoveOutcome::Running),
        None => None,
    };
    Content::Move(DeclaredMove {
        service: wire.service.into(),
        target: wire.target.into(),
        within: seconds(wire.duration_s),
        outcome,
    })
}

/// Returns the platform's name of a move's outcome.
pub const fn outcome_name(outcome: MoveOutcome) -> &'static str {
    match outcome {
        MoveOutcome::Running => "running",
        MoveOutcome::Done => "complete",
        MoveOutcome::TakenBack => "rolled_back",
    }
}
