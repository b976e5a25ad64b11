//! Work of the requests of a service, in the time of an average server.

use std::time::Duration;

use crate::core::route::speed::Estimates;
use crate::core::route::speed::Work;

/// Factor by which the weight of earlier requests shrinks with each further one.
///
/// Caches that are lost with their servers make requests larger for some seconds, which
/// servers that start later do not help against. So the mean is that of some hundred.
const DECAY: f64 = 0.998;

/// Weight of the requests from which on the work is known.
const MIN_REQUESTS: f64 = 20.0;

/// Measures the time for which a request keeps a server busy until its response begins.
///
/// Servers read prompts one after another, so this time bounds how many requests they can
/// take, however few of their slots are in use. It is the part of the learned time that
/// grows with the uncached tokens: the rest is spent waiting or on the way.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMeter {
    tokens: f64,
    requests: f64,
}

impl WorkMeter {
    /// Creates a meter that has seen no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request.
    pub fn record(&mut self, work: &Work) {
        self.tokens = self.tokens * DECAY + work.uncached_tokens.max(0.0);
        self.requests = self.requests * DECAY + 1.0;
    }

    /// Returns the mean work of a request, once it is known.
    pub fn mean(&self, service: &str, estimates: &dyn Estimates) -> Option<Duration> {
        if self.requests < MIN_REQUESTS {
            return None;
        }
        let work = Work {
            uncached_tokens: self.tokens / self.requests,
            ..Work::default()
        };
        let with = estimates.expected_first(service, &work)?;
        let without = estimates.expected_first(service, &Work::default())?;
        let busy = with.saturating_sub(without);
        (!busy.is_zero()).then_some(busy)
    }
}
