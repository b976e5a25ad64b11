//! Reading of the settings file that the platform provides.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use crate::core::Name;
use crate::core::config::validate::DocumentError;
use crate::core::limit::quota::Tolerance;
use crate::core::name_map::NameMap;
use crate::core::route::servers::cold;
use crate::entry::settings::Bounds;
use crate::entry::settings::Features;
use crate::entry::settings::Settings;

/// Environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "CASSIALOCK_CONFIG";

/// Port of the metrics endpoint, as given in the deploy file.
pub const METRICS_PORT: u16 = 9_464;

/// Part of the rules that is in force if the deployment may declare workspaces.
const WORKSPACE_CONTRACT: &str = "tenants";

#[derive(Deserialize)]
struct WireSettings {
    node: String,
    zone: String,
    ip: String,
    /// First and last port for traffic between nodes.
    port_range: (u16, u16),
    /// Whether the whole deployment starts for the first time.
    #[serde(default)]
    bootstrap: bool,
    /// Parts of the rules that are in force.
    contracts: Option<Vec<String>>,
    #[serde(default)]
    zones: NameMap<String>,
    #[serde(default)]
    listen: WireListen,
    #[serde(default)]
    limits: WireLimits,
    #[serde(default)]
    bounds: WireBounds,
    platform: WirePlatform,
    cloud: Option<WirePlatform>,
}

#[derive(Default, Deserialize)]
struct WireListen {
    front: Option<SocketAddr>,
    ready: Option<SocketAddr>,
    directory: Option<SocketAddr>,
}

#[derive(Default, Deserialize)]
struct WireLimits {
    memory_mb: Option<u64>,
    /// Fraction of the time for which the process gets the processor.
    #[serde(default)]
    cpu_share: f64,
    /// Speed of the processor relative to one core.
    cpu_cores: Option<f64>,
}

#[derive(Default, Deserialize)]
struct WireBounds {
    grace_period_s: Option<f64>,
    config_ms: Option<f64>,
    revoke_ms: Option<f64>,
    fail_closed: Option<bool>,
    retry_budget_ratio: Option<f64>,
    budget_slack: Option<f64>,
    quota_window_s: Option<f64>,
    quota_over: Option<f64>,
    quota_slack: Option<f64>,
    lease_ms: Option<f64>,
    window_s: Option<f64>,
    expose_share: Option<f64>,
    ttl_max_s: Option<f64>,
    evacuate_ms: Option<f64>,
    cold_over: Option<f64>,
    cold_slack: Option<f64>,
}

#[derive(Deserialize)]
struct WirePlatform {
    address: SocketAddr,
    /// Seconds for which the store keeps its history.
    history_s: Option<f64>,
}

/// Time for which the store keeps its history if the settings file names none.
const DEFAULT_HISTORY: Duration = Duration::from_secs(20);

/// Memory limit of a process if the settings file names none, in MB.
const DEFAULT_MEMORY_MB: u64 = 256;

/// Returns the path of the settings file if [`PATH_VARIABLE`] is set.
pub fn path() -> Option<PathBuf> {
    std::env::var_os(PATH_VARIABLE).map(PathBuf::from)
}

/// Reads and parses the settings file at `path`.
///
/// # Errors
///
/// Returns an error if the file cannot be read or a field is invalid; only the
/// first invalid field is reported.
pub fn read(path: &std::path::Path) -> Result<Settings, DocumentError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| DocumentError::new(path.display().to_string(), e.to_string()))?;
    parse(&text)
}

/// Parses the text of a settings file.
///
/// # Errors
///
/// Returns an error that names the first invalid field.
pub fn parse(text: &str) -> Result<Settings, DocumentError> {
    let deserializer = toml::Deserializer::parse(text)
        .map_err(|e| DocumentError::new("settings file", e.message()))?;
    let wire: WireSettings = serde_path_to_error::deserialize(deserializer)
        .map_err(|e| DocumentError::new(e.path().to_string(), e.inner().message()))?;
    let (first_port, last_port) = wire.port_range;
    if first_port == 0 || first_port > last_port {
        return Err(DocumentError::new(
            "port_range",
            "expected a first and a last port",
        ));
    }
    let address = |port: u16| -> Result<SocketAddr, DocumentError> {
        format!("{}:{port}", wire.ip)
            .parse()
            .map_err(|_| DocumentError::new("ip", format!("not an IP number: {:?}", wire.ip)))
    };
    let mut domains: Vec<Name> = wire.zones.iter().map(|(zone, _)| zone.clone()).collect();
    if domains.is_empty() {
        domains.push(wire.zone.as_str().into());
    }
    Ok(Settings {
        node: wire.node.as_str().into(),
        domain: wire.zone.as_str().into(),
        domains,
        front: wire.listen.front,
        ready: wire.listen.ready,
        directory: wire.listen.directory,
        peer: address(first_port)?,
        metrics: Some(address(METRICS_PORT)?),
        store: wire.platform.address,
        history: duration(
            "platform.history_s",
            wire.platform.history_s,
            1.0,
            DEFAULT_HISTORY,
        )?,
        cloud: wire.cloud.map(|cloud| cloud.address),
        memory_limit: wire.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1_000_000,
        is_first_start: wire.bootstrap,
        millicores: (wire.limits.cpu_share * wire.limits.cpu_cores.unwrap_or(1.0) * 1_000.0) as u32,
        // The file has no such field; the flags of the daemon set it.
        features: Features::default(),
        bounds: Bounds {
            has_workspaces: wire.contracts.is_none_or(has_workspaces),
            ..bounds(&wire.bounds)?
        },
    })
}

/// Returns whether the rules on workspaces and their keys are in force.
fn has_workspaces(contracts: Vec<String>) -> bool {
    contracts.iter().any(|name| name == WORKSPACE_CONTRACT)
}

/// Converts a length of time; `unit` is that of `value` in seconds.
fn duration(
    field: &str,
    value: Option<f64>,
    unit: f64,
    default: Duration,
) -> Result<Duration, DocumentError> {
    let Some(value) = value else {
        return Ok(default);
    };
    let invalid = |_| DocumentError::new(field, format!("not a length of time: {value}"));
    Duration::try_from_secs_f64(value * unit).map_err(invalid)
}

/// Returns a value that is neither negative nor infinite.
fn amount(field: &str, value: Option<f64>, default: f64) -> Result<f64, DocumentError> {
    let value = value.unwrap_or(default);
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    Err(DocumentError::new(field, format!("not an amount: {value}")))
}

fn bounds(wire: &WireBounds) -> Result<Bounds, DocumentError> {
    let default = Bounds::default();
    let ms = 0.001;
    Ok(Bounds {
        grace_period: duration(
            "bounds.grace_period_s",
            wire.grace_period_s,
            1.0,
            default.grace_period,
        )?,
        config_delay: duration("bounds.config_ms", wire.config_ms, ms, default.config_delay)?,
        revoke_delay: duration("bounds.revoke_ms", wire.revoke_ms, ms, default.revoke_delay)?,
        has_workspaces: default.has_workspaces,
        fail_closed: wire.fail_closed.unwrap_or(default.fail_closed),
        retry_ratio: wire.retry_budget_ratio.unwrap_or(default.retry_ratio),
        retry_slack: wire.budget_slack.unwrap_or(default.retry_slack),
        quota: Tolerance {
            window: duration(
                "bounds.quota_window_s",
                wire.quota_window_s,
                1.0,
                default.quota.window,
            )?,
            ratio: wire.quota_over.unwrap_or(default.quota.ratio),
            slack: wire.quota_slack.unwrap_or(default.quota.slack),
        },
        lease: duration("bounds.lease_ms", wire.lease_ms, ms, default.lease)?,
        window: duration("bounds.window_s", wire.window_s, 1.0, default.window)?,
        exposed_share: wire.expose_share.unwrap_or(default.exposed_share),
        ttl_max: duration("bounds.ttl_max_s", wire.ttl_max_s, 1.0, default.ttl_max)?,
        has_evacuations: wire.evacuate_ms.is_some(),
        cold: cold::Tolerance {
            ratio: amount("bounds.cold_over", wire.cold_over, default.cold.ratio)?,
            slack: amount("bounds.cold_slack", wire.cold_slack, default.cold.slack)?,
        },
    })
}
