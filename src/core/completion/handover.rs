//! What to do with a stream whose backend server is leaving.

use std::time::Duration;

/// Time kept free before a server goes.
const MARGIN: Duration = Duration::from_millis(500);

/// Factor on the predicted time to the end of an answer.
const CAUTION: f64 = 1.5;

/// Shortest time left in which cached blocks are worth exporting.
const MIN_EXPORT_TIME: Duration = Duration::from_millis(1_000);

/// Fewest tokens whose blocks are worth exporting.
const MIN_EXPORT_TOKENS: u64 = 64;

/// What to do with a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Let it end where it is.
    Stay,
    /// Export the cached blocks to another server and go on there.
    Export,
    /// Go on at another server, which computes the prompt again.
    Resume,
}

/// Decides what to do with a stream that has `held` tokens of prompt and answer
/// and at most `remaining` tokens to come, when its server goes after `left`.
pub fn plan(held: u64, remaining: u64, token: Duration, left: Duration) -> Plan {
    let needed = token.mul_f64(remaining as f64 * CAUTION) + MARGIN;
    if needed <= left {
        return Plan::Stay;
    }
    if left >= MIN_EXPORT_TIME && held >= MIN_EXPORT_TOKENS {
        return Plan::Export;
    }
    Plan::Resume
}
