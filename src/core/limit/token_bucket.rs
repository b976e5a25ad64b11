//! A token bucket rate limiter.

use std::time::Duration;

use crate::core::time::Time;

/// Limits a steady rate and allows short bursts.
///
/// # Invariants
///
/// `level` is at most `rate` times `burst_s`.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst_s: f64,
    level: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` units per second.
    pub fn new(rate: f64, burst: Duration, now: Time) -> Self {
        let burst_s = burst.as_secs_f64();
        Self {
            rate,
            burst_s,
            level: rate * burst_s,
            updated_at: now,
        }
    }

    /// Changes the rate and keeps the level, up to the new capacity.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(rate * self.burst_s);
    }

    /// Takes `amount` units from the bucket.
    ///
    /// An amount larger than the capacity is taken from a full bucket, whose
    /// level then becomes negative.
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
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.level = (self.level + elapsed * self.rate).min(self.rate * self.burst_s);
    }
}
