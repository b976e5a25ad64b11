//! Version moves, which shift the traffic of a service from one version to
//! another.
//!
//! Every node derives the state of a move from the declared move, the clock and
//! a few facts that only ever grow: whether some node vetoed the move and
//! whether some node passed it. There is no coordinator, so a move continues
//! while the object store is down, and all nodes with the same facts reach the
//! same state.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::config::Move;
use crate::core::time::Time;

pub mod canary;
pub mod detector;
pub mod latencies;
pub mod rejections;
mod route_stats;

/// The rollout schedule.
const SCHEDULE: [ScheduleStep; 4] = [
    ScheduleStep::new(0.0, 5, 0),
    ScheduleStep::new(0.30, 25, 12),
    ScheduleStep::new(0.50, 50, 40),
    ScheduleStep::new(0.65, 100, 80),
];

/// Fraction of the time span after which a move may pass.
const MIN_PASS_ELAPSED: f64 = 0.80;

/// Responses of the new version that are required to pass.
const MIN_PASS_RESPONSES: u64 = 100;

/// Time after the deadline for which the old version stays available, as a
/// fraction of the time span.
const RETENTION_FRACTION: f64 = 0.5;

/// One step of the rollout schedule.
#[derive(Clone, Copy, Debug)]
struct ScheduleStep {
    /// Fraction of the time span that must have elapsed.
    min_elapsed: f64,
    /// Traffic share of the new version, in percent.
    share: u8,
    /// Responses of the new version that are required.
    min_responses: u64,
}

impl ScheduleStep {
    const fn new(min_elapsed: f64, share: u8, min_responses: u64) -> Self {
        Self {
            min_elapsed,
            share,
            min_responses,
        }
    }
}

/// Why a move was reverted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Veto {
    /// The reason in one sentence, with the measurements behind it.
    pub reason: String,
    /// The node that detected the fault.
    pub node: Name,
    /// When the fault was detected.
    pub at: Time,
}

/// The facts that nodes share about one move.
///
/// Both fields only change from `None` to `Some` or to an earlier entry, and a
/// veto takes precedence over a pass, so the order in which messages arrive
/// does not matter.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Facts {
    /// The earliest known veto.
    pub veto: Option<Veto>,
    /// When the first node passed the move.
    pub passed: Option<Time>,
}

impl Facts {
    /// Merges the facts of `other` and returns whether anything changed.
    pub fn merge(&mut self, other: &Facts) -> bool {
        let mut is_changed = false;
        if let Some(veto) = &other.veto {
            let is_earlier = self
                .veto
                .as_ref()
                .is_none_or(|own| (veto.at, &veto.node) < (own.at, &own.node));
            is_changed |= is_earlier;
            if is_earlier {
                self.veto = Some(veto.clone());
            }
        }
        if let Some(passed) = other.passed {
            let is_earlier = self.passed.is_none_or(|own| passed < own);
            is_changed |= is_earlier;
            if is_earlier {
                self.passed = Some(passed);
            }
        }
        is_changed
    }
}

/// The state of a move as one node sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The move has not started.
    Waiting,
    /// Some traffic goes to the new version.
    Running,
    /// All traffic goes to the new version for good.
    Done,
    /// All traffic goes to the old version again.
    Reverted,
}

/// The inputs from which the state of a move is derived.
#[derive(Clone, Copy, Debug)]
pub struct MoveSnapshot<'a> {
    /// The declared move.
    pub plan: &'a Move,
    /// The shared facts.
    pub facts: &'a Facts,
    /// Responses of the new version seen by this node and its peers.
    pub responses: u64,
    /// The current time.
    pub now: Time,
}

impl MoveSnapshot<'_> {
    /// Returns the elapsed fraction of the time span, which may exceed 1.
    fn elapsed(&self) -> f64 {
        let start = Time::from_millis(self.plan.start_ms);
        let deadline = Time::from_millis(self.plan.deadline_ms);
        let span = deadline.since(start).as_secs_f64();
        if span <= 0.0 {
            return 0.0;
        }
        self.now.since(start).as_secs_f64() / span
    }

    /// Returns the state of the move.
    pub fn phase(&self) -> Phase {
        if self.facts.veto.is_some() || self.plan.revert {
            return Phase::Reverted;
        }
        if self.facts.passed.is_some() {
            return Phase::Done;
        }
        if self.now < Time::from_millis(self.plan.start_ms) {
            return Phase::Waiting;
        }
        if self.elapsed() >= 1.0 {
            return Phase::Reverted;
        }
        Phase::Running
    }

    /// Returns the traffic share of the new version, in percent.
    pub fn share(&self) -> u8 {
        match self.phase() {
            Phase::Waiting | Phase::Reverted => 0,
            Phase::Done => 100,
            Phase::Running => self.planned_share(),
        }
    }

    fn planned_share(&self) -> u8 {
        let elapsed = self.elapsed();
        SCHEDULE
            .iter()
            .take_while(|step| elapsed >= step.min_elapsed && self.responses >= step.min_responses)
            .last()
            .map_or(0, |step| step.share)
    }

    /// Returns whether this node may pass the move now.
    pub fn may_pass(&self) -> bool {
        self.phase() == Phase::Running
            && self.elapsed() >= MIN_PASS_ELAPSED
            && self.planned_share() == 100
            && self.responses >= MIN_PASS_RESPONSES
    }

    /// Returns whether the new version is still monitored for faults, also
    /// after a pass.
    pub fn is_monitored(&self) -> bool {
        match self.phase() {
            Phase::Running => true,
            Phase::Done => self.elapsed() < 1.0 + RETENTION_FRACTION,
            Phase::Waiting | Phase::Reverted => false,
        }
    }

    /// Describes the state of the move and its cause in one sentence.
    pub fn describe(&self) -> String {
        let Move {
            service, from, to, ..
        } = self.plan;
        if let Some(veto) = &self.facts.veto {
            return format!(
                "{service} was taken back from {to} to {from}: {}",
                veto.reason
            );
        }
        match self.phase() {
            Phase::Waiting => format!("{service} has not started to move from {from} to {to}"),
            Phase::Running => format!(
                "{service} is moving from {from} to {to}: {} of 100 requests go to {to} after {} responses",
                self.share(),
                self.responses
            ),
            Phase::Done => format!("{service} has moved to {to}: all requests go to it"),
            Phase::Reverted if self.plan.revert => {
                format!("{service} was taken back from {to} to {from}: an operator requested it")
            }
            Phase::Reverted => format!(
                "{service} was taken back from {to} to {from}: {} responses by the deadline were too few to judge {to}",
                self.responses
            ),
        }
    }
}

/// Returns whether the request with the random number `random` goes to the new
/// version.
pub const fn routes_to_new(share: u8, random: u64) -> bool {
    random % 100 < share as u64
}
