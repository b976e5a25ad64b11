//! Streams of events that are cut anywhere.

use bytes::Bytes;
use cassialock::core::sse;
use cassialock::core::sse::EventBuffer;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn text(events: usize) -> String {
    (1..=events)
        .map(|at| format!("id: {at}\ndata: {}\n\n", "x".repeat(at % 7)))
        .collect()
}

#[test]
fn whole_events_pass_wherever_the_bytes_are_cut() {
    let mut rng = SmallRng::seed_from_u64(5);
    let text = text(40);
    for _ in 0..500 {
        let mut splitter = EventBuffer::new();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (part, left) = rest.split_at(rng.random_range(1..=rest.len().min(30)));
            let whole = splitter.push(part);
            assert!(
                whole.is_empty() || whole.ends_with(b"\n\n"),
                "a part passed"
            );
            passed.extend_from_slice(&whole);
            rest = left;
        }
        assert_eq!(passed, text.as_bytes());
        assert!(!splitter.has_partial());
    }
}

#[test]
fn the_beginning_of_an_event_is_held_and_can_be_dropped() {
    let mut splitter = EventBuffer::new();
    assert_eq!(
        splitter.push(b"id: 1\ndata: a\n\nid: 2\nda"),
        "id: 1\ndata: a\n\n"
    );
    assert!(splitter.has_partial());
    splitter.clear();
    assert_eq!(splitter.push(b"id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

#[test]
fn events_are_told_apart() {
    let bytes = Bytes::from(text(5));
    assert_eq!(sse::events(&bytes).count(), 5);
    let joined: Vec<u8> = sse::events(&bytes).flatten().collect();
    assert_eq!(joined, bytes);
}
