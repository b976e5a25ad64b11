//! Quotas of workspaces and retry budgets of services.

use std::sync::Mutex;

use crate::core::Name;
use crate::core::aggregate::view::News;
use crate::core::catalog::BillingUnit;
use crate::core::catalog::Workspace;
use crate::core::limit::quota::Exceeded;
use crate::core::limit::quota::Quota;
use crate::core::limit::quota::Tolerance;
use crate::core::name_map::NameMap;
use crate::core::peer;
use crate::core::request::RequestInfo;
use crate::core::retry::RetryBudget;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::membership::QuotaUsage;

/// Fraction of the allowed retry ratio that is used, since the nodes' counts differ
/// from those of an observer who checks the ratio.
const RATIO_FRACTION: f64 = 0.7;

/// Fraction of the retry slack that all nodes together use.
const SLACK_FRACTION: f64 = 0.6;

/// Number of other entries assumed before the registrations are read.
const ASSUMED_NODES: usize = 8;

/// Tracks quotas as seen by this entry and its share of the retry budgets.
pub struct Limits {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Time at which this entry started.
    started_at: Time,
    quotas: NameMap<Quota>,
    budgets: NameMap<RetryBudget>,
    retry_ratio: f64,
    retry_cap: f64,
    /// Number of other entries whose demand is unknown; `None` before the
    /// registrations are read.
    unheard: Option<usize>,
}

impl Limits {
    /// Creates limits without workspaces and services for an entry that starts at
    /// `now`.
    pub fn new(now: Time) -> Self {
        let state = State {
            started_at: now,
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Deducts the units of a request from its workspace's quota, which may be
    /// exceeded by `tolerance`.
    ///
    /// # Errors
    ///
    /// Returns the inputs of the decision and the time after which the caller
    /// should retry.
    pub fn take(
        &self,
        workspace: &Workspace,
        request: &RequestInfo,
        tolerance: Tolerance,
        random: f64,
        now: Time,
    ) -> Result<(), Exceeded> {
        let units = match workspace.unit {
            BillingUnit::Requests => 1.0,
            BillingUnit::Tokens { default_tokens } => {
                request.total_tokens().unwrap_or(default_tokens) as f64
            }
        };
        let mut state = self.state.lock().unwrap();
        let unheard = state.unheard.unwrap_or(ASSUMED_NODES);
        let quota = state.quotas.get_or_insert_with(&workspace.name, || {
            Quota::new(now).with_tolerance(tolerance)
        });
        quota.set_limit(workspace.rate, workspace.burst, now);
        quota.set_unreported(unheard);
        quota.take(units, random, now)
    }

    /// Counts a request for a service, which earns a fraction of a retry.
    pub fn earn_retry(&self, service: &Name) {
        let mut state = self.state.lock().unwrap();
        state.budget(service).deposit();
    }

    /// Returns whether the budget of a service allows a retry.
    pub fn has_retry(&self, service: &Name) -> bool {
        self.state.lock().unwrap().budget(service).has_balance()
    }

    /// Deducts one retry from the budget, or returns false if it is exhausted.
    pub fn spend_retry(&self, service: &Name) -> bool {
        self.state.lock().unwrap().budget(service).withdraw()
    }

    /// Returns whether the retry budget of a service allows a hedge.
    pub fn has_hedge(&self, service: &Name) -> bool {
        self.state.lock().unwrap().budget(service).has_hedge()
    }

    /// Deducts one hedge from the retry budget, or returns false if that leaves too little.
    pub fn spend_hedge(&self, service: &Name) -> bool {
        self.state.lock().unwrap().budget(service).withdraw_hedge()
    }

    /// Returns whether a workspace has used up its quota.
    pub fn is_used_up(&self, workspace: &str, now: Time) -> bool {
        let mut state = self.state.lock().unwrap();
        let quota = state.quotas.get_mut(workspace);
        quota.is_some_and(|quota| quota.is_used_up(now))
    }

    /// Returns the demand and the admitted units at this entry, by workspace.
    pub fn quota_usage(&self, now: Time) -> NameMap<peer::QuotaUsage> {
        let state = self.state.lock().unwrap();
        let usage = |quota: &Quota| peer::QuotaUsage {
            demand: quota.demand(now),
            admitted: quota.admitted(),
        };
        let rows = state.quotas.iter();
        rows.map(|(name, quota)| (name.clone(), usage(quota)))
            .filter(|(_, usage)| usage.admitted > 0.0 || usage.demand >= 1.0)
            .collect()
    }
}

impl State {
    fn quota(&mut self, workspace: &Name, tolerance: Tolerance) -> &mut Quota {
        let started_at = self.started_at;
        self.quotas.get_or_insert_with(workspace, || {
            Quota::new(started_at).with_tolerance(tolerance)
        })
    }

    fn budget(&mut self, service: &Name) -> &mut RetryBudget {
        let (ratio, cap) = (self.retry_ratio, self.retry_cap);
        self.budgets.get_or_insert_with(service, || {
            let mut budget = RetryBudget::new();
            budget.set_limits(ratio, cap);
            budget
        })
    }
}

/// Updates quotas and retry budgets from the state of the other entries.
pub fn refresh(entry: &Entry) {
    let now = entry.clock.now();
    let QuotaUsage {
        nodes,
        unheard,
        others,
        news,
    } = entry
        .membership
        .take_quota_usage(&entry.limits.quota_usage(now), now);
    let names = entry.membership.names(&entry.settings.load().node);
    entry.backends.set_nodes(&names, now);
    let bounds = entry.settings.load().bounds.clone();
    let catalog = entry.catalog.load();
    let workspaces = catalog.iter().flat_map(|catalog| catalog.workspaces());
    let mut state = entry.limits.state.lock().unwrap();
    // The limits are set before the first request, since the quota is refilled only
    // from then on while others already use it.
    for workspace in workspaces {
        state
            .quota(&workspace.name, bounds.quota)
            .set_limit(workspace.rate, workspace.burst, now);
    }
    for (workspace, _) in others.iter() {
        state.quota(workspace, bounds.quota);
    }
    // A workspace without a row is not used elsewhere, which is a report too.
    for (workspace, quota) in state.quotas.iter_mut() {
        let usage = others.get(workspace).copied().unwrap_or_default();
        quota.set_nodes(nodes);
        match news {
            News::Nothing => {}
            News::Demand => quota.record_demand(usage.demand, now),
            News::Units => quota.record_peers(usage.admitted, usage.demand, now),
        }
    }
    let (ratio, cap) = (
        bounds.retry_ratio * RATIO_FRACTION,
        (bounds.retry_slack * SLACK_FRACTION / nodes.max(1) as f64).max(1.0),
    );
    state.unheard = entry.membership.has_registrations().then_some(unheard);
    state.retry_ratio = ratio;
    state.retry_cap = cap;
    for (_, budget) in state.budgets.iter_mut() {
        budget.set_limits(ratio, cap);
    }
}
