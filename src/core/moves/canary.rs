//! Version moves of short duration, after which the old servers are stopped.
//!
//! For most of the time, the new version gets a small fraction of the traffic,
//! all of it on as few servers as bear it, so that a fault that appears only under load
//! shows early. A version is promoted by evidence: once enough responses on each route
//! were judged and none raises suspicion, it gets more traffic in steps, and each further
//! step needs new responses. The clock sets the earliest time of a step and never takes
//! one. The outcome is reported after the old servers have had time to finish their
//! requests; a version that has not got all traffic by then is taken back.

use std::fmt;
use std::time::Duration;

use crate::core::Name;
use crate::core::moves::detector::RegressionDetector;
use crate::core::time::Time;

/// Largest fraction of the traffic that an untested version gets.
const MAX_TRIAL_FRACTION: f64 = 0.06;

/// Fraction of the allowed exposure that the trial uses. The rest covers
/// requests that are in flight when a fault is found.
const EXPOSURE_FRACTION: f64 = 0.6;

/// Fraction of the move duration that remains when the outcome is reported.
const REPORT_FRACTION: f64 = 0.08;

/// Shortest time that remains when the outcome is reported.
const MIN_REPORT_TIME: Duration = Duration::from_millis(900);

/// Time for the old servers to finish their requests before the outcome is
/// reported.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Largest fraction of the move duration that the old servers get to finish.
const MAX_DRAIN_FRACTION: f64 = 0.25;

/// Traffic shares in percent that a promoted version gets in turn before it has all.
const RAMP_SHARES: [u8; 2] = [15, 40];

/// Shortest time between two steps of the ramp, in which responses arrive and nodes
/// exchange their counts.
const STEP_TIME: Duration = Duration::from_millis(800);

/// Largest fraction of the move duration that one step of the ramp takes.
const MAX_STEP_FRACTION: f64 = 0.06;

/// Judged responses without which a version is not promoted.
const MIN_JUDGED: u64 = 20;

/// Judged responses on each route with much traffic without which a version is not
/// promoted.
const MIN_ROUTE_JUDGED: u64 = 3;

/// Judged responses since the last step without which there is no further one.
const MIN_STEP_JUDGED: u64 = 5;

/// Servers of the new version for each old one without which it gets no more traffic.
const MIN_SERVER_RATIO: f64 = 0.5;

/// Servers of the trial for each that its traffic needs, since some sessions share one.
const SPREAD_FACTOR: f64 = 2.0;

/// The stage of a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The new version is tested with a fraction of the traffic.
    Trial,
    /// The new version was promoted and has this share of the traffic, in percent.
    Ramp(u8),
    /// The new version has all traffic, and the old one finishes its requests.
    Full,
    /// The new version has all traffic, and the outcome was reported.
    Done,
    /// The old version has all traffic again.
    RolledBack,
}

/// Why the new version gets no more traffic for now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Blocker {
    /// The time of the next step has not come.
    Early,
    /// The old servers would have no time to finish their requests.
    Late,
    /// Too few responses were judged, on all routes or since the last step.
    FewResponses,
    /// Too few responses were judged on a route.
    FewOnRoute(Name),
    /// A fault is likely on a route.
    Suspected(Name),
    /// The new version has too few servers for the traffic.
    FewServers,
}

impl fmt::Display for Blocker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Blocker::Early => f.write_str("early"),
            Blocker::Late => f.write_str("late"),
            Blocker::FewResponses => f.write_str("few responses"),
            Blocker::FewOnRoute(route) => write!(f, "few responses on {route}"),
            Blocker::Suspected(route) => write!(f, "suspected on {route}"),
            Blocker::FewServers => f.write_str("few servers"),
        }
    }
}

/// How far a version was promoted.
#[derive(Clone, Copy, Debug)]
struct Promotion {
    /// Steps taken; the version has all traffic after those of [`RAMP_SHARES`].
    steps: usize,
    /// Time of the last step.
    since: Time,
    /// Responses that were judged before the last step.
    judged: u64,
}

impl Promotion {
    fn stage(&self) -> Stage {
        let share = RAMP_SHARES.get(self.steps - 1);
        share.map_or(Stage::Full, |share| Stage::Ramp(*share))
    }
}

/// A version move as seen from one node.
#[derive(Clone, Debug)]
pub struct Canary {
    /// The new version.
    pub target: Name,
    /// Compares the new version with the old one.
    pub detector: RegressionDetector,
    move_duration: Duration,
    started_at: Time,
    promotion: Option<Promotion>,
    veto: Option<String>,
    outcome: Option<Stage>,
}

impl Canary {
    /// Creates a move to `target` that was first seen at `now`.
    pub fn new(target: Name, move_duration: Duration, now: Time) -> Self {
        Self {
            target,
            detector: RegressionDetector::new(),
            move_duration,
            started_at: now,
            promotion: None,
            veto: None,
            outcome: None,
        }
    }

    /// Sets the outcome that the platform has recorded for the move.
    pub fn set_outcome(&mut self, outcome: Option<Stage>) {
        self.outcome = outcome;
    }

    /// Returns the time since the move was declared.
    pub const fn elapsed(&self, now: Time) -> Duration {
        now.since(self.started_at)
    }

    /// Records that another node saw the move declared `elapsed` ago.
    ///
    /// One that has run for longer than it may is an earlier move to the same version.
    pub fn record_elapsed(&mut self, elapsed: Duration, now: Time) {
        if elapsed <= self.move_duration {
            self.started_at = self.started_at.min(now.before(elapsed));
        }
    }

    /// Returns whether the platform has recorded an outcome.
    pub fn is_finished(&self) -> bool {
        self.outcome.is_some()
    }

    /// Returns whether the new version was found to be faulty.
    pub fn is_vetoed(&self) -> bool {
        self.veto.is_some()
    }

    /// Records that the new version is faulty.
    pub fn veto(&mut self, reason: String) {
        self.veto.get_or_insert(reason);
    }

    /// Checks for a fault and returns it when it is first found.
    pub fn check(&mut self) -> Option<String> {
        if self.veto.is_some() || self.outcome.is_some() {
            return None;
        }
        let fault = self.detector.fault()?;
        self.veto = Some(fault.clone());
        Some(fault)
    }

    /// Returns the stage of the move at `now`.
    pub fn stage(&self, now: Time) -> Stage {
        if let Some(outcome) = self.outcome {
            return outcome;
        }
        if self.veto.is_some() {
            return Stage::RolledBack;
        }
        let stage = self.promotion.map_or(Stage::Trial, |row| row.stage());
        if stage != Stage::Full && self.elapsed(now) >= self.give_up_after() {
            Stage::RolledBack
        } else {
            stage
        }
    }

    /// Returns how many steps the new version was promoted.
    pub fn steps(&self) -> usize {
        self.promotion.map_or(0, |promotion| promotion.steps)
    }

    /// Promotes the new version by a step if nothing speaks against it, and returns the
    /// stage that begins.
    ///
    /// `bears_load` says whether the new version has servers for all traffic.
    pub fn advance(&mut self, bears_load: bool, now: Time) -> Option<Stage> {
        self.detector.record_time(now);
        if !matches!(self.stage(now), Stage::Trial | Stage::Ramp(_)) {
            return None;
        }
        if self.blocker(bears_load, now).is_some() {
            return None;
        }
        self.set_steps(self.steps() + 1, now);
        Some(self.stage(now))
    }

    /// Records that another node has promoted the new version by `steps`, and returns the
    /// stage that begins.
    ///
    /// Nodes that stay behind would use the old servers when these are stopped. A node that
    /// suspects the version does not follow.
    pub fn record_steps(&mut self, steps: usize, now: Time) -> Option<Stage> {
        let is_running = matches!(self.stage(now), Stage::Trial | Stage::Ramp(_));
        let is_known = steps <= self.steps() || steps > RAMP_SHARES.len() + 1;
        if !is_running || is_known || self.detector.suspected_route().is_some() {
            return None;
        }
        self.set_steps(steps, now);
        Some(self.stage(now))
    }

    fn set_steps(&mut self, steps: usize, now: Time) {
        self.promotion = Some(Promotion {
            steps,
            since: now,
            judged: self.detector.responses(),
        });
    }

    /// Returns why the new version gets no more traffic for now, if there is a reason.
    pub fn blocker(&self, bears_load: bool, now: Time) -> Option<Blocker> {
        let (next_at, judged) = match self.promotion {
            None => (self.started_at + self.ramp_after(), 0),
            Some(last) => (last.since + self.step_time(), last.judged),
        };
        let min_judged = match self.promotion {
            None => MIN_JUDGED,
            Some(_) => MIN_STEP_JUDGED,
        };
        if now < next_at {
            return Some(Blocker::Early);
        }
        if self.elapsed(now) + self.drain_time() / 2 > self.give_up_after() {
            return Some(Blocker::Late);
        }
        if !bears_load {
            return Some(Blocker::FewServers);
        }
        if let Some(route) = self.detector.suspected_route() {
            return Some(Blocker::Suspected(route));
        }
        if self.detector.responses() < judged + min_judged {
            return Some(Blocker::FewResponses);
        }
        let unjudged = self.detector.unjudged_route(MIN_ROUTE_JUDGED);
        unjudged.map(Blocker::FewOnRoute)
    }

    /// Returns the outcome to report at `now`, if there is one that was not
    /// recorded yet.
    pub fn pending_outcome(&self, now: Time) -> Option<Stage> {
        if self.outcome.is_some() {
            return None;
        }
        if self.veto.is_some() {
            return Some(Stage::RolledBack);
        }
        if self.elapsed(now) >= self.report_after() && self.is_confirmed(now) {
            return Some(Stage::Done);
        }
        (self.elapsed(now) >= self.give_up_after()).then_some(Stage::RolledBack)
    }

    /// Returns whether the new version has proved to bear all traffic, while the old
    /// servers had time to finish their requests.
    fn is_confirmed(&self, now: Time) -> bool {
        let Some(last) = self.promotion.filter(|last| last.stage() == Stage::Full) else {
            return false;
        };
        now.since(last.since) >= self.drain_time() / 2
            && self.detector.responses() >= last.judged + MIN_STEP_JUDGED
            && self.detector.suspected_route().is_none()
    }

    /// Returns the time after which the outcome of a promoted version is reported.
    fn report_after(&self) -> Duration {
        let left = self
            .move_duration
            .mul_f64(REPORT_FRACTION)
            .max(MIN_REPORT_TIME);
        self.move_duration.saturating_sub(left)
    }

    /// Returns the time after which a version is taken back unless it is confirmed.
    fn give_up_after(&self) -> Duration {
        let last = self.move_duration.saturating_sub(MIN_REPORT_TIME);
        last.max(self.report_after())
    }

    fn drain_time(&self) -> Duration {
        DRAIN_TIME.min(self.move_duration.mul_f64(MAX_DRAIN_FRACTION))
    }

    fn step_time(&self) -> Duration {
        STEP_TIME.min(self.move_duration.mul_f64(MAX_STEP_FRACTION))
    }

    /// Returns the time after which the version may be promoted.
    fn ramp_after(&self) -> Duration {
        let ramp = self.step_time() * RAMP_SHARES.len() as u32;
        self.report_after().saturating_sub(self.drain_time() + ramp)
    }
}

/// Returns whether a request goes to the new version, given the random number
/// `random`.
///
/// `exposure` is the largest fraction of the service's requests that an
/// untested version may get.
pub fn routes_to_new(stage: Stage, random: u64, exposure: f64) -> bool {
    let fraction = match stage {
        Stage::Trial => trial_fraction(exposure),
        Stage::Ramp(share) => f64::from(share) / 100.0,
        Stage::Full | Stage::Done => 1.0,
        Stage::RolledBack => 0.0,
    };
    ((random % 1_000_000) as f64) < fraction * 1e6
}

/// Returns whether the servers of the new version may get all traffic.
pub fn bears_load(new_servers: usize, old_servers: usize) -> bool {
    new_servers > 0 && new_servers as f64 >= old_servers as f64 * MIN_SERVER_RATIO
}

/// Returns how many sessions share the traffic of a trial, each of them on one server,
/// beside `old_servers` of the old version.
///
/// It is one if that server gets no more traffic than one of the old version. A higher
/// load would make a good version slow.
pub fn trial_sessions(exposure: f64, old_servers: usize) -> u64 {
    let load = trial_fraction(exposure) * old_servers as f64;
    if load <= 1.0 {
        1
    } else {
        (load * SPREAD_FACTOR).ceil() as u64
    }
}

/// Returns the fraction of the traffic that an untested version gets.
fn trial_fraction(exposure: f64) -> f64 {
    (exposure * EXPOSURE_FRACTION).clamp(0.0, MAX_TRIAL_FRACTION)
}
