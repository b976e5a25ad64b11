//! Statistics of both versions on one route, and the tests that compare them.

use std::time::Duration;

use crate::core::moves::detector::Outcome;
use crate::core::moves::detector::RouteCounts;
use crate::core::moves::latencies::Latencies;
use crate::core::moves::rejections::Difference;
use crate::core::moves::rejections::Rejections;
use crate::core::name_map::NameMap;

/// Log-likelihood ratio at which a version is vetoed: the natural logarithm of
/// 10⁶.
pub(super) const VETO_THRESHOLD: f64 = 13.8;

/// Assumed failure rate of a version with few responses.
const PRIOR_FAILURE_RATE: f64 = 0.02;

/// Rate of slow responses of a version that is as fast as the old one.
const PRIOR_SLOW_RATE: f64 = 0.10;

/// Weight of the prior rates, in responses.
const PRIOR_WEIGHT: f64 = 50.0;

/// Ratio of the failure rate of a bad version to that of a good one.
const FAILURE_FACTOR: f64 = 5.0;

/// Lowest failure rate that counts as bad.
const MIN_BAD_FAILURE_RATE: f64 = 0.20;

/// Ratio of the slow rate of a bad version to that of a good one.
const SLOW_RATE_FACTOR: f64 = 3.0;

/// Quantile of the old version's latency from which the slow limit is derived.
const SLOW_QUANTILE: f64 = 0.90;

/// Ratio of the slow limit to the quantile during the move.
const SLOW_LATENCY_FACTOR: f64 = 1.3;

/// Ratio of the slow limit to the quantile before the move.
///
/// It allows for a higher load and for the empty caches of new servers.
const BASELINE_FACTOR: f64 = 2.0;

/// Responses of the new version on a route that wait for a slow limit.
const MAX_WAITING: usize = 64;

/// A cumulative sum (CUSUM) test of one rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cusum {
    pub(super) sum: f64,
}

impl Cusum {
    /// Adds outcomes. `good` and `bad` are the rates to distinguish.
    pub(super) fn add(&mut self, hits: u64, misses: u64, good: f64, bad: f64) {
        let hit = (bad / good).ln() * hits as f64;
        let miss = ((1.0 - bad) / (1.0 - good)).ln() * misses as f64;
        self.sum = (self.sum + hit + miss).max(0.0);
    }

    /// Adds the responses that did not fail as slow and fast ones.
    pub(super) fn add_slow(&mut self, counts: &RouteCounts) {
        let bad = PRIOR_SLOW_RATE * SLOW_RATE_FACTOR;
        let fast = counts.responses.saturating_sub(counts.failed + counts.slow);
        self.add(counts.slow, fast, PRIOR_SLOW_RATE, bad);
    }
}

/// Statistics of both versions on one route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteStats {
    /// Latencies of the old version before the move.
    pub(super) baseline: Latencies,
    /// Slow limits that peers derive from before the move, used without one of this node.
    pub(super) shared_limits: NameMap<Duration>,
    /// Latencies of the old version during the move.
    pub(super) during: Latencies,
    pub(super) old_responses: f64,
    pub(super) old_failed: f64,
    pub(super) failures: Cusum,
    pub(super) slowness: Cusum,
    pub(super) total: RouteCounts,
    /// Rejections by both versions.
    pub(super) rejections: Rejections,
    /// Responses of the new version that came before there was a slow limit.
    pub(super) waiting: Vec<Waiting>,
}

/// A response that cannot be judged yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) latency: Duration,
    /// Whether the response began.
    pub(super) is_answered: bool,
}

impl RouteStats {
    pub(super) fn record_old(&mut self, outcome: Outcome) {
        self.old_responses += 1.0;
        match outcome {
            Outcome::Succeeded(latency) => self.during.push(latency),
            Outcome::Failed => self.old_failed += 1.0,
            Outcome::Rejected(_) => {}
        }
    }

    /// Returns the number of judged responses of the new version.
    pub(super) fn judged_responses(&self) -> u64 {
        self.total.responses + self.rejections.rejected().new
    }

    /// Returns the log-likelihood ratio of a faulty version to a good one.
    pub(super) fn suspicion(&self) -> f64 {
        let difference = self.rejections.difference();
        let rejections = difference.map_or(0.0, |row| row.log_ratio);
        self.failures.sum.max(self.slowness.sum).max(rejections)
    }

    /// Returns the latency above which a response is slow.
    ///
    /// While the old version is slow as well, its latencies before the move tell what
    /// callers are used to.
    pub(super) fn slow_limit(&self) -> Option<Duration> {
        let during = scaled(&self.during, SLOW_LATENCY_FACTOR);
        during.into_iter().chain(self.baseline_limit()).min()
    }

    /// Returns the slow limit by the latencies before the move, or the median of those
    /// that peers have.
    pub(super) fn baseline_limit(&self) -> Option<Duration> {
        let own = scaled(&self.baseline, BASELINE_FACTOR);
        own.or_else(|| {
            let mut limits: Vec<Duration> = self.shared_limits.iter().map(|(_, at)| *at).collect();
            limits.sort_unstable();
            limits.get(limits.len() / 2).copied()
        })
    }

    /// Returns the counts of a response, if it counts.
    ///
    /// One that did not begin counts only if it is slow.
    pub(super) fn judge(response: Waiting, limit: Duration) -> Option<RouteCounts> {
        let is_slow = response.latency > limit;
        (is_slow || response.is_answered).then_some(RouteCounts {
            responses: 1,
            failed: 0,
            slow: u64::from(is_slow),
        })
    }

    /// Judges a response, or keeps it until there is a limit.
    pub(super) fn judge_or_keep(&mut self, response: Waiting) -> Option<RouteCounts> {
        let Some(limit) = self.slow_limit() else {
            if self.waiting.len() < MAX_WAITING {
                self.waiting.push(response);
            }
            return None;
        };
        Self::judge(response, limit)
    }

    /// Judges the responses that waited for a limit.
    pub(super) fn judge_waiting(&mut self) -> RouteCounts {
        let mut counts = RouteCounts::default();
        if self.waiting.is_empty() {
            return counts;
        }
        if let Some(limit) = self.slow_limit() {
            let waiting = std::mem::take(&mut self.waiting);
            let judged = waiting
                .into_iter()
                .filter_map(|row| Self::judge(row, limit));
            judged.for_each(|judged| counts.add(&judged));
        }
        counts
    }

    /// Returns an upper estimate of the old version's failure rate.
    ///
    /// It adds two standard deviations, because an estimate that is too low
    /// after few responses makes a good version look bad.
    pub(super) fn old_failure_rate(&self) -> f64 {
        let margin = 2.0 * (self.old_failed + 1.0).sqrt();
        let failed = self.old_failed + margin + PRIOR_FAILURE_RATE * PRIOR_WEIGHT;
        failed / (self.old_responses + PRIOR_WEIGHT)
    }

    pub(super) fn add(&mut self, counts: &RouteCounts) {
        let old_rate = self.old_failure_rate();
        let bad = (old_rate * FAILURE_FACTOR).clamp(MIN_BAD_FAILURE_RATE, 0.95);
        let good = old_rate.min(bad / 2.0);
        let succeeded = counts.responses.saturating_sub(counts.failed);
        self.failures.add(counts.failed, succeeded, good, bad);

        self.slowness.add_slow(counts);
        self.total.add(counts);
    }

    /// Describes the fault in one clause, if there are enough responses to detect one.
    pub(super) fn fault(&self, name: &str) -> Option<String> {
        let RouteCounts {
            responses,
            failed,
            slow,
        } = self.total;
        if self.failures.sum >= VETO_THRESHOLD {
            let old_failed = self.old_failed;
            let old_responses = self.old_responses;
            return Some(format!(
                "{failed} of {responses} responses on {name} failed, compared with {old_failed} of {old_responses} on the old version"
            ));
        }
        if self.slowness.sum >= VETO_THRESHOLD {
            let limit = self.slow_limit().unwrap_or_default().as_millis();
            return Some(format!(
                "{slow} of {responses} responses on {name} took longer than {limit} ms, compared with 1 in 10 on the old version"
            ));
        }
        self.rejection_fault(name)
    }

    /// Describes rejections that are the fault of the new version.
    fn rejection_fault(&self, name: &str) -> Option<String> {
        let found = self.rejections.difference()?;
        let Difference {
            status,
            rejected,
            log_ratio,
        } = found;
        if log_ratio < VETO_THRESHOLD {
            return None;
        }
        let answers = self.rejections.answers();
        let status = status.map_or_else(String::new, |status| format!(" with status {status}"));
        Some(format!(
            "{} of {} requests on {name} were rejected{status}, compared with {} of {} on the old version",
            rejected.new, answers.new, rejected.old, answers.old
        ))
    }
}

/// Returns a multiple of the quantile from which slow limits are derived.
fn scaled(latencies: &Latencies, factor: f64) -> Option<Duration> {
    let quantile = latencies.quantile(SLOW_QUANTILE)?;
    Some(quantile.mul_f64(factor))
}
