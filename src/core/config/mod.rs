//! The declared configuration: services, workspaces and version moves.
//!
//! Operators change it by patches (see [`patch`]); [`validate`] refuses a document
//! that does not hold together.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::table::Table;

pub mod head;
pub mod patch;
pub mod validate;

/// The whole configuration of one deployment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Services by name. A caller names a service as `model` or in the path.
    pub services: Table<Service>,
    /// Workspaces by name.
    pub workspaces: Table<Workspace>,
    /// Version moves by name.
    pub moves: Table<Move>,
}

/// What kind of backend servers a service has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that speak the OpenAI API.
    Llm,
    /// Any other HTTP service.
    Plain,
}

/// How a backend server treats an order with an old fencing number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses the order.
    Refused,
    /// It carries the order out.
    #[default]
    Ignored,
}

/// One service and the limits of its backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What kind of backend servers the service has.
    pub kind: ServiceKind,
    /// The version that takes the traffic outside a move.
    pub version: Name,
    /// Requests that one backend server runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Target for the time to the first token or answer, in milliseconds.
    #[serde(default = "default_first_ms")]
    pub first_ms: u32,
    /// Target for the time between two tokens, in milliseconds.
    #[serde(default = "default_token_ms")]
    pub token_ms: u32,
    /// Silence on a stream after which it is resumed elsewhere, in milliseconds.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u32,
    /// How backend servers treat old fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Routes of a plain service, matched by the longest prefix.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// One route of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method in upper case, or `*` for any.
    pub method: Name,
    /// Path prefix, beginning with `/`.
    pub path: Name,
    /// Whether a call may be repeated without harm.
    pub repeatable: bool,
}

/// One workspace and its limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Share relative to the other workspaces when there is not enough for all.
    pub weight: u32,
    /// Work that the workspace may start each second over all nodes, in tokens.
    pub tokens_per_s: u32,
}

/// One move of a service's traffic from one version to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// The service whose traffic moves.
    pub service: Name,
    /// The version that has the traffic now.
    pub from: Name,
    /// The version that is to have the traffic.
    pub to: Name,
    /// When the move begins, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// When the move must be done or reverted, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Whether an operator asked to take the move back.
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
    /// Returns the route that matches a call, preferring the longest prefix.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| &*route.method == "*" || &*route.method == method)
            .filter(|route| prefix_matches(&route.path, path))
            .max_by_key(|route| route.path.len())
    }
}

/// Returns whether `prefix` covers `path` at a segment border.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
