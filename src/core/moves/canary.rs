//! A version move whose time is short and whose end stops the old servers.
//!
//! The new version gets a small part of the traffic for most of the time, all
//! of it at one server, so that a fault that needs load shows early. If no
//! fault shows, all traffic moves at once, and the end is reported after the
//! old servers had time to finish what they were at.

use std::time::Duration;

use crate::core::Name;
use crate::core::moves::detector::RegressionDetector;
use crate::core::time::Time;

/// Largest part of the traffic that an untested version gets.
const MAX_TRIAL: f64 = 0.06;

/// Part of the allowed exposure that the trial uses; the rest covers requests
/// that are on their way when a fault is found.
const TRIAL_PART: f64 = 0.6;

/// Part of the time span that is left when the end is reported.
const REPORT_PART: f64 = 0.08;

/// Least time that is left when the end is reported.
const MIN_REPORT: Duration = Duration::from_millis(900);

/// Time for the old servers to finish before the end is reported.
const SETTLE: Duration = Duration::from_millis(2_500);

/// Part of the time span that the old servers get at most.
const MAX_SETTLE_PART: f64 = 0.25;

/// How far a move has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The new version is tested with a part of the traffic.
    Trial,
    /// The new version has all traffic; the old one finishes.
    Full,
    /// The new version has all traffic, and this was reported.
    Done,
    /// The old version has all traffic.
    RolledBack,
}

/// A version move as seen from one node.
#[derive(Clone, Debug)]
pub struct Canary {
    /// The new version.
    pub target: Name,
    /// Judges the answers of the new version.
    pub detector: RegressionDetector,
    within: Duration,
    since: Time,
    veto: Option<String>,
    ended: Option<Stage>,
}

impl Canary {
    /// Creates the move to `target`, first seen at `now`.
    pub fn new(target: Name, within: Duration, now: Time) -> Self {
        Self {
            target,
            detector: RegressionDetector::new(),
            within,
            since: now,
            veto: None,
            ended: None,
        }
    }

    /// Records how the move ended, as the operator sees it.
    pub fn set_outcome(&mut self, ended: Option<Stage>) {
        self.ended = ended;
    }

    /// Returns whether the operator was told how the move ended.
    pub fn is_finished(&self) -> bool {
        self.ended.is_some()
    }

    /// Returns whether the new version was found to be bad.
    pub fn is_vetoed(&self) -> bool {
        self.veto.is_some()
    }

    /// Records that the new version is bad.
    pub fn veto(&mut self, reason: String) {
        self.veto.get_or_insert(reason);
    }

    /// Looks for a fault, and returns it when it is found first.
    pub fn check(&mut self) -> Option<String> {
        if self.veto.is_some() || self.ended.is_some() {
            return None;
        }
        let fault = self.detector.fault()?;
        self.veto = Some(fault.clone());
        Some(fault)
    }

    /// Returns how far the move is at `now`.
    pub fn stage(&self, now: Time) -> Stage {
        if let Some(ended) = self.ended {
            return ended;
        }
        if self.veto.is_some() {
            return Stage::RolledBack;
        }
        if now.since(self.since) < self.full_at() {
            Stage::Trial
        } else {
            Stage::Full
        }
    }

    /// Returns the end to report at `now`, if it was not reported yet.
    pub fn pending_outcome(&self, now: Time) -> Option<Stage> {
        if self.ended.is_some() {
            return None;
        }
        if self.veto.is_some() {
            return Some(Stage::RolledBack);
        }
        (now.since(self.since) >= self.report_at()).then_some(Stage::Done)
    }

    fn report_at(&self) -> Duration {
        let left = self.within.mul_f64(REPORT_PART).max(MIN_REPORT);
        self.within.saturating_sub(left)
    }

    fn full_at(&self) -> Duration {
        let settle = SETTLE.min(self.within.mul_f64(MAX_SETTLE_PART));
        self.report_at().saturating_sub(settle)
    }
}

/// Returns whether a request goes to the new version, given a random number.
///
/// `exposure` is the part of the service's requests that an untested version
/// may get at most.
pub fn routes_to_new(stage: Stage, draw: u64, exposure: f64) -> bool {
    match stage {
        Stage::Trial => ((draw % 1_000_000) as f64) < trial_part(exposure) * 1e6,
        Stage::Full | Stage::Done => true,
        Stage::RolledBack => false,
    }
}

/// Returns the part of the traffic that an untested version gets.
fn trial_part(exposure: f64) -> f64 {
    (exposure * TRIAL_PART).clamp(0.0, MAX_TRIAL)
}
