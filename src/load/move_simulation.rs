//! Seeded simulation of version moves on the core of several nodes, with a virtual clock.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::core::Name;
use crate::core::config::Move;
use crate::core::moves;
use crate::core::moves::Facts;
use crate::core::moves::MoveSnapshot;
use crate::core::moves::Phase;
use crate::core::moves::Veto;
use crate::core::moves::detector::Evidence;
use crate::core::moves::detector::Outcome;
use crate::core::moves::detector::RegressionDetector;
use crate::core::moves::detector::Sample;
use crate::core::time::Time;

/// Number of nodes.
const NODES: usize = 9;

/// Requests a second over all nodes.
const REQUEST_RATE: f64 = 40.0;

/// Duration of a move, in seconds.
const MOVE_S: u64 = 300;

/// Time for which a move is simulated after its deadline, in seconds.
const AFTER_DEADLINE_S: u64 = 120;

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(100);

/// Steps between two exchanges of counters among the nodes.
const EXCHANGE_STEPS: u64 = 5;

/// Steps until a fact has reached every node.
const BROADCAST_STEPS: u64 = 2;

/// Time from the start of the move to the start of a late fault, in seconds.
const LATE_FAULT_S: u64 = 200;

/// How the new version behaves compared with the old one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionBehavior {
    /// Behaves like the old version.
    Good,
    /// Behaves like the old version, where both fail 2% of requests.
    GoodNoisy,
    /// Has 10% higher latency.
    GoodSlower,
    /// Fails 30% of requests.
    Fails,
    /// Has three times the latency.
    Slow,
    /// Fails 30% of requests from `LATE_FAULT_S` on.
    FailsLate,
    /// Has three times the latency from `LATE_FAULT_S` on.
    SlowLate,
    /// Fails 40% of requests while it gets at least half of the traffic.
    FailsUnderLoad,
    /// Fails 50% of requests on the less used route.
    FailsOneRoute,
}

/// All behaviors.
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
    /// Returns whether the move should complete.
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
            VersionBehavior::FailsLate | VersionBehavior::SlowLate => at_s >= LATE_FAULT_S as f64,
            VersionBehavior::FailsUnderLoad => share >= 50,
            VersionBehavior::FailsOneRoute => route == 1,
        }
    }

    fn sample(self, rng: &mut SmallRng, is_new: bool, is_faulty: bool) -> Sample {
        let base_failure_rate = if self == VersionBehavior::GoodNoisy {
            0.02
        } else {
            0.002
        };
        let mut failure_rate = base_failure_rate;
        let mut latency_factor = 1.0;
        if is_new && is_faulty {
            match self {
                VersionBehavior::Fails | VersionBehavior::FailsLate => failure_rate = 0.30,
                VersionBehavior::FailsUnderLoad => failure_rate = 0.40,
                VersionBehavior::FailsOneRoute => failure_rate = 0.50,
                _ => latency_factor = 3.0,
            }
        }
        if is_new && self == VersionBehavior::GoodSlower {
            latency_factor = 1.1;
        }
        // The median latency is 20 ms, with a long tail.
        let spread: f64 = rng.random::<f64>() + rng.random::<f64>() + rng.random::<f64>();
        let millis = 20.0 * latency_factor * (spread / 1.5).powi(2).max(0.2);
        let outcome = if rng.random_bool(failure_rate) {
            Outcome::Failed
        } else {
            Outcome::Succeeded(Duration::from_secs_f64(millis / 1_000.0))
        };
        Sample { is_new, outcome }
    }
}

/// How one move ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct MoveOutcome {
    is_done: bool,
    is_reverted: bool,
    /// Whether all nodes had reached the same decision by the deadline.
    in_time: bool,
    failed: u64,
    /// Share of the new version when its fault first occurred, in percent.
    fault_share: u8,
    stop_ms: Option<u64>,
}

/// Results over all moves to versions of one behavior.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MoveReport {
    /// Behavior of the new version.
    #[serde(rename = "kind")]
    pub behavior: VersionBehavior,
    /// Number of simulated moves.
    pub moves: u64,
    /// Moves that completed if the version is good, or were reverted if not.
    #[serde(rename = "right")]
    pub correct: u64,
    /// Moves that all nodes had decided alike by the deadline.
    pub in_time: u64,
    /// Mean number of requests that the new version failed in a move.
    #[serde(rename = "lost_mean")]
    pub failed_mean: f64,
    /// Highest share of the new version when its fault first occurred, in percent.
    pub share_at_fault: u8,
    /// Longest time from the first veto to the last request of the faulty version, in
    /// milliseconds.
    pub stop_ms_worst: u64,
}

struct Node {
    detector: RegressionDetector,
    facts: Facts,
}

/// State of one simulated move.
struct MoveSimulation {
    plan: Move,
    nodes: Vec<Node>,
    rng: SmallRng,
    behavior: VersionBehavior,
    /// Facts on their way to the nodes, with the step of their arrival.
    in_flight: Vec<(u64, Facts)>,
    failed: u64,
    fault_share: Option<u8>,
    veto_step: Option<u64>,
    stop_step: Option<u64>,
}

/// Simulates `count` moves to versions of one behavior.
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
        share_at_fault: outcomes.iter().map(|o| o.fault_share).max().unwrap_or(0),
        stop_ms_worst: stops.max().unwrap_or(0),
    }
}

impl MoveSimulation {
    fn new(behavior: VersionBehavior, seed: u64) -> Self {
        let nodes = (0..NODES)
            .map(|_| Node {
                detector: RegressionDetector::new(),
                facts: Facts::default(),
            })
            .collect();
        Self {
            plan: Move {
                service: "s".into(),
                from: "v1".into(),
                to: "v2".into(),
                start_ms: 10_000,
                deadline_ms: 10_000 + MOVE_S * 1_000,
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

    fn snapshot<'a>(plan: &'a Move, node: &'a Node, step: u64) -> MoveSnapshot<'a> {
        MoveSnapshot {
            plan,
            facts: &node.facts,
            responses: node.detector.responses(),
            now: Self::now(step),
        }
    }

    fn run(mut self) -> MoveOutcome {
        let per_s = 1_000 / STEP.as_millis() as u64;
        let deadline = (10 + MOVE_S) * per_s;
        let end = deadline + AFTER_DEADLINE_S * per_s;
        let mut at_deadline = Vec::new();
        for step in 0..end {
            self.deliver(step);
            self.send_requests(step);
            if step.is_multiple_of(EXCHANGE_STEPS) {
                self.exchange();
            }
            self.decide(step);
            if step == deadline {
                at_deadline = self.phases(step);
            }
        }
        let last = self.phases(end);
        let is_decided = |phase: &Phase| matches!(phase, Phase::Done | Phase::Reverted);
        MoveOutcome {
            is_done: last.iter().all(|phase| *phase == Phase::Done),
            is_reverted: last.iter().all(|phase| *phase == Phase::Reverted),
            in_time: at_deadline.iter().all(is_decided)
                && at_deadline.iter().all(|phase| *phase == at_deadline[0]),
            failed: self.failed,
            fault_share: self.fault_share.unwrap_or(0),
            stop_ms: self
                .stop_step
                .zip(self.veto_step)
                .map(|(stop, veto)| (stop - veto) * STEP.as_millis() as u64),
        }
    }

    fn phases(&self, step: u64) -> Vec<Phase> {
        self.nodes
            .iter()
            .map(|node| Self::snapshot(&self.plan, node, step).phase())
            .collect()
    }

    fn send_requests(&mut self, step: u64) {
        let at_s = Self::now(step).as_millis() as f64 / 1_000.0 - 10.0;
        let probability = REQUEST_RATE * STEP.as_secs_f64() / NODES as f64;
        let routes: [Name; 2] = ["a".into(), "b".into()];
        for at in 0..NODES {
            if !self.rng.random_bool(probability.min(1.0)) {
                continue;
            }
            let snapshot = Self::snapshot(&self.plan, &self.nodes[at], step);
            let share = snapshot.share();
            let is_monitored = snapshot.is_monitored();
            let is_new = moves::routes_to_new(share, self.rng.random());
            let route = usize::from(self.rng.random_bool(0.2));
            let is_faulty = self.behavior.is_faulty(at_s, share, route);
            let sample = self.behavior.sample(&mut self.rng, is_new, is_faulty);
            if is_new && is_faulty && self.fault_share.is_none() {
                self.fault_share = Some(share);
            }
            if is_new && is_faulty && self.veto_step.is_some() {
                self.stop_step = Some(step);
            }
            self.failed += u64::from(is_new && sample.outcome == Outcome::Failed);
            if is_monitored || !is_new {
                self.nodes[at].detector.record(&routes[route], &sample);
            }
        }
    }

    /// Merges the counters of four other nodes into each node.
    fn exchange(&mut self) {
        let evidence: Vec<Evidence> = self
            .nodes
            .iter()
            .map(|node| node.detector.evidence())
            .collect();
        for at in 0..NODES {
            for step in 1..=4 {
                let from = (at + step) % NODES;
                let name: Name = format!("n{from}").into();
                self.nodes[at].detector.merge(&name, &evidence[from]);
            }
        }
    }

    fn decide(&mut self, step: u64) {
        for at in 0..NODES {
            let snapshot = Self::snapshot(&self.plan, &self.nodes[at], step);
            let fault = snapshot
                .is_monitored()
                .then(|| self.nodes[at].detector.fault())
                .flatten();
            let may_pass = snapshot.may_pass();
            let facts = &mut self.nodes[at].facts;
            if let Some(reason) = fault {
                facts.veto = Some(Veto {
                    reason,
                    node: format!("n{at}").into(),
                    at: Self::now(step),
                });
                self.veto_step.get_or_insert(step);
            } else if may_pass {
                facts.passed = Some(Self::now(step));
            } else {
                continue;
            }
            let update = facts.clone();
            self.in_flight.push((step + BROADCAST_STEPS, update));
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
