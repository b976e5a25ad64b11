//! Workspace quotas that all nodes enforce together.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::time::Time;

/// Time constant of the moving average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Debt of a new node, as time at the full rate, since processes that ran
/// before may have admitted too much.
const STARTUP_DEBT: Duration = Duration::from_secs(1);

/// Lowest node age for which the demand average is corrected for the short time
/// of measurement.
const MIN_AGE: Duration = Duration::from_millis(100);

/// Time over which a level above or below zero is used up or repaid.
///
/// It is longer than reports of other nodes take, so that the nodes together do
/// not oscillate between admitting too much and too little.
const LEVEL_CORRECTION: Duration = Duration::from_millis(2_500);

/// Fraction of the rate that is admitted, since reports of other nodes arrive
/// late.
const RATE_FRACTION: f64 = 0.97;

/// Fraction of the units allowed in a window that requests may use without regard
/// to the rate. The rest covers units that other nodes admit and have not reported.
const WINDOW_FRACTION: f64 = 0.8;

/// Time after which reports of other nodes are known at every node.
const REPORT_DELAY: Duration = Duration::from_millis(1_250);

/// Age of the newest units that a report of other nodes includes when it arrives.
const REPORT_AGE: Duration = Duration::from_millis(750);

/// Time without reports after which a node admits no more than its part of the room
/// that was left: two rounds.
const STALE_AGE: Duration = Duration::from_secs(1);

/// Resolution of the record of the probability of admission.
const CHANCE_BUCKET: Duration = Duration::from_millis(250);

/// Requests that a node sees by chance, and which show no surge.
const SURGE_REQUESTS: f64 = 3.0;

/// Time without reports, or a window if that is longer, for which the units that other
/// nodes admit are estimated.
const ESTIMATE_RETENTION: Duration = Duration::from_secs(10);

/// Interval at which the units that other nodes admit are estimated.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(50);

/// Resolution of the record of admitted units.
const BUCKET: Duration = Duration::from_millis(500);

/// Longest retry delay that is returned to a caller.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// How far a workspace may exceed its quota within a time window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Duration,
    /// Fraction of the quota of a window by which it may be exceeded.
    pub ratio: f64,
    /// Units by which it may be exceeded in addition.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the units that a workspace may use in a window.
    pub fn allowed(&self, rate: f64, burst: f64) -> f64 {
        let quota = rate * self.window.as_secs_f64() + burst;
        quota * (1.0 + self.ratio) + self.slack
    }
}

/// A refusal of a request that exceeds the quota, with the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    /// Time until the units of the request are available.
    pub wait: Duration,
    /// Limit in units per second.
    pub rate: f64,
    /// Units available, or negative if too many were admitted.
    pub level: f64,
    /// Units that all nodes admitted in the last window, as far as known.
    pub used: f64,
    /// Units that other nodes are expected to have admitted and not reported.
    pub expected: f64,
    /// Recent demand at this node, in units per second.
    pub own_demand: f64,
    /// Recent demand at the other nodes, in units per second.
    pub peer_demand: f64,
    /// Time since the other nodes' demand was recorded.
    pub peer_age: Duration,
}

/// The quota of one workspace as this node sees it.
///
/// While the workspace has used little of what it is allowed in a time window, its
/// requests are admitted even if they come at once: the demand of a workspace with
/// few large requests varies much from second to second. Beyond that, the rate
/// decides.
///
/// A node starts with no burst left and a small debt, since processes that ran
/// before may have used both. If more than the rate is asked for, they may have admitted
/// that too until they knew, so the excess counts until the node has seen a window.
/// Every node tracks what all nodes have admitted, and admits a request with a
/// probability that is the same on every node: the rate, plus or minus a share of the
/// remaining level, divided by the total demand. The probability does not depend on the
/// size of a request, and a workspace within its quota is not refused, no matter how
/// its requests are spread over the nodes.
///
/// Until a report arrives, the other nodes are expected to admit their demand with
/// that probability too. Without a report for a while, their demand is unknown, and a
/// node admits at most an equal part of the room that is left in the window, so that
/// all nodes together stay within it, whatever the demand.
#[derive(Clone, Debug)]
pub struct Quota {
    rate: f64,
    burst: f64,
    level: f64,
    admitted: f64,
    own_demand: f64,
    peer_demand: f64,
    peer_at: Time,
    /// Moving average of the demand at all nodes over about a window.
    mean_demand: f64,
    unreported: usize,
    /// Number of nodes, including this one.
    nodes: usize,
    tolerance: Tolerance,
    /// Units admitted by all nodes, by the time at which this node learned of them.
    buckets: VecDeque<(Time, f64)>,
    /// Probability with which other nodes admitted requests, times seconds, since the
    /// units that they have reported.
    chances: VecDeque<(Time, f64)>,
    estimated_at: Time,
    /// Requests at this node since the last report.
    recent_requests: u32,
    /// Requests at this node and their units.
    requests: f64,
    requested: f64,
    /// Units that this node admitted since the last report.
    own_recent: VecDeque<(Time, f64)>,
    updated_at: Time,
    created_at: Time,
}

impl Quota {
    /// Creates the quota of a workspace without recent requests.
    pub fn new(now: Time) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            level: 0.0,
            admitted: 0.0,
            own_demand: 0.0,
            peer_demand: 0.0,
            peer_at: now,
            mean_demand: 0.0,
            unreported: 0,
            nodes: 1,
            tolerance: Tolerance::default(),
            buckets: VecDeque::new(),
            chances: VecDeque::new(),
            estimated_at: now,
            recent_requests: 0,
            requests: 0.0,
            requested: 0.0,
            own_recent: VecDeque::new(),
            updated_at: now,
            created_at: now,
        }
    }

    /// Sets how far the quota may be exceeded.
    #[must_use]
    pub fn with_tolerance(mut self, tolerance: Tolerance) -> Self {
        self.tolerance = tolerance;
        self
    }

    /// Sets the rate, in units per second, and the burst, in units. A rate of 0
    /// means no limit.
    pub fn set_limit(&mut self, rate: f64, burst: f64, now: Time) {
        self.advance(now);
        if self.rate == 0.0 {
            // A workspace that is declared later has not been used before.
            let is_new_node = now.since(self.created_at) < self.tolerance.window;
            self.level += if is_new_node || self.tolerance.window.is_zero() {
                -rate * STARTUP_DEBT.as_secs_f64()
            } else {
                burst
            };
        }
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst + self.expected_units());
    }

    /// Records a report that has arrived: the units that other nodes have admitted
    /// since the last one and their total demand, in units per second.
    pub fn record_peers(&mut self, admitted: f64, demand: f64, now: Time) {
        self.advance(now);
        self.level -= admitted;
        add(&mut self.buckets, admitted, now);
        let is_reported = |at: Time| now.since(at) >= REPORT_AGE;
        self.chances.retain(|(at, _)| !is_reported(*at));
        self.own_recent.clear();
        self.recent_requests = 0;
        self.peer_demand = demand;
        let elapsed = now.since(self.peer_at).as_secs_f64();
        let constant = self.tolerance.window.as_secs_f64() / 2.0;
        let weight = -(-elapsed / constant.max(f64::MIN_POSITIVE)).exp_m1();
        self.mean_demand += weight * (self.total_demand() - self.mean_demand);
        self.peer_at = now;
    }

    /// Records a report that does not say what other nodes admitted before it: the
    /// units that they were expected to admit are charged.
    pub fn record_demand(&mut self, demand: f64, now: Time) {
        self.advance(now);
        let is_reported = |at: Time| now.since(at) >= REPORT_AGE;
        let reported = self.chances.iter().filter(|(at, _)| is_reported(*at));
        let seconds: f64 = reported.map(|(_, seconds)| seconds).sum();
        let highest = demand.max(self.peer_demand);
        let admitted = self.at_most_room(seconds * highest);
        self.record_peers(admitted, demand, now);
    }

    /// Sets the number of nodes that exist and have not reported their demand
    /// yet.
    ///
    /// Each of them is assumed to have the same demand as this node. Otherwise
    /// a node that starts beside others would admit everything until it
    /// receives their reports.
    pub fn set_unreported(&mut self, nodes: usize) {
        self.unreported = nodes;
    }

    /// Sets the number of nodes that admit requests, including this one.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// Returns the units that this node has admitted since it started.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Returns whether the workspace has no units left.
    pub fn is_used_up(&mut self, now: Time) -> bool {
        self.advance(now);
        self.rate > 0.0 && self.level <= 0.0
    }

    /// Returns the recent demand at this node, in units per second.
    pub fn demand(&self, now: Time) -> f64 {
        let age = now.since(self.created_at).max(MIN_AGE);
        self.decayed_demand(now)
            / -(-age.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp_m1()
    }

    /// Returns the moving average of the demand, which starts at zero with the
    /// node.
    fn decayed_demand(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.own_demand * (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Admits or refuses a request of `units`; `random` is a random number from 0
    /// to 1.
    ///
    /// # Errors
    ///
    /// Returns the inputs of the decision and the time until the workspace has
    /// `units` available again.
    pub fn take(&mut self, units: f64, random: f64, now: Time) -> Result<(), Exceeded> {
        self.advance(now);
        self.own_demand += units / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.recent_requests += 1;
        self.requests += 1.0;
        self.requested += units;
        let is_admitted = self.rate <= 0.0 || random < self.chance(units, now);
        if !is_admitted {
            let missing = (units - self.level).max(0.0) / self.rate;
            return Err(Exceeded {
                wait: Duration::from_secs_f64(missing.min(MAX_RETRY_DELAY.as_secs_f64())),
                rate: self.rate,
                level: self.level,
                used: self.used(now),
                expected: self.expected_units(),
                own_demand: self.demand(now),
                peer_demand: self.peer_demand,
                peer_age: now.since(self.peer_at),
            });
        }
        self.admitted += units;
        self.level -= units;
        add(&mut self.buckets, units, now);
        add(&mut self.own_recent, units, now);
        Ok(())
    }

    /// Returns the probability with which a request of `units` is admitted.
    fn chance(&self, units: f64, now: Time) -> f64 {
        let chance = if self.fits_window(units, now) {
            1.0
        } else {
            self.admit_probability()
        };
        if self.nodes <= 1 || now.since(self.peer_at) < STALE_AGE {
            return chance;
        }
        chance.min(self.part_of_room(now) / units.max(f64::MIN_POSITIVE))
    }

    /// Returns the units that this node may admit without knowing what others admit.
    ///
    /// A request that exceeds them is admitted in proportion, since the part is
    /// smaller than a request if there are many nodes.
    fn part_of_room(&self, now: Time) -> f64 {
        let own = self.recent_units(&self.own_recent, now);
        let unreported = self.total_demand() * REPORT_DELAY.as_secs_f64();
        let known = self.used(now) - own + unreported;
        let allowed = self.tolerance.allowed(self.rate, self.burst) * WINDOW_FRACTION;
        ((allowed - known) / self.nodes as f64 - own).max(0.0)
    }

    /// Returns whether the window has room for `units` beside what other nodes may
    /// have admitted and not reported yet.
    ///
    /// A workspace that asks for more than fits into a window has no room, so that
    /// it is limited evenly.
    fn fits_window(&self, units: f64, now: Time) -> bool {
        let allowed = self.tolerance.allowed(self.rate, self.burst) * WINDOW_FRACTION;
        let unreported = self.total_demand() * REPORT_DELAY.as_secs_f64();
        let unreported = unreported.max(self.expected_units());
        let is_within = self.mean_demand * self.tolerance.window.as_secs_f64() <= allowed;
        is_within && self.used(now) + units + unreported <= allowed
    }

    /// Returns the units that all nodes admitted in the last window.
    ///
    /// A new node assumes that the window before its start was used up.
    fn used(&self, now: Time) -> f64 {
        let known = self.recent_units(&self.buckets, now);
        let allowed = self.tolerance.allowed(self.rate, self.burst);
        known + self.unknown_fraction(now) * allowed * WINDOW_FRACTION
    }

    /// Returns the fraction of the last window that was before the start of this node.
    fn unknown_fraction(&self, now: Time) -> f64 {
        let window = self.tolerance.window;
        let unknown = window.saturating_sub(now.since(self.created_at));
        unknown.as_secs_f64() / window.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn recent_units(&self, buckets: &VecDeque<(Time, f64)>, now: Time) -> f64 {
        let expired = self.tolerance.window + BUCKET;
        let recent = buckets.iter().filter(|(at, _)| now.since(*at) < expired);
        recent.map(|(_, units)| units).sum()
    }

    fn expected_units(&self) -> f64 {
        let seconds: f64 = self.chances.iter().map(|(_, seconds)| seconds).sum();
        self.at_most_room(seconds * self.peer_demand * self.surge())
    }

    /// Returns the units, but no more than the window has room for, since the other
    /// nodes do not admit more either.
    fn at_most_room(&self, units: f64) -> f64 {
        if self.tolerance.window.is_zero() {
            return units;
        }
        let allowed = self.tolerance.allowed(self.rate, self.burst);
        let known = self.recent_units(&self.buckets, self.updated_at);
        units.min((allowed - known).max(0.0))
    }

    /// Returns how many times its usual demand this node has seen since the last
    /// report, as far as its few requests show.
    fn surge(&self) -> f64 {
        let since = self.updated_at.since(self.peer_at) + REPORT_AGE;
        let size = self.requested / self.requests.max(1.0);
        let share = self.peer_demand / self.nodes as f64;
        let usual = share * since.as_secs_f64() / size.max(f64::MIN_POSITIVE);
        let seen = f64::from(self.recent_requests);
        ((seen + SURGE_REQUESTS) / (usual + SURGE_REQUESTS)).max(1.0)
    }

    /// Adds the units that other nodes are expected to have admitted.
    fn estimate(&mut self, now: Time) {
        let elapsed = now.since(self.estimated_at);
        if elapsed < ESTIMATE_INTERVAL {
            return;
        }
        self.estimated_at = now;
        if self.rate <= 0.0 {
            return;
        }
        let chance = if self.fits_window(0.0, now) {
            1.0
        } else {
            self.admit_probability()
        };
        match self.chances.back_mut() {
            Some((at, sum)) if now.since(*at) < CHANCE_BUCKET => {
                *sum += chance * elapsed.as_secs_f64();
            }
            _ => self
                .chances
                .push_back((now, chance * elapsed.as_secs_f64())),
        }
    }

    /// Returns the probability with which a request is admitted beyond the window.
    fn admit_probability(&self) -> f64 {
        let demand = self.total_demand();
        let excess = (demand - self.rate).max(0.0) * REPORT_DELAY.as_secs_f64();
        let unknown = self.unknown_fraction(self.updated_at);
        let level = self.level - self.expected_units() - excess * unknown;
        let allowed = self.rate * RATE_FRACTION + level / LEVEL_CORRECTION.as_secs_f64();
        (allowed / demand.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }

    /// Returns the demand at all nodes, in units per second.
    fn total_demand(&self) -> f64 {
        // A single request says too little to scale the age-corrected demand by
        // the number of nodes.
        let own = if self.unreported > 0 {
            self.own_demand * (1 + self.unreported) as f64
        } else {
            self.demand(self.updated_at)
        };
        own + self.peer_demand * self.surge()
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.own_demand = self.decayed_demand(now);
        self.estimate(now);
        let most = self.burst + self.expected_units();
        self.level = (self.level + elapsed * self.rate * RATE_FRACTION).min(most);
        self.updated_at = self.updated_at.max(now);
        self.expire(now);
    }

    fn expire(&mut self, now: Time) {
        let window = self.tolerance.window + BUCKET;
        let estimate = window.max(ESTIMATE_RETENTION);
        for (buckets, retention) in [
            (&mut self.buckets, window),
            (&mut self.own_recent, window),
            (&mut self.chances, estimate),
        ] {
            while buckets
                .front()
                .is_some_and(|(at, _)| now.since(*at) >= retention)
            {
                buckets.pop_front();
            }
        }
    }
}

fn add(buckets: &mut VecDeque<(Time, f64)>, units: f64, now: Time) {
    match buckets.back_mut() {
        Some((at, sum)) if now.since(*at) < BUCKET => *sum += units,
        _ => buckets.push_back((now, units)),
    }
}
