//! Quotas of workspaces and retry budgets of services.

use std::sync::Mutex;
use std::time::Duration;

use crate::core::Name;
use crate::core::catalog::Unit;
use crate::core::catalog::Workspace;
use crate::core::limit::quota::Demand;
use crate::core::limit::quota::Quota;
use crate::core::request::Ask;
use crate::core::retry::Budget;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::entry::Entry;

/// Part of the allowed retry ratio that is used, since nodes count differently
/// from those who check.
const RATIO_PART: f64 = 0.7;

/// Part of the retries allowed beyond the ratio that all nodes together use.
const SLACK_PART: f64 = 0.6;

/// Part of the units allowed beyond a quota that all nodes together use.
const QUOTA_SLACK_PART: f64 = 0.5;

/// Quotas and retry budgets as divided for this entry.
#[derive(Default)]
pub struct Limits {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    quotas: Table<Quota>,
    budgets: Table<Budget>,
    retry_ratio: f64,
    retry_cap: f64,
    quota_slack: f64,
    nodes: usize,
    demands: Table<Demand>,
}

impl Limits {
    /// Creates limits that know no workspace and no service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the units of a request out of its workspace's quota.
    ///
    /// # Errors
    ///
    /// Returns how long the caller should wait.
    pub fn take(&self, workspace: &Workspace, ask: &Ask, now: Time) -> Result<(), Duration> {
        let units = match workspace.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => ask.total_tokens().unwrap_or(plain) as f64,
        };
        let mut state = self.state.lock().unwrap();
        let part = state.part(&workspace.name);
        let slack = state.quota_slack;
        let quota = state
            .quotas
            .get_or_insert_with(&workspace.name, || Quota::new(now));
        quota.set(workspace.rate, workspace.burst, part, slack, now);
        quota.take(units, now)
    }

    /// Counts a request for a service, which pays for part of a retry.
    pub fn earn(&self, service: &Name) {
        let mut state = self.state.lock().unwrap();
        state.budget(service).earn();
    }

    /// Returns whether a retry could be paid for.
    pub fn has_budget(&self, service: &Name) -> bool {
        self.state.lock().unwrap().budget(service).has_any()
    }

    /// Pays for one retry, or returns false if the budget is spent.
    pub fn spend(&self, service: &Name) -> bool {
        self.state.lock().unwrap().budget(service).spend()
    }

    /// Returns the units asked for lately, a second, by workspace.
    pub fn demand(&self, now: Time) -> Table<f64> {
        let state = self.state.lock().unwrap();
        let rows = state.quotas.iter();
        rows.map(|(name, quota)| (name.clone(), quota.demand(now)))
            .filter(|(_, demand)| *demand >= 1.0)
            .collect()
    }
}

impl State {
    fn part(&self, workspace: &str) -> f64 {
        let demand = self.demands.get(workspace).copied();
        demand.unwrap_or_default().part(self.nodes)
    }

    fn budget(&mut self, service: &Name) -> &mut Budget {
        let (ratio, cap) = (self.retry_ratio, self.retry_cap);
        self.budgets.get_or_insert_with(service, || {
            let mut budget = Budget::new();
            budget.set_limits(ratio, cap);
            budget
        })
    }
}

/// Takes over what the other entries say of their demand.
pub fn refresh(entry: &Entry) {
    let now = entry.clock.now();
    let (nodes, others) = entry.beats.demand(now);
    let bounds = entry.settings.load().bounds.clone();
    let mut state = entry.limits.state.lock().unwrap();
    state.nodes = nodes;
    let State {
        quotas, demands, ..
    } = &mut *state;
    for (workspace, quota) in quotas.iter() {
        let others = others.get(workspace).copied().unwrap_or_default();
        demands
            .get_or_insert_with(workspace, Demand::default)
            .record(quota.demand(now), others);
    }
    let (ratio, cap) = (
        bounds.retry_ratio * RATIO_PART,
        (bounds.retry_slack * SLACK_PART / nodes.max(1) as f64).max(1.0),
    );
    state.quota_slack = bounds.quota_slack * QUOTA_SLACK_PART / nodes.max(1) as f64;
    state.retry_ratio = ratio;
    state.retry_cap = cap;
    for (_, budget) in state.budgets.iter_mut() {
        budget.set_limits(ratio, cap);
    }
}
