//! Tests of event streams that are cut at arbitrary bytes.

use bytes::Bytes;
use cassialock::core::sse;
use cassialock::core::sse::Boundary;
use cassialock::core::sse::EventBuffer;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn text(events: usize) -> String {
    (1..=events)
        .map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id % 7)))
        .collect()
}

#[test]
fn only_complete_events_pass_wherever_the_bytes_are_cut() {
    let mut rng = SmallRng::seed_from_u64(5);
    let text = text(40);
    for _ in 0..500 {
        let mut buffer = EventBuffer::new();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (part, left) = rest.split_at(rng.random_range(1..=rest.len().min(30)));
            let events = buffer.push(part).unwrap();
            assert!(
                events.is_empty() || events.ends_with(b"\n\n"),
                "part of an event passed"
            );
            passed.extend_from_slice(&events);
            rest = left;
        }
        assert_eq!(passed, text.as_bytes());
        assert!(!buffer.has_partial());
    }
}

#[test]
fn the_start_of_an_event_is_buffered_and_can_be_discarded() {
    let mut buffer = EventBuffer::new();
    assert_eq!(
        buffer.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap(),
        "id: 1\ndata: a\n\n"
    );
    assert!(buffer.has_partial());
    buffer.clear();
    assert_eq!(
        buffer.push(b"id: 2\ndata: b\n\n").unwrap(),
        "id: 2\ndata: b\n\n"
    );
}

#[test]
fn events_are_split() {
    let bytes = Bytes::from(text(5));
    assert_eq!(sse::events(&bytes).count(), 5);
    let joined: Vec<u8> = sse::events(&bytes).flatten().collect();
    assert_eq!(joined, bytes);
}

#[test]
fn an_event_without_end_is_not_buffered_for_ever() {
    let mut buffer = EventBuffer::new();
    let part = [b'a'; 16 * 1024];
    let refused = (0..1_000).find(|_| buffer.push(&part).is_err());
    assert_eq!(refused, Some(sse::MAX_EVENT_BYTES / part.len()));
}

#[test]
fn a_stream_is_inside_an_event_until_its_terminator_has_arrived() {
    let mut boundary = Boundary::new();
    assert!(!boundary.is_inside());
    for (bytes, is_inside) in [
        ("id: 1\n", true),
        ("data: one", true),
        ("\n", true),
        ("\n", false),
        ("id: 2\r\n", true),
        ("\r\n", false),
    ] {
        boundary.push(bytes.as_bytes());
        assert_eq!(boundary.is_inside(), is_inside, "{bytes:?}");
    }
}
