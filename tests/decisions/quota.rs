//! Quotas kept by all nodes together.

use std::time::Duration;

use cassialock::core::limit::quota::Quota;
use cassialock::core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const RATE: f64 = 280_000.0;
const ROUND_MS: u64 = 500;
const WINDOW_MS: usize = 8_000;

/// Allowed in a window: the quota and a tenth.
const ALLOWED: f64 = (RATE * 8.0 + RATE) * 1.1;

/// Other nodes that a node reckons with before it knows their number.
const UNKNOWN_NODES: usize = 8;

/// A node that hears once a round what the others told in their last round.
struct Node {
    quota: Quota,
    told: (f64, f64),
    known: Vec<f64>,
    phase: u64,
}

/// A demand over all nodes in requests of mixed sizes, in units a second.
struct Run {
    nodes: usize,
    length: u64,
    /// Rounds by which news are late.
    late: u64,
    /// When all nodes start anew, in milliseconds.
    restart: Option<u64>,
    /// Time after that until they know how many nodes there are, in milliseconds.
    unread: u64,
}

impl Run {
    /// Creates a run whose news are not late and whose nodes stay.
    fn new(nodes: usize, length: u64) -> Self {
        Self {
            nodes,
            length,
            late: 0,
            restart: None,
            unread: 0,
        }
    }

    /// Returns the units asked for and admitted in each millisecond.
    fn play(&self, demand: impl Fn(u64) -> f64) -> (f64, Vec<f64>) {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut nodes: Vec<Node> = (0..self.nodes)
            .map(|at| Node {
                quota: Quota::new(Time::from_millis(0)),
                told: (0.0, 0.0),
                known: vec![0.0; self.nodes],
                phase: at as u64 * 55 % ROUND_MS,
            })
            .collect();
        let mut history: Vec<Vec<(f64, f64)>> = vec![vec![(0.0, 0.0)]; self.nodes];
        let mut asked = 0.0;
        let mut units = Vec::new();
        for ms in 0..self.length {
            let now = Time::from_millis(ms);
            if Some(ms) == self.restart {
                for (at, node) in nodes.iter_mut().enumerate() {
                    node.quota = Quota::new(now);
                    node.quota.set_unreported(UNKNOWN_NODES);
                    node.known = vec![0.0; self.nodes];
                    history[at] = vec![(0.0, 0.0)];
                }
            }
            if self.restart.is_some_and(|at| ms == at + self.unread) {
                let unheard = self.nodes - 1;
                nodes
                    .iter_mut()
                    .for_each(|node| node.quota.set_unreported(unheard));
            }
            for at in 0..self.nodes {
                if ms % ROUND_MS == nodes[at].phase {
                    let quota = &nodes[at].quota;
                    nodes[at].told = (quota.admitted(), quota.demand(now));
                    history[at].push(nodes[at].told);
                }
                if (ms + 250) % ROUND_MS == nodes[at].phase {
                    hear(&mut nodes[at], at, &history, self.late, now);
                }
            }
            let mut sum = 0.0;
            let mut left = demand(ms) / 1_000.0;
            while left > 0.0 {
                let size: f64 = rng.random_range(500.0..20_000.0);
                let is_sent = rng.random::<f64>() < (left / size).min(1.0);
                left -= size;
                if !is_sent {
                    continue;
                }
                let size = size.max(1.0);
                let node = &mut nodes[rng.random_range(0..self.nodes)];
                node.quota.set_limit(RATE, RATE, now);
                asked += size;
                if node.quota.take(size, rng.random(), now).is_ok() {
                    sum += size;
                }
            }
            units.push(sum);
        }
        (asked, units)
    }
}

fn hear(node: &mut Node, own: usize, history: &[Vec<(f64, f64)>], late: u64, now: Time) {
    let mut delta = 0.0;
    let mut demand = 0.0;
    for (at, told) in history.iter().enumerate().filter(|(at, _)| *at != own) {
        let seen = told.len().saturating_sub(1 + late as usize);
        let (admitted, wanted) = told[seen];
        delta += admitted - node.known[at];
        demand += wanted;
        node.known[at] = admitted;
    }
    node.quota.set_limit(RATE, RATE, now);
    node.quota.set_unreported(0);
    node.quota.record_peers(delta, demand, now);
}

fn most_in_window(units: &[f64]) -> f64 {
    let mut sum: f64 = units[..WINDOW_MS].iter().sum();
    let mut most = sum;
    for at in WINDOW_MS..units.len() {
        sum += units[at] - units[at - WINDOW_MS];
        most = most.max(sum);
    }
    most
}

#[test]
fn a_sudden_demand_stays_within_the_quota_over_all_nodes() {
    for (nodes, late) in [(9, 0), (9, 1), (77, 0), (77, 1)] {
        let run = Run {
            late,
            ..Run::new(nodes, 25_000)
        };
        let demand = |ms| if ms >= 3_000 { RATE * 4.2 } else { RATE * 0.5 };
        let most = most_in_window(&run.play(demand).1);
        assert!(
            most <= ALLOWED,
            "{nodes} nodes, late by {late}: {most} of {ALLOWED}"
        );
    }
}

#[test]
fn a_demand_in_bursts_stays_within_the_quota() {
    for nodes in [9, 77] {
        let run = Run::new(nodes, 40_000);
        let demand = |ms: u64| {
            if (ms / 2_000).is_multiple_of(3) {
                RATE * 5.0
            } else {
                0.0
            }
        };
        let most = most_in_window(&run.play(demand).1);
        assert!(most <= ALLOWED, "{nodes} nodes: {most} of {ALLOWED}");
    }
}

/// With a part of the quota for each node, most of this was refused.
#[test]
fn a_demand_below_the_quota_is_served_however_it_is_spread() {
    for nodes in [1, 9, 77] {
        let run = Run::new(nodes, 20_000);
        let (asked, units) = run.play(|_| RATE * 0.6);
        let served: f64 = units.iter().sum();
        assert!(served >= asked * 0.98, "{nodes} nodes: {served} of {asked}");
    }
}

/// What was used before is not known to processes that start anew.
#[test]
fn a_restart_of_all_nodes_does_not_give_the_quota_twice() {
    for nodes in [9, 77] {
        let run = Run {
            restart: Some(9_000),
            ..Run::new(nodes, 25_000)
        };
        let most = most_in_window(&run.play(|_| RATE * 4.2).1);
        assert!(most <= ALLOWED, "{nodes} nodes: {most} of {ALLOWED}");
    }
}

/// The load: one workspace asks for six times its quota, and all nodes start
/// anew meanwhile.
#[test]
fn a_restart_amid_a_sudden_demand_stays_within_the_quota() {
    for (nodes, unread) in [(9, 0), (9, 100), (77, 0), (77, 100)] {
        let run = Run {
            restart: Some(13_000),
            unread,
            ..Run::new(nodes, 25_000)
        };
        let demand = |ms| match ms {
            ..9_000 => RATE * 0.5,
            13_000..13_100 => 0.0,
            _ => RATE * 6.0,
        };
        let most = most_in_window(&run.play(demand).1);
        assert!(
            most <= ALLOWED,
            "{nodes} nodes, {unread} ms: {most} of {ALLOWED}"
        );
    }
}

#[test]
fn a_demand_above_the_quota_gets_nearly_all_of_it() {
    let run = Run::new(77, 30_000);
    let (_, units) = run.play(|_| RATE * 2.0);
    let served: f64 = units[5_000..].iter().sum();
    assert!(served >= RATE * 25.0 * 0.9, "{served}");
}

#[test]
fn without_a_limit_everything_is_admitted() {
    let now = Time::from_millis(0);
    let mut quota = Quota::new(now);
    quota.set_limit(0.0, 0.0, now);
    assert!(quota.take(1e9, 0.999, now).is_ok());
}

#[test]
fn a_caller_is_told_when_there_are_units_again() {
    let mut quota = Quota::new(Time::from_millis(0));
    quota.set_limit(1_000.0, 1_000.0, Time::from_millis(0));
    // The burst is there by now.
    let now = Time::from_millis(10_000);
    quota.record_peers(2_000.0, 5_000.0, now);
    let wait = quota.take(500.0, 0.9, now).unwrap_err();
    assert_eq!(wait, Duration::from_millis(1_500));
}
