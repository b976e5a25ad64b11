//! Pacing of a node's requests to cold servers.

use std::time::Duration;

use crate::core::route::Candidate;
use crate::core::route::pacer;
use crate::core::route::pacer::Pacer;
use crate::core::route::servers::Filter;
use crate::core::route::servers::Server;
use crate::core::route::servers::Servers;
use crate::core::route::servers::cold::share;
use crate::core::route::servers::cold::share::Share;
use crate::core::time::Time;

/// Time after its start for which a node takes part with the smallest share, since the
/// others may not know of it yet: two rounds of messages and their evaluation.
const JOIN_TIME: Duration = Duration::from_secs(2);

/// Longest time from the choice of a cold server until the request is sent.
///
/// A request that has waited for longer, for example because the node was paused, would
/// add to those that are allowed by then.
const MAX_HOLD: Duration = Duration::from_millis(150);

impl Servers {
    /// Returns the time until a cold server may get a request of this node.
    pub(in crate::core::route::servers) fn cold_wait(
        &self,
        server: &Server,
        now: Time,
    ) -> Duration {
        let Some(rule) = server.cold.rule else {
            return Duration::ZERO;
        };
        let Some(coldness) = self.coldness_of(server, now) else {
            return Duration::ZERO;
        };
        let wait = match &server.cold.pacer {
            Some(pacer) => pacer.wait(now),
            None => pacer::interval(share::used_rate(rule.rate, self.cold.tolerance)),
        };
        // A server that is warm before accepts requests from then on.
        coldness.left.map_or(wait, |left| wait.min(left))
    }

    /// Returns whether a candidate is not chosen because it is cold and has had its share.
    pub fn has_cold_held(&self, filter: &Filter<'_>, now: Time) -> bool {
        self.cold.rules.get(filter.service).is_some()
            && self
                .subset(filter.service, filter.version)
                .any(|server| !self.cold_wait(server, now).is_zero())
    }

    /// Counts a request to a server against this node's share, and returns whether the
    /// server is cold.
    pub(in crate::core::route::servers) fn spend_cold(&mut self, id: &str, now: Time) -> bool {
        let is_cold = self.coldness(id, now).is_some();
        let known = self.by_id.get_mut(id).map(|server| &mut server.cold);
        let Some(known) = known else {
            return false;
        };
        if is_cold && let Some(least) = &mut known.least {
            least.spend(now);
        }
        if let Some(pacer) = &mut known.pacer {
            if is_cold {
                pacer.spend(now);
            } else {
                // Counts if the server becomes cold right after this request.
                pacer.drain(now);
            }
        }
        is_cold
    }

    /// Keeps only the cold candidates that have not had their least part of the requests,
    /// if there are any.
    ///
    /// Sessions stay at the servers that they know, so that a single cold server among many
    /// others would get hardly any request of a node that has a share of it.
    pub(in crate::core::route::servers) fn prefer_due(
        &self,
        candidates: Vec<Candidate>,
        now: Time,
    ) -> Vec<Candidate> {
        let is_due = |candidate: &Candidate| {
            let server = self.by_id.get(&candidate.id);
            server.is_some_and(|server| server.cold.is_use_due(now))
        };
        if self.cold.rules.is_empty() || !candidates.iter().any(is_due) {
            return candidates;
        }
        candidates.into_iter().filter(is_due).collect()
    }

    /// Returns whether a request that was counted against the share of a cold server at
    /// `paced` may be sent now.
    pub fn is_paced(&self, id: &str, paced: Option<Time>, now: Time) -> bool {
        let is_recent = paced.is_some_and(|at| now.since(at) <= MAX_HOLD);
        is_recent || self.coldness(id, now).is_none()
    }

    /// Recomputes this node's shares of all candidates that may be cold.
    pub(in crate::core::route::servers) fn share_cold(&mut self, now: Time) {
        if self.cold.rules.is_empty() {
            return;
        }
        let is_joining = self.is_joining(now);
        self.cold.was_joining = is_joining;
        for (id, share) in share::shares(self, is_joining) {
            let Some(server) = self.by_id.get_mut(&id) else {
                continue;
            };
            let known = &mut server.cold;
            let is_first = known.share == Share::Unknown && !is_joining;
            known.share = share;
            let first_level = share::first_level(&self.node, &id);
            let least = share.rate().map(|rate| rate * share::LEAST_FRACTION);
            known.least = least.map(|rate| match known.least.take() {
                Some(least) => least.with_rate(rate, now),
                None => Pacer::new(rate, first_level, now),
            });
            let pacer = known.pacer.take();
            known.pacer = share.rate().map(|rate| match pacer {
                Some(pacer) => pacer.with_rate(rate, now),
                // The nodes would otherwise all send one at the same moment.
                None if is_first => Pacer::new(rate, first_level, now),
                // The node that had the share before may just have used it.
                None => Pacer::new(rate, 0.0, now),
            });
        }
    }

    /// Returns whether the other nodes may not know of this one yet.
    fn is_joining(&self, now: Time) -> bool {
        let started = self.cold.started_at;
        started.is_none_or(|started| now.since(started) < JOIN_TIME)
    }

    /// Returns whether the shares were computed while the others may not have known this
    /// node, which is over.
    pub(in crate::core::route::servers) fn needs_cold_shares(&self, now: Time) -> bool {
        self.has_cold_starts() && self.cold.was_joining && !self.is_joining(now)
    }
}
