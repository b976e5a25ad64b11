//! Pacing of one node's requests to a server that limits its request rate.

use std::time::Duration;

use crate::core::time::Time;

/// Tokens of a full pacer, in seconds of its rate.
const BURST: Duration = Duration::from_millis(250);

/// Tokens that a pacer can always hold, so that a low rate lets a request through.
const MIN_BURST: f64 = 1.0;

/// Shortest wait that is reported.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// Longest wait that is reported.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Spaces the requests of one node to a server.
///
/// # Invariants
///
/// `level` is at most `capacity`.
#[derive(Clone, Debug)]
pub struct Pacer {
    /// Requests per second that this node may send.
    rate: f64,
    level: f64,
    updated_at: Time,
}

impl Pacer {
    /// Creates a pacer for `rate` requests per second.
    ///
    /// `random`, from 0 to 1, is its first level: nodes that learn of a limit at the
    /// same time must not all send a request at once.
    pub fn new(rate: f64, random: f64, now: Time) -> Self {
        Self {
            rate,
            level: random.clamp(0.0, MIN_BURST),
            updated_at: now,
        }
    }

    /// Changes the rate and keeps the level, up to the new capacity.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.level = self.level_at(now);
        self.updated_at = self.updated_at.max(now);
        self.rate = rate;
        self.level = self.level.min(self.capacity());
    }

    /// Returns the pacer with another rate and its level, up to the new capacity.
    pub fn with_rate(mut self, rate: f64, now: Time) -> Self {
        self.set_rate(rate, now);
        self
    }

    /// Returns the time until a request may be sent, or zero.
    pub fn wait(&self, now: Time) -> Duration {
        let missing = 1.0 - self.level_at(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        interval(self.rate / missing)
    }

    /// Counts a request that is sent.
    pub fn spend(&mut self, now: Time) {
        self.level = self.level_at(now) - 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes back what has accumulated, so that the next request waits.
    pub fn drain(&mut self, now: Time) {
        self.level = self.level_at(now).min(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST.as_secs_f64()).max(MIN_BURST)
    }

    fn level_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        (self.level + elapsed * self.rate).min(self.capacity())
    }
}

/// Returns the time between two requests at a rate, in requests per second.
pub fn interval(rate: f64) -> Duration {
    let seconds = 1.0 / rate.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64())).max(MIN_WAIT)
}
