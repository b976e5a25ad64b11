//! The platform's API, tested with the node's client against the stand-in.

use std::time::Duration;

use cassialock::load::caller;
use cassialock::node::platform_api::Condition;
use cassialock::node::platform_api::Platform;
use cassialock::node::platform_api::Unavailable;
use cassialock::node::platform_api::WriteError;
use cassialock::node::platform_api::client::HttpPlatform;
use cassialock::standin::Standin;
use cassialock::standin::platform;
use cassialock::standin::platform::Counts;
use cassialock::standin::platform::Faults;
use cassialock::web::client::Client;

async fn start() -> (Standin, HttpPlatform) {
    let standin = platform::start("127.0.0.1:0").await.unwrap();
    let client = HttpPlatform::new(standin.address);
    (standin, client)
}

/// Sets the faults that the stand-in injects.
async fn set_faults(standin: &Standin, faults: &Faults) {
    let address = standin.address.to_string();
    let answer = caller::post_json(&Client::new(), &address, "/control", faults).await;
    assert!(answer.unwrap().0.is_success());
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_take_effect_only_if_their_condition_holds() {
    let (_standin, client) = start().await;
    let put = |condition| client.put("a/b", "x".into(), condition);
    assert_eq!(client.get("a/b").await, Ok(None));
    let version = put(Condition::Absent).await.unwrap();
    assert_eq!(put(Condition::Absent).await, Err(WriteError::Conflict));
    assert_eq!(
        put(Condition::Version(version + 9)).await,
        Err(WriteError::Conflict)
    );
    let next = put(Condition::Version(version)).await.unwrap();
    assert!(next > version);
    assert_eq!(client.get("a/b").await.unwrap().unwrap().version, next);
    assert_eq!(client.list("a/").await.unwrap().events.len(), 1);
    assert_eq!(client.list("b/").await.unwrap().events.len(), 0);
    client.delete("a/b").await.unwrap();
    assert_eq!(client.get("a/b").await, Ok(None));
}

#[tokio::test(flavor = "multi_thread")]
async fn watches_end_with_a_change_or_a_timeout() {
    let (_standin, client) = start().await;
    let long = Duration::from_secs(10);
    let watching = client.watch("k", 0, long);
    let writing = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        client
            .put("k", "x".into(), Condition::Absent)
            .await
            .unwrap()
    };
    let (events, version) = tokio::join!(watching, writing);
    let events = events.unwrap();
    assert_eq!(
        (events.revision, events.events[0].version),
        (version, version)
    );
    let quiet = client
        .watch("k", events.revision, Duration::from_millis(20))
        .await;
    assert!(quiet.unwrap().events.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn outages_and_lost_replies_are_reported_as_unavailable() {
    let (standin, client) = start().await;
    client
        .put("k", "x".into(), Condition::Absent)
        .await
        .unwrap();
    set_faults(
        &standin,
        &Faults {
            down: true,
            ..Faults::default()
        },
    )
    .await;
    assert_eq!(client.get("k").await, Err(Unavailable));
    let write = client.put("k", "y".into(), Condition::Version(1)).await;
    assert_eq!(write, Err(WriteError::Unavailable));
    set_faults(
        &standin,
        &Faults {
            lose_every: 1,
            ..Faults::default()
        },
    )
    .await;
    let write = client.put("k", "z".into(), Condition::Version(1)).await;
    assert_eq!(write, Err(WriteError::Unavailable));
    assert_eq!(
        client.get("k").await.unwrap().unwrap().value,
        "z",
        "the write took effect"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn every_call_is_counted() {
    let (standin, client) = start().await;
    client
        .put("k", "x".into(), Condition::Absent)
        .await
        .unwrap();
    client.get("k").await.unwrap();
    client.watch("k", 0, Duration::ZERO).await.unwrap();
    client.vms(0).await.unwrap();
    let address = standin.address.to_string();
    let counts: Counts = caller::get_json(&Client::new(), &address, "/counts")
        .await
        .unwrap();
    let expected = Counts {
        reads: 1,
        writes: 1,
        watches: 1,
        cloud: 1,
        weights: 0,
    };
    assert_eq!(counts, expected);
}
