//! Tests of requests that an entry proxies to a backend server, and of the event
//! lines that they leave.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::harness;
use crate::harness::Harness;
use crate::scripted;
use crate::scripted::Step;

/// Time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(400);

#[tokio::test]
async fn an_answer_reaches_its_caller() {
    let harness = Harness::start(true).await;
    assert_eq!(harness.call("GET", "/read/x", "q-1", "k-1").await, 200);
    let lines = harness.lines_of("q-1");
    assert_eq!(lines.last().unwrap()["event"], "answered");
}

#[tokio::test]
async fn a_request_that_may_have_run_is_retried_only_if_it_is_repeatable() {
    let harness = Harness::start(true).await;
    assert_eq!(harness.call("POST", "/order/cut", "q-1", "k-1").await, 502);
    assert_eq!(harness.runs(), 1);
    assert_eq!(harness.call("GET", "/read/cut", "q-2", "k-1").await, 502);
    assert_eq!(harness.runs(), 3);
    assert_eq!(
        harness.call("POST", "/order/crossed", "q-3", "k-1").await,
        502
    );
    assert_eq!(
        harness.call("POST", "/order/unsigned", "q-4", "k-1").await,
        502
    );
    assert_eq!(harness.runs(), 5);
}

#[tokio::test]
async fn an_error_response_of_a_server_is_forwarded() {
    let harness = Harness::start(true).await;
    assert_eq!(
        harness.call("POST", "/order/failed", "q-1", "k-1").await,
        500
    );
    assert_eq!(harness.runs(), 1);
}

/// Guards against a status that is no status, which a caller would take for an answer.
#[tokio::test]
async fn an_answer_with_a_status_below_100_is_not_delivered() {
    for status in ["000", "099", "-01", "20"] {
        for path in ["/read/x", "/order/x", "/draft/x"] {
            let head = scripted::HEAD.replace("200", status);
            let answer = format!("{head}content-length: 6\r\n\r\nanswer");
            let server = scripted::start(vec![Step::Send(answer)]).await;
            let harness = Harness::with_backend(server).await;
            let answer = scripted::call(&harness, path).await;
            assert_eq!(harness::status(&answer), 502, "{status} {path}: {answer}");
        }
    }
}

#[tokio::test]
async fn a_request_that_busy_servers_did_not_run_is_refused_as_not_run() {
    let harness = Harness::start(true).await;
    assert_eq!(harness.call("POST", "/order/busy", "q-1", "k-1").await, 503);
}

/// A streaming request counts as run from its first event on.
#[tokio::test]
async fn a_stream_without_an_event_is_not_counted_as_usage() {
    let harness = Harness::start(true).await;
    assert_eq!(harness.call("POST", "/draft/cut", "q-1", "k-1").await, 502);
    assert_eq!(harness.runs(), 1);
    assert_eq!(harness.usage(), 0);
    assert_eq!(harness.call("POST", "/order/cut", "q-2", "k-1").await, 502);
    assert_eq!(harness.usage(), 1);
    assert_eq!(harness.call("POST", "/order/busy", "q-3", "k-1").await, 503);
    assert_eq!(harness.usage(), 1);
}

/// A server must not go on working for a caller that has closed its connection.
#[tokio::test]
async fn a_request_at_a_server_is_cancelled_when_the_caller_disconnects() {
    for path in ["/read/slow", "/order/slow", "/draft/slow"] {
        let harness = Harness::start(true).await;
        let mut stream = TcpStream::connect(harness.front).await.unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: q-1\r\n\
             authorization: Token k-1\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        while harness.runs() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        drop(stream);
        let closed = Instant::now();
        while harness.cancelled.load(Ordering::Relaxed) == 0 {
            assert!(closed.elapsed() < Duration::from_millis(500), "{path}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn the_line_of_a_request_whose_caller_left_says_what_it_waited_for() {
    let harness = Harness::start(true).await;
    for (id, path, stage) in [
        ("q-1", "/read/slow", "server"),
        ("q-2", "/follow/idle", "answer"),
    ] {
        let mut stream = TcpStream::connect(harness.front).await.unwrap();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: {id}\r\n\
             authorization: Token k-1\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(stream);
        tokio::time::sleep(Duration::from_millis(100)).await;
        let lines = harness.lines_of(id);
        let ends = lines
            .iter()
            .find(|line| line["event"] == "request_abandoned");
        let ends = ends.unwrap_or_else(|| panic!("{id}: {lines:?}"));
        assert_eq!(ends["stage"], stage);
        assert_eq!(ends["cause"], "connection_ended");
    }
}

#[tokio::test]
async fn a_caller_of_a_server_that_hangs_is_answered_before_it_stops_waiting() {
    let harness = Harness::start(true).await;
    for path in ["/read/slow", "/order/slow", "/draft/slow"] {
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: q-1\r\n\
             authorization: Token k-1\r\nx-cassialock-deadline-ms: {}\r\n\
             content-length: 0\r\nconnection: close\r\n\r\n",
            PATIENCE.as_millis()
        );
        let answer = tokio::time::timeout(PATIENCE, harness.send(&request)).await;
        assert_eq!(harness::status(&answer.unwrap()), 504, "{path}");
    }
}

/// The second server must resume after the last whole event that the caller
/// received.
#[tokio::test]
async fn a_cut_stream_that_can_be_resumed_goes_on_without_gap_or_repeat() {
    let harness = Harness::start(true).await;
    let answer = harness
        .send(
            "POST /follow/x HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: q-1\r\n\
             authorization: Token k-1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        )
        .await;
    let ids: Vec<&str> = answer
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["1", "2", "3", "4", "5", "6"], "{answer}");
    assert_eq!(harness.runs(), 2);
}

/// OPERATIONS.md, "No server could be reached".
#[tokio::test]
async fn the_lines_of_a_request_that_reached_no_server_name_the_server() {
    let harness = Harness::start(false).await;
    assert_eq!(harness.call("POST", "/order/x", "q-1", "k-1").await, 503);
    let lines = harness.lines_of("q-1");
    let attempt = &lines[0];
    assert_eq!(attempt["event"], "attempt_failed");
    assert_eq!(attempt["cause"], "connect");
    assert_eq!(attempt["backend"], "i-1/1");
    let refused = lines.last().unwrap();
    assert_eq!(refused["event"], "refused");
    assert_eq!(refused["verdict"], "not_run");
}

/// OPERATIONS.md, "The answer is lost".
#[tokio::test]
async fn the_lines_of_a_lost_answer_say_that_the_request_may_have_run() {
    let harness = Harness::start(true).await;
    assert_eq!(harness.call("POST", "/order/cut", "q-1", "k-1").await, 502);
    let lines = harness.lines_of("q-1");
    assert_eq!(lines[0]["cause"], "cut");
    assert_eq!(lines[0]["prompt_parts"], "");
    assert_eq!(lines[0]["decision"], "NotRepeatable");
    assert_eq!(lines.last().unwrap()["verdict"], "may_have_run");
}

/// OPERATIONS.md, "The key is refused".
#[tokio::test]
async fn the_line_of_a_refused_key_names_the_catalog_version() {
    let harness = Harness::start(true).await;
    assert_eq!(harness.call("GET", "/read/x", "q-1", "k-2").await, 401);
    let lines = harness.lines_of("q-1");
    assert_eq!(lines[0]["reason"], "unknown_key");
    assert_eq!(lines[0]["catalog_version"], 1);
    assert!(lines[0]["catalog_age_ms"].is_number());
    assert_eq!(harness.runs(), 0);
}

#[tokio::test]
async fn a_body_that_is_too_long_is_refused_before_it_arrives() {
    let harness = Harness::start(true).await;
    let began = Instant::now();
    let answer = harness
        .send(
            "POST /order/x HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: q-1\r\n\
             authorization: Token k-1\r\ncontent-length: 99999999999\r\nconnection: close\r\n\r\n",
        )
        .await;
    assert_eq!(harness::status(&answer), 413);
    assert!(began.elapsed() < Duration::from_secs(2));
}

/// Guards against request smuggling: a second request within the body must not be
/// run.
#[tokio::test]
async fn a_request_with_two_lengths_smuggles_nothing() {
    let harness = Harness::start(true).await;
    let inner = "POST /order/smuggled HTTP/1.1\r\nhost: shop\r\n\
                 x-cassialock-request-id: q-2\r\nauthorization: Token k-1\r\n\
                 content-length: 0\r\n\r\n";
    let body = format!("0\r\n\r\n{inner}");
    let answer = harness
        .send(&format!(
            "POST /order/x HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: q-1\r\n\
             authorization: Token k-1\r\ncontent-length: {}\r\n\
             transfer-encoding: chunked\r\n\r\n{body}",
            body.len()
        ))
        .await;
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert!(harness.runs() <= 1);
}
