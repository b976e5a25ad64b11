//! Decoding and encoding of the platform's settings, objects and HTTP headers.

use std::time::Duration;

use cassialock::core::refusal::Reason;
use cassialock::core::refusal::Refusal;
use cassialock::core::request::RequestInfo;
use cassialock::core::route::servers::LoadReport;
use cassialock::core::route::servers::notice::Ignored;
use cassialock::core::route::servers::notice::Statement;
use cassialock::core::verdict::Verdict;
use cassialock::entry::adapter::Content;
use cassialock::entry::adapter::Dialect;
use cassialock::entry::adapter::ForwardInfo;
use cassialock::entry::adapter::ResponseInfo;
use cassialock::platform::decode;
use cassialock::platform::protocol::HeaderProtocol;
use cassialock::platform::settings_file;
use http::Request;
use http::Response;
use serde_json::json;

const SETTINGS: &str = r#"
node = "edge-a-1"
role = "entry"
ip = "10.1.0.14"
zone = "a"
port_range = [7600, 7615]
unknown_field = "is ignored"
[zones]
a = "north"
b = "north"
[listen]
front = "10.1.0.14:8221"
ready = "10.1.0.14:8224"
directory = "10.1.0.14:8220"
[limits]
cpu_share = 0.25
memory_mb = 260
[bounds]
grace_period_s = 8
revoke_ms = 5000
fail_closed = true
retry_budget_ratio = 0.2
budget_slack = 58
quota_window_s = 8
quota_over = 0.1
quota_slack = 110000
lease_ms = 3000
window_s = 5
ttl_max_s = 5
evacuate_ms = 5000
[platform]
address = "10.200.1.7:8225"
[cloud]
address = "10.200.0.35:8225"
"#;

/// Returns the error reported for the settings with `from` replaced by `to`.
fn parse_error(from: &str, to: &str) -> String {
    assert!(SETTINGS.contains(from), "{from}");
    settings_file::parse(&SETTINGS.replace(from, to))
        .unwrap_err()
        .to_string()
}

#[test]
fn settings_are_decoded() {
    let settings = settings_file::parse(SETTINGS).unwrap();
    insta::assert_debug_snapshot!(settings);
}

#[test]
fn each_fault_of_the_settings_names_its_field() {
    let faults = [
        parse_error("node = \"edge-a-1\"\n", ""),
        parse_error("10.1.0.14:8221", "here"),
        parse_error("[7600, 7615]", "[7615, 7600]"),
        parse_error("ip = \"10.1.0.14\"", "ip = \"host\""),
        parse_error("revoke_ms = 5000", "revoke_ms = -1"),
        parse_error("memory_mb = 260", "memory_mb = \"much\""),
        parse_error("[platform]\naddress = \"10.200.1.7:8225\"", ""),
        parse_error("node = \"edge-a-1\"", "node = "),
    ];
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn a_catalog_is_decoded() {
    let spec = json!({
        "version": 7,
        "routes": [
            {"name": "r-1", "host": "One.example", "path_prefix": "/a/", "kind": "streaming",
             "timeout_ms": 3000, "target_latency_ms": 300, "priority": 0, "service": "llm",
             "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 300},
            {"name": "r-2", "host": "one.example", "path_prefix": "/a/b/", "kind": "non_idempotent",
             "timeout_ms": 2000, "traffic_split": [{"service": "p", "weight": 90}, {"service": "q", "weight": 10}]}
        ],
        "services": [
            {"name": "llm", "health_path": "/health", "max_conns": 630,
             "engine": {"slots": 128, "kv_capacity_tokens": 1073273, "kv_bytes": 18432},
             "scale": {"min": 1, "max": 6, "boot_s": 4.0, "spot_price": 0.22, "zone_prices": {"a": 0.85}}},
            {"name": "p"}
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t", "api_keys": ["k2", "k1"], "priority": 1,
                     "billing_unit": "token_stream", "plain_tokens": 200, "rate_per_s": 100, "burst": 50}]
    });
    insta::assert_debug_snapshot!(decode::catalog(spec));
}

/// Guards against keys that stay in force because another workspace of the version that
/// takes them away cannot be read.
#[test]
fn a_workspace_that_cannot_be_read_does_not_hide_the_others() {
    let decoded = |tenants: serde_json::Value| {
        let spec = json!({"version": 2, "routes": [], "tenants": tenants});
        match decode::catalog(spec) {
            Content::Catalog(catalog) => *catalog,
            other => panic!("{other:?}"),
        }
    };
    let beside =
        decoded(json!([{"name": "t", "api_keys": ["k"]}, {"name": "u", "api_keys": "k2"}]));
    assert!(beside.workspace_by_key("k").is_some());
    assert!(beside.has_unreadable_workspaces());
    for tenants in [json!("all"), json!([7]), json!([{"api_keys": []}])] {
        let catalog = decoded(tenants);
        assert!(catalog.has_workspaces() && catalog.has_unreadable_workspaces());
    }
    for tenants in [json!([]), json!(null)] {
        assert!(!decoded(tenants).has_workspaces());
    }
}

#[test]
fn workspaces_are_expected_unless_the_rules_on_them_are_not_in_force() {
    for (contracts, expected) in [
        ("", true),
        ("contracts = [\"base\", \"tenants\"]\n", true),
        ("contracts = [\"base\"]\n", false),
    ] {
        let settings = settings_file::parse(&format!("{contracts}{SETTINGS}")).unwrap();
        assert_eq!(settings.bounds.has_workspaces, expected, "{contracts}");
    }
}

#[test]
fn unreadable_objects_name_the_invalid_field() {
    let reason = |content| match content {
        Content::Unreadable(reason) => reason,
        other => panic!("readable: {other:?}"),
    };
    let server = json!({"service": "p", "address": "10.1.0.9:80", "zone": "a", "version": "v1", "state": "ready"});
    let with = |field: &str, value: serde_json::Value| {
        let mut spec = server.clone();
        spec[field] = value;
        reason(decode::backend("i-1", &spec))
    };
    let route = |route: serde_json::Value| {
        reason(decode::catalog(json!({"version": 1, "routes": [route]})))
    };
    let reasons = [
        with("address", json!("nowhere")),
        with("state", json!("asleep")),
        with("service", json!(null)),
        with("born", json!("yesterday")),
        reason(decode::backend("i-1", &json!([1, 2]))),
        route(
            json!({"name": "r", "host": "h", "path_prefix": "/", "kind": "odd", "timeout_ms": 1}),
        ),
        route(
            json!({"name": "r", "host": "h", "path_prefix": "/", "kind": "idempotent", "timeout_ms": 1}),
        ),
        reason(decode::catalog(json!({"routes": []}))),
        reason(decode::version_move(json!({"service": "p"}), &json!(null))),
    ];
    insta::assert_snapshot!(reasons.join("\n"));
}

#[test]
fn a_server_and_a_move_are_decoded() {
    let server = json!({"service": "llm", "address": "10.128.0.9:8080", "zone": "a", "version": "v1",
                        "slots": 128, "state": "draining", "seq": 4, "born": 1785343668929_u64,
                        "spot": true, "leaves_ms": 2500});
    let rollout = json!({"service": "llm", "target": "v2", "duration_s": 12});
    let status = json!({"state": "rolled_back", "target": "v2"});
    insta::assert_debug_snapshot!((
        decode::backend("i-7f3a91c2", &server),
        decode::version_move(rollout.clone(), &status),
        decode::version_move(rollout, &json!({"state": "complete", "target": "v1"})),
    ));
}

fn request() -> http::request::Parts {
    let request = Request::post("/lohu930/2f?x=1")
        .header("host", "ficu95.example:80")
        .header("x-cassialock-request-id", "9c41")
        .header("x-cassialock-model", "m")
        .header("x-cassialock-token-usage", "1460,80")
        .header(
            "x-cassialock-prompt-prefix",
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        )
        .header("x-cassialock-deadline-ms", "5000")
        .header("x-cassialock-tenant", "someone-else")
        .header("x-cassialock-hold", "h-1")
        .header("x-cassialock-pin-ms", "4000")
        .header("x-cassialock-kv-backup", "10.0.0.1:1")
        .header("kv-from", "10.0.0.1:1/x")
        .header("authorization", "Token secret")
        .header("connection", "keep-alive, x-once")
        .header("x-once", "1")
        .header("content-length", "5");
    request.body(()).unwrap().into_parts().0
}

#[test]
fn a_request_is_decoded() {
    let info = HeaderProtocol::new().read_request(&request()).unwrap();
    insta::assert_debug_snapshot!(info);
}

#[test]
fn a_request_without_an_id_is_refused() {
    let head = Request::get("/").body(()).unwrap().into_parts().0;
    let refusal = HeaderProtocol::new().read_request(&head).unwrap_err();
    assert_eq!(refusal.reason, Reason::Malformed);
}

#[test]
fn only_headers_a_caller_may_set_are_forwarded() {
    let info = ForwardInfo {
        instance: "i-1",
        remaining: Duration::from_millis(4_321),
        workspace: Some("t"),
        priority: Some(12),
        last_event: Some("17"),
    };
    let forwarded = HeaderProtocol::new().forward_headers(&request().headers, &info);
    let mut lines: Vec<String> = forwarded
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap()))
        .collect();
    lines.sort();
    insta::assert_snapshot!(lines.join("\n"));
}

fn reply(status: u16, headers: &[(&str, &str)]) -> ResponseInfo {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let head = response.body(()).unwrap().into_parts().0;
    HeaderProtocol::new().read_response(&head)
}

#[test]
fn replies_of_servers_are_decoded() {
    let id = ("x-cassialock-request-id", "9c41");
    insta::assert_debug_snapshot!([
        reply(
            200,
            &[
                id,
                ("x-cassialock-response-stamp", "3e1b"),
                ("x-cassialock-server-load", "3,0,8"),
                ("keep-alive", "timeout=5, max=100")
            ]
        ),
        reply(
            503,
            &[
                id,
                ("x-cassialock-not-executed", "1"),
                ("connection", "close")
            ]
        ),
        reply(421, &[("x-cassialock-instance-id", "i-2")]),
        reply(500, &[("x-cassialock-server-load", "odd")]),
        reply(200, &[("server-limit", "5.5")]),
        reply(200, &[("server-limit", "-1")]),
    ]);
}

/// Guards against acting on a time of work that no server can mean, and against a load
/// report that is lost because of it.
#[test]
fn load_reports_have_two_to_four_figures() {
    let read = |value: &str| reply(200, &[("x-cassialock-server-load", value)]).notice;
    let load = |slots, work_percent| {
        Some(LoadReport {
            running: 3,
            waiting: 1,
            slots,
            work_percent,
        })
    };
    for (value, expected) in [
        ("3,1", load(None, None)),
        ("3,1,0", load(None, None)),
        ("3,1,16", load(Some(16), None)),
        ("3,1,16,250", load(Some(16), Some(250))),
        (" 3, 1 ,16 , 100", load(Some(16), Some(100))),
        ("3,1,x,10000", load(None, Some(10_000))),
        ("3,-1,16,100", None),
        ("3", None),
    ] {
        let notice = read(value);
        assert_eq!(
            (notice.load, notice.invalid),
            (expected, Vec::new()),
            "{value}"
        );
    }
    for text in [
        "0",
        "-5",
        "10001",
        "1e3",
        "99999999999",
        "soon",
        "NaN",
        "inf",
        "",
    ] {
        let notice = read(&format!("3,1,16,{text}"));
        assert_eq!(notice.load, load(Some(16), None), "{text}");
        let ignored = Ignored {
            statement: Statement::WorkTime,
            value: text.into(),
        };
        assert_eq!(notice.invalid, [ignored], "{text}");
    }
}

#[test]
fn four_statuses_promise_that_a_request_has_not_run() {
    for status in 200..=599 {
        let promised = matches!(status, 408 | 421 | 429 | 503);
        assert_eq!(reply(status, &[]).is_promise, promised, "{status}");
    }
}

#[test]
fn only_a_plain_event_stream_with_status_200_can_be_resumed() {
    let stream = ("content-type", "text/event-stream");
    for (status, headers, expected) in [
        (200, &[stream][..], true),
        (
            200,
            &[("content-type", "Text/Event-Stream; charset=utf-8")],
            true,
        ),
        (200, &[], false),
        (200, &[("content-type", "application/json")], false),
        (200, &[stream, ("content-encoding", "gzip")], false),
        (206, &[stream], false),
        (500, &[stream], false),
    ] {
        let info = reply(status, headers);
        assert_eq!(info.is_event_stream, expected, "{status} {headers:?}");
    }
}

#[test]
fn an_answer_without_length_and_chunks_ends_with_its_connection() {
    for (header, expected) in [
        (("content-length", "0"), false),
        (("transfer-encoding", "chunked"), false),
        (("content-type", "text/plain"), true),
    ] {
        assert_eq!(reply(200, &[header]).ends_with_connection, expected);
    }
}

#[test]
fn the_end_of_a_server_is_decoded() {
    let leaving = ("server-leaving", "1");
    insta::assert_debug_snapshot!([
        reply(200, &[leaving]).notice,
        reply(503, &[leaving]).notice,
        reply(200, &[leaving, leaving]).notice,
        reply(200, &[("server-leaving", "")]).notice,
        reply(200, &[("server-leaving", "0")]).notice,
        reply(101, &[leaving]).notice,
    ]);
}

#[test]
fn the_time_for_which_a_server_is_closed_is_decoded() {
    let reply_after = |status, value| {
        let notice = reply(status, &[("retry-after", value)]).notice;
        (notice.closed_s, notice.invalid)
    };
    insta::assert_debug_snapshot!([
        reply_after(503, "0.8"),
        reply_after(503, "3"),
        reply_after(503, "-1"),
        reply_after(503, "1e999"),
        reply_after(503, ""),
        reply_after(503, "soon"),
        reply_after(503, "Fri, 31 Dec 2199 23:59:59 GMT"),
        reply_after(429, "1"),
        reply_after(101, "1"),
    ]);
    let value = ("retry-after", "1");
    let notice = reply(503, &[value, value]).notice;
    assert_eq!((notice.closed_s, notice.invalid.len()), (None, 1));
}

/// Status codes that guarantee that a request did not run must not be returned for
/// a request that may have run.
#[test]
fn the_verdict_decides_the_status() {
    let status = |reason, verdict| {
        let refusal = Refusal::new(reason, "").with_verdict(verdict);
        HeaderProtocol::new().refuse(&refusal).status().as_u16()
    };
    for reason in [
        Reason::Deadline,
        Reason::BackendFailed,
        Reason::RetryBudget,
        Reason::NoServer,
        Reason::Overloaded,
    ] {
        assert_eq!(status(reason, Verdict::NotRun), 503, "{reason:?}");
        let may_have_run = status(reason, Verdict::MayHaveRun);
        assert!([502, 504].contains(&may_have_run), "{reason:?}");
    }
    assert_eq!(status(Reason::WorkspaceLimit, Verdict::NotRun), 429);
    assert_eq!(status(Reason::UnknownKey, Verdict::NotRun), 401);
    assert_eq!(status(Reason::UnknownRoute, Verdict::NotRun), 404);
    assert_eq!(status(Reason::Oversize, Verdict::NotRun), 413);
    assert_eq!(status(Reason::Malformed, Verdict::NotRun), 400);
}

#[test]
fn a_refusal_carries_a_retry_after_header() {
    let refusal = Refusal::new(Reason::Overloaded, "").with_retry_after(Duration::from_millis(250));
    let response = HeaderProtocol::new().refuse(&refusal);
    assert_eq!(response.headers()["retry-after"], "0.250");
}

#[test]
fn the_directory_lists_entries() {
    let entries = ["10.1.0.14:8221".parse().unwrap()];
    let response = HeaderProtocol::new().directory(&entries, Duration::from_secs(2));
    assert_eq!(response.status(), 200);
    let none = HeaderProtocol::new().directory(&[], Duration::from_secs(2));
    assert_eq!(none.status(), 503);
}

#[test]
fn the_id_of_an_event_is_found_after_other_lines() {
    let dialect = HeaderProtocol::new();
    let event = b"x-cassialock-weight-versions: 3\nid: 12\ndata: a\n\n";
    assert_eq!(dialect.event_id(event), Some("12"));
    assert_eq!(dialect.event_id(b"data: a\n\n"), None);
}

#[test]
fn unreadable_prompt_parts_are_ignored() {
    let mut head = request();
    head.headers
        .insert("x-cassialock-prompt-prefix", "zz:1".parse().unwrap());
    let info: RequestInfo = HeaderProtocol::new().read_request(&head).unwrap();
    assert!(info.parts.is_empty());
}
