//! Tests of the removal of servers whose store entries disappear.

use cassialock::core::Name;
use cassialock::core::route::removal::RemovalFilter;
use cassialock::core::time::Time;

fn time_at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn answer(filter: &mut RemovalFilter, ms: u64) {
    filter.record_answer(time_at(ms), time_at(ms));
}

/// Records a failed call to the store every 100 ms from `from` to `to`.
fn fail(filter: &mut RemovalFilter, from: u64, to: u64, serves_others: bool) {
    for ms in (from..to).step_by(100) {
        filter.record_failure(serves_others, time_at(ms));
    }
}

#[test]
fn an_entry_that_vanishes_while_the_store_answers_is_gone() {
    let mut filter = RemovalFilter::new();
    answer(&mut filter, 0);
    assert!(filter.should_remove(&Name::from("i-1"), time_at(10)));
}

#[test]
fn an_entry_that_vanishes_in_an_outage_is_held_for_two_seconds() {
    let id = Name::from("i-1");
    let mut filter = RemovalFilter::new();
    answer(&mut filter, 0);
    fail(&mut filter, 0, 5_000, false);
    answer(&mut filter, 5_000);
    assert!(!filter.should_remove(&id, time_at(5_000)));
    assert!(filter.take_expired(time_at(6_500)).is_empty());
    assert_eq!(filter.take_expired(time_at(7_300)), [id]);
}

#[test]
fn an_entry_that_comes_back_is_not_dropped() {
    let id = Name::from("i-1");
    let mut filter = RemovalFilter::new();
    answer(&mut filter, 0);
    fail(&mut filter, 0, 5_000, false);
    answer(&mut filter, 5_000);
    assert!(!filter.should_remove(&id, time_at(5_000)));
    filter.record_present(&id);
    assert!(filter.take_expired(time_at(9_000)).is_empty());
}

/// A node that is cut off from the store learns late of removals that other nodes have seen in
/// time.
#[test]
fn an_entry_that_vanishes_while_the_store_serves_others_is_gone() {
    let mut filter = RemovalFilter::new();
    answer(&mut filter, 0);
    fail(&mut filter, 0, 5_000, true);
    answer(&mut filter, 5_000);
    assert!(filter.should_remove(&Name::from("i-1"), time_at(5_000)));
}

/// Other nodes detect an outage some seconds after its start.
#[test]
fn others_that_have_not_noticed_the_outage_yet_do_not_count() {
    let mut filter = RemovalFilter::new();
    answer(&mut filter, 0);
    fail(&mut filter, 0, 2_500, true);
    fail(&mut filter, 2_500, 5_000, false);
    answer(&mut filter, 5_000);
    assert!(!filter.should_remove(&Name::from("i-1"), time_at(5_000)));
}

/// Guards against sending to servers that are gone, because calls of one kind failed while
/// the store answered others.
#[test]
fn an_entry_that_vanishes_while_one_kind_of_calls_fails_is_gone() {
    let mut filter = RemovalFilter::new();
    answer(&mut filter, 0);
    for ms in (0..5_000).step_by(500) {
        answer(&mut filter, ms);
        fail(&mut filter, ms + 100, ms + 400, false);
    }
    answer(&mut filter, 5_000);
    assert!(filter.should_remove(&Name::from("i-1"), time_at(5_000)));
}

/// Guards against dropping live servers whose entries the older copy of a store lacks.
#[test]
fn an_entry_that_an_older_copy_of_the_store_lacks_is_held() {
    for first in [0, 1] {
        let mut filter = RemovalFilter::new();
        filter.record_era(first, time_at(0));
        answer(&mut filter, 0);
        answer(&mut filter, 1_000);
        assert!(filter.should_remove(&Name::from("i-1"), time_at(1_000)));
        filter.record_era(first + 1, time_at(1_000));
        assert!(!filter.should_remove(&Name::from("i-1"), time_at(1_000)));
    }
}
