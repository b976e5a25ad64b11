//! Tests of nodes that share a store which may return from an older copy of itself.
//!
//! After any step the store may be restored, nodes may be killed, and answers and writes may
//! be lost or late. The cloud checks that no two nodes use one fencing token and that no
//! window is reported with two different counts.

use cassialock::core::lease::fence;
use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::drills::model::Fault;
use crate::drills::model::Model;
use crate::drills::model::Op;

mod model;

/// Sequences of operations that are played.
const CASES: u32 = 3_000;

/// Returns the operations that lead to a fault and the fault, if any were found.
fn find_fault(names_era: bool, is_sought: impl Fn(Fault) -> bool) -> Option<String> {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let played = runner.run(&model::ops(), |ops| {
        let mut model = Model::new(names_era);
        for op in ops {
            match model.run(op) {
                Err(fault) if is_sought(fault) => {
                    return Err(TestCaseError::fail(format!("{fault:?}")));
                }
                Err(_) => return Ok(()),
                Ok(()) => {}
            }
        }
        Ok(())
    });
    played.err().map(|e| e.to_string())
}

/// Guards against a fencing token that two nodes use after a drill, because the one who knew
/// of it was killed.
#[test]
fn no_token_is_given_out_twice_whatever_is_restored_and_killed() {
    let found = find_fault(true, |fault| fault == Fault::TokenOfTwoNodes);
    assert_eq!(found, None);
}

/// Guards against two counts for one window after a drill, because the one who knew of its
/// claim was killed.
#[test]
fn no_window_is_reported_twice_whatever_is_restored_and_killed() {
    let found = find_fault(true, |fault| fault == Fault::WindowTwice);
    assert_eq!(found, None);
}

/// The model finds both faults where the store does not name its era.
#[test]
fn the_model_finds_both_faults_without_eras() {
    for sought in [Fault::TokenOfTwoNodes, Fault::WindowTwice] {
        let found = find_fault(false, |fault| fault == sought);
        assert!(found.is_some(), "{sought:?}");
    }
}

/// All of a service is lost if nobody reports any more.
#[test]
fn windows_are_reported_after_a_restore_and_a_restart_of_all() {
    let mut model = Model::new(true);
    for op in [
        Op::Rounds(120),
        Op::Restore(8),
        Op::Kill(0b111),
        Op::Rounds(120),
    ] {
        model.run(op).unwrap();
    }
    let ended = model.ended();
    let newest = *model.reports.last_key_value().unwrap().0;
    assert!(newest + 1 >= ended, "{newest} of {ended}");
    let first = *model.reports.first_key_value().unwrap().0;
    let missing = (first..=newest).filter(|window| !model.reports.contains_key(window));
    assert!(missing.count() <= 3, "{:?}", model.reports);
}

/// A drill costs no window if the holder of the lease lives through it.
#[test]
fn no_window_is_missing_after_a_restore_that_the_holder_lives_through() {
    let mut model = Model::new(true);
    for op in [Op::Rounds(120), Op::Restore(8), Op::Rounds(120)] {
        model.run(op).unwrap();
    }
    let first = *model.reports.first_key_value().unwrap().0;
    let newest = *model.reports.last_key_value().unwrap().0;
    let missing = (first..=newest).filter(|window| !model.reports.contains_key(window));
    assert_eq!(missing.count(), 0, "{:?}", model.reports);
}

/// A token must fit a number that a reader holds as a double.
#[test]
fn tokens_fit_a_double_and_follow_those_without_an_era() {
    let highest = fence::first(u64::from(u16::MAX)) + u64::from(u32::MAX);
    assert!(highest < 1 << 53);
    assert!(fence::first(1) > u64::from(u32::MAX));
    assert_eq!((fence::first(0), fence::era_of(fence::first(7))), (1, 7));
}
