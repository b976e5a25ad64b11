//! The time after the start of an engine in which it is slow and tolerates few requests.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Multiple of the tolerated rate, and requests beyond it, above which the engine crashes.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Factor applied to the duration of every step while the engine is cold.
pub const SLOW_FACTOR: f64 = 3.0;

/// Counts the requests of an engine while it is cold.
#[derive(Clone, Debug, Default)]
pub struct ColdPhase {
    until: Option<Instant>,
    rate: f64,
    recent: VecDeque<Instant>,
    most: usize,
}

impl ColdPhase {
    /// Creates a phase of `length` in which `rate` requests per second are tolerated.
    pub fn new(length: Duration, rate: f64) -> Self {
        Self {
            until: Some(Instant::now() + length),
            rate,
            ..Self::default()
        }
    }

    /// Returns the time for which the engine stays cold, or zero.
    pub fn left(&self) -> Duration {
        self.until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Counts a request, and returns whether it crashes the engine.
    pub fn count(&mut self) -> bool {
        if self.left().is_zero() {
            return false;
        }
        let now = Instant::now();
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| now - *at >= WINDOW) {
            self.recent.pop_front();
        }
        self.most = self.most.max(self.recent.len());
        self.recent.len() as f64 > self.rate * TOLERANCE.0 + TOLERANCE.1
    }

    /// Returns the most requests in one second so far.
    pub fn most(&self) -> usize {
        self.most
    }
}
