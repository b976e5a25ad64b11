//! Quotas divided over nodes.

use std::time::Duration;

use cassialock::core::limit::quota::Demand;
use cassialock::core::limit::quota::Quota;
use cassialock::core::time::Time;

const NODES: usize = 9;
const RATE: f64 = 280_000.0;
const ROUND_MS: u64 = 500;
const WINDOW_MS: usize = 8_000;

/// A node that hears of the others' demand once a round, when they last told it.
struct Node {
    quota: Quota,
    demand: Demand,
    told: f64,
    heard: Vec<f64>,
    phase: u64,
}

/// Returns the units admitted in each millisecond when every node is asked for
/// `asked` units a millisecond after a second of silence.
fn admitted(asked: impl Fn(usize, u64) -> f64, length: u64) -> Vec<f64> {
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|at| Node {
            quota: Quota::new(Time::from_millis(0)),
            demand: Demand::default(),
            told: 0.0,
            heard: vec![0.0; NODES],
            phase: at as u64 * 55,
        })
        .collect();
    let mut units = Vec::new();
    for ms in 0..length {
        let now = Time::from_millis(ms);
        for at in 0..NODES {
            if ms % ROUND_MS == nodes[at].phase % ROUND_MS {
                let told = nodes[at].quota.demand(now);
                nodes[at].told = told;
                for node in &mut nodes {
                    node.heard[at] = told;
                }
            }
            if (ms + 250) % ROUND_MS == nodes[at].phase % ROUND_MS {
                let own = nodes[at].quota.demand(now);
                let all: f64 = nodes[at].heard.iter().sum();
                let others = all - nodes[at].heard[at];
                nodes[at].demand.record(own, others);
            }
        }
        let mut sum = 0.0;
        for (at, node) in nodes.iter_mut().enumerate() {
            let wanted = asked(at, ms);
            let part = node.demand.part(NODES);
            node.quota.set(RATE, RATE, part, 0.0, now);
            if wanted > 0.0 && node.quota.take(wanted, now).is_ok() {
                sum += wanted;
            }
        }
        units.push(sum);
    }
    units
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
    // Each node is asked for a request of 5,000 units now and then, seven times
    // the quota in all, from one moment on.
    let asked = |at: usize, ms: u64| {
        let is_due = (ms + at as u64 * 7).is_multiple_of(23);
        if ms >= 1_000 && is_due { 5_000.0 } else { 0.0 }
    };
    let most = most_in_window(&admitted(asked, 20_000));
    let allowed = (RATE * 8.0 + RATE) * 1.1;
    assert!(most <= allowed, "{most} of {allowed} units in a window");
}

#[test]
fn a_demand_that_moves_between_nodes_stays_within_the_quota() {
    let asked = |at: usize, ms: u64| {
        let busy = (ms / 3_000) as usize % 3;
        let is_due = ms.is_multiple_of(5);
        if at % 3 == busy && is_due {
            4_000.0
        } else {
            0.0
        }
    };
    let most = most_in_window(&admitted(asked, 30_000));
    let allowed = (RATE * 8.0 + RATE) * 1.1;
    assert!(most <= allowed, "{most} of {allowed} units in a window");
}

#[test]
fn a_demand_below_the_quota_is_served() {
    let asked = |at: usize, ms: u64| {
        let is_due = (ms + at as u64 * 31).is_multiple_of(250);
        if is_due { 5_000.0 } else { 0.0 }
    };
    let units = admitted(asked, 20_000);
    let wanted: f64 = (0..20_000)
        .flat_map(|ms| (0..NODES).map(move |at| asked(at, ms)))
        .sum();
    let served: f64 = units.iter().sum();
    assert!(served >= wanted * 0.97, "{served} of {wanted} units");
}

#[test]
fn a_node_starts_with_a_part_of_the_burst() {
    let now = Time::from_millis(0);
    let mut quota = Quota::new(now);
    quota.set(1_000.0, 1_000.0, 1.0, 0.0, now);
    assert!(quota.take(300.0, now).is_ok());
    let wait = quota.take(300.0, now).unwrap_err();
    assert_eq!(wait, Duration::from_millis(300));
}
