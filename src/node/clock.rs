//! The clock of a process.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

use crate::core::time::Time;

/// Gives the time since the Unix epoch from the runtime's monotonic clock.
///
/// The wall clock is read once, so a correction of it never moves this clock
/// backwards, and tests can pause and advance it with the runtime.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: Time,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Creates a clock that agrees with the wall clock now.
    pub fn new() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            wall: Time(wall.as_micros() as u64),
        }
    }

    /// Returns the time now.
    pub fn now(&self) -> Time {
        self.wall + (Instant::now() - self.start)
    }

    /// Returns the runtime's instant at `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(self.wall)
    }
}
