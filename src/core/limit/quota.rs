//! Workspace quotas that all nodes enforce together.

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

/// Longest retry delay that is returned to a caller.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// The quota of one workspace as this node sees it.
///
/// A node starts with no burst left and a small debt, since processes that ran
/// before may have used both. Every node tracks what all nodes have admitted,
/// and admits a request with a probability that is the same on every node: the
/// rate, plus or minus a share of the remaining level, divided by the total
/// demand. The probability does not depend on the size of a request, and a
/// workspace within its quota is not refused, no matter how its requests are
/// spread over the nodes.
#[derive(Clone, Debug)]
pub struct Quota {
    rate: f64,
    burst: f64,
    level: f64,
    admitted: f64,
    own_demand: f64,
    peer_demand: f64,
    unreported: usize,
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
            unreported: 0,
            updated_at: now,
            created_at: now,
        }
    }

    /// Sets the rate, in units per second, and the burst, in units. A rate of 0
    /// means no limit.
    pub fn set_limit(&mut self, rate: f64, burst: f64, now: Time) {
        self.advance(now);
        if self.rate == 0.0 {
            self.level -= rate * STARTUP_DEBT.as_secs_f64();
        }
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Records the units that other nodes have admitted since the last call and
    /// their total demand, in units per second.
    pub fn record_peers(&mut self, admitted: f64, demand: f64, now: Time) {
        self.advance(now);
        self.level -= admitted;
        self.peer_demand = demand;
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

    /// Returns the units that this node has admitted since it started.
    pub fn admitted(&self) -> f64 {
        self.admitted
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
    /// Returns the time until the workspace has `units` available again.
    pub fn take(&mut self, units: f64, random: f64, now: Time) -> Result<(), Duration> {
        self.advance(now);
        self.own_demand += units / DEMAND_TIME_CONSTANT.as_secs_f64();
        if self.rate > 0.0 && random >= self.admit_probability() {
            let missing = (units - self.level).max(0.0) / self.rate;
            return Err(Duration::from_secs_f64(
                missing.min(MAX_RETRY_DELAY.as_secs_f64()),
            ));
        }
        self.admitted += units;
        self.level -= units;
        Ok(())
    }

    /// Returns the probability with which a request is admitted.
    fn admit_probability(&self) -> f64 {
        // A single request says too little to scale the age-corrected demand by
        // the number of nodes.
        let own = if self.unreported > 0 {
            self.own_demand * (1 + self.unreported) as f64
        } else {
            self.demand(self.updated_at)
        };
        let demand = own + self.peer_demand;
        let allowed = self.rate * RATE_FRACTION + self.level / LEVEL_CORRECTION.as_secs_f64();
        (allowed / demand.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.own_demand = self.decayed_demand(now);
        self.level = (self.level + elapsed * self.rate * RATE_FRACTION).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
