//! Placement by session: each session has a home among the servers.

use crate::core::route;
use crate::core::route::Candidate;
use crate::core::route::Policy;
use crate::core::route::Request;

/// Load over the mean of all candidates at which a home passes requests on.
const SPILL_FACTOR: f64 = 1.35;

/// Requests over the spill factor that a home takes nevertheless.
const SPILL_SLACK: f64 = 3.0;

/// Factor on the median time of all candidates from which a server counts as slow.
const SLOW_FACTOR: f64 = 2.0;

/// Time below which no server counts as slow, in milliseconds.
const SLOW_FLOOR_MS: f64 = 60.0;

/// Requests by which a server in another failure domain counts as more loaded.
const DISTANCE: f64 = 0.5;

/// Sends a session to the same server as long as that server keeps up.
///
/// The home is found by rendezvous hashing, so all nodes choose the same one
/// without asking each other, and the loss of a server moves only the sessions
/// that lived there. A home that is slow, or more loaded than the others by a
/// bounded factor, is skipped for the next in the session's order.
#[derive(Debug, Default)]
pub struct SessionAffinity;

impl SessionAffinity {
    /// Creates the policy.
    pub fn new() -> Self {
        Self
    }
}

impl Policy for SessionAffinity {
    fn choose(&mut self, request: &Request, candidates: &[Candidate], draw: u64) -> Option<usize> {
        let slow_ms = slow_limit(candidates);
        let weigh = |candidate: &Candidate| {
            let slots = f64::from(candidate.slots.max(1));
            let distance = if candidate.same_domain { 0.0 } else { DISTANCE };
            let slowness = (candidate.request_ms / slow_ms).max(1.0);
            (candidate.inflight + 1.0 + distance) * slowness / slots
        };
        let Some(session) = request.session else {
            return route::lowest_cost(candidates, draw, weigh);
        };
        let mean = candidates.iter().map(|c| c.inflight).sum::<f64>() / candidates.len() as f64;
        let limit = mean * SPILL_FACTOR + SPILL_SLACK;
        let keeps_up = |candidate: &Candidate| {
            candidate.inflight <= limit
                && candidate.inflight < f64::from(candidate.slots.max(1))
                && candidate.request_ms <= slow_ms
        };
        let home = (0..candidates.len())
            .filter(|&at| keeps_up(&candidates[at]))
            .max_by_key(|&at| rank(session, &candidates[at]));
        home.or_else(|| route::lowest_cost(candidates, draw, weigh))
    }
}

/// Returns the place of a candidate in the order of a session.
fn rank(session: u64, candidate: &Candidate) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(candidate.id.as_bytes(), session)
}

/// Returns the time above which a candidate counts as slow, in milliseconds.
fn slow_limit(candidates: &[Candidate]) -> f64 {
    let mut times: Vec<f64> = candidates.iter().map(|c| c.request_ms).collect();
    times.sort_by(f64::total_cmp);
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    (median * SLOW_FACTOR).max(SLOW_FLOOR_MS)
}
