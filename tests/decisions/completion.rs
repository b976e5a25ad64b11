//! Tests of completion requests, their assembly and the handover of streams.

use std::time::Duration;

use cassialock::core::completion::Assembly;
use cassialock::core::completion::Chunk;
use cassialock::core::completion::ChunkOutcome;
use cassialock::core::completion::Progress;
use cassialock::core::completion::handover;
use cassialock::core::completion::handover::Plan;
use cassialock::core::completion::request::Completion;
use cassialock::core::completion::request::Endpoint;
use cassialock::core::retry::Cause;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;

fn chunk(request_id: &str, index: u64, text: &str) -> Chunk {
    Chunk {
        request_id: request_id.into(),
        index: Some(index),
        text: text.into(),
        ..Chunk::default()
    }
}

fn last(request_id: &str, index: u64, text: &str) -> Chunk {
    Chunk {
        finish_reason: Some("stop".into()),
        ..chunk(request_id, index, text)
    }
}

#[test]
fn damaged_streams_are_never_complete() {
    let good = || vec![chunk("r", 0, "a "), chunk("r", 1, "b "), last("r", 2, "c ")];
    let cases: [(&str, Vec<Chunk>, Option<Cause>); 7] = [
        ("complete", good(), None),
        ("cut", good()[..2].to_vec(), Some(Cause::Cut)),
        (
            "gap",
            vec![good()[0].clone(), good()[2].clone()],
            Some(Cause::OutOfOrder),
        ),
        (
            "repeat",
            vec![good()[0].clone(), good()[0].clone()],
            Some(Cause::OutOfOrder),
        ),
        (
            "crossed",
            vec![good()[0].clone(), chunk("q", 1, "b ")],
            Some(Cause::Crossed),
        ),
        (
            "chunk after the last",
            [good(), vec![chunk("r", 3, "d ")]].concat(),
            Some(Cause::OutOfOrder),
        ),
        (
            "no index",
            vec![Chunk {
                index: None,
                ..good()[0].clone()
            }],
            Some(Cause::OutOfOrder),
        ),
    ];
    for (name, chunks, expected) in cases {
        let mut progress = Progress::default();
        let mut assembly = Assembly::new("r".into());
        let failed = chunks
            .iter()
            .find_map(|chunk| assembly.accept(chunk, &mut progress).err());
        let failed = failed.or_else(|| assembly.finish(&mut progress).err());
        assert_eq!(failed, expected, "{name}");
        assert_eq!(
            progress.finish_reason.is_some(),
            expected.is_none(),
            "{name}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// However often a stream is interrupted and resumed, the caller receives each token once
    /// and in order.
    #[test]
    fn cut_anywhere_gives_each_token_once(cuts in proptest::collection::vec(0_usize..12, 0..5), total in 1_usize..12) {
        let words: Vec<String> = (0..total).map(|index| format!("w{index} ")).collect();
        let mut progress = Progress::default();
        let mut tokens = Vec::new();
        for cut in cuts.into_iter().map(Some).chain([None]) {
            let mut assembly = Assembly::new("r".into());
            let received = progress.tokens() as usize;
            let remaining = &words[received..];
            let count = cut.map_or(remaining.len(), |cut| cut.min(remaining.len()));
            for (index, word) in remaining[..count].iter().enumerate() {
                let is_last = index + 1 == remaining.len();
                let chunk = if is_last { last("r", index as u64, word) } else { chunk("r", index as u64, word) };
                if let Ok(ChunkOutcome::Token { index, text }) = assembly.accept(&chunk, &mut progress) {
                    tokens.push((index, text));
                }
            }
            if progress.tokens() as usize == total {
                break;
            }
        }
        let expected: Vec<(u64, String)> = words.iter().cloned().enumerate().map(|(index, word)| (index as u64 + 1, word)).collect();
        prop_assert_eq!(tokens, expected);
    }

    /// A malformed body is rejected without a panic.
    #[test]
    fn any_body_is_parsed_or_refused(body in proptest::collection::vec(0_u8..=255, 0..200)) {
        let _ = Completion::parse(Endpoint::Chat, &body);
        let _ = Completion::parse(Endpoint::Text, &body);
    }
}

#[test]
fn resumed_requests_contain_the_received_text() {
    let body =
        br#"{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"hello there"}]}"#;
    let completion = Completion::parse(Endpoint::Chat, body).unwrap();
    let progress = Progress {
        text: "one two ".into(),
        token_ends: vec![4, 8],
        ..Progress::default()
    };
    let next = completion.upstream_body(&progress);
    let again = Completion::parse(Endpoint::Chat, &next).unwrap();
    assert_eq!(again.max_tokens, 8);
    assert_eq!(again.prompt, "hello there");
    assert_eq!(again.partial_answer, "one two ");

    // A second resume continues after the first one.
    let twice = Completion::parse(Endpoint::Chat, &again.upstream_body(&progress)).unwrap();
    assert_eq!(twice.partial_answer, "one two one two ");
}

#[test]
fn bad_fields_are_named() {
    let cases: [(Endpoint, &str, &str); 9] = [
        (Endpoint::Chat, "", ""),
        (Endpoint::Chat, "[]", ""),
        (Endpoint::Chat, "{}", "model"),
        (Endpoint::Chat, r#"{"model":""}"#, "model"),
        (Endpoint::Chat, r#"{"model":"m"}"#, "messages"),
        (
            Endpoint::Chat,
            r#"{"model":"m","messages":[{"role":"user"}]}"#,
            "messages",
        ),
        (
            Endpoint::Chat,
            r#"{"model":"m","messages":[],"stream":1}"#,
            "stream",
        ),
        (Endpoint::Text, r#"{"model":"m","prompt":7}"#, "prompt"),
        (
            Endpoint::Text,
            r#"{"model":"m","prompt":"p","max_tokens":-1}"#,
            "max_tokens",
        ),
    ];
    for (endpoint, body, field) in cases {
        let invalid = Completion::parse(endpoint, body.as_bytes()).unwrap_err();
        assert_eq!(invalid.field, field, "{body}");
    }
}

#[test]
fn handover_depends_on_time_left_and_tokens() {
    let token_time = Duration::from_millis(38);
    let cases = [
        (200, 10, 5_000, Plan::Stay),
        (200, 500, 5_000, Plan::Export),
        (20, 500, 5_000, Plan::Resume),
        (200, 500, 600, Plan::Resume),
        (200, 0, 600, Plan::Stay),
    ];
    for (computed, remaining, left_ms, expected) in cases {
        let plan = handover::plan(
            computed,
            remaining,
            token_time,
            Duration::from_millis(left_ms),
        );
        assert_eq!(plan, expected, "{computed} {remaining} {left_ms}");
    }
}
