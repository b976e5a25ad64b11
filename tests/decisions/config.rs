//! Tests of numbered configurations: patches, conflicts and validation.

use cassialock::core::config::head;
use cassialock::core::config::head::Head;
use cassialock::core::config::head::PatchDecision;
use cassialock::core::config::patch;
use cassialock::core::config::patch::Patch;
use cassialock::core::config::validate;
use serde_json::Value;
use serde_json::json;

fn patch_of(id: &str, base: u64, patch: Value) -> Patch {
    Patch {
        id: id.into(),
        base,
        author: "test".into(),
        patch,
    }
}

fn service(version: &str) -> Value {
    json!({"kind": "llm", "version": version})
}

/// Applies a patch in the way that a node does, but without a store.
fn apply(head: &Head, doc: &Value, patch: &Patch) -> (Head, Value) {
    assert_eq!(head.check_patch(patch), PatchDecision::Apply);
    let next = patch::apply(doc, &patch.patch);
    (head.next(patch, &head::split(&next), 0), next)
}

#[test]
fn conflict_names_number_and_paths() {
    let first = patch_of("a", 0, json!({"services": {"x": service("v1")}}));
    let (head, doc) = apply(&Head::default(), &json!({}), &first);
    let second = patch_of("b", 1, json!({"services": {"x": {"slots": 4}}}));
    let (head, _) = apply(&head, &doc, &second);

    let cases = [
        (
            json!({"services": {"x": {"slots": 9}}}),
            vec!["/services/x/slots"],
        ),
        (json!({"services": {"x": null}}), vec!["/services/x"]),
        (json!({"services": {"y": service("v1")}}), vec![]),
        (json!({"services": {"x": {"version": "v2"}}}), vec![]),
    ];
    for (body, paths) in cases {
        let late = patch_of("c", 1, body);
        let expected = PatchDecision::Conflict {
            current: 2,
            paths: paths.into_iter().map(Into::into).collect(),
        };
        assert_eq!(head.check_patch(&late), expected);
    }
}

#[test]
fn resend_is_recognised_by_its_id() {
    let first = patch_of("a", 0, json!({"services": {"x": service("v1")}}));
    let (head, _) = apply(&Head::default(), &json!({}), &first);
    assert_eq!(head.check_patch(&first), PatchDecision::AlreadyApplied(1));
}

#[test]
fn unchanged_parts_keep_their_key_and_changed_ones_retire_it() {
    let both = json!({"services": {"x": service("v1"), "y": service("v1")}});
    let (one, doc) = apply(&Head::default(), &json!({}), &patch_of("a", 0, both));
    let change = patch_of("b", 1, json!({"services": {"x": {"slots": 3}}}));
    let (two, doc) = apply(&one, &doc, &change);
    assert_eq!(one.parts.get("services/y"), two.parts.get("services/y"));
    assert_ne!(one.parts.get("services/x"), two.parts.get("services/x"));
    assert_eq!(two.retired[0].key, *one.parts.get("services/x").unwrap());

    // A part with its earlier content must not get the retired key again.
    let back = patch_of("c", 2, json!({"services": {"x": {"slots": null}}}));
    let (three, _) = apply(&two, &doc, &back);
    assert_ne!(one.parts.get("services/x"), three.parts.get("services/x"));
}

#[test]
fn retired_parts_are_collected_when_no_reader_needs_them() {
    let first = patch_of("0", 0, json!({"services": {"x": service("v1")}}));
    let (mut head, mut doc) = apply(&Head::default(), &json!({}), &first);
    let mut expired = 0;
    for number in 1..=100 {
        let body = json!({"services": {"x": {"slots": number}}});
        let (next, next_doc) = apply(&head, &doc, &patch_of(&number.to_string(), number, body));
        (head, doc) = (next, next_doc);
        expired += head.take_expired().len();
    }
    assert_eq!(expired, 100 - head::MAX_HISTORY);
    assert_eq!(head.retired.len(), head::MAX_HISTORY);
    assert_eq!(head.history.len(), head::MAX_HISTORY);
}

#[test]
fn errors_contain_the_path() {
    let cases = [
        (json!({"services": {"x": {"kind": "llm"}}}), "services.x"),
        (
            json!({"services": {"x": {"kind": "llm", "version": "v1", "slots": 0}}}),
            "services.x.slots",
        ),
        (
            json!({"services": {"x": {"kind": "plain", "version": "v1"}}}),
            "services.x.routes",
        ),
        (
            json!({"services": {"x": {"kind": "odd", "version": "v1"}}}),
            "services.x.kind",
        ),
        (
            json!({"workspaces": {"w": {"weight": 0, "tokens_per_s": 1}}}),
            "workspaces.w.weight",
        ),
        (
            json!({"moves": {"m": {"service": "no", "from": "a", "to": "b", "start_ms": 1, "deadline_ms": 2}}}),
            "moves.m.service",
        ),
        (json!({"colours": {}}), "colours"),
        (json!({"services": 5}), "services"),
    ];
    for (doc, path) in cases {
        let errors = validate::parse(&doc).unwrap_err();
        assert_eq!(errors[0].path, path, "{doc}");
    }
}

#[test]
fn all_semantic_errors_are_reported() {
    let doc = json!({
        "services": {"x": {"kind": "llm", "version": "", "slots": 0, "silence_ms": 1}},
        "workspaces": {"w": {"weight": 0, "tokens_per_s": 0}},
    });
    let errors: Vec<String> = validate::parse(&doc)
        .unwrap_err()
        .into_iter()
        .map(|error| format!("{}: {}", error.path, error.problem))
        .collect();
    insta::assert_snapshot!(errors.join("\n"), @r"
    services.x.version: must not be empty
    services.x.slots: must be at least 1
    services.x.silence_ms: must be at least 50
    workspaces.w.weight: must be at least 1
    workspaces.w.tokens_per_s: must be at least 1
    ");
}

#[test]
fn overlapping_moves_of_one_service_are_refused() {
    let item = |start: u64| json!({"service": "x", "from": "v1", "to": "v2", "start_ms": start, "deadline_ms": start + 100});
    let doc = |start| {
        json!({
            "services": {"x": service("v1")},
            "moves": {"a": item(0), "b": item(start)},
        })
    };
    assert!(validate::parse(&doc(50)).is_err());
    assert!(validate::parse(&doc(100)).is_ok());
}

#[test]
fn deltas_make_the_same_head_as_the_changes() {
    let first = json!({"services": {"x": service("v1"), "y": service("v1")}});
    let (start, mut doc) = apply(&Head::default(), &json!({}), &patch_of("0", 0, first));
    let changes = [
        json!({"services": {"x": {"slots": 2}}}),
        json!({"services": {"y": null}}),
        json!({"services": {"z": service("v3")}}),
        json!({"services": {"x": {"slots": 3}}}),
    ];
    let mut head = start.clone();
    for (index, change) in changes.into_iter().enumerate() {
        let patch = patch_of(&format!("c{index}"), head.number, change);
        (head, doc) = apply(&head, &doc, &patch);
    }
    let delta = head.delta_since(1).unwrap();
    let caught_up = start.with_delta(&delta).unwrap();
    assert_eq!(caught_up.parts, head.parts);
    assert_eq!(caught_up.history, head.history);
    assert_eq!(caught_up.number, head.number);
    assert!(
        head.with_delta(&delta).is_none(),
        "a delta applies only to the head it is based on"
    );
    assert!(head.delta_since(0).is_none());
    assert!(head.delta_since(9).is_none());
}
