//! Faults of the engine stand-in.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::standin::engine::cold::ColdPhase;

/// Faults of an engine, set by `POST /control`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Percentage of requests that are answered with 500.
    pub fail_percent: u64,
    /// Path that failures are limited to; empty for all paths.
    pub fail_path: String,
    /// Number of requests served before failures start.
    pub fail_after: u64,
    /// Failures occur only while more than this many requests are running; 0 for
    /// always.
    pub fail_above: u32,
    /// Factor applied to the duration of every step.
    pub slow_factor: f64,
    /// Streams stay open without producing tokens.
    pub freeze: bool,
    /// Requests are refused with 503.
    pub busy: bool,
    /// One chunk of each answer carries the id of another request.
    pub crossed: bool,
    /// One chunk of each answer is sent twice.
    pub doubled: bool,
    /// One chunk of each answer is omitted.
    pub skipped: bool,
    /// Each stream is closed after this many tokens; 0 for never.
    pub cut_after: u64,
    /// A prompt that contains this text crashes the engine; empty for none.
    pub crash_on: String,
    /// The engine crashes immediately.
    pub die: bool,
    /// Age of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Time for which the engine is cold from now on, in milliseconds.
    pub cold_ms: u64,
    /// Requests per second that the engine tolerates while it is cold; it crashes when it
    /// gets more than one and a half times as many and five in a second.
    pub cold_per_s: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            fail_percent: 0,
            fail_path: String::new(),
            fail_after: 0,
            fail_above: 0,
            slow_factor: 1.0,
            freeze: false,
            busy: false,
            crossed: false,
            doubled: false,
            skipped: false,
            cut_after: 0,
            crash_on: String::new(),
            die: false,
            load_lag_ms: 200,
            cold_ms: 0,
            cold_per_s: 0.0,
        }
    }
}

impl Faults {
    /// Returns the cold phase that begins now.
    pub fn cold_phase(&self) -> ColdPhase {
        ColdPhase::new(Duration::from_millis(self.cold_ms), self.cold_per_s)
    }

    /// Returns whether the request with number `count` must fail while `running`
    /// requests are running.
    pub fn fails_request(&self, path: &str, count: u64, running: u32) -> bool {
        let matches_path = self.fail_path.is_empty() || self.fail_path == path;
        let sample = crate::core::hash(&["fail", &count.to_string()]) % 100;
        matches_path
            && count > self.fail_after
            && (self.fail_above == 0 || running > self.fail_above)
            && sample < self.fail_percent
    }
}
