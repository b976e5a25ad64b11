//! The declarative configuration: services, workspaces and version moves.
//!
//! Operators change the configuration with patches (see [`patch`]); [`validate`]
//! rejects inconsistent documents.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::name_map::NameMap;

pub mod head;
pub mod patch;
pub mod validate;

/// The configuration of a deployment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Services by name. Callers select a service with the `model` field or the URL path.
    pub services: NameMap<Service>,
    /// Workspaces by name.
    pub workspaces: NameMap<Workspace>,
    /// Version moves by name.
    pub moves: NameMap<Move>,
}

/// The kind of backend servers of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// LLM inference engines with the OpenAI API.
    Llm,
    /// Any other HTTP servers.
    Plain,
}

/// How a backend server handles an order with a stale fencing token.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The server rejects the order.
    Refused,
    /// The server does not check the token and executes the order.
    #[default]
    Ignored,
}

/// A service and the limits of its backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Kind of the backend servers.
    pub kind: ServiceKind,
    /// Version that receives the traffic when no move is in progress.
    pub version: Name,
    /// Maximum number of concurrent requests on one backend server.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Target time to the first token or to the response, in milliseconds.
    #[serde(default = "default_first_ms")]
    pub first_ms: u32,
    /// Target time between two tokens, in milliseconds.
    #[serde(default = "default_token_ms")]
    pub token_ms: u32,
    /// Silence after which another server is asked to continue a stream, in milliseconds.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u32,
    /// How the backend servers handle stale fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// Routes of a plain service; the longest matching prefix wins.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// A route of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method in upper case, or `*` for any.
    pub method: Name,
    /// Path prefix, starting with `/`.
    pub path: Name,
    /// Whether requests are idempotent and can safely be retried.
    pub repeatable: bool,
}

/// A workspace and its limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Relative share of the capacity when it does not suffice for all workspaces.
    pub weight: u32,
    /// Limit on the work that the workspace starts on all nodes together, in tokens per second.
    pub tokens_per_s: u32,
}

/// A move of the traffic of a service from one version to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Service whose traffic is moved.
    pub service: Name,
    /// Version that receives the traffic before the move.
    pub from: Name,
    /// Version that receives the traffic after the move.
    pub to: Name,
    /// Start time of the move, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Time by which the move must be completed or reverted, in milliseconds since the
    /// Unix epoch.
    pub deadline_ms: u64,
    /// Whether an operator has requested that the move be reverted.
    #[serde(default)]
    pub revert: bool,
}

const fn default_slots() -> u32 {
    8
}

const fn default_first_ms() -> u32 {
    450
}

const fn default_token_ms() -> u32 {
    38
}

const fn default_silence_ms() -> u32 {
    1_000
}

impl Service {
    /// Returns the route with the longest prefix that matches a request.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| &*route.method == "*" || &*route.method == method)
            .filter(|route| prefix_matches(&route.path, path))
            .max_by_key(|route| route.path.len())
    }
}

/// Returns whether `path` starts with `prefix` and the match ends at a segment boundary.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
