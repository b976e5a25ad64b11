//! Faults of an engine.

use serde::Deserialize;
use serde::Serialize;

/// Faults of an engine, set by `POST /control`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Requests of 100 that are answered with 500.
    pub fail_percent: u64,
    /// Failures hit only this path; empty for all.
    pub fail_path: String,
    /// Requests served before failures begin.
    pub fail_after: u64,
    /// Failures hit only while more requests than this run.
    pub fail_above: u32,
    /// Factor on the time of every step.
    pub slow_factor: f64,
    /// Streams stay open and no token comes.
    pub freeze: bool,
    /// Requests are refused with 503.
    pub busy: bool,
    /// One chunk of each answer names another request.
    pub crossed: bool,
    /// One chunk of each answer comes twice.
    pub doubled: bool,
    /// One chunk of each answer is left out.
    pub skipped: bool,
    /// Each answer is cut after this many tokens; 0 for never.
    pub cut_after: u64,
    /// A prompt that contains this text takes the engine down; empty for none.
    pub crash_on: String,
    /// The engine goes down now.
    pub die: bool,
    /// Load reports are this old, in milliseconds.
    pub load_lag_ms: u64,
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
        }
    }
}

impl Faults {
    /// Returns whether the request with number `count` fails.
    pub fn fails(&self, path: &str, count: u64, running: u32) -> bool {
        let hits_path = self.fail_path.is_empty() || self.fail_path == path;
        let draw = crate::core::hash(&["fail", &count.to_string()]) % 100;
        hits_path
            && count > self.fail_after
            && (self.fail_above == 0 || running > self.fail_above)
            && draw < self.fail_percent
    }
}
