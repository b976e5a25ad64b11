//! Decoding of what the platform states about cold servers.

use std::time::Duration;

use cassialock::core::route::servers::cold::Stated;
use cassialock::entry::adapter::Content;
use cassialock::entry::adapter::Dialect;
use cassialock::platform::decode;
use cassialock::platform::protocol::HeaderProtocol;
use http::HeaderMap;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

fn recorded(cold: Value) -> Stated {
    let spec = json!({"service": "llm", "address": "10.0.0.1:80", "zone": "a", "version": "v1",
        "state": "ready", "cold_ms": cold});
    match decode::backend("i-1", &spec) {
        Content::Backend(server) => server.cold,
        other => panic!("{other:?}"),
    }
}

fn stated(text: &'static str) -> Stated {
    let mut headers = HeaderMap::new();
    headers.insert("x-cassialock-cold-ms", text.parse().unwrap());
    let protocol = HeaderProtocol::new();
    protocol.read_notice(StatusCode::OK, &headers).cold
}

#[test]
fn the_time_for_which_a_server_stays_cold_is_decoded() {
    let time = Stated::For(Duration::from_millis(1_500));
    assert_eq!(recorded(json!(1_500)), time);
    assert_eq!(recorded(json!(0)), Stated::For(Duration::ZERO));
    assert_eq!(recorded(Value::Null), Stated::Missing);
    assert_eq!(stated("1500"), time);
    // A server with an unusable time is still listed.
    for cold in [json!(-1), json!(1e300), json!("soon"), json!([1])] {
        let text = cold.to_string();
        assert_eq!(recorded(cold), Stated::Invalid(text.as_str().into()));
    }
    for text in ["-1", "inf", "NaN", "soon"] {
        assert_eq!(stated(text), Stated::Invalid(text.into()));
    }
}

#[test]
fn services_start_cold_only_with_a_time_and_a_rate() {
    let cold = |time: Value, rate: Value| {
        let service = json!({"name": "llm", "cold_start_s": time, "cold_per_s": rate});
        match decode::catalog(json!({"version": 1, "services": [service]})) {
            Content::Catalog(catalog) => catalog.services.get("llm").unwrap().cold,
            other => panic!("{other:?}"),
        }
    };
    let start = cold(json!(8), json!(24)).unwrap();
    assert_eq!((start.time, start.rate), (Duration::from_secs(8), 24.0));
    for (time, rate) in [
        (json!(0), json!(24)),
        (json!(-1), json!(24)),
        (json!(8), json!(0)),
    ] {
        assert_eq!(cold(time, rate), None);
    }
    assert_eq!(cold(Value::Null, json!(24)), None);
}
