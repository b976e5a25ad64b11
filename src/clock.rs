//! The clock of a process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use tokio::time::Instant;

use crate::core::time::Time;

/// Difference of the two clocks of the operating system below which the VM
/// counts as not having been suspended.
const SUSPEND_FLOOR: Duration = Duration::from_millis(20);

/// Gives the time since the Unix epoch from the runtime's monotonic clock.
///
/// The wall clock is read once, so a correction of it never moves this clock
/// backwards, and tests can pause and advance it with the runtime. Time for
/// which the VM was suspended, which the monotonic clock leaves out, is added.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: Time,
    ahead: Duration,
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
            ahead: suspended(),
        }
    }

    /// Returns the time now.
    pub fn now(&self) -> Time {
        let suspended = suspended().saturating_sub(self.ahead);
        let counted = if suspended < SUSPEND_FLOOR {
            Duration::ZERO
        } else {
            suspended
        };
        self.wall + (Instant::now() - self.start) + counted
    }

    /// Returns the runtime's instant at `time`.
    pub fn instant(&self, time: Time) -> Instant {
        Instant::now() + time.since(self.now())
    }
}

/// Returns for how long the VM was suspended since it started.
fn suspended() -> Duration {
    let read = |id| {
        let time = rustix::time::clock_gettime(id);
        Duration::new(
            u64::try_from(time.tv_sec).unwrap_or_default(),
            u32::try_from(time.tv_nsec).unwrap_or_default(),
        )
    };
    // Read in this order, the difference is never too small by a pause between.
    let steady = read(ClockId::Monotonic);
    read(ClockId::Boottime).saturating_sub(steady)
}
