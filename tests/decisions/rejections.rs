//! Rejections of requests by either version of a service.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::answer::Class;
use cassialock::core::moves::detector::Evidence;
use cassialock::core::moves::detector::Outcome;
use cassialock::core::moves::detector::RegressionDetector;
use cassialock::core::moves::detector::Sample;

const SERVED: Outcome = Outcome::Succeeded(Duration::from_millis(20));

fn route() -> Name {
    "r".into()
}

/// Records the same outcome a number of times.
fn record(detector: &mut RegressionDetector, is_new: bool, outcome: Outcome, count: usize) {
    for _ in 0..count {
        detector.record(&route(), &Sample { is_new, outcome });
    }
}

/// Returns a detector that has seen the old version serve `count` requests.
fn serving(count: usize) -> RegressionDetector {
    let mut detector = RegressionDetector::new();
    record(&mut detector, false, SERVED, count);
    detector
}

#[test]
fn each_status_has_one_class() {
    for (status, class) in [
        (100, Class::Failure),
        (199, Class::Failure),
        (200, Class::Success),
        (299, Class::Success),
        (300, Class::Rejection),
        (499, Class::Rejection),
        (500, Class::Failure),
        (599, Class::Failure),
        (600, Class::Failure),
        (999, Class::Failure),
    ] {
        assert_eq!(Class::of(status), class, "{status}");
    }
}

/// Guards against a verdict on a route that hardly anybody uses.
#[test]
fn a_few_answers_on_a_rare_route_raise_suspicion_and_no_more() {
    let mut detector = serving(6);
    record(&mut detector, true, Outcome::Rejected(404), 2);
    assert_eq!(detector.fault(), None);
    assert_eq!(detector.suspected_route(), Some(route()));
}

/// Guards against a verdict on a route that the old version never served.
#[test]
fn a_route_without_answers_of_the_old_version_is_not_judged_by_rejections() {
    let mut detector = RegressionDetector::new();
    record(&mut detector, true, Outcome::Rejected(404), 500);
    assert_eq!((detector.fault(), detector.suspected_route()), (None, None));
}

/// Guards against a route that is never judged, since both versions reject everything.
#[test]
fn rejections_that_both_versions_send_count_as_judged() {
    let mut detector = RegressionDetector::new();
    record(&mut detector, false, Outcome::Rejected(404), 100);
    record(&mut detector, true, Outcome::Rejected(404), 8);
    assert_eq!(detector.responses(), 8);
    assert_eq!(detector.unjudged_route(3), None);
    assert_eq!(detector.suspected_route(), None);
}

/// Guards against rejections, which are fast, that hide how slow the other answers are.
#[test]
fn fast_rejections_do_not_hide_slow_answers() {
    let mut detector = serving(200);
    record(&mut detector, false, Outcome::Rejected(404), 200);
    let slow = Outcome::Succeeded(Duration::from_millis(200));
    for _ in 0..40 {
        record(&mut detector, true, slow, 1);
        record(&mut detector, true, Outcome::Rejected(404), 1);
    }
    assert!(
        detector
            .fault()
            .is_some_and(|fault| fault.contains("took longer"))
    );
}

/// Guards against a version that is found by no node, since each sees few of its answers.
#[test]
fn nodes_that_see_one_rejection_each_find_the_fault_together() {
    let mut nodes: Vec<_> = (0..20).map(|_| serving(30)).collect();
    for node in &mut nodes {
        record(node, true, Outcome::Rejected(404), 1);
        assert_eq!(node.fault(), None);
    }
    let told: Vec<Evidence> = nodes.iter().map(RegressionDetector::evidence).collect();
    let (first, others) = nodes.split_first_mut().unwrap();
    for _ in 0..2 {
        for (index, evidence) in told.iter().enumerate().skip(1) {
            first.merge(&format!("n-{index}").into(), evidence);
        }
    }
    let fault = first.fault().unwrap();
    assert!(
        fault.contains("20 of 20") && fault.contains("0 of 600"),
        "{fault}"
    );
    // A node that has seen no rejection tells its answers once it knows of one.
    let mut calm = serving(30);
    assert!(calm.evidence().is_empty());
    calm.merge(&"n-0".into(), &others[0].evidence());
    assert!(!calm.evidence().is_empty());
}

/// Guards against counts that a node of an earlier version takes for responses.
#[test]
fn counts_of_rejections_have_no_responses() {
    let mut node = serving(30);
    record(&mut node, true, Outcome::Rejected(404), 5);
    let evidence = node.evidence();
    assert_eq!(evidence.iter().count(), 2);
    assert!(evidence.iter().all(|(_, counts)| counts.responses == 0));
}

/// Guards against a version that spreads its rejections over many statuses.
#[test]
fn rejections_with_many_statuses_are_counted_together() {
    let mut detector = serving(1_000);
    for status in 400..440 {
        record(&mut detector, true, Outcome::Rejected(status), 1);
        record(&mut detector, true, SERVED, 1);
    }
    assert!(detector.fault().is_some());
    assert!(detector.evidence().iter().count() < 12);
}
