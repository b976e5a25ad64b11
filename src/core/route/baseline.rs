//! Baseline policies for comparison with the default policy.

use crate::core::route;
use crate::core::route::Candidate;
use crate::core::route::Policy;
use crate::core::route::Request;

/// Chooses the candidates in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Creates the policy.
    pub fn new() -> Self {
        Self::default()
    }
}

impl Policy for RoundRobin {
    fn choose(&mut self, _: &Request, candidates: &[Candidate], _: u64) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(self.next % candidates.len())
    }
}

/// Chooses the candidate with the fewest requests per slot.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl LeastLoaded {
    /// Creates the policy.
    pub fn new() -> Self {
        Self
    }
}

impl Policy for LeastLoaded {
    fn choose(&mut self, _: &Request, candidates: &[Candidate], random: u64) -> Option<usize> {
        route::lowest_cost(candidates, random, load)
    }
}

/// Chooses the less loaded of two randomly chosen candidates.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl TwoChoices {
    /// Creates the policy.
    pub fn new() -> Self {
        Self
    }
}

impl Policy for TwoChoices {
    fn choose(&mut self, _: &Request, candidates: &[Candidate], random: u64) -> Option<usize> {
        let count = candidates.len() as u64;
        if count == 0 {
            return None;
        }
        let a = (random % count) as usize;
        let b = ((random >> 32) % count) as usize;
        if load(&candidates[b]) < load(&candidates[a]) {
            Some(b)
        } else {
            Some(a)
        }
    }
}

/// Returns the requests per slot at a candidate.
pub fn load(candidate: &Candidate) -> f64 {
    candidate.inflight / f64::from(candidate.slots.max(1))
}
