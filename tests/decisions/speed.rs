//! Speeds and load of servers, learned jointly by all entries.

use cassialock::core::Name;
use cassialock::core::route::servers::LoadReport;
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
