//! Weighted sums with exponential decay.

use std::time::Duration;

use crate::core::time::Time;

/// Weight below which a sum counts as empty.
pub const MIN_WEIGHT: f64 = 0.01;

/// Sum of values whose weights halve after a fixed time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Sum of the weights.
    pub weight: f64,
    /// Sum of the weighted values.
    pub total: f64,
    /// Time to which the sums are decayed.
    pub at: Time,
    /// Time of the newest value.
    pub newest: Time,
}

/// Returns the part of a weight that is left after `age`.
pub fn decay(age: Duration, half_life: Duration) -> f64 {
    (-(age.as_secs_f64() / half_life.as_secs_f64())).exp2()
}

impl Sum {
    /// Returns the sums as they are at `now`.
    ///
    /// A clock that was set back causes no growth.
    #[must_use]
    pub fn decayed(&self, half_life: Duration, now: Time) -> Self {
        let left = decay(now.since(self.at), half_life);
        Self {
            weight: self.weight * left,
            total: self.total * left,
            at: now,
            newest: self.newest.min(now),
        }
    }

    /// Adds a value that was observed at `newest`.
    pub fn add(&mut self, value: f64, weight: f64, half_life: Duration, newest: Time, now: Time) {
        *self = self.decayed(half_life, now);
        self.weight += weight;
        self.total += weight * value;
        self.newest = self.newest.max(newest.min(now));
    }

    /// Returns the weighted mean, or 0 without values.
    pub fn mean(&self) -> f64 {
        if self.weight < MIN_WEIGHT {
            return 0.0;
        }
        self.total / self.weight
    }
}
