//! A workspace's quota, kept by all nodes together.

use std::time::Duration;

use crate::core::time::Time;

/// Time constant of the measured demand.
const DEMAND_SPAN: Duration = Duration::from_secs(1);

/// Time at the full rate that a node takes to be owed when it starts, since the
/// processes before it may have let through too much.
const START_DEBT: Duration = Duration::from_secs(1);

/// Least age of a node from which its demand is reckoned up to that of a node
/// that has run for long.
const MIN_AGE: Duration = Duration::from_millis(100);

/// Time over which a level above or below zero is used up or made good.
///
/// It is longer than the news of other nodes take, so that all of them together
/// do not swing between taking too much and too little.
const LEVEL_SPAN: Duration = Duration::from_millis(2_500);

/// Part of the rate that is given out, since news of other nodes come late.
const RATE_PART: f64 = 0.97;

/// Longest time for which a caller is told to wait.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// The quota of one workspace as this node sees it.
///
/// A node starts with nothing left of the burst and a small debt, since the
/// processes before it may have used both. Every node follows what all nodes
/// have admitted, and lets a request through with a chance that is the same at
/// every node: the rate, more or less what is left of the burst, over the
/// demand. Requests of any size have the same chance, and a workspace within
/// its quota is not refused, however its requests are spread over the nodes.
#[derive(Clone, Debug)]
pub struct Quota {
    rate: f64,
    burst: f64,
    level: f64,
    admitted: f64,
    own: f64,
    others: f64,
    unheard: usize,
    at: Time,
    since: Time,
}

impl Quota {
    /// Creates the quota of a workspace without recent requests.
    pub fn new(now: Time) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            level: 0.0,
            admitted: 0.0,
            own: 0.0,
            others: 0.0,
            unheard: 0,
            at: now,
            since: now,
        }
    }

    /// Sets the units a second and at once; a rate of 0 means no limit.
    pub fn set_limit(&mut self, rate: f64, burst: f64, now: Time) {
        self.advance(now);
        if self.rate == 0.0 {
            self.level -= rate * START_DEBT.as_secs_f64();
        }
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes over what the other nodes have admitted since the last time, and
    /// what they are asked for, in units a second.
    pub fn record_peers(&mut self, admitted: f64, demand: f64, now: Time) {
        self.advance(now);
        self.level -= admitted;
        self.others = demand;
    }

    /// Sets the number of nodes that exist and have not told their demand yet.
    ///
    /// Each of them is taken to be asked for as much as this node. A node that
    /// starts beside others would else admit everything until it hears them.
    pub fn set_unreported(&mut self, nodes: usize) {
        self.unheard = nodes;
    }

    /// Returns the units that this node has admitted since it started.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Returns the units that callers asked this node for lately, a second.
    pub fn demand(&self, now: Time) -> f64 {
        let age = now.since(self.since).max(MIN_AGE);
        self.faded(now) / -(-age.as_secs_f64() / DEMAND_SPAN.as_secs_f64()).exp_m1()
    }

    /// Returns the mean demand as if nothing had been asked for before this
    /// node started.
    fn faded(&self, now: Time) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.own * (-passed / DEMAND_SPAN.as_secs_f64()).exp()
    }

    /// Admits a request of `units`, or not; `draw` is drawn from 0 to 1 for it.
    ///
    /// # Errors
    ///
    /// Returns how long the workspace takes to have as many units again.
    pub fn take(&mut self, units: f64, draw: f64, now: Time) -> Result<(), Duration> {
        self.advance(now);
        self.own += units / DEMAND_SPAN.as_secs_f64();
        if self.rate > 0.0 && draw >= self.chance() {
            let missing = (units - self.level).max(0.0) / self.rate;
            return Err(Duration::from_secs_f64(missing.min(MAX_WAIT.as_secs_f64())));
        }
        self.admitted += units;
        self.level -= units;
        Ok(())
    }

    /// Returns the chance of a request to be admitted.
    fn chance(&self) -> f64 {
        // One request is little to conclude from for many nodes.
        let own = if self.unheard > 0 {
            self.own * (1 + self.unheard) as f64
        } else {
            self.demand(self.at)
        };
        let demand = own + self.others;
        let allowed = self.rate * RATE_PART + self.level / LEVEL_SPAN.as_secs_f64();
        (allowed / demand.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }

    fn advance(&mut self, now: Time) {
        let passed = now.since(self.at).as_secs_f64();
        self.own = self.faded(now);
        self.level = (self.level + passed * self.rate * RATE_PART).min(self.burst);
        self.at = self.at.max(now);
    }
}
