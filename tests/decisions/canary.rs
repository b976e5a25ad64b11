//! Version moves of short duration.

use std::time::Duration;

use cassialock::core::moves::canary;
use cassialock::core::moves::canary::Canary;
use cassialock::core::moves::canary::Stage;
use cassialock::core::moves::detector::Outcome;
use cassialock::core::moves::detector::Sample;
use cassialock::core::time::Time;

const MOVE_DURATION: Duration = Duration::from_secs(12);

/// Largest fraction of the requests that an untested version may get.
const EXPOSURE: f64 = 0.1;

fn time_at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn random_number(count: u64) -> u64 {
    cassialock::core::hash(&["draw", &count.to_string()])
}

fn run(failing: bool) -> (Canary, u64) {
    run_until(failing, 11_000)
}

fn run_until(failing: bool, end_ms: u64) -> (Canary, u64) {
    let mut canary = Canary::new("v2".into(), MOVE_DURATION, time_at(0));
    let mut served = 0;
    for ms in (0..end_ms).step_by(10) {
        let is_new =
            canary::routes_to_new(canary.stage(time_at(ms)), random_number(ms / 10), EXPOSURE);
        let sample = Sample {
            is_new,
            outcome: if is_new && failing && ms % 20 == 0 {
                Outcome::Failed
            } else {
                Outcome::Succeeded(Duration::from_millis(50))
            },
        };
        canary.detector.record(&"r".into(), &sample);
        canary.check();
        canary.advance(true, time_at(ms));
        served += u64::from(is_new);
    }
    (canary, served)
}

#[test]
fn a_good_version_has_all_traffic_before_its_deadline() {
    let (canary, _) = run_until(false, 5_000);
    assert_eq!(canary.stage(time_at(5_000)), Stage::Trial);
    let (canary, _) = run_until(false, 10_000);
    assert_eq!(canary.stage(time_at(10_000)), Stage::Full);
    assert_eq!(
        canary.pending_outcome(time_at(10_000)),
        None,
        "the old servers finish their requests"
    );
    let (canary, _) = run(false);
    assert_eq!(canary.pending_outcome(time_at(11_100)), Some(Stage::Done));
}

#[test]
fn a_bad_version_is_rolled_back_after_few_requests() {
    let (canary, served) = run(true);
    assert_eq!(
        canary.pending_outcome(time_at(11_000)),
        Some(Stage::RolledBack)
    );
    assert!(served <= 50, "{served} of 1,100 requests");
}

#[test]
fn a_version_without_answers_does_not_get_all_traffic() {
    let mut canary = Canary::new("v2".into(), MOVE_DURATION, time_at(0));
    for ms in (0..12_000).step_by(10) {
        canary.check();
        canary.advance(true, time_at(ms));
        let stage = canary.stage(time_at(ms));
        let is_kept = matches!(stage, Stage::Trial | Stage::RolledBack);
        assert!(is_kept, "{stage:?} at {ms} ms");
    }
    let outcome = canary.pending_outcome(time_at(11_500));
    assert_eq!(outcome, Some(Stage::RolledBack));
}

#[test]
fn a_recorded_outcome_stays() {
    let (mut canary, _) = run(false);
    canary.set_outcome(Some(Stage::RolledBack));
    assert_eq!(canary.stage(time_at(11_500)), Stage::RolledBack);
    assert_eq!(canary.pending_outcome(time_at(11_500)), None);
}

#[test]
fn a_trial_stays_within_the_exposure_of_the_deployment() {
    for exposure in [0.0, 0.005, 0.02, 0.05, 0.1, 0.5, 1.0] {
        let new = (0..100_000)
            .filter(|count| canary::routes_to_new(Stage::Trial, random_number(*count), exposure))
            .count();
        let bound = exposure * 0.8 * 100_000.0;
        assert!(
            new as f64 <= bound,
            "{new} of 100,000 requests, exposure {exposure}"
        );
        assert!(new > 0 || exposure == 0.0, "the trial got no requests");
    }
}

#[test]
fn a_trial_loads_no_server_more_than_those_of_the_old_version() {
    for old_servers in [1, 3, 12, 46, 300, 3_000] {
        for exposure in [0.01, 0.05, 0.1, 1.0] {
            let draws = 0..100_000;
            let new = draws.filter(|count| {
                canary::routes_to_new(Stage::Trial, random_number(*count), exposure)
            });
            let sessions = canary::trial_sessions(exposure, old_servers);
            let load = new.count() as f64 / sessions as f64;
            let bound = 100_000.0 / old_servers as f64;
            assert!(
                load <= bound * 1.1,
                "{load}, {bound}, {old_servers} servers"
            );
        }
    }
    assert_eq!(
        canary::trial_sessions(0.1, 12),
        1,
        "a fault under load shows"
    );
}
