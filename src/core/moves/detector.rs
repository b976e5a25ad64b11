//! Sequential tests of a new version against the old one.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::answer::Class;
use crate::core::moves::latencies::Latencies;
use crate::core::moves::rejections;
use crate::core::moves::rejections::Counts;
use crate::core::moves::rejections::Pair;
use crate::core::moves::route_stats::Cusum;
use crate::core::moves::route_stats::RouteStats;
use crate::core::moves::route_stats::VETO_THRESHOLD;
use crate::core::moves::route_stats::Waiting;
use crate::core::name_map::NameMap;
use crate::core::time::Time;

/// Log-likelihood ratio above which a version is suspected: odds of 7 to 1.
const SUSPICION_THRESHOLD: f64 = 2.0;

/// Time in which the rejections of both versions are compared.
const INTERVAL: Duration = Duration::from_secs(1);

/// Share of the old version's responses from which a route has to be judged.
const MIN_ROUTE_SHARE: f64 = 0.1;

/// What became of one request at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It succeeded; the time runs to the first token or to the complete response.
    Succeeded(Duration),
    /// It was rejected with this status, for whatever reason.
    Rejected(u16),
    /// The server failed.
    Failed,
}

impl Outcome {
    /// Returns the outcome of a complete response with `status`.
    pub const fn of(status: u16, latency: Duration) -> Self {
        match Class::of(status) {
            Class::Success => Outcome::Succeeded(latency),
            Class::Rejection => Outcome::Rejected(status),
            Class::Failure => Outcome::Failed,
        }
    }
}

/// The outcome of one request by version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Whether the new version served the request.
    pub is_new: bool,
    /// What became of the request.
    pub outcome: Outcome,
}

/// Counters of one route that nodes exchange.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteCounts {
    /// Responses of the new version.
    pub responses: u64,
    /// Failed responses among them.
    pub failed: u64,
    /// Slow responses among them.
    pub slow: u64,
}

impl RouteCounts {
    /// Adds other counts.
    pub const fn add(&mut self, other: &RouteCounts) {
        self.responses += other.responses;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    /// Subtracts counts that are included in these.
    pub fn subtract(&mut self, included: &RouteCounts) {
        self.responses = self.responses.saturating_sub(included.responses);
        self.failed = self.failed.saturating_sub(included.failed);
        self.slow = self.slow.saturating_sub(included.slow);
    }
}

/// Counters of the new version by route.
pub type Evidence = NameMap<RouteCounts>;

/// What is known of the new version on one route.
#[derive(Clone, Debug)]
pub struct Assessment {
    /// The route.
    pub route: Name,
    /// Responses of the new version that were judged.
    pub counts: RouteCounts,
    /// Rejections by both versions.
    pub rejected: Pair,
    /// Latency above which a response is slow, if it is known.
    pub slow_limit: Option<Duration>,
    /// Log-likelihood ratio of a faulty version to a good one.
    pub suspicion: f64,
    /// Responses of the old version during the move, at this node.
    pub old_responses: u64,
}

impl Assessment {
    /// Returns whether a faulty version is much more likely than a good one.
    pub fn is_suspected(&self) -> bool {
        self.suspicion > SUSPICION_THRESHOLD
    }
}

impl fmt::Display for Assessment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RouteCounts {
            responses,
            failed,
            slow,
        } = self.counts;
        write!(f, "{}: {failed} failed, {slow} slow", self.route)?;
        write!(f, " of {responses}, suspicion {:.1}", self.suspicion)?;
        let Pair { new, old } = self.rejected;
        if new + old > 0 {
            write!(f, ", rejected {new} (old {old})")?;
        }
        if let Some(limit) = self.slow_limit {
            write!(f, ", limit {} ms", limit.as_millis())?;
        }
        write!(f, ", old {}", self.old_responses)
    }
}

/// Detects regressions of a new version from this node's responses and the
/// counters of its peers.
///
/// Each route is tested separately, so that a fault on one route is not masked
/// by the others. The tests are cumulative sums, so that a fault that starts
/// late is not masked by good responses before it.
#[derive(Clone, Debug, Default)]
pub struct RegressionDetector {
    routes: NameMap<RouteStats>,
    /// Test of the slow responses on all routes together, which finds a version that is
    /// somewhat slow on each of them.
    slowness: Cusum,
    own: Evidence,
    own_answers: NameMap<Counts>,
    interval_began: Option<Time>,
    peers: NameMap<PeerEvidence>,
}

/// Counters of one process of a peer.
#[derive(Clone, Debug, Default)]
struct PeerEvidence {
    incarnation: u64,
    evidence: Evidence,
}

impl RegressionDetector {
    /// Creates a detector without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the latencies that the old version had on `route` before the move.
    pub fn set_baseline(&mut self, route: &Name, latencies: Latencies) {
        let stats = self.routes.get_or_insert_with(route, RouteStats::default);
        stats.baseline = latencies;
    }

    /// Returns the slow limits by the latencies before the move.
    pub fn baseline_limits(&self) -> NameMap<Duration> {
        let limit = |(route, stats): (&Name, &RouteStats)| {
            let limit = stats.baseline_limit()?;
            Some((route.clone(), limit))
        };
        self.routes.iter().filter_map(limit).collect()
    }

    /// Sets the slow limits of a peer by the latencies before the move.
    pub fn share_limits(&mut self, peer: &Name, limits: &NameMap<Duration>) {
        for (route, limit) in limits.iter() {
            let stats = self.routes.get_or_insert_with(route, RouteStats::default);
            stats.shared_limits.insert(peer.clone(), *limit);
        }
    }

    /// Notes the time, so that the rejections of different times are compared apart.
    pub fn record_time(&mut self, now: Time) {
        let began = *self.interval_began.get_or_insert(now);
        if now.since(began) < INTERVAL {
            return;
        }
        self.interval_began = Some(now);
        for (_, stats) in self.routes.iter_mut() {
            stats.rejections.begin_interval();
        }
    }

    /// Records the outcome of a request on `route`.
    ///
    /// A response of the new version counts as soon as there is a slow limit.
    pub fn record(&mut self, route: &Name, sample: &Sample) {
        let Sample { is_new, outcome } = *sample;
        match outcome {
            Outcome::Succeeded(_) => self.add_answer(route, is_new, None),
            Outcome::Rejected(status) => self.add_answer(route, is_new, Some(status)),
            Outcome::Failed => {}
        }
        let stats = self.routes.get_or_insert_with(route, RouteStats::default);
        let counts = match outcome {
            _ if !is_new => {
                stats.record_old(outcome);
                stats.judge_waiting()
            }
            Outcome::Failed => RouteCounts {
                responses: 1,
                failed: 1,
                slow: 0,
            },
            // A rejection says nothing about the speed of the version.
            Outcome::Rejected(_) => RouteCounts::default(),
            Outcome::Succeeded(latency) => {
                let response = Waiting {
                    latency,
                    is_answered: true,
                };
                stats.judge_or_keep(response).unwrap_or_default()
            }
        };
        self.add_own(route, &counts);
    }

    /// Counts an answer that is no failure, at this node and in all.
    fn add_answer(&mut self, route: &Name, is_new: bool, status: Option<u16>) {
        let answer = Pair::one(is_new);
        self.own_answers
            .get_or_insert_with(route, Counts::default)
            .add(answer, status);
        let stats = self.routes.get_or_insert_with(route, RouteStats::default);
        stats.rejections.add(answer, status);
    }

    /// Records a request on `route` that was given up before its response began.
    ///
    /// It counts as slow if it had waited for long enough, and not at all otherwise.
    pub fn record_unanswered(&mut self, route: &Name, is_new: bool, waited: Duration) {
        let stats = self.routes.get_or_insert_with(route, RouteStats::default);
        if !is_new {
            if stats.slow_limit().is_some_and(|limit| waited > limit) {
                stats.record_old(Outcome::Succeeded(waited));
                let counts = stats.judge_waiting();
                self.add_own(route, &counts);
            }
            return;
        }
        let response = Waiting {
            latency: waited,
            is_answered: false,
        };
        let counts = stats.judge_or_keep(response).unwrap_or_default();
        self.add_own(route, &counts);
    }

    fn add_own(&mut self, route: &Name, counts: &RouteCounts) {
        if counts.responses == 0 {
            return;
        }
        let stats = self.routes.get_or_insert_with(route, RouteStats::default);
        stats.add(counts);
        self.slowness.add_slow(counts);
        let own = self.own.get_or_insert_with(route, RouteCounts::default);
        own.add(counts);
    }

    /// Merges the counters of a peer; counters lower than the known ones are
    /// stale.
    pub fn merge(&mut self, node: &Name, evidence: &Evidence) {
        self.merge_process(node, 0, evidence);
    }

    /// Merges the counters of an incarnation of a peer.
    ///
    /// What the incarnations before it have counted stays.
    pub fn merge_process(&mut self, node: &Name, incarnation: u64, evidence: &Evidence) {
        let known = self.peers.get_or_insert_with(node, PeerEvidence::default);
        if incarnation < known.incarnation {
            return;
        }
        if incarnation > known.incarnation {
            *known = PeerEvidence {
                incarnation,
                evidence: Evidence::new(),
            };
        }
        let known = &mut known.evidence;
        for (route, counts) in evidence.iter() {
            let last = known.get_or_insert_with(route, RouteCounts::default);
            if counts.responses == 0
                && let Some((route, status)) = rejections::parse_row(route)
            {
                let added = RouteCounts {
                    responses: 0,
                    failed: counts.failed.saturating_sub(last.failed),
                    slow: counts.slow.saturating_sub(last.slow),
                };
                last.add(&added);
                let stats = self.routes.get_or_insert_with(&route, RouteStats::default);
                stats.rejections.add_row(status, &added);
                continue;
            }
            if counts.responses <= last.responses {
                continue;
            }
            let added = RouteCounts {
                responses: counts.responses - last.responses,
                failed: counts.failed.saturating_sub(last.failed),
                slow: counts.slow.saturating_sub(last.slow),
            };
            *last = *counts;
            self.slowness.add_slow(&added);
            self.routes
                .get_or_insert_with(route, RouteStats::default)
                .add(&added);
        }
    }

    /// Returns this node's own counters.
    ///
    /// The answers of both versions are included on routes where any of them is a rejection.
    pub fn evidence(&self) -> Evidence {
        let mut evidence = self.own.clone();
        for (route, own) in self.own_answers.iter() {
            let known = self.routes.get(route);
            if known.is_some_and(|stats| stats.rejections.has_any()) {
                for (name, counts) in own.rows(route) {
                    evidence.insert(name, counts);
                }
            }
        }
        evidence
    }

    /// Returns the number of tested responses of the new version.
    pub fn responses(&self) -> u64 {
        self.routes
            .iter()
            .map(|(_, stats)| stats.judged_responses())
            .sum()
    }

    /// Returns what is known of the new version on each route.
    pub fn assessments(&self) -> impl Iterator<Item = Assessment> {
        self.routes.iter().map(|(route, stats)| Assessment {
            route: route.clone(),
            counts: stats.total,
            slow_limit: stats.slow_limit(),
            rejected: stats.rejections.rejected(),
            suspicion: stats.suspicion(),
            old_responses: stats.old_responses as u64,
        })
    }

    /// Returns the first route on which a fault is likely, if there is one.
    pub fn suspected_route(&self) -> Option<Name> {
        let mut suspected = self.assessments().filter(Assessment::is_suspected);
        suspected.next().map(|row| row.route)
    }

    /// Returns a route that carries much of the traffic and on which fewer than `count`
    /// responses of the new version were judged, if there is one.
    pub fn unjudged_route(&self, count: u64) -> Option<Name> {
        let old: u64 = self.assessments().map(|row| row.old_responses).sum();
        let min_old = old as f64 * MIN_ROUTE_SHARE;
        let is_unjudged = |row: &Assessment| {
            row.old_responses > 0
                && row.old_responses as f64 >= min_old
                && row.counts.responses + row.rejected.new < count
        };
        self.assessments().find(is_unjudged).map(|row| row.route)
    }

    /// Describes the fault of the new version in one clause, if there is one.
    pub fn fault(&self) -> Option<String> {
        let on_route = self
            .routes
            .iter()
            .find_map(|(name, stats)| stats.fault(name));
        on_route.or_else(|| self.common_fault())
    }

    /// Describes the slowness on all routes together, if there is one.
    fn common_fault(&self) -> Option<String> {
        if self.slowness.sum < VETO_THRESHOLD {
            return None;
        }
        let mut total = RouteCounts::default();
        let routes = self.routes.iter();
        routes.for_each(|(_, stats)| total.add(&stats.total));
        let RouteCounts {
            responses, slow, ..
        } = total;
        Some(format!(
            "{slow} of {responses} responses on all routes were slow, compared with 1 in 10 on the old version"
        ))
    }
}
