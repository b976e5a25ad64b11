//! Versions that reject requests, and callers who bring that about.

use cassialock::core::moves::canary::Stage;

use crate::exposure::CALM;
use crate::exposure::Conditions;
use crate::exposure::NO_REJECTS;
use crate::exposure::Play;
use crate::exposure::Rejects;
use crate::exposure::assert_taken_back;

/// Guards against a version that is completed because what it answers is no server error.
#[test]
fn a_version_that_rejects_requests_gets_few_of_them() {
    for (nodes, rate) in [(3, 100), (9, 58), (77, 400), (300, 1_600)] {
        for only in [None, Some(0), Some(1)] {
            for (new, old, status) in [
                (1.0, 0.0, 404),
                (1.0, 0.0, 302),
                (0.5, 0.0, 400),
                (1.0, 0.3, 404),
                (0.4, 0.4, 401),
            ] {
                let rejects = Rejects {
                    new,
                    old,
                    only,
                    status,
                    ..NO_REJECTS
                };
                let conditions = Conditions {
                    nodes,
                    rate,
                    rejects,
                    ..CALM
                };
                assert_taken_back(conditions, 2);
            }
        }
    }
}

/// Guards against a version that begins to reject requests after it was found to be good.
#[test]
fn a_version_that_rejects_requests_late_is_taken_back() {
    for from_ms in [4_000, 8_000, 10_500] {
        let rejects = Rejects {
            new: 1.0,
            only: Some(0),
            from_ms,
            ..NO_REJECTS
        };
        let conditions = Conditions {
            rate: 100,
            rejects,
            ..CALM
        };
        for seed in 0..20 {
            let outcome = Play::new(conditions, seed).run();
            assert_eq!(
                outcome,
                Some(Stage::RolledBack),
                "{from_ms} ms, seed {seed}"
            );
        }
    }
}

/// Returns how many of 40 moves to a good version are completed.
fn completed(conditions: Conditions) -> usize {
    let is_completed = |seed: &u64| Play::new(conditions, *seed).run() == Some(Stage::Done);
    (0..40).filter(is_completed).count()
}

/// Guards against a good version that is taken back for the rejections that its callers
/// bring about.
#[test]
fn a_version_that_rejects_as_much_as_the_old_one_is_completed() {
    for share in [0.02, 0.1, 0.3, 0.6, 0.9, 1.0] {
        for only in [None, Some(0), Some(1)] {
            for (nodes, rate) in [(3, 100), (9, 170)] {
                let rejects = Rejects {
                    new: share,
                    old: share,
                    only,
                    ..NO_REJECTS
                };
                let conditions = Conditions {
                    nodes,
                    rate,
                    rejects,
                    ..CALM
                };
                let done = completed(conditions);
                assert!(done >= 38, "{done} of 40, {conditions:?}");
            }
        }
    }
}

/// Guards against a version that is blamed because callers begin to send something else
/// while it is on trial.
#[test]
fn callers_that_change_during_the_trial_do_not_end_a_good_version() {
    for from_ms in [2_000, 5_000, 8_000] {
        for share in [0.2, 0.6, 1.0] {
            let rejects = Rejects {
                new: share,
                old: share,
                from_ms,
                ..NO_REJECTS
            };
            let conditions = Conditions {
                rate: 100,
                rejects,
                ..CALM
            };
            let done = completed(conditions);
            assert!(done >= 38, "{done} of 40, {conditions:?}");
        }
    }
}
