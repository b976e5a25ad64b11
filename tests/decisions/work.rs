//! Tests of the measured work of requests and of the servers planned by it.

use std::time::Duration;

use cassialock::core::fleet::load::LoadEstimator;
use cassialock::core::fleet::load::Traffic;
use cassialock::core::fleet::work::WorkMeter;
use cassialock::core::route::speed::Estimates;
use cassialock::core::route::speed::Ratio;
use cassialock::core::route::speed::Unlearned;
use cassialock::core::route::speed::Work;
use cassialock::core::time::Time;

/// An average server that takes 20 ms and 26 us for each uncached token.
struct Linear;

impl Estimates for Linear {
    fn expected_first(&self, _service: &str, work: &Work) -> Option<Duration> {
        Some(Duration::from_secs_f64(0.02 + work.uncached_tokens * 26e-6))
    }

    fn ratio(&self, server: &str, now: Time) -> Ratio {
        Unlearned.ratio(server, now)
    }
}

fn work(uncached_tokens: f64) -> Work {
    Work {
        uncached_tokens,
        ..Work::default()
    }
}

/// Guards against orders that count the time for which requests wait or travel as work.
#[test]
fn only_the_time_of_the_tokens_counts_as_work() {
    let mut meter = WorkMeter::new();
    for _ in 0..19 {
        meter.record(&work(3_000.0));
    }
    assert_eq!(meter.mean("m", &Linear), None, "few requests tell nothing");
    meter.record(&work(3_000.0));
    meter.record(&work(3_000.0));
    assert_eq!(meter.mean("m", &Unlearned), None, "nothing is learned");
    let mean = meter.mean("m", &Linear).unwrap().as_secs_f64();
    assert!((mean - 0.078).abs() < 0.001, "{mean}");
}

fn planned(work: Option<Duration>, traffic: &Traffic) -> u32 {
    let mut load = LoadEstimator::new();
    load.set_work(work);
    for ms in (0..20_000).step_by(500) {
        load.record(traffic, Time::from_millis(ms));
    }
    load.estimate(16, Time::from_millis(20_000)).servers
}

/// Guards against too few servers where prompts keep them busy and few slots are in use.
#[test]
fn servers_are_planned_for_prompts_that_keep_them_busy() {
    let traffic = Traffic {
        in_flight: 200.0,
        arrival_rate: 600.0,
        completion_rate: 600.0,
    };
    assert_eq!(planned(None, &traffic), 18, "by slots");
    let mean = Duration::from_millis(50);
    assert_eq!(planned(Some(mean), &traffic), 60, "by work");
    let short = Duration::from_millis(1);
    assert_eq!(planned(Some(short), &traffic), 18, "slots bind");
}

/// Guards against orders for many times the load when requests pile up at few servers.
#[test]
fn requests_that_pile_up_do_not_multiply_the_servers() {
    let usual = Traffic {
        in_flight: 200.0,
        arrival_rate: 600.0,
        completion_rate: 600.0,
    };
    let piled = Traffic {
        in_flight: 1_500.0,
        completion_rate: 300.0,
        ..usual
    };
    let mut load = LoadEstimator::new();
    load.set_work(Some(Duration::from_millis(50)));
    for ms in (0..20_000).step_by(500) {
        load.record(&usual, Time::from_millis(ms));
    }
    for ms in (20_000..30_000).step_by(500) {
        load.record(&piled, Time::from_millis(ms));
    }
    assert!(load.estimate(16, Time::from_millis(30_000)).servers <= 61);
}
