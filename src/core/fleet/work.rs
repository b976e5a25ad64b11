//! Work of the requests of a service, in the time of a server that has nothing else to do.

use std::time::Duration;

use crate::core::route::speed::Work;

/// Factor by which the weight of earlier responses of idle servers shrinks with each
/// further one.
///
/// The times vary by more than their mean, so the mean of about a hundred is needed to know
/// it within an eighth.
const TIME_DECAY: f64 = 0.99;

/// The same for the sizes of requests.
///
/// Caches that are lost with their servers make requests larger for some seconds, which
/// servers that start later do not help against.
const SIZE_DECAY: f64 = 0.998;

/// Weight of the requests from which on the work is known.
const MIN_REQUESTS: f64 = 20.0;

/// Expected number of other requests up to which a server counts as idle.
const MAX_IDLE_REQUESTS: f64 = 0.5;

/// Age up to which a load report shows that a server is idle.
const MAX_REPORT_AGE: Duration = Duration::from_millis(150);

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

    /// Records a request whose response began after `took`; the load of its server was
    /// reported `report_age` before it was sent.
    pub fn record(&mut self, work: &Work, report_age: Duration, took: Duration) {
        let tokens = work.uncached_tokens.max(0.0);
        self.tokens = self.tokens * SIZE_DECAY + tokens;
        self.requests = self.requests * SIZE_DECAY + 1.0;
        let is_idle = work.running + work.waiting <= MAX_IDLE_REQUESTS;
        if !is_idle || report_age > MAX_REPORT_AGE {
            return;
        }
        self.idle_ms = self.idle_ms * TIME_DECAY + took.as_secs_f64() * 1_000.0;
        self.idle_tokens = self.idle_tokens * TIME_DECAY + tokens;
        self.idle_requests = self.idle_requests * TIME_DECAY + 1.0;
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
