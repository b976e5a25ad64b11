//! Monotonic clock that tells Unix time.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use tokio::time::Instant;

use crate::core::time::Time;

/// Smallest difference between the boot-time clock and the monotonic clock that
/// counts as a suspension of the VM.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Clock for the time since the Unix epoch, based on the runtime's monotonic clock.
///
/// The wall clock is read only once, so that a correction of it never moves
/// this clock backwards and tests can pause and advance it with the runtime.
/// Time during which the VM was suspended is added, since the monotonic clock
/// leaves it out.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_time: Time,
    start_suspension: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn new() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_time: Time(wall.as_micros() as u64),
            start_suspension: total_suspension(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        let suspended = total_suspension().saturating_sub(self.start_suspension);
        let counted = if suspended < MIN_SUSPENSION {
            Duration::ZERO
        } else {
            suspended
        };
        self.start_time + (Instant::now() - self.start) + counted
    }

    /// Converts `time` to an instant of the runtime; a past time gives the current instant.
    pub fn instant(&self, time: Time) -> Instant {
        Instant::now() + time.since(self.now())
    }
}

/// Returns how long the VM has been suspended since it booted.
fn total_suspension() -> Duration {
    let read = |id| {
        let time = rustix::time::clock_gettime(id);
        Duration::new(
            u64::try_from(time.tv_sec).unwrap_or_default(),
            u32::try_from(time.tv_nsec).unwrap_or_default(),
        )
    };
    // The monotonic clock is read first, so that a delay between the two reads
    // never makes the difference too small.
    let monotonic = read(ClockId::Monotonic);
    read(ClockId::Boottime).saturating_sub(monotonic)
}
