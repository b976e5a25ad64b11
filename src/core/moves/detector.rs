//! Sequential tests of a new version against the old one.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::table::Table;

/// Evidence at which a version is vetoed: the natural logarithm of 10⁶.
const THRESHOLD: f64 = 13.8;

/// Failure rate taken for a version with few answers so far.
const PRIOR_FAILURES: f64 = 0.02;

/// Slow rate of a version that is as fast as the old one.
const PRIOR_SLOW: f64 = 0.10;

/// Weight of the prior rates, in answers.
const PRIOR_WEIGHT: f64 = 50.0;

/// Factor between the rate of a good version and of a bad one.
const FAILURE_FACTOR: f64 = 5.0;

/// Lowest failure rate that counts as bad.
const MIN_BAD_FAILURES: f64 = 0.20;

/// Factor between the slow rate of a good version and of a bad one.
const SLOW_FACTOR: f64 = 3.0;

/// Latencies of the old version that are remembered for each route.
const SAMPLES: usize = 128;

/// Latencies of the old version needed before the new one can be called slow.
const MIN_SAMPLES: usize = 16;

/// Quantile of the old version's latency above which an answer is slow.
const SLOW_QUANTILE: f64 = 0.90;

/// Allowance over the quantile before an answer counts as slow.
const SLOW_FACTOR_LATENCY: f64 = 1.3;

/// How one answer went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Whether the new version gave it.
    pub is_new: bool,
    /// Whether the version failed.
    pub failed: bool,
    /// Time to the first token or to the answer.
    pub latency: Duration,
}

/// Counters that neighbours exchange about one route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteCounts {
    /// Answers of the new version.
    pub responses: u64,
    /// Failed answers among them.
    pub failed: u64,
    /// Slow answers among them.
    pub slow: u64,
}

/// Counters for each route.
pub type Evidence = Table<RouteCounts>;

/// A cumulative sum test for one rate.
#[derive(Clone, Copy, Debug, Default)]
struct Cusum {
    sum: f64,
}

impl Cusum {
    /// Adds outcomes; `good` and `bad` are the rates that are told apart.
    fn add(&mut self, hits: u64, misses: u64, good: f64, bad: f64) {
        let hit = (bad / good).ln() * hits as f64;
        let miss = ((1.0 - bad) / (1.0 - good)).ln() * misses as f64;
        self.sum = (self.sum + hit + miss).max(0.0);
    }
}

/// What is known about one route.
#[derive(Clone, Debug, Default)]
struct Route {
    old_latencies: Vec<Duration>,
    old_next: usize,
    old_answers: f64,
    old_failed: f64,
    failures: Cusum,
    slowness: Cusum,
    total: RouteCounts,
}

impl Route {
    fn record_old(&mut self, sample: &Sample) {
        self.old_answers += 1.0;
        if sample.failed {
            self.old_failed += 1.0;
            return;
        }
        if self.old_latencies.len() < SAMPLES {
            self.old_latencies.push(sample.latency);
        } else {
            self.old_latencies[self.old_next] = sample.latency;
            self.old_next = (self.old_next + 1) % SAMPLES;
        }
    }

    /// Returns the latency above which an answer is slow.
    fn slow_limit(&self) -> Option<Duration> {
        if self.old_latencies.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.old_latencies.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * SLOW_QUANTILE) as usize;
        let quantile = sorted[at.min(sorted.len() - 1)];
        Some(quantile.mul_f64(SLOW_FACTOR_LATENCY))
    }

    fn is_slow(&self, sample: &Sample) -> bool {
        !sample.failed
            && self
                .slow_limit()
                .is_some_and(|limit| sample.latency > limit)
    }

    /// Returns the failure rate of the old version, on the high side.
    ///
    /// Two standard deviations are added, because a rate that is taken too low
    /// after few answers makes a good version look bad.
    fn old_rate(&self) -> f64 {
        let doubt = 2.0 * (self.old_failed + 1.0).sqrt();
        let failed = self.old_failed + doubt + PRIOR_FAILURES * PRIOR_WEIGHT;
        failed / (self.old_answers + PRIOR_WEIGHT)
    }

    fn add(&mut self, counts: &RouteCounts) {
        let old_rate = self.old_rate();
        let bad = (old_rate * FAILURE_FACTOR).clamp(MIN_BAD_FAILURES, 0.95);
        let good = old_rate.min(bad / 2.0);
        let fine = counts.responses.saturating_sub(counts.failed);
        self.failures.add(counts.failed, fine, good, bad);

        let bad = PRIOR_SLOW * SLOW_FACTOR;
        let fast = fine.saturating_sub(counts.slow);
        self.slowness.add(counts.slow, fast, PRIOR_SLOW, bad);

        self.total.responses += counts.responses;
        self.total.failed += counts.failed;
        self.total.slow += counts.slow;
    }

    /// Returns the fault in one clause, if the evidence suffices.
    fn fault(&self, name: &str) -> Option<String> {
        let RouteCounts {
            responses,
            failed,
            slow,
        } = self.total;
        if self.failures.sum >= THRESHOLD {
            let old = self.old_failed;
            let of = self.old_answers;
            return Some(format!(
                "{failed} of {responses} responses on {name} failed, against {old} of {of} of the old version"
            ));
        }
        if self.slowness.sum >= THRESHOLD {
            let limit = self.slow_limit().unwrap_or_default().as_millis();
            return Some(format!(
                "{slow} of {responses} responses on {name} took more than {limit} ms, where 1 in 10 of the old version does"
            ));
        }
        None
    }
}

/// Judges the new version of one move from this node's answers and from the
/// counters of its neighbours.
///
/// Each route is tested by itself, so a fault on one route does not hide
/// behind the others. The tests are cumulative sums, so a fault that begins
/// late does not hide behind good answers before it.
#[derive(Clone, Debug, Default)]
pub struct RegressionDetector {
    routes: Table<Route>,
    own: Evidence,
    neighbours: Table<Evidence>,
}

impl RegressionDetector {
    /// Creates a judge that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an answer on `route`.
    pub fn record(&mut self, route: &Name, sample: &Sample) {
        let row = self.routes.get_or_insert_with(route, Route::default);
        if !sample.is_new {
            row.record_old(sample);
            return;
        }
        let counts = RouteCounts {
            responses: 1,
            failed: u64::from(sample.failed),
            slow: u64::from(row.is_slow(sample)),
        };
        row.add(&counts);
        let own = self.own.get_or_insert_with(route, RouteCounts::default);
        own.responses += counts.responses;
        own.failed += counts.failed;
        own.slow += counts.slow;
    }

    /// Takes over the counters of a neighbour; lower ones than known are old.
    pub fn merge(&mut self, node: &Name, evidence: &Evidence) {
        let known = self.neighbours.get_or_insert_with(node, Evidence::new);
        for (route, counts) in evidence.iter() {
            let last = known.get_or_insert_with(route, RouteCounts::default);
            if counts.responses <= last.responses {
                continue;
            }
            let added = RouteCounts {
                responses: counts.responses - last.responses,
                failed: counts.failed.saturating_sub(last.failed),
                slow: counts.slow.saturating_sub(last.slow),
            };
            *last = *counts;
            self.routes
                .get_or_insert_with(route, Route::default)
                .add(&added);
        }
    }

    /// Returns this node's own counters.
    pub fn evidence(&self) -> &Evidence {
        &self.own
    }

    /// Returns the answers of the new version that were judged.
    pub fn responses(&self) -> u64 {
        self.routes.iter().map(|(_, row)| row.total.responses).sum()
    }

    /// Returns the fault of the new version in one clause, if there is one.
    pub fn fault(&self) -> Option<String> {
        self.routes.iter().find_map(|(name, row)| row.fault(name))
    }
}
