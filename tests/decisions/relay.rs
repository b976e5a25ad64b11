//! Roles in following the store.

use cassialock::core::Name;
use cassialock::core::relay;

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|at| format!("entry-{at}").into()).collect()
}

#[test]
fn few_nodes_follow_the_store_however_many_there_are() {
    for count in [1, 2, 3, 9, 86, 1_300] {
        let names = names(count);
        let own = names
            .iter()
            .filter(|name| relay::relay_of(name, &names).is_none());
        assert_eq!(own.count(), count.min(relay::RELAY_COUNT));
    }
}

#[test]
fn the_others_are_spread_over_the_relays() {
    let names = names(90);
    let mut asked: Vec<Name> = names
        .iter()
        .filter_map(|name| relay::relay_of(name, &names))
        .collect();
    asked.sort();
    let counts: Vec<usize> = asked.chunk_by(|a, b| a == b).map(<[Name]>::len).collect();
    assert_eq!(counts.len(), relay::RELAY_COUNT);
    assert!(
        counts.iter().all(|count| (15..=45).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_node_that_cannot_be_asked_is_replaced() {
    let mut names = names(9);
    let gone = relay::relay_of("entry-x", &names).unwrap();
    names.retain(|name| *name != gone);
    assert_ne!(relay::relay_of("entry-x", &names), Some(gone));
}
