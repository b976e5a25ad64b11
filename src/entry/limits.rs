//! Quotas of workspaces and retry budgets of services.

use std::sync::Mutex;
use std::time::Duration;

use crate::core::Name;
use crate::core::catalog::Unit;
use crate::core::catalog::Workspace;
use crate::core::limit::quota::Quota;
use crate::core::peer;
use crate::core::request::Ask;
use crate::core::retry::Budget;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::beats::Used;

/// Part of the allowed retry ratio that is used, since nodes count differently
/// from those who check.
const RATIO_PART: f64 = 0.7;

/// Part of the retries allowed beyond the ratio that all nodes together use.
const SLACK_PART: f64 = 0.6;

/// Other entries that there may be before the registrations were read.
const UNKNOWN_NODES: usize = 8;

/// Quotas as this entry sees them, and its parts of the retry budgets.
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
    /// Other entries whose demand is not known; `None` before the first look.
    unheard: Option<usize>,
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
    pub fn take(
        &self,
        workspace: &Workspace,
        ask: &Ask,
        draw: f64,
        now: Time,
    ) -> Result<(), Duration> {
        let units = match workspace.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => ask.total_tokens().unwrap_or(plain) as f64,
        };
        let mut state = self.state.lock().unwrap();
        let unheard = state.unheard.unwrap_or(UNKNOWN_NODES);
        let quota = state
            .quotas
            .get_or_insert_with(&workspace.name, || Quota::new(now));
        quota.set_limit(workspace.rate, workspace.burst, now);
        quota.set_unreported(unheard);
        quota.take(units, draw, now)
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

    /// Returns the units asked for and admitted at this entry, by workspace.
    pub fn used(&self, now: Time) -> Table<peer::Used> {
        let state = self.state.lock().unwrap();
        let used = |quota: &Quota| peer::Used {
            demand: quota.demand(now),
            admitted: quota.admitted(),
        };
        let rows = state.quotas.iter();
        rows.map(|(name, quota)| (name.clone(), used(quota)))
            .filter(|(_, used)| used.admitted > 0.0 || used.demand >= 1.0)
            .collect()
    }
}

impl State {
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
    let Used {
        nodes,
        unheard,
        others,
    } = entry.beats.used(now);
    let bounds = entry.settings.load().bounds.clone();
    let mut state = entry.limits.state.lock().unwrap();
    for (workspace, used) in others.iter() {
        state
            .quotas
            .get_or_insert_with(workspace, || Quota::new(now))
            .record_peers(used.admitted, used.demand, now);
    }
    let (ratio, cap) = (
        bounds.retry_ratio * RATIO_PART,
        (bounds.retry_slack * SLACK_PART / nodes.max(1) as f64).max(1.0),
    );
    state.unheard = entry.beats.is_known().then_some(unheard);
    state.retry_ratio = ratio;
    state.retry_cap = cap;
    for (_, budget) in state.budgets.iter_mut() {
        budget.set_limits(ratio, cap);
    }
}
