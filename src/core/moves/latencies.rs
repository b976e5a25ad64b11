//! Recent response times of the version that carries the load.

use std::time::Duration;

/// Response times that are kept.
const CAPACITY: usize = 128;

/// Response times that are required for a quantile.
const MIN_SAMPLES: usize = 16;

/// The newest response times of one route.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    samples: Vec<Duration>,
    next: usize,
}

impl Latencies {
    /// Creates a record without response times.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a response time, which replaces the oldest if there are many.
    pub fn push(&mut self, latency: Duration) {
        if self.samples.len() < CAPACITY {
            self.samples.push(latency);
        } else {
            self.samples[self.next] = latency;
            self.next = (self.next + 1) % CAPACITY;
        }
    }

    /// Returns the `fraction` quantile, if there are enough response times.
    pub fn quantile(&self, fraction: f64) -> Option<Duration> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * fraction) as usize;
        Some(sorted[index.min(sorted.len() - 1)])
    }
}
