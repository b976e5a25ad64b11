//! The state of the fleet, as a node learns it from its aggregators.

use std::time::Duration;

use crate::core::Name;
use crate::core::aggregate::summary::Summary;
use crate::core::name_map::NameMap;
use crate::core::peer::QuotaUsage;
use crate::core::time::Time;

/// Age of a summary from which that of another aggregator is used, if newer: two
/// rounds and a half.
const SWITCH_AGE: Duration = Duration::from_millis(1_250);

/// Fraction of the nodes known to another aggregator below which a summary is
/// not used, since its sender has just started.
const MIN_COVERAGE: f64 = 0.9;

#[derive(Clone, Debug)]
struct Received {
    node: Name,
    incarnation: u64,
    summary: Summary,
    at: Time,
}

/// The summaries received from the aggregators, one of which is in use.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    rows: Vec<Received>,
    /// The aggregator whose summaries are in use.
    source: Option<Name>,
    /// Units that other nodes admitted and that were not taken yet, by workspace.
    admitted: NameMap<f64>,
    /// Units that this node had admitted when the last summary was used.
    own_admitted: NameMap<f64>,
}

impl FleetView {
    /// Creates a view without summaries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the summary of an aggregator and returns whether it is in use.
    ///
    /// `own` is this node's quota usage, which the summary includes.
    pub fn record(
        &mut self,
        node: &Name,
        incarnation: u64,
        summary: Summary,
        own: &NameMap<QuotaUsage>,
        now: Time,
    ) -> bool {
        let index = self.rows.iter().position(|row| row.node == *node);
        let before = index.map(|index| self.rows.swap_remove(index));
        let before = before.filter(|row| row.incarnation == incarnation);
        let row = Received {
            node: node.clone(),
            incarnation,
            summary,
            at: now,
        };
        if self.prefers(&row, now) {
            self.source = Some(node.clone());
        }
        let is_used = self.source.as_ref() == Some(node);
        if is_used {
            self.count_admitted(before.as_ref(), &row, own);
        }
        self.rows.push(row);
        is_used
    }

    /// Returns whether a summary that was just received replaces the one in use.
    fn prefers(&self, row: &Received, now: Time) -> bool {
        let Some(used) = self.used().filter(|used| used.node != row.node) else {
            return true;
        };
        let coverage = f64::from(row.summary.nodes) * MIN_COVERAGE;
        now.since(used.at) > SWITCH_AGE || f64::from(used.summary.nodes) < coverage
    }

    /// Adds the units that other nodes admitted since the previous summary of the
    /// same aggregator.
    fn count_admitted(
        &mut self,
        before: Option<&Received>,
        row: &Received,
        own: &NameMap<QuotaUsage>,
    ) {
        if let Some(before) = before {
            for (workspace, usage) in row.summary.quota_usage.iter() {
                let known = before.summary.quota_usage.get(workspace);
                let known = known.map_or(0.0, |usage| usage.admitted);
                let own_now = own.get(workspace).map_or(0.0, |usage| usage.admitted);
                let own_before = self
                    .own_admitted
                    .get(workspace)
                    .copied()
                    .unwrap_or_default();
                *self.admitted.get_or_insert_with(workspace, || 0.0) +=
                    (usage.admitted - known) - (own_now - own_before);
            }
        }
        self.own_admitted = own
            .iter()
            .map(|(workspace, usage)| (workspace.clone(), usage.admitted))
            .collect();
    }

    fn used(&self) -> Option<&Received> {
        let source = self.source.as_ref()?;
        self.rows.iter().find(|row| row.node == *source)
    }

    /// Returns the summary in use if it is younger than `age`.
    pub fn summary(&self, age: Duration, now: Time) -> Option<&Summary> {
        let used = self.used().filter(|used| now.since(used.at) < age)?;
        Some(&used.summary)
    }

    /// Returns the quota usage of all other nodes: their demand, and the units
    /// that they admitted since the last call.
    pub fn take_quota_usage(&mut self, own: &NameMap<QuotaUsage>) -> NameMap<QuotaUsage> {
        let admitted = std::mem::take(&mut self.admitted);
        let Some(used) = self.used() else {
            return NameMap::new();
        };
        used.summary
            .quota_usage
            .iter()
            .map(|(workspace, usage)| {
                let own = own.get(workspace).map_or(0.0, |usage| usage.demand);
                let others = QuotaUsage {
                    demand: (usage.demand - own).max(0.0),
                    admitted: admitted.get(workspace).copied().unwrap_or_default(),
                };
                (workspace.clone(), others)
            })
            .collect()
    }
}
