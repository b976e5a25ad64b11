//! Moves of traffic from one version of a service to another.
//!
//! Every node derives the state of a move from the declared move, the clock
//! and a few facts that only ever grow: whether some node vetoed the move and
//! whether some node passed it. No node decides for the others, so a move goes
//! on while the object store is down, and all nodes that hold the same facts
//! come to the same answer.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::config::Move;
use crate::core::time::Time;

pub mod canary;
pub mod detector;

/// Part of the time span after which each share of traffic may begin.
const STEPS: [Step; 4] = [
    Step::new(0.0, 5, 0),
    Step::new(0.30, 25, 12),
    Step::new(0.50, 50, 40),
    Step::new(0.65, 100, 80),
];

/// Part of the time span after which a move may be passed.
const PASS_AFTER: f64 = 0.80;

/// Answers of the new version that a pass needs.
const PASS_ANSWERS: u64 = 100;

/// Time after the deadline for which the old version stays warm, as a part of
/// the time span.
const WARM_PART: f64 = 0.5;

/// One step of the plan.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// Part of the time span that must have passed.
    after: f64,
    /// Share of the new version, in percent.
    share: u8,
    /// Answers of the new version that must have been judged good.
    responses: u64,
}

impl Step {
    const fn new(after: f64, share: u8, responses: u64) -> Self {
        Self {
            after,
            share,
            responses,
        }
    }
}

/// Why a move was taken back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Veto {
    /// One sentence with the figures behind it.
    pub reason: String,
    /// The node that saw the fault.
    pub node: Name,
    /// When it was seen.
    pub at: Time,
}

/// The facts that nodes share about one move.
///
/// Both fields only ever change from `None` to `Some`, and a veto goes before
/// a pass, so the order in which messages arrive does not matter.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Facts {
    /// The first veto known.
    pub veto: Option<Veto>,
    /// When the first node passed the move.
    pub passed: Option<Time>,
}

impl Facts {
    /// Takes over what `other` knows and returns whether anything was new.
    pub fn merge(&mut self, other: &Facts) -> bool {
        let mut is_new = false;
        if let Some(veto) = &other.veto {
            let is_first = self
                .veto
                .as_ref()
                .is_none_or(|own| (veto.at, &veto.node) < (own.at, &own.node));
            is_new |= is_first;
            if is_first {
                self.veto = Some(veto.clone());
            }
        }
        if let Some(at) = other.passed {
            let is_first = self.passed.is_none_or(|own| at < own);
            is_new |= is_first;
            if is_first {
                self.passed = Some(at);
            }
        }
        is_new
    }
}

/// The state of a move as one node sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The move has not begun.
    Waiting,
    /// Some traffic goes to the new version.
    Running,
    /// All traffic goes to the new version and stays there.
    Done,
    /// All traffic goes to the old version again.
    Reverted,
}

/// What is known about a move at one time.
#[derive(Clone, Copy, Debug)]
pub struct MoveSnapshot<'a> {
    /// The declared move.
    pub plan: &'a Move,
    /// The shared facts.
    pub facts: &'a Facts,
    /// Answers of the new version seen by this node and its neighbours.
    pub responses: u64,
    /// The time now.
    pub now: Time,
}

impl MoveSnapshot<'_> {
    /// Returns the part of the time span that has passed; it may exceed 1.
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

    /// Returns the share of traffic for the new version, in percent.
    pub fn share(&self) -> u8 {
        match self.phase() {
            Phase::Waiting | Phase::Reverted => 0,
            Phase::Done => 100,
            Phase::Running => self.planned_share(),
        }
    }

    fn planned_share(&self) -> u8 {
        let elapsed = self.elapsed();
        STEPS
            .iter()
            .take_while(|step| elapsed >= step.after && self.responses >= step.responses)
            .last()
            .map_or(0, |step| step.share)
    }

    /// Returns whether this node may pass the move now.
    pub fn may_pass(&self) -> bool {
        self.phase() == Phase::Running
            && self.elapsed() >= PASS_AFTER
            && self.planned_share() == 100
            && self.responses >= PASS_ANSWERS
    }

    /// Returns whether the new version is still judged, also after a pass.
    pub fn is_monitored(&self) -> bool {
        match self.phase() {
            Phase::Running => true,
            Phase::Done => self.elapsed() < 1.0 + WARM_PART,
            Phase::Waiting | Phase::Reverted => false,
        }
    }

    /// Says in one sentence how the move stands and why.
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
            Phase::Waiting => format!("{service} will begin to move from {from} to {to}"),
            Phase::Running => format!(
                "{service} moves from {from} to {to}: {} of 100 requests go to {to} after {} answers",
                self.share(),
                self.responses
            ),
            Phase::Done => format!("{service} runs {to}: all requests go to it"),
            Phase::Reverted if self.plan.revert => {
                format!("{service} was taken back from {to} to {from}: an operator asked for it")
            }
            Phase::Reverted => format!(
                "{service} was taken back from {to} to {from}: {} answers by the deadline were too few to judge {to}",
                self.responses
            ),
        }
    }
}

/// Returns whether the request with this random number goes to the new version.
pub const fn routes_to_new(share: u8, draw: u64) -> bool {
    draw % 100 < share as u64
}
