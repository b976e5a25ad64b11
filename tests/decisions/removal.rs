//! Tests of the removal of servers whose store entries disappear.

use cassialock::core::Name;
use cassialock::core::route::removal::RemovalFilter;
use cassialock::core::store_contact::StoreContact;
use cassialock::core::time::Time;

fn time_at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// What a node knows of the store, and the removals that it holds.
#[derive(Default)]
struct Node {
    contact: StoreContact,
    filter: RemovalFilter,
}

impl Node {
    fn answer_in(&mut self, era: u64, ms: u64) {
        let now = time_at(ms);
        if self.contact.record_answer(Some(era), now, now) {
            self.filter.record_return(now);
        }
    }

    fn answer(&mut self, ms: u64) {
        self.answer_in(0, ms);
    }

    /// Records a failed call to the store every 100 ms from `from` to `to`.
    fn fail(&mut self, from: u64, to: u64, serves_others: bool) {
        for ms in (from..to).step_by(100) {
            self.contact.record_failure(serves_others, time_at(ms));
        }
    }
}

#[test]
fn an_entry_that_vanishes_while_the_store_answers_is_gone() {
    let mut node = Node::default();
    node.answer(0);
    assert!(node.filter.should_remove(&Name::from("i-1"), time_at(10)));
}

#[test]
fn an_entry_that_vanishes_in_an_outage_is_held_for_two_seconds() {
    let id = Name::from("i-1");
    let mut node = Node::default();
    node.answer(0);
    node.fail(0, 5_000, false);
    node.answer(5_000);
    assert!(!node.filter.should_remove(&id, time_at(5_000)));
    assert!(node.filter.take_expired(time_at(6_500)).is_empty());
    assert_eq!(node.filter.take_expired(time_at(7_300)), [id]);
}

#[test]
fn an_entry_that_comes_back_is_not_dropped() {
    let id = Name::from("i-1");
    let mut node = Node::default();
    node.answer(0);
    node.fail(0, 5_000, false);
    node.answer(5_000);
    assert!(!node.filter.should_remove(&id, time_at(5_000)));
    node.filter.record_present(&id);
    assert!(node.filter.take_expired(time_at(9_000)).is_empty());
}

/// A node that is cut off from the store learns late of removals that other nodes have seen in
/// time.
#[test]
fn an_entry_that_vanishes_while_the_store_serves_others_is_gone() {
    let mut node = Node::default();
    node.answer(0);
    node.fail(0, 5_000, true);
    node.answer(5_000);
    assert!(
        node.filter
            .should_remove(&Name::from("i-1"), time_at(5_000))
    );
}

/// Other nodes detect an outage some seconds after its start.
#[test]
fn others_that_have_not_noticed_the_outage_yet_do_not_count() {
    let mut node = Node::default();
    node.answer(0);
    node.fail(0, 2_500, true);
    node.fail(2_500, 5_000, false);
    node.answer(5_000);
    assert!(
        !node
            .filter
            .should_remove(&Name::from("i-1"), time_at(5_000))
    );
}

/// Guards against sending to servers that are gone, because calls of one kind failed while
/// the store answered others.
#[test]
fn an_entry_that_vanishes_while_one_kind_of_calls_fails_is_gone() {
    let mut node = Node::default();
    node.answer(0);
    for ms in (0..5_000).step_by(500) {
        node.answer(ms);
        node.fail(ms + 100, ms + 400, false);
    }
    node.answer(5_000);
    assert!(
        node.filter
            .should_remove(&Name::from("i-1"), time_at(5_000))
    );
}

/// Guards against dropping live servers whose entries the older copy of a store lacks.
#[test]
fn an_entry_that_an_older_copy_of_the_store_lacks_is_held() {
    for first in [0, 1] {
        let mut node = Node::default();
        node.answer_in(first, 0);
        node.answer_in(first, 1_000);
        assert!(
            node.filter
                .should_remove(&Name::from("i-1"), time_at(1_000))
        );
        node.answer_in(first + 1, 1_000);
        assert!(
            !node
                .filter
                .should_remove(&Name::from("i-1"), time_at(1_000))
        );
    }
}
