//! Tests of the selection of relays.

use cassialock::core::Name;
use cassialock::core::relay;

fn names(count: usize) -> Vec<Name> {
    (0..count)
        .map(|index| format!("entry-{index}").into())
        .collect()
}

#[test]
fn the_number_of_relays_is_bounded() {
    for count in [1, 2, 3, 9, 86, 1_300] {
        let names = names(count);
        let relays = names
            .iter()
            .filter(|name| relay::relay_of(name, &names).is_none());
        assert_eq!(relays.count(), count.min(relay::RELAY_COUNT));
    }
}

#[test]
fn other_nodes_are_spread_over_the_relays() {
    let names = names(90);
    let mut chosen: Vec<Name> = names
        .iter()
        .filter_map(|name| relay::relay_of(name, &names))
        .collect();
    chosen.sort();
    let counts: Vec<usize> = chosen.chunk_by(|a, b| a == b).map(<[Name]>::len).collect();
    assert_eq!(counts.len(), relay::RELAY_COUNT);
    assert!(
        counts.iter().all(|count| (15..=45).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_missing_relay_is_replaced() {
    let mut names = names(9);
    let gone = relay::relay_of("entry-x", &names).unwrap();
    names.retain(|name| *name != gone);
    assert_ne!(relay::relay_of("entry-x", &names), Some(gone));
}
