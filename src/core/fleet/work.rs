//! Work of the requests of a service, in the time of a server that has nothing else to do.

use std::time::Duration;

use crate::core::route::speed::Work;

/// Factor by which the weight of earlier requests shrinks with each further one.
///
/// The sizes of requests vary by more than their mean, so the mean of about a hundred is
/// needed to know it within an eighth.
const DECAY: f64 = 0.99;

/// Weight of the requests from which on the work is known.
const MIN_REQUESTS: f64 = 20.0;

/// Expected number of running requests up to which a server counts as idle.
const MAX_IDLE_RUNNING: f64 = 0.5;

/// Measures the time for which a request keeps a server busy until its response begins.
///
/// Servers read prompts one after another, so this time bounds how many requests they can
/// take, however few of their slots are in use. Responses of idle servers show it, since
/// other responses contain the time for which their requests have waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMeter {
    /// Uncached prompt tokens of all requests, and their weight.
    tokens: f64,
    requests: f64,
    /// Times and uncached tokens of the requests that found an idle server.
    idle_ms: f64,
    idle_tokens: f64,
    idle_requests: f64,
}

impl WorkMeter {
    /// Creates a meter that has seen no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request whose response began after `took`.
    pub fn record(&mut self, work: &Work, took: Duration) {
        let tokens = work.uncached_tokens.max(0.0);
        self.tokens = self.tokens * DECAY + tokens;
        self.requests = self.requests * DECAY + 1.0;
        if work.running + work.waiting > MAX_IDLE_RUNNING {
            return;
        }
        self.idle_ms = self.idle_ms * DECAY + took.as_secs_f64() * 1_000.0;
        self.idle_tokens = self.idle_tokens * DECAY + tokens;
        self.idle_requests = self.idle_requests * DECAY + 1.0;
    }

    /// Returns the mean work of a request, once it is known.
    pub fn mean(&self) -> Option<Duration> {
        let is_known = self.idle_requests >= MIN_REQUESTS && self.idle_tokens > 0.0;
        is_known.then(|| {
            let ms = self.tokens / self.requests * self.idle_ms / self.idle_tokens;
            Duration::from_secs_f64(ms / 1_000.0)
        })
    }
}
