//! Version moves: the schedule, the shared facts and the fault detector.

use std::time::Duration;

use cassialock::core::config::Move;
use cassialock::core::moves::Facts;
use cassialock::core::moves::MoveSnapshot;
use cassialock::core::moves::Phase;
use cassialock::core::moves::Veto;
use cassialock::core::moves::detector::Outcome;
use cassialock::core::moves::detector::RegressionDetector;
use cassialock::core::moves::detector::Sample;
use cassialock::core::time::Time;

fn plan() -> Move {
    Move {
        service: "s".into(),
        from: "v1".into(),
        to: "v2".into(),
        start_ms: 0,
        deadline_ms: 100_000,
        revert: false,
    }
}

fn snapshot<'a>(plan: &'a Move, facts: &'a Facts, responses: u64, now_s: u64) -> MoveSnapshot<'a> {
    MoveSnapshot {
        plan,
        facts,
        responses,
        now: Time::from_millis(now_s * 1_000),
    }
}

#[test]
fn the_share_grows_with_time_and_responses() {
    let plan = plan();
    let facts = Facts::default();
    let cases = [
        (0, 0, 5),
        (29, 1_000, 5),
        (40, 11, 5),
        (40, 12, 25),
        (55, 39, 25),
        (55, 40, 50),
        (70, 79, 50),
        (70, 80, 100),
        (99, 0, 5),
    ];
    for (now_s, responses, share) in cases {
        assert_eq!(
            snapshot(&plan, &facts, responses, now_s).share(),
            share,
            "{now_s} s, {responses}"
        );
    }
}

#[test]
fn by_the_deadline_a_move_is_done_or_reverted() {
    let plan = plan();
    let none = Facts::default();
    let passed = Facts {
        passed: Some(Time::from_millis(85_000)),
        ..Facts::default()
    };
    let vetoed = Facts {
        veto: Some(Veto {
            reason: "it fails".into(),
            node: "n".into(),
            at: Time::from_millis(90_000),
        }),
        ..passed.clone()
    };
    let cases = [
        (&none, 99, Phase::Running),
        (&none, 100, Phase::Reverted),
        (&passed, 86, Phase::Done),
        (&passed, 500, Phase::Done),
        (&vetoed, 86, Phase::Reverted),
    ];
    for (facts, now_s, phase) in cases {
        assert_eq!(snapshot(&plan, facts, 500, now_s).phase(), phase);
    }
}

#[test]
fn an_operator_can_revert_a_move_at_any_time() {
    let plan = Move {
        revert: true,
        ..plan()
    };
    let facts = Facts {
        passed: Some(Time::default()),
        ..Facts::default()
    };
    assert_eq!(snapshot(&plan, &facts, 500, 90).share(), 0);
}

fn sample(is_new: bool, failed: bool, millis: u64) -> Sample {
    Sample {
        is_new,
        outcome: if failed {
            Outcome::Failed
        } else {
            Outcome::Succeeded(Duration::from_millis(millis))
        },
    }
}

fn detector_with_baseline() -> RegressionDetector {
    let mut detector = RegressionDetector::new();
    for index in 0..200 {
        detector.record(&"a".into(), &sample(false, false, 10 + index % 10));
        detector.record(&"b".into(), &sample(false, false, 10 + index % 10));
    }
    detector
}

#[test]
fn a_good_version_has_no_fault() {
    let mut detector = detector_with_baseline();
    for index in 0..5_000 {
        detector.record(
            &"a".into(),
            &sample(true, index % 200 == 7, 10 + index % 10),
        );
    }
    assert_eq!(detector.fault(), None);
    assert_eq!(detector.responses(), 5_000);
}

#[test]
fn faults_are_not_masked_by_good_responses() {
    let slow =
        |detector: &mut RegressionDetector| detector.record(&"b".into(), &sample(true, false, 60));
    let fail =
        |detector: &mut RegressionDetector| detector.record(&"b".into(), &sample(true, true, 0));
    let good =
        |detector: &mut RegressionDetector| detector.record(&"a".into(), &sample(true, false, 12));
    type Scenario<'a> = &'a dyn Fn(&mut RegressionDetector);
    let cases: [(&str, Scenario<'_>); 3] = [
        ("fails on one route", &|detector| {
            for _ in 0..20 {
                good(detector);
                fail(detector);
            }
        }),
        ("slow on one route", &|detector| {
            for _ in 0..30 {
                good(detector);
                slow(detector);
            }
        }),
        ("fails late", &|detector| {
            for _ in 0..3_000 {
                detector.record(&"b".into(), &sample(true, false, 12));
            }
            for _ in 0..20 {
                fail(detector);
            }
        }),
    ];
    for (name, scenario) in cases {
        let mut detector = detector_with_baseline();
        scenario(&mut detector);
        assert!(detector.fault().is_some(), "{name}");
    }
}

#[test]
fn peer_counters_add_up_and_stale_ones_are_ignored() {
    let mut peer = detector_with_baseline();
    for _ in 0..30 {
        peer.record(&"a".into(), &sample(true, false, 12));
    }
    let earlier = peer.evidence();
    for _ in 0..10 {
        peer.record(&"a".into(), &sample(true, true, 0));
    }
    let later = peer.evidence();
    let mut local = detector_with_baseline();
    local.merge(&"peer".into(), &later);
    local.merge(&"peer".into(), &earlier);
    local.merge(&"peer".into(), &later);
    assert_eq!(local.responses(), 40);
    assert!(local.fault().is_some());
}
