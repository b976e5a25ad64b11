//! What is known of one server's speed, or of the load of one service.

use std::time::Duration;

use crate::core::route::speed::share::MAX_LOG;
use crate::core::route::speed::sum;
use crate::core::route::speed::sum::Sum;
use crate::core::time::Time;

/// Time after which the weight of a sample of a server has halved.
pub const SPEED_HALF_LIFE: Duration = Duration::from_secs(3);

/// Time after which the weight of a load report has halved.
pub const LOAD_HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of the prior that a server is as fast as the mean.
const PRIOR_WEIGHT: f64 = 1.0;

/// Weight of the known samples from which on a shift is looked for.
const MIN_KNOWN: f64 = 2.0;

/// Deviation of the logarithm per sample that does not count as a shift, and the sum of
/// the others from which on the speed counts as changed.
///
/// With a mean of the last 3 s alone, a server that takes 2.5 times as long would pass
/// for slow after 2.7 s only; the sums find it after 1 to 3 samples.
const MIN_DRIFT: f64 = 0.2;
const MIN_LIMIT: f64 = 0.6;

/// The same in standard deviations of the samples, where these vary more.
const DRIFT_DEVIATIONS: f64 = 0.8;
const LIMIT_DEVIATIONS: f64 = 3.0;

/// Weight of new samples below which a difference of two sums is rounding.
const MIN_NEWS: f64 = 0.03;

/// Samples that may show a shift in one direction (a cumulative sum test).
#[derive(Clone, Copy, Debug, Default)]
struct Shift {
    score: f64,
    since: Sum,
}

/// What was last sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    /// Mean of the values.
    pub mean: f64,
    /// Time of the newest value.
    pub newest: Time,
    /// Time of sending.
    pub at: Time,
}

/// Sums of this node, of its failure domain and of all nodes.
#[derive(Clone, Debug, Default)]
pub struct Track {
    /// Sums of this node's samples.
    pub own: Sum,
    /// Sums of this node and of those that report to it.
    pub domain: Sum,
    /// Sums of all nodes whose samples reach this one without a digest.
    pub fleet: Sum,
    /// What an aggregator has sent.
    pub digest: Sum,
    /// What was last sent, by scope.
    pub sent: [Sent; 3],
    /// Whether the server counts as slow.
    pub is_slow: bool,
    shifts: [Shift; 2],
}

/// New samples that another node has sent.
#[derive(Clone, Copy, Debug)]
pub struct News {
    /// Mean of their values.
    pub mean: f64,
    /// Their weight.
    pub weight: f64,
    /// Time of the newest.
    pub newest: Time,
}

impl News {
    /// Returns what `sums` holds more than `before`, both decayed to the same time.
    pub fn between(before: &Sum, sums: &Sum) -> Option<Self> {
        let weight = sums.weight - before.weight;
        if weight < MIN_NEWS * (1.0 + sums.weight) {
            return None;
        }
        let mean = (sums.total - before.total) / weight;
        Some(Self {
            mean: mean.clamp(-MAX_LOG, MAX_LOG),
            weight,
            newest: sums.newest,
        })
    }
}

impl Track {
    /// Adds samples of a server; `deviation` is the usual deviation of a sample.
    ///
    /// Returns whether its speed counts as changed.
    pub fn add_speed(&mut self, news: &News, is_domain: bool, deviation: f64, now: Time) -> bool {
        let known = self.fleet.decayed(SPEED_HALF_LIFE, now);
        if is_domain {
            add(&mut self.domain, news, SPEED_HALF_LIFE, now);
        }
        add(&mut self.fleet, news, SPEED_HALF_LIFE, now);
        if known.weight < MIN_KNOWN {
            return false;
        }
        let drift = MIN_DRIFT.max(DRIFT_DEVIATIONS * deviation);
        let limit = MIN_LIMIT.max(LIMIT_DEVIATIONS * deviation);
        for (shift, sign) in self.shifts.iter_mut().zip([1.0, -1.0]) {
            let left = sum::decay(now.since(shift.since.at), SPEED_HALF_LIFE);
            let excess = sign * (news.mean - known.mean()) - drift;
            shift.score = shift.score * left + news.weight * excess;
            if shift.score <= 0.0 {
                *shift = Shift::default();
                continue;
            }
            add(&mut shift.since, news, SPEED_HALF_LIFE, now);
            if shift.score > limit {
                self.fleet = shift.since;
                self.shifts = [Shift::default(); 2];
                return true;
            }
        }
        false
    }

    /// Adds load reports of a service.
    pub fn add_load(&mut self, news: &News, is_domain: bool, now: Time) {
        if is_domain {
            add(&mut self.domain, news, LOAD_HALF_LIFE, now);
        }
        add(&mut self.fleet, news, LOAD_HALF_LIFE, now);
    }

    /// Returns the sums to judge by, decayed to `now`.
    pub fn current(&self, uses_digest: bool, half_life: Duration, now: Time) -> Sum {
        let fleet = self.fleet.decayed(half_life, now);
        let digest = self.digest.decayed(half_life, now);
        // A digest holds the samples of this node too.
        if uses_digest && digest.weight >= fleet.weight / 2.0 {
            digest
        } else {
            fleet
        }
    }

    /// Returns the sums of a scope, by its place, decayed to `now`.
    pub fn scope(&self, scope: usize, half_life: Duration, now: Time) -> Sum {
        let sums = [&self.own, &self.domain, &self.fleet];
        sums[scope.min(2)].decayed(half_life, now)
    }

    /// Returns whether nothing is left of any samples.
    pub fn is_empty(&self, now: Time) -> bool {
        let sums = [self.own, self.domain, self.fleet, self.digest];
        let is_over = |sum: &Sum| sum.decayed(SPEED_HALF_LIFE, now).weight < sum::MIN_WEIGHT;
        !self.is_slow && sums.iter().all(is_over)
    }
}

/// Returns whether samples deviate so much from those known that others must know soon.
pub fn is_surprising(news: &News, known: &Sum, deviation: f64) -> bool {
    let limit = MIN_LIMIT.max(LIMIT_DEVIATIONS * deviation);
    known.weight >= MIN_KNOWN && (news.mean - known.mean()).abs() > limit
}

/// Returns the ratio that sums of logarithms give, which is 1 without samples.
pub fn ratio(sum: &Sum) -> f64 {
    (sum.total / (sum.weight + PRIOR_WEIGHT)).exp()
}

fn add(sum: &mut Sum, news: &News, half_life: Duration, now: Time) {
    sum.add(news.mean, news.weight, half_life, news.newest, now);
}
