//! The evidence about a new version when nodes are killed.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::aggregate::summary::DomainSummary;
use cassialock::core::moves::detector::Evidence;
use cassialock::core::moves::detector::Outcome;
use cassialock::core::moves::detector::RegressionDetector;
use cassialock::core::moves::detector::RouteCounts;
use cassialock::core::name_map::NameMap;
use cassialock::core::peer::NodeStatus;
use cassialock::core::peer::Peers;
use cassialock::core::time::Time;
use cassialock::entry::adapter::DeclaredMove;
use cassialock::entry::adapter::MoveOutcome;
use cassialock::entry::moves::Moves;
use cassialock::entry::moves::exchange::PromotionReport;

use crate::fixtures;

fn evidence(responses: u64) -> Evidence {
    let counts = RouteCounts {
        responses,
        failed: 0,
        slow: responses,
    };
    std::iter::once((Name::from("r"), counts)).collect()
}

/// Returns the status of a process that has counted `responses`.
fn status(node: &str, incarnation: u64, seq: u64, responses: u64) -> NodeStatus {
    NodeStatus {
        seq,
        evidence: std::iter::once((Name::from("s"), evidence(responses))).collect(),
        ..fixtures::node_status(node.into(), incarnation, "d".into(), [10, 0, 0, 1])
    }
}

fn summarized(peers: &Peers) -> u64 {
    let own = status("aggregator", 1, 1, 0);
    let now = Time::from_millis(2_000);
    let row = DomainSummary::new(&own, peers, &NameMap::new(), |_| 0, 0, now);
    let services = row.summary.evidence.get("d").unwrap();
    let counts = services.get("s").and_then(|routes| routes.get("r"));
    counts.map_or(0, |counts| counts.responses)
}

#[test]
fn what_a_killed_node_has_counted_stays_in_the_sum_of_its_domain() {
    let now = Time::from_millis(1_000);
    let mut peers = Peers::new();
    peers.merge(status("n", 1, 1, 10), now);
    peers.merge(status("n", 2, 1, 3), now);
    assert_eq!(summarized(&peers), 13);
    peers.remove("n", now);
    assert_eq!(summarized(&peers), 13);
    peers.forget_evidence(&evidence_of("other"), now);
    assert_eq!(summarized(&peers), 0, "the move has ended");
}

fn evidence_of(service: &str) -> NameMap<Evidence> {
    std::iter::once((Name::from(service), evidence(0))).collect()
}

#[test]
fn the_first_counts_of_a_restarted_peer_are_not_taken_for_stale_ones() {
    let mut detector = RegressionDetector::new();
    let node = Name::from("n");
    detector.merge_process(&node, 1, &evidence(10));
    detector.merge_process(&node, 2, &evidence(3));
    detector.merge_process(&node, 2, &evidence(3));
    detector.merge_process(&node, 1, &evidence(11));
    assert_eq!(detector.responses(), 13);
}

/// Returns the moves of a node that saw one of 15 s declared at `ms`.
fn declared_at(ms: u64) -> Moves {
    let moves = Moves::new();
    let declared = DeclaredMove {
        service: "s".into(),
        target: "v2".into(),
        within: Duration::from_secs(15),
        outcome: None,
    };
    moves.apply_listing(1, vec![declared], Time::from_millis(ms));
    moves
}

#[test]
fn a_restarted_node_does_not_begin_the_time_of_a_move_anew() {
    let known = declared_at(1_000);
    let restarted = declared_at(12_000);
    let now = Time::from_millis(12_500);
    restarted.merge_reports(&"known".into(), &known.reports(now), now);
    known.merge_reports(&"restarted".into(), &restarted.reports(now), now);
    let later = Time::from_millis(15_200);
    let outcome = MoveOutcome::TakenBack;
    let expected: Vec<(Name, Name, MoveOutcome)> = vec![("s".into(), "v2".into(), outcome)];
    assert_eq!(known.outcomes(later), expected);
    assert_eq!(restarted.outcomes(later), expected);
}

#[test]
fn an_earlier_move_to_the_same_version_does_not_count() {
    let earlier = declared_at(1_000);
    let later = declared_at(30_000);
    let now = Time::from_millis(30_500);
    later.merge_reports(&"earlier".into(), &earlier.reports(now), now);
    assert!(later.outcomes(now).is_empty());
}

fn promotion(steps: usize, elapsed: Duration) -> PromotionReport {
    PromotionReport {
        service: "s".into(),
        target: "v2".into(),
        steps,
        elapsed,
    }
}

/// A node that stays behind would use the old servers when these are stopped.
#[test]
fn a_restarted_node_follows_the_others_in_the_steps_of_a_move() {
    let restarted = declared_at(1_000);
    let now = Time::from_millis(12_000);
    let elapsed = Duration::from_secs(11);
    restarted.merge_promotions(&[promotion(2, elapsed)], now);
    assert_eq!(restarted.promotions(now), [promotion(2, elapsed)]);
    restarted.merge_promotions(&[promotion(1, elapsed)], now);
    assert_eq!(restarted.promotions(now), [promotion(2, elapsed)]);
}

#[test]
fn the_steps_of_an_earlier_move_to_the_same_version_do_not_count() {
    let later = declared_at(30_000);
    let now = Time::from_millis(30_500);
    later.merge_promotions(&[promotion(3, Duration::from_secs(14))], now);
    assert!(later.promotions(now).is_empty());
}

#[test]
fn a_node_that_suspects_a_version_does_not_follow_the_others() {
    let moves = declared_at(1_000);
    let now = Time::from_millis(12_000);
    for _ in 0..4 {
        moves.record("s", &"r".into(), "v2", Outcome::Failed);
    }
    moves.merge_promotions(&[promotion(2, Duration::from_secs(11))], now);
    assert!(moves.promotions(now).is_empty());
}
