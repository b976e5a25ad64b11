//! Faults that need real processes: kills, freezes and dead connections.

use std::time::Duration;

use cassialock::core::table::Table;
use cassialock::core::verdict::Verdict;
use cassialock::load::caller;
use cassialock::load::caller::Ending;
use cassialock::standin::platform;
use cassialock::standin::proxy;
use http::Method;
use serde_json::json;
use tokio::task::JoinSet;

use crate::cluster::Cluster;
use crate::path::DEADLINE;
use crate::path::body;

/// Answers take about this long at the stand-in's pace.
const LONG_ANSWER: u32 = 150;

/// Starts `count` long answers and returns once all are under way.
async fn long_answers(cluster: &Cluster, count: usize) -> JoinSet<Ending> {
    let mut open = JoinSet::new();
    for at in 0..count {
        let caller = cluster.caller(at % 3);
        open.spawn(async move {
            let seen = caller
                .complete(&body(at, LONG_ANSWER, true), DEADLINE, None)
                .await;
            seen.ending
        });
    }
    tokio::time::sleep(Duration::from_millis(250)).await;
    open
}

async fn all_whole(mut open: JoinSet<Ending>, what: &str) {
    while let Some(ending) = open.join_next().await {
        assert_eq!(ending.unwrap(), Ending::Complete, "{what}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_what_happens_to_their_server() {
    let cases = ["killed", "stopped", "silent", "cut", "refusing"];
    for case in cases {
        let cluster = Cluster::start(3, 0).await;
        let open = long_answers(&cluster, 9).await;
        let hit = &cluster.engines[0];
        let faults = proxy::Faults::default();
        match case {
            "killed" => hit.server.signal("KILL"),
            "stopped" => hit.server.signal("STOP"),
            "silent" => {
                cluster
                    .set_proxy(
                        &hit.proxy,
                        &proxy::Faults {
                            silence: 1,
                            ..faults
                        },
                    )
                    .await;
            }
            "cut" => {
                cluster
                    .set_proxy(&hit.proxy, &proxy::Faults { cut: 1, ..faults })
                    .await;
            }
            _ => {
                cluster
                    .set_proxy(
                        &hit.proxy,
                        &proxy::Faults {
                            cut: 1,
                            refuse: true,
                            ..faults
                        },
                    )
                    .await;
            }
        }
        all_whole(open, case).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_gets_sigterm_hands_its_streams_over() {
    let mut cluster = Cluster::start(2, 0).await;
    let open = long_answers(&cluster, 9).await;
    cluster.nodes[0].signal("TERM");
    all_whole(open, "drained").await;
    assert!(cluster.nodes[0].wait(), "a graceful shutdown exits with 0");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_comes_back_without_harm() {
    let cluster = Cluster::start(2, 1).await;
    cluster.nodes[2].signal("STOP");
    cluster
        .wait_status_of(&[0, 1], |status| status.nodes.iter().any(|n| !n.live))
        .await;
    cluster
        .patch(
            "while-frozen",
            1,
            json!({"workspaces": {"late": {"weight": 1, "tokens_per_s": 5}}}),
        )
        .await;
    cluster.nodes[2].signal("CONT");
    cluster
        .wait_status(|status| {
            status.number == 2 && status.nodes.iter().all(|n| n.live && n.number == Some(2))
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_node_gets_the_configuration_from_its_peers_in_an_outage() {
    let mut cluster = Cluster::start(1, 0).await;
    let down = platform::Faults {
        down: true,
        ..platform::Faults::default()
    };
    cluster
        .post(&cluster.platform.address, "/control", &down)
        .await;
    cluster.add_node().await;
    cluster.wait_status(|status| status.number == 1).await;
    let seen = cluster
        .caller(3)
        .complete(&body(1, 10, true), DEADLINE, None)
        .await;
    assert_eq!(seen.ending, Ending::Complete);
}

/// Faults between the node, the store and the plain server for keyed calls.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_run_once_whatever_is_lost() {
    let cases = [
        "none",
        "lost store replies",
        "lost answers",
        "store away",
        "node killed",
    ];
    for case in cases {
        let cluster = Cluster::start(1, 2).await;
        let store = |faults| platform::Faults { ..faults };
        match case {
            "lost store replies" => {
                let faults = store(platform::Faults {
                    lose_every: 2,
                    ..platform::Faults::default()
                });
                cluster
                    .post(&cluster.platform.address, "/control", &faults)
                    .await;
            }
            "store away" => {
                let faults = proxy::Faults {
                    drop_replies: true,
                    ..proxy::Faults::default()
                };
                cluster.set_proxy(&cluster.platform_proxy, &faults).await;
            }
            "lost answers" => {
                for portal in &cluster.portals {
                    cluster
                        .post(
                            &portal.server.address,
                            "/control",
                            &json!({"lose_every": 2}),
                        )
                        .await;
                }
            }
            _ => {}
        }
        let mut ends: Vec<(String, Result<u16, Ending>)> = Vec::new();
        for round in 0..2 {
            if case == "node killed" && round == 1 {
                cluster.nodes[0].signal("KILL");
            }
            let calls = (0..16).map(|at| {
                let caller = cluster.caller(0);
                async move {
                    let key = format!("approval-{at}");
                    let path = "/services/label-portal/approvals";
                    let deadline = Duration::from_secs(4);
                    let end = caller
                        .call(at + round, Method::POST, path, Some(&key), deadline)
                        .await;
                    (key, end.map(|(status, _)| status.as_u16()))
                }
            });
            ends.extend(futures_util::future::join_all(calls).await);
        }
        check_keyed(&cluster, case, &ends).await;
    }
}

async fn check_keyed(cluster: &Cluster, case: &str, ends: &[(String, Result<u16, Ending>)]) {
    let mut runs: Table<u64> = Table::new();
    for portal in &cluster.portals {
        let counted: Table<u64> =
            caller::get_json(&cluster.client, &portal.server.address, "/runs")
                .await
                .unwrap();
        for (key, count) in counted.iter() {
            *runs.get_or_insert_with(key, || 0) += count;
        }
    }
    for (key, count) in runs.iter() {
        assert!(*count <= 1, "{case}: {key} ran {count} times");
    }
    for at in 0..16 {
        let key = format!("approval-{at}");
        let own: Vec<_> = ends
            .iter()
            .filter(|(k, _)| *k == key)
            .map(|(_, end)| end)
            .collect();
        let ran = runs.get(&key).is_some();
        let is_not_run = |end: &&Result<u16, Ending>| {
            matches!(
                end,
                Err(Ending::Refused {
                    verdict: Verdict::NotRun,
                    ..
                })
            )
        };
        assert!(
            !(ran && own.iter().all(is_not_run)),
            "{case}: {key} ran though refused as not run"
        );
        assert!(
            ran || own.iter().all(|end| end.is_err()),
            "{case}: {key} was answered and did not run"
        );
        if case == "none" {
            assert!(own.iter().all(|end| **end == Ok(200)), "{case}: {own:?}");
        }
    }
    if case == "store away" {
        assert!(runs.is_empty(), "{case}: calls ran without a claim");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_who_race_get_one_winner() {
    let cluster = Cluster::start(1, 0).await;
    let patch = |id: usize| json!({"id": format!("race-{id}"), "base": 1, "author": "test", "patch": {"workspaces": {format!("w{id}"): {"weight": 1, "tokens_per_s": 5}}}});
    let sent = (0..9).map(|id| {
        let address = cluster.nodes[id % 3].address.clone();
        let client = cluster.client.clone();
        async move {
            let answer = caller::post_json(&client, &address, "/v1/config", &patch(id)).await;
            answer.unwrap().0.as_u16()
        }
    });
    let mut statuses = futures_util::future::join_all(sent).await;
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409, 409, 409, 409, 409, 409, 409, 409]);
    cluster.wait_status(|status| status.number == 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_patch_whose_reply_was_lost_is_applied_once() {
    let cluster = Cluster::start(1, 0).await;
    let lossy = platform::Faults {
        lose_every: 2,
        ..platform::Faults::default()
    };
    cluster
        .post(&cluster.platform.address, "/control", &lossy)
        .await;
    for number in 1..8 {
        let patch = json!({"workspaces": {"w": {"weight": number, "tokens_per_s": 5}}});
        let body =
            json!({"id": format!("p{number}"), "base": number, "author": "test", "patch": patch});
        // A resend of the same patch is told that it was accepted before.
        for _ in 0..2 {
            cluster
                .post(&cluster.nodes[number % 3].address, "/v1/config", &body)
                .await;
        }
        cluster
            .wait_status(|status| status.number == number as u64 + 1)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_takes_down_two_at_most() {
    let cluster = Cluster::start(5, 0).await;
    for engine in &cluster.engines {
        cluster
            .post(
                &engine.server.address,
                "/control",
                &json!({"crash_on": "forbidden knot"}),
            )
            .await;
    }
    let bad = br#"{"model":"cassia-pool","max_tokens":9,"stream":true,"messages":[{"role":"user","content":"the forbidden knot"}]}"#;
    for at in 0..6 {
        // Its caller sends it again, to another node each time.
        let seen = cluster.caller(at % 3).complete(bad, DEADLINE, None).await;
        let Ending::Refused { reason, verdict } = seen.ending else {
            panic!("{:?}", seen.ending);
        };
        assert_eq!(
            (reason.as_str(), verdict),
            ("crashing_request", Verdict::MayHaveRun)
        );
    }
    let mut alive = 0;
    for engine in &cluster.engines {
        let load: Option<serde_json::Value> =
            caller::get_json(&cluster.client, &engine.server.address, "/load").await;
        alive += usize::from(load.is_some());
    }
    assert_eq!(alive, 3);
    let seen = cluster
        .caller(0)
        .complete(&body(1, 10, true), DEADLINE, None)
        .await;
    assert_eq!(seen.ending, Ending::Complete);
}
