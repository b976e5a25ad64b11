//! Request rates that servers accept from all nodes together.
//!
//! A node can hold a whole request however small its share of a limit is, and nodes that
//! have not sent to a server for a while hold one each. So only as many nodes share a
//! limit as may send at the same moment; the others use other servers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core;
use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::pacer;
use crate::core::route::pacer::Pacer;
use crate::core::route::servers::Server;
use crate::core::route::servers::Servers;
use crate::core::route::servers::Vm;
use crate::core::route::subset;
use crate::core::time::Time;

/// Span over which a server judges the rate of its requests, in seconds.
const WINDOW_S: f64 = 4.0;

/// Multiple of its limit that a server may get in such a span.
const TOLERANCE: f64 = 1.5;

/// Requests that it may get beyond that.
const SLACK: f64 = 5.0;

/// Requests that are left for nodes that do not yet agree on who shares a limit.
const RESERVE: f64 = 1.0;

/// Fraction of the tolerance that is used if each node sends at most once in a span.
const SPREAD_FRACTION: f64 = 0.5;

/// Time for which nodes tell each other that a limit has ended.
const NEWS_TIME: Duration = Duration::from_secs(10);

/// Maximum number of ended limits in one message.
const MAX_NEWS: usize = 256;

/// The request rate that a server accepts, and this node's share of it.
#[derive(Clone, Debug)]
pub(super) struct RateLimit {
    /// Requests per second from all nodes together.
    pub(super) total: f64,
    /// Time of the last answer that named it.
    named_at: Time,
    /// Spaces the requests of this node, or `None` if other nodes share the limit.
    pacer: Option<Pacer>,
}

impl RateLimit {
    /// Returns the time until a request of this node is allowed.
    ///
    /// Without a share, it is the time in which another node may send one.
    fn wait(&self, now: Time) -> Duration {
        match &self.pacer {
            Some(pacer) => pacer.wait(now),
            None => pacer::interval(self.total),
        }
    }
}

/// A limit that has ended, as nodes tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitEnd {
    /// Incarnation of the server.
    pub server: Name,
    /// Time since an answer of the server named no limit.
    pub age: Duration,
}

impl Server {
    /// Returns the time until the server's rate limit allows a request of this node.
    fn limit_wait(&self, now: Time) -> Duration {
        let limit = self.rate_limit.as_ref();
        limit.map_or(Duration::ZERO, |limit| limit.wait(now))
    }
}

impl Servers {
    /// Records the request rate that a server accepts from all nodes together, and
    /// returns whether it is new.
    ///
    /// `random`, from 0 to 1, delays the first request under a new limit.
    pub fn record_rate_limit(
        &mut self,
        id: &str,
        total: Option<f64>,
        random: f64,
        now: Time,
    ) -> bool {
        let Some(server) = self.by_id.get_mut(id) else {
            return false;
        };
        let known = server.rate_limit.as_ref().map(|limit| limit.total);
        if let Some(limit) = &mut server.rate_limit {
            limit.named_at = now;
        }
        if known == total {
            return false;
        }
        let Some(total) = total else {
            server.rate_limit = None;
            self.ended_limits.insert(id.into(), now);
            return true;
        };
        self.ended_limits.remove(id);
        let share = self.rate_share(id, total);
        if let Some(server) = self.by_id.get_mut(id) {
            let pacer = server.rate_limit.take().and_then(|limit| limit.pacer);
            let pacer = share.map(|rate| match pacer {
                Some(pacer) => pacer.with_rate(rate, now),
                None => Pacer::new(rate, random, now),
            });
            server.rate_limit = Some(RateLimit {
                total,
                named_at: now,
                pacer,
            });
        }
        true
    }

    /// Returns the time until both the limit that a server names and the rate that it
    /// tolerates while it is cold allow a request of this node; the lower of them applies.
    pub(super) fn pacing_of(&self, server: &Server, now: Time) -> Duration {
        server.limit_wait(now).max(self.cold_wait(server, now))
    }

    /// Returns whether the rate of requests to a server is limited.
    pub(super) fn is_paced_server(&self, server: &Server, now: Time) -> bool {
        server.rate_limit.is_some() || self.coldness_of(server, now).is_some()
    }

    /// Sets the sorted names of the nodes that share the rate limits of the servers.
    pub fn set_nodes(&mut self, names: &[Name], now: Time) {
        self.record_activity(now);
        let is_same = self.nodes == names;
        if is_same && self.has_shares && !self.needs_cold_shares(now) {
            return;
        }
        if !is_same {
            self.nodes = names.to_vec();
        }
        self.share_limits(now);
        self.share_cold(now);
        self.has_shares = true;
    }

    /// Recomputes this node's shares of all limits.
    fn share_limits(&mut self, now: Time) {
        let limited = self.iter().filter_map(|server| {
            let limit = server.rate_limit.as_ref()?;
            Some((server.vm.id.clone(), limit.total))
        });
        let shares: Vec<(Name, Option<f64>)> = limited
            .map(|(id, total)| {
                let share = self.rate_share(&id, total);
                (id, share)
            })
            .collect();
        for (id, share) in shares {
            let server = self.by_id.get_mut(&id);
            if let Some(limit) = server.and_then(|server| server.rate_limit.as_mut()) {
                let pacer = limit.pacer.take();
                limit.pacer = share.map(|rate| match pacer {
                    Some(pacer) => pacer.with_rate(rate, now),
                    // The node that had the share before may just have used it.
                    None => Pacer::new(rate, 0.0, now),
                });
            }
        }
    }

    /// Returns the rate at which this node may send to a server that accepts `total`
    /// requests per second, or `None` if other nodes share the limit.
    fn rate_share(&self, id: &str, total: f64) -> Option<f64> {
        let server = self.by_id.get(id)?;
        let senders = sender_count(total, self.nodes.len().max(1));
        let others = self.nodes.iter().filter(|name| **name != self.node);
        let score = |node: &Name| core::hash(&["limit", node, id]);
        let own = score(&self.node);
        let scored = others.map(|name| (score(name), name));
        let mut before: Vec<(u64, &Name)> = scored.filter(|row| row.0 > own).collect();
        if before.len() >= senders {
            before.sort_unstable_by(|a, b| b.cmp(a));
            let group = CandidateGroup::new(self, server);
            let candidates = before.iter().filter(|(_, name)| group.has(name, id));
            if candidates.take(senders).count() == senders {
                return None;
            }
        }
        Some(total / senders as f64)
    }

    /// Counts a request to a server against its rate limit and what it tolerates while it
    /// is cold, and returns whether it is cold.
    pub fn spend_rate(&mut self, id: &str, now: Time) -> bool {
        let server = self.by_id.get_mut(id);
        let limit = server.and_then(|server| server.rate_limit.as_mut());
        if let Some(pacer) = limit.and_then(|limit| limit.pacer.as_mut()) {
            pacer.spend(now);
        }
        self.spend_cold(id, now)
    }

    /// Returns the time until the rate limit of a server allows a request of this node.
    pub fn server_wait(&self, id: &str, now: Time) -> Duration {
        let server = self.by_id.get(id);
        server.map_or(Duration::ZERO, |server| self.pacing_of(server, now))
    }

    /// Returns the time until any candidate accepts a request, or `None` if none is
    /// closed or limits the rate.
    pub fn pacing_wait(&self, service: &str, version: Option<&str>, now: Time) -> Option<Duration> {
        let opening = self.first_opening(service, version, now)?;
        Some(opening.wait)
    }

    /// Returns the limits that have ended recently, for other nodes.
    pub fn limit_ends(&mut self, now: Time) -> Vec<LimitEnd> {
        self.ended_limits.retain(|_, at| now.since(*at) < NEWS_TIME);
        let ended = self.ended_limits.iter().take(MAX_NEWS);
        let ends = ended.map(|(server, at)| LimitEnd {
            server: server.clone(),
            age: now.since(*at),
        });
        ends.collect()
    }

    /// Records that another node knows the limit of a server to have ended, and returns
    /// whether it was known here.
    ///
    /// A node without a share sends nothing to the server and would not learn of it.
    pub fn record_limit_end(&mut self, end: &LimitEnd, now: Time) -> bool {
        let at = now.before(end.age);
        let Some(server) = self.by_id.get_mut(&end.server) else {
            return false;
        };
        let was_limited = server
            .rate_limit
            .take_if(|limit| limit.named_at < at)
            .is_some();
        if was_limited {
            self.ended_limits.insert(end.server.clone(), at);
        }
        was_limited
    }
}

/// Returns how many of `nodes` nodes share a limit of `total` requests per second.
///
/// Each may have a request to send at the same moment. Either that and the rate together
/// stay within what the server may get in a span, or each node waits for longer than a span
/// between two requests, so that as many nodes as requests are allowed may share.
fn sender_count(total: f64, nodes: usize) -> usize {
    let allowed = |tolerance: f64| (total * tolerance * WINDOW_S + SLACK - RESERVE) as usize;
    let spread = allowed(1.0 + (TOLERANCE - 1.0) * SPREAD_FRACTION);
    if nodes >= spread {
        spread
    } else {
        nodes.min(allowed(TOLERANCE - 1.0))
    }
}

/// The servers among which those are chosen that a node uses in place of each other.
struct CandidateGroup<'a> {
    /// Servers of the failure domain of one of them.
    domain: Vec<&'a Name>,
    /// Number of these that each node uses at most.
    used: usize,
}

impl<'a> CandidateGroup<'a> {
    /// Collects the servers that serve the same requests as `server`.
    fn new(servers: &'a Servers, server: &Server) -> Self {
        let Vm {
            service, version, ..
        } = &server.vm;
        let mut domain = Vec::new();
        let mut sizes: NameMap<usize> = NameMap::new();
        let members = servers.iter().filter(|other| {
            other.vm.service == *service
                && other.vm.version == *version
                && other.is_choosable(&servers.evacuated)
        });
        for other in members {
            *sizes.get_or_insert_with(&other.vm.domain, || 0) += 1;
            if other.vm.domain == server.vm.domain {
                domain.push(&other.vm.id);
            }
        }
        let taken = |rounds: usize| -> usize {
            let sizes = sizes.iter().map(|(_, size)| rounds.min(*size));
            sizes.sum()
        };
        // A subset takes one server of each domain in turn.
        let used = (1..=domain.len()).find(|rounds| taken(*rounds) >= subset::MAX_CANDIDATES);
        Self {
            used: used.unwrap_or(domain.len()),
            domain,
        }
    }

    /// Returns whether `node` has the server `id` among its candidates.
    fn has(&self, node: &str, id: &str) -> bool {
        if self.used >= self.domain.len() {
            return true;
        }
        let score = subset::score(node, id);
        let before = self.domain.iter().filter(|other| {
            let other_score = subset::score(node, other);
            other_score > score
        });
        before.take(self.used).count() < self.used
    }
}
