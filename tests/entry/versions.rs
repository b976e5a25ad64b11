//! Version moves as callers and servers see them.

use std::net::SocketAddr;
use std::time::Duration;

use cassialock::entry::adapter::DeclaredMove;
use futures_util::future;
use http::Response;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::harness::Harness;

/// Requests of which the trial of a new version gets some.
const REQUESTS: usize = 600;

/// Requests that are open at a time.
const BATCH: usize = 60;

/// Starts a server that answers with `status` after `delay`.
async fn server(status: u16, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (_keep, stopped) = watch::channel(false);
        let handler = move |request: http::Request<hyper::body::Incoming>, _| async move {
            tokio::time::sleep(delay).await;
            let status = status.try_into().unwrap();
            let mut response: Response<_> = cassialock::web::text(status, "answer");
            let id = request.headers()["x-cassialock-request-id"].clone();
            let headers = response.headers_mut();
            headers.insert("x-cassialock-request-id", id);
            headers.insert("x-cassialock-response-stamp", "s".parse().unwrap());
            response
        };
        cassialock::web::serve(listener, handler, stopped).await;
    });
    address
}

/// Runs requests during a move to a version that answers after `delay`, and returns
/// whether the version was found to be faulty.
async fn is_vetoed(delay: Duration, path: &str) -> bool {
    let old = server(200, Duration::from_millis(5)).await;
    let new = server(200, delay).await;
    is_found(old, new, path).await
}

/// Does the same with versions that answer with certain statuses.
async fn is_rejecting(old: u16, new: u16, path: &str) -> bool {
    let old = server(old, Duration::from_millis(5)).await;
    let new = server(new, Duration::from_millis(5)).await;
    is_found(old, new, path).await
}

async fn is_found(old: SocketAddr, new: SocketAddr, path: &str) -> bool {
    let declared = DeclaredMove {
        service: "dosel-llm".into(),
        target: "v2".into(),
        within: Duration::from_secs(60),
        outcome: None,
    };
    let harness = Harness::with_move(&[(old, "v1"), (new, "v2")], declared).await;
    for first in (0..REQUESTS).step_by(BATCH) {
        let calls = (first..first + BATCH).map(|id| {
            let harness = &harness;
            async move {
                let id = format!("q-{id}");
                harness.call("GET", path, &id, "k-1").await
            }
        });
        future::join_all(calls).await;
        if !harness.vetoes().is_empty() {
            return true;
        }
    }
    false
}

/// Requests that the node or the caller gives up before the answer begins must not
/// be left out of the judgement.
#[tokio::test]
async fn a_version_that_never_answers_in_time_is_vetoed() {
    assert!(is_vetoed(Duration::from_millis(1_500), "/read/x").await);
    assert!(is_vetoed(Duration::from_millis(2_500), "/order/x").await);
}

#[tokio::test]
async fn a_version_that_is_as_fast_is_kept() {
    assert!(!is_vetoed(Duration::from_millis(5), "/read/x").await);
}

/// Guards against a version that has lost a route and is completed, since it does not answer
/// with server errors.
#[tokio::test]
async fn a_version_that_rejects_what_the_old_one_serves_is_vetoed() {
    for status in [302, 400, 404, 405, 600] {
        assert!(is_rejecting(200, status, "/order/x").await, "{status}");
    }
    assert!(is_rejecting(200, 404, "/read/x").await);
    assert!(is_rejecting(404, 400, "/read/x").await);
}

/// Guards against a version that is blamed for what its callers ask for.
#[tokio::test]
async fn a_version_that_rejects_what_the_old_one_rejects_is_kept() {
    assert!(!is_rejecting(404, 404, "/order/x").await);
    assert!(!is_rejecting(404, 200, "/order/x").await);
}

/// Guards against an answer outside of the protocol that counts as a success.
#[tokio::test]
async fn an_answer_with_an_undefined_status_is_a_failure() {
    let harness = Harness::with_backends(&[
        server(600, Duration::ZERO).await,
        server(200, Duration::ZERO).await,
    ])
    .await;
    for id in 0..8 {
        let id = format!("q-{id}");
        assert_eq!(harness.call("GET", "/read/x", &id, "k-1").await, 200);
    }
    let harness = Harness::with_backends(&[server(600, Duration::ZERO).await]).await;
    assert_eq!(harness.call("POST", "/order/x", "q-9", "k-1").await, 600);
}
