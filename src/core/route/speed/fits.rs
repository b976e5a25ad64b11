//! Normal equations of one service, by whose samples they hold.

use std::time::Duration;

use crate::core::route::speed::Work;
use crate::core::route::speed::fit::Fit;
use crate::core::route::speed::fit::Normal;
use crate::core::time::Time;

/// Interval at which the expected times are computed anew.
const SOLVE_INTERVAL: Duration = Duration::from_millis(250);

/// Weight of the samples below which an expected time is forgotten.
const MIN_FIT_SAMPLES: f64 = 1.0;

/// Smoothing factor of the mean time, which scales the errors before a fit is known.
const MEAN_SMOOTHING: f64 = 0.05;

#[derive(Clone, Debug, Default)]
pub(super) struct FitTrack {
    /// Sums of this node.
    pub own: Normal,
    /// Sums of this node and of those that report to it.
    pub domain: Normal,
    /// Sums of all nodes whose samples reach this one without a digest.
    pub fleet: Normal,
    /// What an aggregator has sent.
    pub digest: Normal,
    /// The solution in use.
    pub fit: Option<Fit>,
    /// Mean time of this node's samples, in ms.
    mean_ms: f64,
    /// Time at which the sums were last sent, by scope.
    pub sent: [Time; 3],
}

impl FitTrack {
    /// Adds a sample of this node; `expected` is the time expected for it in ms.
    pub fn add(&mut self, work: &Work, ms: f64, expected: Option<f64>, now: Time) {
        if self.mean_ms == 0.0 {
            self.mean_ms = ms;
        }
        self.mean_ms += MEAN_SMOOTHING * (ms - self.mean_ms);
        let scale = expected.unwrap_or(self.mean_ms);
        let ms = match (self.fit, expected) {
            (Some(fit), Some(expected)) => fit.cut(ms, expected),
            _ => ms,
        };
        for sums in [&mut self.own, &mut self.domain, &mut self.fleet] {
            sums.add(work, ms, scale, now);
        }
    }

    /// Replaces what another node has sent before.
    pub fn merge(&mut self, before: &Normal, sent: &Normal, is_domain: bool, now: Time) {
        let sums = if is_domain {
            vec![&mut self.domain, &mut self.fleet]
        } else {
            vec![&mut self.fleet]
        };
        for sum in sums {
            sum.merge(before, -1.0, now);
            sum.merge(sent, 1.0, now);
        }
    }

    /// Solves the equations anew if that was long ago.
    pub fn refresh(&mut self, uses_digest: bool, now: Time) {
        let is_recent = |fit: &Fit| now.since(fit.at()) < SOLVE_INTERVAL;
        if self.fit.as_ref().is_some_and(is_recent) {
            return;
        }
        let fleet = self.fleet.decayed(now);
        let digest = self.digest.decayed(now);
        let normal = if uses_digest && digest.samples >= fleet.samples / 2.0 {
            digest
        } else {
            fleet
        };
        match Fit::new(&normal, now) {
            Some(fit) => self.fit = Some(fit),
            None if normal.samples < MIN_FIT_SAMPLES => self.fit = None,
            None => {}
        }
    }
}
