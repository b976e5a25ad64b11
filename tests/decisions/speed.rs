//! Speeds and load of servers, learned jointly by all entries.

mod exchange;
mod fleet;

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::route::servers::LoadReport;
use cassialock::core::route::speed::Estimates;
use cassialock::core::route::speed::Work;
use cassialock::core::route::speed::table::SpeedTable;
use cassialock::core::time::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn load(waiting: u32, slots: Option<u32>) -> LoadReport {
    LoadReport {
        running: 4,
        waiting,
        slots,
        work_percent: None,
    }
}

fn work(uncached_tokens: f64, waiting: f64) -> Work {
    Work {
        uncached_tokens,
        waiting,
        running: 3.0,
        ..Work::default()
    }
}

fn ms(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1_000.0)
}

/// Guards against orders of servers that follow reports of long ago, or of services
/// without slots.
#[test]
fn utilization_is_the_decayed_fraction_of_busy_reports() {
    let (service, other): (Name, Name) = ("embed".into(), "plain".into());
    let mut table = SpeedTable::new();
    table.record_load(&other, &load(3, None), at(0));
    assert_eq!(table.utilization(&other, at(0)), None);
    for ms in 0..4 {
        table.record_load(&service, &load(1, Some(16)), at(ms));
    }
    for ms in 0..4 {
        table.record_load(&service, &load(0, Some(16)), at(2_000 + ms));
    }
    let seen = table.utilization(&service, at(2_003)).unwrap();
    assert!((seen.busy - 1.0 / 3.0).abs() < 0.01, "{seen:?}");
    assert!((seen.samples - 6.0).abs() < 0.02, "{seen:?}");
    assert_eq!(table.utilization(&service, at(60_000)), None);
}

/// Guards against predictions from too few responses, and against a fit that mixes the
/// sizes of a request or the disturbance that a server states.
#[test]
fn expected_time_is_linear_in_the_sizes() {
    let (service, server): (Name, Name) = ("embed".into(), "s/1".into());
    let mut table = SpeedTable::new();
    let took = |work: &Work| 12.0 + work.uncached_tokens / 38.4 + 40.0 * work.waiting;
    for step in 0..200_u32 {
        let work = Work {
            work_percent: (step % 5 == 0).then_some(250),
            ..work(f64::from(step * 37 % 3_000), f64::from(step % 7 / 5))
        };
        let factor = f64::from(work.work_percent.unwrap_or(100)) / 100.0;
        let is_known = table.expected_first(&service, &work).is_some();
        if !(20..24).contains(&step) {
            assert_eq!(is_known, step >= 24, "after {step} responses");
        }
        let took = ms(took(&work) * factor);
        table.record(&service, &server, &work, took, at(u64::from(step) * 10));
    }
    table.check(at(3_000));
    for probe in [work(100.0, 0.0), work(2_500.0, 0.0), work(700.0, 1.0)] {
        let expected = table
            .expected_first(&service, &probe)
            .unwrap()
            .as_secs_f64();
        let error = expected * 1_000.0 / took(&probe) - 1.0;
        assert!(error.abs() < 0.05, "{probe:?}: {expected}");
    }
    let bad = work(f64::NAN, -1.0);
    assert_eq!(
        table.record(&service, &server, &bad, ms(5.0), at(3_000)),
        None
    );
    assert!(table.expected_first(&service, &work(1.0, 0.0)).is_some());
}

/// Guards against a table that keeps judging a server by its past: after a pause, under
/// the id of another incarnation, or when the clock jumps.
#[test]
fn old_samples_decay_to_the_mean() {
    let service: Name = "embed".into();
    let [slow, usual]: [Name; 2] = ["a/1".into(), "b/1".into()];
    let mut table = SpeedTable::new();
    for step in 0..60 {
        table.record_plain(&service, &usual, &work(0.0, 0.0), ms(30.0), at(step * 50));
    }
    for step in 60..80 {
        table.record_plain(&service, &slow, &work(0.0, 0.0), ms(90.0), at(step * 50));
    }
    let now = at(4_000);
    let ratio = table.ratio(&slow, now);
    assert!(ratio.value > 1.5 && ratio.samples > 5.0, "{ratio:?}");
    let changes = table.check(now).changes;
    assert!(
        changes.iter().any(|row| row.server == slow && row.is_slow),
        "{changes:?}"
    );
    assert_eq!(table.ratio("a/2", now).value, 1.0);
    assert_eq!(table.ratio("a/2", now).samples, 0.0);
    // The clock is set back for a moment.
    assert!(table.ratio(&slow, at(0)).value.is_finite());
    let later = at(40_000);
    assert!((table.ratio(&slow, later).value - 1.0).abs() < 0.05);
    let changes = table.check(later).changes;
    assert!(
        changes.iter().any(|row| row.server == slow && !row.is_slow),
        "{changes:?}"
    );
    let listed = [(usual.clone(), service.clone())];
    table.set_servers(listed.iter().map(|(name, service)| (name, service)));
    assert_eq!(table.ratio(&slow, now).samples, 0.0);
    assert!(table.ratio(&usual, now).samples > 0.0);
}
