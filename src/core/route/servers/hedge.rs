//! Servers for a second attempt beside one that has not begun to answer.

use crate::core::route::Candidate;
use crate::core::route::Request;
use crate::core::route::servers::Filter;
use crate::core::route::servers::Servers;
use crate::core::time::Time;

impl Servers {
    /// Returns the candidates for a second attempt beside one at the server `first`.
    ///
    /// These are sound servers with a free slot that neither limit their rate nor are cold
    /// or on trial after a closure, in other failure domains than `first` if there are any.
    pub fn hedge_candidates(
        &self,
        first: &str,
        filter: &Filter<'_>,
        request: &Request,
        now: Time,
    ) -> Vec<Candidate> {
        let is_unlimited = |candidate: &Candidate| {
            self.get(&candidate.id).is_some_and(|server| {
                let is_open = server.is_usable(now) && server.closure.is_none();
                is_open && !self.is_paced_server(server, now)
            })
        };
        let mut candidates = self.candidates(filter, request, now);
        candidates.retain(|candidate| {
            let has_slot = candidate.inflight < f64::from(candidate.slots.max(1));
            *candidate.id != *first && has_slot && is_unlimited(candidate)
        });
        let domain = |id: &str| self.get(id).map(|server| &server.vm.domain);
        let is_elsewhere = |candidate: &Candidate| domain(&candidate.id) != domain(first);
        if candidates.iter().any(is_elsewhere) {
            candidates.retain(is_elsewhere);
        }
        candidates
    }
}
