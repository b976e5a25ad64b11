//! Entries that vanish while the store is away.

use cassialock::core::Name;
use cassialock::core::route::removal::RemovalFilter;
use cassialock::core::time::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Fails calls every 100 ms over a span.
fn fail(lapses: &mut RemovalFilter, from: u64, to: u64, serves_others: bool) {
    for ms in (from..to).step_by(100) {
        lapses.record_failure(serves_others, at(from), at(ms));
    }
}

#[test]
fn an_entry_that_vanishes_while_the_store_answers_is_gone() {
    let mut lapses = RemovalFilter::new();
    lapses.record_answer(at(0));
    assert!(lapses.should_remove(&Name::from("i-1"), at(10)));
}

#[test]
fn an_entry_that_vanishes_in_an_outage_is_held_for_two_seconds() {
    let id = Name::from("i-1");
    let mut lapses = RemovalFilter::new();
    fail(&mut lapses, 0, 5_000, false);
    lapses.record_answer(at(5_000));
    assert!(!lapses.should_remove(&id, at(5_000)));
    assert!(lapses.take_expired(at(6_500)).is_empty());
    assert_eq!(lapses.take_expired(at(7_300)), [id]);
}

#[test]
fn an_entry_that_comes_back_is_not_dropped() {
    let id = Name::from("i-1");
    let mut lapses = RemovalFilter::new();
    fail(&mut lapses, 0, 5_000, false);
    lapses.record_answer(at(5_000));
    assert!(!lapses.should_remove(&id, at(5_000)));
    lapses.record_present(&id);
    assert!(lapses.take_expired(at(9_000)).is_empty());
}

/// A node that was cut off sees removals late that others saw in time.
#[test]
fn an_entry_that_vanishes_while_the_store_serves_others_is_gone() {
    let mut lapses = RemovalFilter::new();
    fail(&mut lapses, 0, 5_000, true);
    lapses.record_answer(at(5_000));
    assert!(lapses.should_remove(&Name::from("i-1"), at(5_000)));
}

/// Other nodes notice an outage some seconds after it has begun.
#[test]
fn others_that_have_not_noticed_the_outage_yet_do_not_count() {
    let mut lapses = RemovalFilter::new();
    fail(&mut lapses, 0, 2_500, true);
    fail(&mut lapses, 2_500, 5_000, false);
    lapses.record_answer(at(5_000));
    assert!(!lapses.should_remove(&Name::from("i-1"), at(5_000)));
}
