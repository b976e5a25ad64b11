//! What a deployment consists of.

use serde_json::Value;
use serde_json::json;

use crate::core::route::PolicyKind;
use crate::standin::engine::batch::Costs;

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Failure domains.
    pub domains: Vec<&'static str>,
    /// Name of the model service.
    pub model: &'static str,
    /// Servers of the model service.
    pub engines: usize,
    /// Name of the plain service.
    pub portal: &'static str,
    /// Servers of the plain service.
    pub portals: usize,
    /// Nodes.
    pub nodes: usize,
    /// Workspaces with their weights.
    pub workspaces: Vec<(&'static str, u32)>,
    /// Path of the calls that must not run twice.
    pub order_path: &'static str,
    /// Routing policy.
    pub policy: PolicyKind,
    /// Costs of the engines.
    pub costs: Costs,
}

impl DeploymentSpec {
    /// Returns the shape of Copa Alta Casas del Árbol.
    pub fn copa_alta() -> Self {
        Self {
            domains: vec!["rionegro", "guatape", "santa-elena"],
            model: "dosel-llm",
            engines: 9,
            portal: "portal-app",
            portals: 3,
            nodes: 3,
            workspaces: vec![
                ("familias", 4),
                ("eco-lodges", 4),
                ("escuelas", 1),
                ("cuadrillas", 1),
                ("taller", 1),
            ],
            order_path: "/deposits",
            policy: PolicyKind::Scored,
            costs: Costs::default(),
        }
    }

    /// Returns the shape of Hanul Labelworks.
    pub fn hanul() -> Self {
        Self {
            domains: vec!["seoul-a", "seoul-b", "seoul-c"],
            model: "cassia-pool",
            engines: 12,
            portal: "label-portal",
            portals: 3,
            nodes: 3,
            workspaces: vec![
                ("catalogue", 4),
                ("packaging", 4),
                ("printers", 2),
                ("drafts", 1),
                ("review", 1),
            ],
            order_path: "/approvals",
            policy: PolicyKind::Scored,
            costs: Costs::default(),
        }
    }

    /// Sets the number of engines.
    #[must_use]
    pub fn with_engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the number of nodes.
    #[must_use]
    pub fn with_nodes(mut self, nodes: usize) -> Self {
        self.nodes = nodes;
        self
    }

    /// Sets the routing policy.
    #[must_use]
    pub fn with_policy(mut self, policy: PolicyKind) -> Self {
        self.policy = policy;
        self
    }

    /// Returns the declared services.
    pub fn services(&self) -> Value {
        json!({
            self.model: {"kind": "llm", "version": "v1", "slots": self.costs.max_batch},
            self.portal: {
                "kind": "plain", "version": "v1", "slots": 32,
                "routes": [
                    {"method": "GET", "path": "/status", "repeatable": true},
                    {"method": "POST", "path": self.order_path, "repeatable": false},
                ],
            },
        })
    }

    /// Returns the declared workspaces.
    pub fn workspaces(&self) -> Value {
        self.workspaces
            .iter()
            .map(|(name, weight)| {
                let rate = 200_000 * weight;
                (
                    (*name).to_string(),
                    json!({"weight": weight, "tokens_per_s": rate}),
                )
            })
            .collect::<serde_json::Map<String, Value>>()
            .into()
    }
}
