//! Timestamps that processes can exchange.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Timestamp in microseconds since the Unix epoch.
///
/// A process derives it from the runtime's monotonic clock and the wall clock
/// at process start, so it never goes backwards within one process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Creates a timestamp from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` before this one.
    pub const fn before(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_micros() as u64))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(rhs.as_micros() as u64))
    }
}
