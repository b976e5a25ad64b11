//! Seeded version moves on the core of several nodes, with a clock of their own.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::core::Name;
use crate::core::config::Move;
use crate::core::moves;
use crate::core::moves::Facts;
use crate::core::moves::Phase;
use crate::core::moves::Veto;
use crate::core::moves::View;
use crate::core::moves::judge::Evidence;
use crate::core::moves::judge::Judge;
use crate::core::moves::judge::Sample;
use crate::core::time::Time;

/// Nodes of a move.
const NODES: usize = 9;

/// Requests a second over all nodes.
const RATE: f64 = 40.0;

/// Time span of a move, in seconds.
const SPAN_S: u64 = 300;

/// Time after the deadline for which a move is followed, in seconds.
const AFTER_S: u64 = 120;

/// Step of the clock.
const STEP: Duration = Duration::from_millis(100);

/// Steps between two exchanges of counters.
const EXCHANGE_STEPS: u64 = 5;

/// Steps that a fact takes to every node.
const FLOOD_STEPS: u64 = 2;

/// When faults begin that do not show at once, in seconds.
const LATE_S: u64 = 200;

/// How the new version behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionBehavior {
    /// Like the old one.
    Good,
    /// Like the old one, which fails 2 requests of 100.
    GoodNoisy,
    /// Like the old one, a tenth slower.
    GoodSlower,
    /// Fails 30 requests of 100.
    Fails,
    /// Takes three times as long.
    Slow,
    /// Fails 30 requests of 100 after a time.
    FailsLate,
    /// Takes three times as long after a time.
    SlowLate,
    /// Fails 40 requests of 100 while it has half of the traffic or more.
    FailsUnderLoad,
    /// Fails 50 requests of 100 on the less used route.
    FailsOneRoute,
}

/// All kinds.
pub const BEHAVIORS: [VersionBehavior; 9] = [
    VersionBehavior::Good,
    VersionBehavior::GoodNoisy,
    VersionBehavior::GoodSlower,
    VersionBehavior::Fails,
    VersionBehavior::Slow,
    VersionBehavior::FailsLate,
    VersionBehavior::SlowLate,
    VersionBehavior::FailsUnderLoad,
    VersionBehavior::FailsOneRoute,
];

impl VersionBehavior {
    /// Returns whether the version should be completed.
    pub fn is_good(self) -> bool {
        matches!(
            self,
            VersionBehavior::Good | VersionBehavior::GoodNoisy | VersionBehavior::GoodSlower
        )
    }

    fn is_faulty(self, at_s: f64, share: u8, route: usize) -> bool {
        match self {
            VersionBehavior::Good | VersionBehavior::GoodNoisy | VersionBehavior::GoodSlower => {
                false
            }
            VersionBehavior::Fails | VersionBehavior::Slow => true,
            VersionBehavior::FailsLate | VersionBehavior::SlowLate => at_s >= LATE_S as f64,
            VersionBehavior::FailsUnderLoad => share >= 50,
            VersionBehavior::FailsOneRoute => route == 1,
        }
    }

    fn sample(self, rng: &mut SmallRng, is_new: bool, is_faulty: bool) -> Sample {
        let base_fail = if self == VersionBehavior::GoodNoisy {
            0.02
        } else {
            0.002
        };
        let mut fail = base_fail;
        let mut factor = 1.0;
        if is_new && is_faulty {
            match self {
                VersionBehavior::Fails | VersionBehavior::FailsLate => fail = 0.30,
                VersionBehavior::FailsUnderLoad => fail = 0.40,
                VersionBehavior::FailsOneRoute => fail = 0.50,
                _ => factor = 3.0,
            }
        }
        if is_new && self == VersionBehavior::GoodSlower {
            factor = 1.1;
        }
        // The middle of the latency is 20 ms; its tail is long.
        let spread: f64 = rng.random::<f64>() + rng.random::<f64>() + rng.random::<f64>();
        let millis = 20.0 * factor * (spread / 1.5).powi(2).max(0.2);
        Sample {
            is_new,
            failed: rng.random_bool(fail),
            latency: Duration::from_secs_f64(millis / 1_000.0),
        }
    }
}

/// How one move ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct MoveOutcome {
    is_done: bool,
    is_reverted: bool,
    in_time: bool,
    failed: u64,
    first_share: u8,
    stop_ms: Option<u64>,
}

/// Results over all moves of one kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MoveReport {
    /// How the new version behaved.
    #[serde(rename = "kind")]
    pub behavior: VersionBehavior,
    /// Moves that were played.
    pub moves: u64,
    /// Moves that ended as they should.
    #[serde(rename = "right")]
    pub correct: u64,
    /// Moves that were decided by the deadline.
    pub in_time: u64,
    /// Requests that the new version failed, in the mean of a move.
    #[serde(rename = "lost_mean")]
    pub failed_mean: f64,
    /// Highest share of the new version when its fault first showed, in percent.
    pub share_at_fault: u8,
    /// Time from the first veto to no traffic at any node, at worst, in milliseconds.
    pub stop_ms_worst: u64,
}

struct Node {
    judge: Judge,
    facts: Facts,
}

struct MoveSimulation {
    plan: Move,
    nodes: Vec<Node>,
    rng: SmallRng,
    behavior: VersionBehavior,
    in_flight: Vec<(u64, Facts)>,
    failed: u64,
    fault_share: Option<u8>,
    veto_step: Option<u64>,
    stop_step: Option<u64>,
}

/// Plays `count` moves of one kind and returns the figures.
pub fn simulate(behavior: VersionBehavior, count: u64) -> MoveReport {
    let outcomes: Vec<MoveOutcome> = (0..count)
        .map(|seed| MoveSimulation::new(behavior, seed).run())
        .collect();
    let is_correct = |o: &&MoveOutcome| {
        if behavior.is_good() {
            o.is_done && !o.is_reverted
        } else {
            o.is_reverted
        }
    };
    let stops = outcomes.iter().filter_map(|o| o.stop_ms);
    MoveReport {
        behavior,
        moves: count,
        correct: outcomes.iter().filter(is_correct).count() as u64,
        in_time: outcomes.iter().filter(|o| o.in_time).count() as u64,
        failed_mean: outcomes.iter().map(|o| o.failed).sum::<u64>() as f64 / count.max(1) as f64,
        share_at_fault: outcomes.iter().map(|o| o.first_share).max().unwrap_or(0),
        stop_ms_worst: stops.max().unwrap_or(0),
    }
}

impl MoveSimulation {
    fn new(behavior: VersionBehavior, seed: u64) -> Self {
        let nodes = (0..NODES)
            .map(|_| Node {
                judge: Judge::new(),
                facts: Facts::default(),
            })
            .collect();
        Self {
            plan: Move {
                service: "s".into(),
                from: "v1".into(),
                to: "v2".into(),
                start_ms: 10_000,
                deadline_ms: 10_000 + SPAN_S * 1_000,
                revert: false,
            },
            nodes,
            rng: SmallRng::seed_from_u64(seed * 31 + behavior as u64),
            behavior,
            in_flight: Vec::new(),
            failed: 0,
            fault_share: None,
            veto_step: None,
            stop_step: None,
        }
    }

    fn now(step: u64) -> Time {
        Time::default() + STEP * step as u32
    }

    fn view<'a>(plan: &'a Move, node: &'a Node, step: u64) -> View<'a> {
        View {
            plan,
            facts: &node.facts,
            answers: node.judge.answers(),
            now: Self::now(step),
        }
    }

    fn run(mut self) -> MoveOutcome {
        let per_s = 1_000 / STEP.as_millis() as u64;
        let deadline = (10 + SPAN_S) * per_s;
        let end = deadline + AFTER_S * per_s;
        let mut at_deadline = Vec::new();
        for step in 0..end {
            self.deliver(step);
            self.requests(step);
            if step.is_multiple_of(EXCHANGE_STEPS) {
                self.exchange();
            }
            self.decide(step);
            if step == deadline {
                at_deadline = self.phases(step);
            }
        }
        let last = self.phases(end);
        let decided = |phase: &Phase| matches!(phase, Phase::Done | Phase::Reverted);
        MoveOutcome {
            is_done: last.iter().all(|phase| *phase == Phase::Done),
            is_reverted: last.iter().all(|phase| *phase == Phase::Reverted),
            in_time: at_deadline.iter().all(decided)
                && at_deadline.iter().all(|phase| *phase == at_deadline[0]),
            failed: self.failed,
            first_share: self.fault_share.unwrap_or(0),
            stop_ms: self
                .stop_step
                .zip(self.veto_step)
                .map(|(stop, veto)| (stop - veto) * STEP.as_millis() as u64),
        }
    }

    fn phases(&self, step: u64) -> Vec<Phase> {
        self.nodes
            .iter()
            .map(|node| Self::view(&self.plan, node, step).phase())
            .collect()
    }

    fn requests(&mut self, step: u64) {
        let at_s = Self::now(step).as_millis() as f64 / 1_000.0 - 10.0;
        let chance = RATE * STEP.as_secs_f64() / NODES as f64;
        let routes: [Name; 2] = ["a".into(), "b".into()];
        for at in 0..NODES {
            if !self.rng.random_bool(chance.min(1.0)) {
                continue;
            }
            let view = Self::view(&self.plan, &self.nodes[at], step);
            let share = view.share();
            let is_judged = view.is_judged();
            let is_new = moves::takes_new(share, self.rng.random());
            let route = usize::from(self.rng.random_bool(0.2));
            let is_faulty = self.behavior.is_faulty(at_s, share, route);
            let sample = self.behavior.sample(&mut self.rng, is_new, is_faulty);
            if is_new && is_faulty && self.fault_share.is_none() {
                self.fault_share = Some(share);
            }
            if is_new && is_faulty && self.veto_step.is_some() {
                self.stop_step = Some(step);
            }
            self.failed += u64::from(is_new && sample.failed);
            if is_judged || !is_new {
                self.nodes[at].judge.record(&routes[route], &sample);
            }
        }
    }

    /// Each node takes over the counters of four others.
    fn exchange(&mut self) {
        let evidence: Vec<Evidence> = self
            .nodes
            .iter()
            .map(|node| node.judge.evidence().clone())
            .collect();
        for at in 0..NODES {
            for step in 1..=4 {
                let from = (at + step) % NODES;
                let name: Name = format!("n{from}").into();
                self.nodes[at].judge.merge(&name, &evidence[from]);
            }
        }
    }

    fn decide(&mut self, step: u64) {
        for at in 0..NODES {
            let view = Self::view(&self.plan, &self.nodes[at], step);
            let fault = view
                .is_judged()
                .then(|| self.nodes[at].judge.fault())
                .flatten();
            let passes = view.may_pass();
            let facts = &mut self.nodes[at].facts;
            if let Some(reason) = fault {
                facts.veto = Some(Veto {
                    reason,
                    node: format!("n{at}").into(),
                    at: Self::now(step),
                });
                self.veto_step.get_or_insert(step);
            } else if passes {
                facts.passed = Some(Self::now(step));
            } else {
                continue;
            }
            let news = facts.clone();
            self.in_flight.push((step + FLOOD_STEPS, news));
        }
    }

    fn deliver(&mut self, step: u64) {
        let due: Vec<Facts> = self
            .in_flight
            .extract_if(.., |(at, _)| *at <= step)
            .map(|(_, facts)| facts)
            .collect();
        for facts in due {
            for node in &mut self.nodes {
                node.facts.merge(&facts);
            }
        }
    }
}
