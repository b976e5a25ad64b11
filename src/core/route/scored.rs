//! The default policy: lowest predicted time to the first token.

use crate::core::route;
use crate::core::route::Candidate;
use crate::core::route::Policy;
use crate::core::route::Request;

/// Prefill time of one uncached prompt token, in milliseconds.
const PREFILL_MS: f64 = 0.2;

/// Time that each running request adds to the time to the first token, in milliseconds.
const BATCH_MS: f64 = 2.0;

/// Additional time for a server in another failure domain, in milliseconds.
const CROSS_DOMAIN_MS: f64 = 2.0;

/// Expected cost of a VM reclaim for each token of the completion, in milliseconds.
const RECLAIM_MS: f64 = 0.005;

/// Minimum assumed time for which a request occupies a slot, in milliseconds.
const MIN_REQUEST_MS: f64 = 50.0;

/// Chooses the candidate with the lowest predicted time to the first token.
#[derive(Debug, Default)]
pub struct Scored;

impl Scored {
    /// Creates the policy.
    pub fn new() -> Self {
        Self
    }
}

impl Policy for Scored {
    fn choose(
        &mut self,
        request: &Request,
        candidates: &[Candidate],
        random: u64,
    ) -> Option<usize> {
        route::lowest_cost(candidates, random, |candidate| predict(request, candidate))
    }
}

/// Returns the predicted time to the first token on `candidate`, in milliseconds.
pub fn predict(request: &Request, candidate: &Candidate) -> f64 {
    let parts = parts(request, candidate);
    parts.iter().map(|(_, part)| part).sum()
}

/// Returns the parts of the predicted time to the first token, in milliseconds.
pub fn parts(request: &Request, candidate: &Candidate) -> [(&'static str, f64); 5] {
    let slots = f64::from(candidate.slots.max(1));
    let excess = (candidate.inflight + 1.0 - slots).max(0.0);
    let queue = excess * candidate.request_ms.max(MIN_REQUEST_MS) / slots;
    let uncached = (f64::from(request.prompt_tokens) - candidate.cached_tokens).max(0.0);
    let cross_domain = if candidate.same_domain {
        0.0
    } else {
        CROSS_DOMAIN_MS
    };
    let reclaim = if candidate.reclaimable {
        f64::from(request.answer_tokens) * RECLAIM_MS
    } else {
        0.0
    };
    [
        ("queue", queue),
        ("prompt", uncached * PREFILL_MS),
        ("batch", candidate.inflight * BATCH_MS),
        ("domain", cross_domain),
        ("reclaim", reclaim),
    ]
}
