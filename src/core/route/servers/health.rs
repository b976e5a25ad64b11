//! Ejection of servers that fail.

use std::time::Duration;

use crate::core::time::Time;

/// Duration of the ejection of a server after its first failure.
const BASE_EJECTION: Duration = Duration::from_millis(500);

/// Maximum duration of the ejection of a failing server.
const MAX_EJECTION: Duration = Duration::from_secs(10);

/// Error rate above which a failure ejects a server for at least `ERROR_EJECTION`, even if
/// other requests succeed.
const MAX_ERROR_RATE: f64 = 0.3;

/// Minimum duration of the ejection of a server whose error rate exceeds `MAX_ERROR_RATE`.
const ERROR_EJECTION: Duration = Duration::from_secs(3);

/// Smoothing factor of the error rate.
const ERROR_SMOOTHING: f64 = 0.12;

/// The failures of a server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    ejected_until: Time,
    failures: u32,
    error_rate: f64,
}

impl Health {
    /// Returns whether the server is ejected.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }

    /// Records a failure and ejects the server.
    pub fn record_failure(&mut self, now: Time) {
        let mut ejection = ejection(self.failures);
        self.error_rate += ERROR_SMOOTHING * (1.0 - self.error_rate);
        if self.error_rate > MAX_ERROR_RATE {
            ejection = ejection.max(ERROR_EJECTION);
        }
        self.ejected_until = now + ejection;
        self.failures += 1;
    }

    /// Records the end of a silence in which requests were given up, and ejects the
    /// server only if its error rate is high.
    pub fn record_silence(&mut self, now: Time) {
        self.error_rate += ERROR_SMOOTHING * (1.0 - self.error_rate);
        if self.error_rate > MAX_ERROR_RATE {
            self.ejected_until = self.ejected_until.max(now + ERROR_EJECTION);
        }
    }

    /// Records a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.error_rate -= ERROR_SMOOTHING * self.error_rate;
    }
}

/// Returns the length of an ejection after some consecutive ones.
pub fn ejection(earlier: u32) -> Duration {
    (BASE_EJECTION * (1 << earlier.min(8))).min(MAX_EJECTION)
}
