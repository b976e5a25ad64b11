//! Session affinity: the requests of a session go to the same server.

use crate::core::route;
use crate::core::route::Candidate;
use crate::core::route::Policy;
use crate::core::route::Request;

/// Maximum load of a session's server relative to the mean load of the candidates.
const LOAD_FACTOR: f64 = 1.35;

/// Number of requests that a session's server may have beyond `LOAD_FACTOR`.
const LOAD_SLACK: f64 = 3.0;

/// Request time above which a server counts as slow, relative to the median of the candidates.
const SLOW_FACTOR: f64 = 2.0;

/// Request time up to which no server counts as slow, in milliseconds.
const MIN_SLOW_MS: f64 = 60.0;

/// Number of requests added to the load of a server in another failure domain.
const CROSS_DOMAIN_PENALTY: f64 = 0.5;

/// Sends all requests of a session to the same server while it is neither slow nor overloaded.
///
/// The server is chosen by rendezvous hashing with bounded loads. All nodes choose
/// the same server without coordination, and the loss of a server moves only the
/// sessions on it. A server that is slow, has no free slot or exceeds the load
/// bound is skipped in favor of the next one in the session's order.
#[derive(Debug, Default)]
pub struct SessionAffinity;

impl SessionAffinity {
    /// Creates the policy.
    pub fn new() -> Self {
        Self
    }
}

impl Policy for SessionAffinity {
    fn choose(
        &mut self,
        request: &Request,
        candidates: &[Candidate],
        random: u64,
    ) -> Option<usize> {
        let slow_ms = slow_threshold_ms(candidates);
        let cost = |candidate: &Candidate| {
            let slots = f64::from(candidate.slots.max(1));
            let penalty = if candidate.same_domain {
                0.0
            } else {
                CROSS_DOMAIN_PENALTY
            };
            let slowness = (candidate.request_ms / slow_ms).max(1.0);
            (candidate.inflight + 1.0 + penalty) * slowness / slots
        };
        let Some(session) = request.session else {
            return route::lowest_cost(candidates, random, cost);
        };
        let mean = candidates.iter().map(|c| c.inflight).sum::<f64>() / candidates.len() as f64;
        let limit = mean * LOAD_FACTOR + LOAD_SLACK;
        let is_eligible = |candidate: &Candidate| {
            candidate.inflight <= limit
                && candidate.inflight < f64::from(candidate.slots.max(1))
                && candidate.request_ms <= slow_ms
        };
        let preferred = (0..candidates.len())
            .filter(|&index| is_eligible(&candidates[index]))
            .max_by_key(|&index| score(session, &candidates[index]));
        preferred.or_else(|| route::lowest_cost(candidates, random, cost))
    }
}

/// Returns the rendezvous hash of a candidate for a session.
fn score(session: u64, candidate: &Candidate) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(candidate.id.as_bytes(), session)
}

/// Returns the request time above which a candidate counts as slow, in milliseconds.
fn slow_threshold_ms(candidates: &[Candidate]) -> f64 {
    let mut times: Vec<f64> = candidates.iter().map(|c| c.request_ms).collect();
    times.sort_by(f64::total_cmp);
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    (median * SLOW_FACTOR).max(MIN_SLOW_MS)
}
