//! The policy in use: lowest predicted time to the first token.

use crate::core::route;
use crate::core::route::Candidate;
use crate::core::route::Policy;
use crate::core::route::Request;

/// Time that one uncached prompt token takes in prefill, in milliseconds.
const PREFILL_MS: f64 = 0.2;

/// Time that each request already running adds to the first token, in milliseconds.
const BATCH_MS: f64 = 2.0;

/// Added time for a server in another failure domain, in milliseconds.
const DISTANCE_MS: f64 = 2.0;

/// Expected cost of a reclaim for each token of the answer, in milliseconds.
const RECLAIM_MS: f64 = 0.005;

/// Least time that a request is taken to hold its slot, in milliseconds.
const MIN_REQUEST_MS: f64 = 50.0;

/// Picks the candidate with the lowest predicted time to the first token.
#[derive(Debug, Default)]
pub struct Scored;

impl Scored {
    /// Creates the policy.
    pub fn new() -> Self {
        Self
    }
}

impl Policy for Scored {
    fn choose(&mut self, request: &Request, candidates: &[Candidate], draw: u64) -> Option<usize> {
        route::lowest_cost(candidates, draw, |candidate| predict(request, candidate))
    }
}

/// Returns the predicted time to the first token at `candidate`, in milliseconds.
pub fn predict(request: &Request, candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let excess = (candidate.inflight + 1.0 - slots).max(0.0);
    let queue = excess * candidate.request_ms.max(MIN_REQUEST_MS) / slots;
    let uncached = (f64::from(request.prompt_tokens) - candidate.cached_tokens).max(0.0);
    let distance = if candidate.same_domain {
        0.0
    } else {
        DISTANCE_MS
    };
    let risk = if candidate.reclaimable {
        f64::from(request.answer_tokens) * RECLAIM_MS
    } else {
        0.0
    };
    queue + uncached * PREFILL_MS + candidate.inflight * BATCH_MS + distance + risk
}
