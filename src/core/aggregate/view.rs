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
    /// Units by workspace that were known when a summary was last used, if the
    /// aggregator was heard then.
    counted: Option<NameMap<f64>>,
}

/// What was learnt of other nodes since their usage was last taken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum News {
    /// No report has arrived.
    #[default]
    Nothing,
    /// Their demand, but not the units that they admitted before the report, since
    /// its sender has counted them from an unknown start.
    Demand,
    /// Their demand, and the units that they admitted since the last report.
    Units,
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
    news: News,
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
        let counted = before.and_then(|row| row.counted);
        let row = Received {
            node: node.clone(),
            incarnation,
            summary,
            at: now,
            counted: None,
        };
        if self.prefers(&row, now) {
            self.source = Some(node.clone());
        }
        let is_used = self.source.as_ref() == Some(node);
        if is_used {
            self.news = match &counted {
                Some(counted) => {
                    self.count_admitted(&row, counted, own);
                    News::Units
                }
                None => News::Demand,
            };
            self.own_admitted = own
                .iter()
                .map(|(workspace, usage)| (workspace.clone(), usage.admitted))
                .collect();
        }
        self.rows.push(row);
        if is_used {
            for row in &mut self.rows {
                let is_heard = now.since(row.at) <= SWITCH_AGE;
                row.counted = is_heard.then(|| row.summary.admitted());
            }
        } else if let Some(row) = self.rows.last_mut() {
            row.counted = counted;
        }
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

    /// Adds the units that other nodes admitted since a summary was last used.
    ///
    /// Each aggregator counts from its own start. If another aggregator sent the last
    /// one, what this one had counted by then is known from its own last summary.
    fn count_admitted(
        &mut self,
        row: &Received,
        counted: &NameMap<f64>,
        own: &NameMap<QuotaUsage>,
    ) {
        for (workspace, usage) in row.summary.quota_usage.iter() {
            let known = counted.get(workspace).copied().unwrap_or_default();
            let own_now = own.get(workspace).map_or(0.0, |usage| usage.admitted);
            let own_before = self.own_admitted.get(workspace);
            let own_before = own_before.copied().unwrap_or_default();
            *self.admitted.get_or_insert_with(workspace, || 0.0) +=
                (usage.admitted - known) - (own_now - own_before);
        }
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

    /// Returns the age of the summary in use.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.used().map(|used| now.since(used.at))
    }

    /// Returns what was learnt since the last call.
    pub fn take_news(&mut self) -> News {
        std::mem::take(&mut self.news)
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
