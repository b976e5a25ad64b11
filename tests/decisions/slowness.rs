//! By which limit a new version counts as slow.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::catalog::Catalog;
use cassialock::core::moves::detector::Evidence;
use cassialock::core::moves::detector::Outcome;
use cassialock::core::moves::detector::RegressionDetector;
use cassialock::core::moves::detector::RouteCounts;
use cassialock::core::time::Time;
use cassialock::entry::adapter::DeclaredMove;
use cassialock::entry::moves::Moves;

const SERVICE: &str = "s";

const RESPONSES: u64 = 40;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn route() -> Name {
    "r".into()
}

/// Records responses with latencies between `latency` and one and a half times that.
fn record(moves: &Moves, version: &str, latency: u64) {
    for count in 0..RESPONSES {
        let spread = latency * (count % 11) / 20;
        let outcome = Outcome::Succeeded(ms(latency + spread));
        moves.record(SERVICE, &route(), version, outcome);
    }
}

fn declare(moves: &Moves) {
    let declared = DeclaredMove {
        service: SERVICE.into(),
        target: "v2".into(),
        within: Duration::from_secs(15),
        outcome: None,
    };
    moves.apply_listing(1, vec![declared], Time::from_millis(1_000));
}

fn counts(moves: &Moves) -> RouteCounts {
    let services = moves.evidence();
    let known = services.get(SERVICE).and_then(|routes| routes.get("r"));
    known.copied().unwrap_or_default()
}

/// Returns how many responses of the new version are slow, with the latencies of the
/// old version before and during the move.
fn slow(before: u64, during: u64, new: u64) -> u64 {
    let moves = Moves::new();
    record(&moves, "v1", before);
    declare(&moves);
    record(&moves, "v1", during);
    record(&moves, "v2", new);
    counts(&moves).slow
}

#[test]
fn a_slow_version_is_found_while_the_old_one_waits_in_queues() {
    for during in [100, 200, 400, 800] {
        assert_eq!(slow(100, during, 400), RESPONSES, "{during} ms");
    }
}

#[test]
fn a_good_version_with_empty_caches_is_not_slow() {
    assert_eq!(slow(100, 100, 120), 0);
    assert_eq!(slow(100, 150, 180), 0);
    assert_eq!(slow(100, 400, 180), 0);
}

#[test]
fn an_old_version_that_recovers_during_the_move_sets_the_limit() {
    assert_eq!(slow(800, 100, 400), RESPONSES);
}

#[test]
fn a_response_without_a_limit_counts_only_when_there_is_one() {
    let moves = Moves::new();
    declare(&moves);
    record(&moves, "v2", 400);
    assert_eq!(counts(&moves).responses, 0, "nothing to compare with");
    moves.record(SERVICE, &route(), "v2", Outcome::Failed);
    assert_eq!(counts(&moves).failed, 1, "a failure needs no limit");
    record(&moves, "v1", 100);
    assert_eq!(counts(&moves).responses, RESPONSES + 1);
    assert_eq!(counts(&moves).slow, RESPONSES);
}

#[test]
fn a_node_that_starts_during_the_move_uses_the_limit_of_its_peers() {
    let known = Moves::new();
    record(&known, "v1", 100);
    declare(&known);
    let started = Moves::new();
    declare(&started);
    let now = Time::from_millis(2_000);
    started.merge_reports(&"known".into(), &known.reports(now), now);
    record(&started, "v1", 800);
    record(&started, "v2", 400);
    assert_eq!(counts(&started).slow, RESPONSES);
}

#[test]
fn latencies_of_removed_routes_are_forgotten() {
    let moves = Moves::new();
    record(&moves, "v1", 100);
    moves.retain_routes(&Catalog::new(1));
    declare(&moves);
    record(&moves, "v2", 400);
    assert_eq!(counts(&moves).slow, 0, "nothing to compare with");
}

/// Returns whether a fault is found in counts of slow and all responses on three routes,
/// which a peer has reported one after the other.
fn has_fault(reports: &[[(u64, u64); 3]]) -> bool {
    let mut detector = RegressionDetector::new();
    for report in reports {
        let routes = ["a", "b", "c"].into_iter().zip(report);
        let evidence: Evidence = routes
            .map(|(route, &(slow, responses))| {
                let counts = RouteCounts {
                    responses,
                    failed: 0,
                    slow,
                };
                (Name::from(route), counts)
            })
            .collect();
        detector.merge(&"peer".into(), &evidence);
    }
    detector.fault().is_some()
}

/// Counts of a play in which the old version was slow before the move, so that only the
/// slowest responses of the new one exceed the limit.
#[test]
fn a_version_that_is_somewhat_slow_on_every_route_is_found() {
    assert!(has_fault(&[
        [(0, 10), (0, 3), (0, 3)],
        [(2, 17), (1, 11), (0, 9)],
        [(7, 23), (2, 16), (3, 16)],
        [(9, 29), (4, 21), (3, 18)],
        [(10, 34), (9, 27), (5, 20)],
    ]));
    assert!(!has_fault(&[
        [(17, 115), (15, 121), (0, 0)],
        [(18, 219), (18, 262), (0, 0)],
        [(52, 581), (53, 669), (0, 0)],
    ]));
}
