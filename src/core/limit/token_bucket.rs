//! A token bucket.

use std::time::Duration;

use crate::core::time::Time;

/// Allows a steady rate with short bursts.
///
/// # Invariants
///
/// `level` is at most `rate` times `burst_s`.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst_s: f64,
    level: f64,
    at: Time,
}

impl TokenBucket {
    /// Creates a full bucket that refills with `rate` units a second.
    pub fn new(rate: f64, burst: Duration, now: Time) -> Self {
        let burst_s = burst.as_secs_f64();
        Self {
            rate,
            burst_s,
            level: rate * burst_s,
            at: now,
        }
    }

    /// Changes the rate; what is in the bucket stays, up to the new size.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(rate * self.burst_s);
    }

    /// Takes `amount` out, or says how long to wait until that is possible.
    ///
    /// An amount larger than the bucket is taken from a full bucket, which
    /// then owes the rest.
    ///
    /// # Errors
    ///
    /// Returns the time after which the same amount can be taken.
    pub fn take(&mut self, amount: f64, now: Time) -> Result<(), Duration> {
        self.refill(now);
        let needed = amount.min(self.rate * self.burst_s);
        if self.level >= needed {
            self.level -= amount;
            return Ok(());
        }
        let wait = (needed - self.level) / self.rate.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(wait.min(3_600.0)))
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + passed * self.rate).min(self.rate * self.burst_s);
    }
}
