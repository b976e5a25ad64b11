//! Handover of a stream whose backend server is shutting down.

use std::time::Duration;

/// Time that must remain between the end of a stream and the shutdown of its server.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Safety factor on the predicted time to the end of a completion.
const SAFETY_FACTOR: f64 = 1.5;

/// Minimum time before the shutdown that makes exporting cached blocks worthwhile.
const MIN_EXPORT_TIME: Duration = Duration::from_millis(1_000);

/// Minimum number of tokens that makes exporting their blocks worthwhile.
const MIN_EXPORT_TOKENS: u64 = 64;

/// How a stream continues when its backend server shuts down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// The stream finishes on its current server.
    Stay,
    /// The cached blocks are exported to another server, where the stream continues.
    Export,
    /// The stream continues on another server, which recomputes the prompt.
    Resume,
}

/// Chooses how a stream continues when its server shuts down in `time_left`.
///
/// `computed` is the number of prompt and completion tokens computed so far,
/// `remaining` the maximum number of tokens to come and `token_time` the expected
/// time for each of them.
pub fn plan(computed: u64, remaining: u64, token_time: Duration, time_left: Duration) -> Plan {
    let needed = token_time.mul_f64(remaining as f64 * SAFETY_FACTOR) + SHUTDOWN_MARGIN;
    if needed <= time_left {
        return Plan::Stay;
    }
    if time_left >= MIN_EXPORT_TIME && computed >= MIN_EXPORT_TOKENS {
        return Plan::Export;
    }
    Plan::Resume
}
