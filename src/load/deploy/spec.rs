//! Specification of a test deployment.

use serde_json::Value;
use serde_json::json;

use crate::core::route::PolicyKind;
use crate::standin::engine::batch::Costs;

/// The parts of a deployment and their settings.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Names of the failure domains.
    pub domains: Vec<&'static str>,
    /// Name of the model service.
    pub model: &'static str,
    /// Number of servers of the model service.
    pub engines: usize,
    /// Name of the plain service.
    pub portal: &'static str,
    /// Number of servers of the plain service.
    pub portals: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Names and weights of the workspaces.
    pub workspaces: Vec<(&'static str, u32)>,
    /// Path of the non-idempotent calls of the plain service.
    pub order_path: &'static str,
    /// Routing policy of the nodes.
    pub policy: PolicyKind,
    /// Extra work of hedged requests in percent; 0 if they are off.
    pub hedge_percent: f64,
    /// Processing costs of the engines.
    pub costs: Costs,
}

impl DeploymentSpec {
    /// Returns the deployment with a name, `designs` or `labels`.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "designs" => Some(Self::designs()),
            "labels" => Some(Self::labels()),
            _ => None,
        }
    }

    /// Returns a deployment that drafts designs, with 9 engines.
    pub fn designs() -> Self {
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
            hedge_percent: 0.0,
            costs: Costs::default(),
        }
    }

    /// Returns a deployment that translates labels, with 12 engines.
    pub fn labels() -> Self {
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
            hedge_percent: 0.0,
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

    /// Sets the extra work of hedged requests in percent.
    #[must_use]
    pub fn with_hedging(mut self, percent: f64) -> Self {
        self.hedge_percent = percent;
        self
    }

    /// Sets the routing policy.
    #[must_use]
    pub fn with_policy(mut self, policy: PolicyKind) -> Self {
        self.policy = policy;
        self
    }

    /// Returns the `services` section of the configuration.
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

    /// Returns the `workspaces` section of the configuration.
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
