//! Times until responses begin, learned by route and size of the prompt.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::time::Time;

/// Fraction of the responses that begin after the delay.
const LATE_FRACTION: f64 = 0.05;

/// Weight of the responses below which no delay is known.
const MIN_RESPONSES: f64 = 20.0;

/// Age at which the weight of a response has halved.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// Upper bound of the first bucket of a histogram, in seconds.
const FIRST_BOUND_S: f64 = 0.001;

/// Buckets over which the bound doubles; the error of a delay is at most 19%.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets of a histogram; the last one begins at 185 s.
const BUCKETS: usize = 72;

/// Number of size classes: one without tokens, and one for each power of four.
const SIZE_CLASSES: usize = 11;

/// Maximum number of routes; a route takes at most 4 KB.
const MAX_ROUTES: usize = 256;

/// Size class of a prompt: 0 without tokens, or a power of four of its tokens.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SizeClass(usize);

impl SizeClass {
    /// Returns the class of a prompt with `tokens` tokens, or of a call without any.
    pub fn new(tokens: Option<u32>) -> Self {
        let class = tokens.map_or(0, |tokens| 1 + tokens.max(1).ilog(4) as usize);
        Self(class.min(SIZE_CLASSES - 1))
    }
}

/// Histogram of durations whose weights decay.
#[derive(Clone, Debug)]
struct Histogram {
    weights: [f32; BUCKETS],
    updated_at: Time,
}

impl Histogram {
    fn new(now: Time) -> Self {
        Self {
            weights: [0.0; BUCKETS],
            updated_at: now,
        }
    }

    fn record(&mut self, took: Duration, now: Time) {
        let decay = self.decay(now) as f32;
        self.weights.iter_mut().for_each(|weight| *weight *= decay);
        self.updated_at = self.updated_at.max(now);
        self.weights[bucket(took)] += 1.0;
    }

    /// Returns the factor by which the weights have decayed since the last update.
    fn decay(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn total(&self) -> f64 {
        self.weights.iter().map(|weight| f64::from(*weight)).sum()
    }

    /// Returns the time within which all but [`LATE_FRACTION`] of the responses began.
    fn delay(&self, now: Time) -> Option<Duration> {
        let total = self.total();
        if total * self.decay(now) < MIN_RESPONSES {
            return None;
        }
        let mut late = total;
        let place = self.weights.iter().position(|weight| {
            late -= f64::from(*weight);
            late <= total * LATE_FRACTION
        });
        Some(Duration::from_secs_f64(bound(place.unwrap_or(BUCKETS - 1))))
    }

    /// Returns the mean time that was left to the responses that had not begun after
    /// `elapsed`, or `None` if all had.
    fn remaining(&self, elapsed: Duration) -> Option<Duration> {
        let elapsed = elapsed.as_secs_f64();
        let (mut weights, mut seconds) = (0.0, 0.0);
        for (place, weight) in self.weights.iter().enumerate() {
            let middle = bound(place) * 0.5_f64.powf(0.5 / BUCKETS_PER_DOUBLING);
            if middle > elapsed {
                weights += f64::from(*weight);
                seconds += f64::from(*weight) * (middle - elapsed);
            }
        }
        let is_known = weights > f64::from(f32::EPSILON);
        is_known.then(|| Duration::from_secs_f64(seconds / weights))
    }
}

/// Returns the bucket of a duration.
fn bucket(took: Duration) -> usize {
    let doublings = (took.as_secs_f64() / FIRST_BOUND_S).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING).ceil() as usize).min(BUCKETS - 1)
}

/// Returns the upper bound of a bucket in seconds.
fn bound(place: usize) -> f64 {
    FIRST_BOUND_S * 2.0_f64.powf(place as f64 / BUCKETS_PER_DOUBLING)
}

/// Histograms of a route by size class.
type Classes = [Option<Box<Histogram>>; SIZE_CLASSES];

/// Learns after which time a response is late.
#[derive(Clone, Debug, Default)]
pub struct Delays {
    routes: NameMap<Classes>,
}

impl Delays {
    /// Creates a table that knows no responses.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the response to a request began `took` after it was first sent.
    ///
    /// The time of a request that was hedged counts from its first attempt, whichever
    /// attempt began first. The time of the first attempt alone is not known then, but it
    /// is longer than the delay, so the fraction of late responses stays correct.
    pub fn record(&mut self, route: &Name, class: SizeClass, took: Duration, now: Time) {
        if self.routes.get(route).is_none() && self.routes.len() >= MAX_ROUTES {
            return;
        }
        let classes = self.routes.get_or_insert_with(route, Classes::default);
        let histogram = classes[class.0].get_or_insert_with(|| Box::new(Histogram::new(now)));
        histogram.record(took, now);
    }

    /// Returns the time after which a response is late, or `None` before enough
    /// responses are known.
    pub fn delay(&self, route: &str, class: SizeClass, now: Time) -> Option<Duration> {
        self.histogram(route, class)?.delay(now)
    }

    /// Returns the mean time until a response begins that has not begun `elapsed` after
    /// its request was sent, or `None` if it took longer than all that are known.
    pub fn remaining(&self, route: &str, class: SizeClass, elapsed: Duration) -> Option<Duration> {
        self.histogram(route, class)?.remaining(elapsed)
    }

    fn histogram(&self, route: &str, class: SizeClass) -> Option<&Histogram> {
        self.routes.get(route)?[class.0].as_deref()
    }
}
