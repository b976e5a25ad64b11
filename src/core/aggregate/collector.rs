//! The domain summaries that an aggregator or the lease holder receives.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::Name;
use crate::core::aggregate::summary::DomainSummary;
use crate::core::aggregate::summary::Summary;
use crate::core::name_map::NameMap;
use crate::core::peer;
use crate::core::time::Time;
use crate::core::usage;
use crate::core::usage::WindowCounts;

/// Time for which the load of a domain is assumed to last if no aggregator of it
/// is heard.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a summary of a domain after which the units that it admits are
/// estimated: two rounds.
const ESTIMATE_AGE: Duration = Duration::from_secs(1);

/// Time for which the request counts in a summary are kept.
const COUNT_RETENTION: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Received {
    row: DomainSummary,
    at: Time,
    /// Admitted units, by workspace, that are included in the fleet's counters.
    counted: NameMap<f64>,
    /// Whether `counted` was known when the domain was last counted.
    is_counted: bool,
}

/// What the fleet's counters include of one failure domain.
#[derive(Clone, Debug, Default)]
struct Counted {
    /// When the last summary that was counted arrived.
    at: Time,
    /// Recent units per second, by workspace.
    rates: NameMap<f64>,
    /// Units that are included since then by estimate, by workspace.
    estimated: NameMap<f64>,
}

impl Counted {
    /// Returns the units that the domain is expected to have admitted until `now`
    /// and which the fleet's counters do not include yet.
    fn estimate(&mut self, now: Time) -> NameMap<f64> {
        let elapsed = now.since(self.at).as_secs_f64();
        let mut added = NameMap::new();
        for (workspace, rate) in self.rates.iter() {
            let known = self.estimated.get_or_insert_with(workspace, || 0.0);
            added.insert(workspace.clone(), (rate * elapsed - *known).max(0.0));
            *known = known.max(rate * elapsed);
        }
        added
    }

    /// Records the units of a summary that arrived at `at`, and returns those that
    /// the estimate did not include.
    fn record(&mut self, admitted: &NameMap<f64>, at: Time) -> NameMap<f64> {
        let elapsed = at.since(self.at).as_secs_f64().max(f64::MIN_POSITIVE);
        let mut added = NameMap::new();
        for (workspace, units) in admitted.iter() {
            let known = self.estimated.get(workspace).copied().unwrap_or_default();
            added.insert(workspace.clone(), (units - known).max(0.0));
            self.rates.insert(workspace.clone(), units / elapsed);
        }
        self.restart(at);
        added
    }

    fn restart(&mut self, at: Time) {
        self.estimated = NameMap::new();
        self.at = at;
    }
}

/// The newest summary of each aggregator.
///
/// # Invariants
///
/// `rows` is sorted by failure domain and aggregator.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    rows: Vec<Received>,
    /// Units admitted by all nodes, by workspace.
    admitted: NameMap<f64>,
    domains: NameMap<Counted>,
}

impl Collector {
    /// Creates a collector without summaries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a summary and returns whether it was newer than the known one.
    pub fn record(&mut self, row: DomainSummary, now: Time) -> bool {
        let key = (&row.domain, &row.node);
        let found = self
            .rows
            .binary_search_by(|known| (&known.row.domain, &known.row.node).cmp(&key));
        match found {
            Ok(index) => {
                let known = &mut self.rows[index];
                let order = |row: &DomainSummary| (row.incarnation, row.seq);
                if order(&row) <= order(&known.row) {
                    return false;
                }
                if row.incarnation != known.row.incarnation {
                    known.counted = row.summary.admitted();
                    known.is_counted = false;
                }
                known.row = row;
                known.at = now;
            }
            Err(index) => {
                let counted = row.summary.admitted();
                let received = Received {
                    row,
                    at: now,
                    counted,
                    is_counted: false,
                };
                self.rows.insert(index, received);
            }
        }
        self.rows
            .retain(|known| now.since(known.at) < COUNT_RETENTION);
        true
    }

    /// Returns the combined state of all domains.
    ///
    /// Of several summaries of a domain, that of most nodes is used: an aggregator
    /// that has just started has not heard all of them. An aggregator counts units
    /// from its own start: those before its first summary, and those of a domain whose
    /// aggregators are silent, are estimated.
    pub fn fleet(&mut self, now: Time) -> Summary {
        let mut fleet = Summary::default();
        let mut admitted = std::mem::take(&mut self.admitted);
        for rows in self.rows.chunk_by_mut(|a, b| a.row.domain == b.row.domain) {
            let fresh = |known: &&Received| now.since(known.at) < LOAD_TIMEOUT;
            let is_live = |known: &Received| now.since(known.at) < peer::LIVENESS_TIMEOUT;
            let mut last = Time::default();
            let best = rows
                .iter()
                .filter(fresh)
                .max_by_key(|known| (is_live(known), known.row.summary.nodes));
            if let Some(best) = best {
                if is_live(best) {
                    fleet.merge(&best.row.summary);
                } else {
                    fleet.merge_load(&best.row.summary);
                }
                let counted = self
                    .domains
                    .get_or_insert_with(&best.row.domain, || Counted {
                        at: best.at,
                        ..Counted::default()
                    });
                for (workspace, units) in count(best, counted, now).iter() {
                    *admitted.get_or_insert_with(workspace, || 0.0) += units;
                }
                last = counted.at;
            }
            for known in rows {
                known.counted = known.row.summary.admitted();
                known.is_counted = last.since(known.at) <= ESTIMATE_AGE;
            }
        }
        for (workspace, usage) in fleet.quota_usage.iter_mut() {
            usage.admitted = admitted.get(workspace).copied().unwrap_or_default();
        }
        self.admitted = admitted;
        fleet
    }

    /// Returns the request counts of all domains.
    ///
    /// Each summary of a domain counts a part of the requests of that domain, so
    /// the highest count of each window and workspace is closest to the truth.
    pub fn request_counts(&self) -> Vec<WindowCounts> {
        let mut domains = Vec::new();
        for rows in self.rows.chunk_by(|a, b| a.row.domain == b.row.domain) {
            let counts = rows.iter().flat_map(|known| &known.row.request_counts);
            domains.extend(usage::highest(counts));
        }
        usage::sum(domains.iter())
    }

    /// Returns whether a summary of each of `domains` arrived within `age`.
    pub fn is_complete(&self, domains: &[Name], age: Duration, now: Time) -> bool {
        domains.iter().all(|domain| {
            let mut rows = self.rows.iter();
            rows.any(|known| known.row.domain == *domain && now.since(known.at) < age)
        })
    }

    /// Returns the addresses of the aggregators other than `own` that were heard
    /// within `age`.
    pub fn senders(&self, own: &str, age: Duration, now: Time) -> Vec<SocketAddr> {
        self.rows
            .iter()
            .filter(|known| *known.row.node != *own && now.since(known.at) < age)
            .map(|known| known.row.peer)
            .collect()
    }
}

/// Returns the units that a domain admitted since it was last counted, by workspace.
fn count(best: &Received, counted: &mut Counted, now: Time) -> NameMap<f64> {
    if best.at <= counted.at {
        return if now.since(counted.at) > ESTIMATE_AGE {
            counted.estimate(now)
        } else {
            NameMap::new()
        };
    }
    if !best.is_counted {
        let added = counted.estimate(best.at);
        counted.restart(best.at);
        return added;
    }
    let known = |workspace: &Name| best.counted.get(workspace).copied().unwrap_or_default();
    let usage = best.row.summary.quota_usage.iter();
    let admitted: NameMap<f64> = usage
        .map(|(workspace, usage)| (workspace.clone(), usage.admitted - known(workspace)))
        .collect();
    counted.record(&admitted, best.at)
}
