//! A workspace's quota, divided over the nodes.

use std::time::Duration;

use crate::core::limit::bucket::Bucket;
use crate::core::time::Time;

/// Part of the quota that is divided equally; the rest follows the demand.
///
/// The equal part lets a node take the first requests of a workspace before
/// the others have heard of its demand.
const EQUAL_PART: f64 = 0.4;

/// Time constant of the measured demand.
const DEMAND_SPAN: Duration = Duration::from_secs(2);

/// Part of the burst that a node has when it starts, since the process before
/// it may have used the rest.
const START_LEVEL: f64 = 0.3;

/// Returns the part of a quota that a node may use.
///
/// `own` and `all` are the demand at the node and at all `nodes` together.
/// The parts of all nodes add up to one when they know the same figures.
pub fn share(own: f64, all: f64, nodes: usize) -> f64 {
    let equal = 1.0 / nodes.max(1) as f64;
    if all <= 0.0 {
        return equal;
    }
    EQUAL_PART * equal + (1.0 - EQUAL_PART) * (own / all).clamp(0.0, 1.0)
}

/// The demand for one workspace at this node and at the others.
///
/// The own demand is used one round late, because that of the others is as old
/// when it arrives. With a newer figure of its own, each node would take too
/// large a part while demand grows, and all of them together too much.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    last: f64,
    used: f64,
    others: f64,
}

impl Demand {
    /// Records the figures of a new round.
    pub fn record(&mut self, own: f64, others: f64) {
        self.used = std::mem::replace(&mut self.last, own);
        self.others = others;
    }

    /// Returns the part of the quota that this node may use.
    pub fn part(&self, nodes: usize) -> f64 {
        share(self.used, self.used + self.others, nodes)
    }
}

/// This node's part of the quota of one workspace.
#[derive(Clone, Debug)]
pub struct Quota {
    bucket: Option<Bucket>,
    demand: f64,
    at: Time,
}

impl Quota {
    /// Creates the quota of a workspace without recent requests.
    pub fn new(now: Time) -> Self {
        Self {
            bucket: None,
            demand: 0.0,
            at: now,
        }
    }

    /// Sets this node's part; a rate of 0 means that there is no limit.
    ///
    /// `slack` is what the node may use at once beyond its part of the burst, so
    /// that a request that is large for a small part is not refused for good.
    pub fn set(&mut self, rate: f64, burst: f64, part: f64, slack: f64, now: Time) {
        if rate <= 0.0 {
            self.bucket = None;
            return;
        }
        let own = (rate * part).max(f64::MIN_POSITIVE);
        let span = (burst * part + slack) / own;
        let span = Duration::from_secs_f64(span.clamp(0.001, 3_600.0));
        match &mut self.bucket {
            Some(bucket) => bucket.reshape(own, span, now),
            None => {
                let level = burst * part * START_LEVEL;
                self.bucket = Some(Bucket::new(own, span, now).with_level(level));
            }
        }
    }

    /// Returns the units that callers asked for lately, a second.
    pub fn demand(&self, now: Time) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.demand * (-passed / DEMAND_SPAN.as_secs_f64()).exp()
    }

    /// Takes the units of a request.
    ///
    /// # Errors
    ///
    /// Returns how long to wait until the workspace has as many units again.
    pub fn take(&mut self, units: f64, now: Time) -> Result<(), Duration> {
        self.demand = self.demand(now) + units / DEMAND_SPAN.as_secs_f64();
        self.at = self.at.max(now);
        match &mut self.bucket {
            Some(bucket) => bucket.take(units, now),
            None => Ok(()),
        }
    }
}
