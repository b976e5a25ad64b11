//! Fault tests that need real processes: killed or paused processes and dead
//! connections.

use std::time::Duration;

use cassialock::core::name_map::NameMap;
use cassialock::core::verdict::Verdict;
use cassialock::load::caller;
use cassialock::load::caller::Ending;
use cassialock::standin::platform;
use cassialock::standin::proxy;
use http::Method;
use serde_json::json;
use tokio::task::JoinSet;

use crate::api::DEADLINE;
use crate::api::chat_body;
use crate::cluster::Cluster;

/// Tokens of a streamed response that is still in progress when the fault is injected.
const LONG_ANSWER_TOKENS: u32 = 150;

/// Starts `count` requests with long answers and waits until the answers are being
/// streamed.
async fn start_long_answers(cluster: &Cluster, count: usize) -> JoinSet<Ending> {
    let mut streams = JoinSet::new();
    for index in 0..count {
        let caller = cluster.caller(index % 3);
        streams.spawn(async move {
            let outcome = caller
                .complete(&chat_body(index, LONG_ANSWER_TOKENS, true), DEADLINE, None)
                .await;
            outcome.ending
        });
    }
    tokio::time::sleep(Duration::from_millis(250)).await;
    streams
}

async fn assert_all_complete(mut streams: JoinSet<Ending>, case: &str) {
    while let Some(ending) = streams.join_next().await {
        assert_eq!(ending.unwrap(), Ending::Complete, "{case}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_faults_of_their_server() {
    let cases = ["killed", "stopped", "silent", "cut", "refusing"];
    for case in cases {
        let cluster = Cluster::start(3, 0).await;
        let streams = start_long_answers(&cluster, 9).await;
        let backend = &cluster.engines[0];
        let faults = proxy::Faults::default();
        match case {
            "killed" => backend.server.signal("KILL"),
            "stopped" => backend.server.signal("STOP"),
            "silent" => {
                cluster
                    .set_proxy(
                        &backend.proxy,
                        &proxy::Faults {
                            silence: 1,
                            ..faults
                        },
                    )
                    .await;
            }
            "cut" => {
                cluster
                    .set_proxy(&backend.proxy, &proxy::Faults { cut: 1, ..faults })
                    .await;
            }
            _ => {
                cluster
                    .set_proxy(
                        &backend.proxy,
                        &proxy::Faults {
                            cut: 1,
                            refuse: true,
                            ..faults
                        },
                    )
                    .await;
            }
        }
        assert_all_complete(streams, case).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_transfers_its_streams_on_sigterm() {
    let mut cluster = Cluster::start(2, 0).await;
    let streams = start_long_answers(&cluster, 9).await;
    cluster.nodes[0].signal("TERM");
    assert_all_complete(streams, "drained").await;
    assert!(
        cluster.nodes[0].wait(),
        "a graceful shutdown must exit with status 0"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_catches_up_after_it_resumes() {
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
    let faults = platform::Faults {
        down: true,
        ..platform::Faults::default()
    };
    cluster
        .post(&cluster.platform.address, "/control", &faults)
        .await;
    cluster.add_node().await;
    cluster.wait_status(|status| status.number == 1).await;
    let outcome = cluster
        .caller(3)
        .complete(&chat_body(1, 10, true), DEADLINE, None)
        .await;
    assert_eq!(outcome.ending, Ending::Complete);
}

/// Sends keyed calls in two rounds, the second to another node, while faults hit the
/// store, the plain servers or a node. No call may run twice, and a call that ran
/// must not be refused as not run in both rounds.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_run_at_most_once_despite_faults() {
    let cases = [
        "none",
        "lost store replies",
        "lost answers",
        "store unreachable",
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
            "store unreachable" => {
                let faults = proxy::Faults {
                    drop_replies: true,
                    ..proxy::Faults::default()
                };
                cluster.set_proxy(&cluster.platform_proxy, &faults).await;
            }
            "lost answers" => {
                for backend in &cluster.plain_servers {
                    cluster
                        .post(
                            &backend.server.address,
                            "/control",
                            &json!({"lose_every": 2}),
                        )
                        .await;
                }
            }
            _ => {}
        }
        let mut results: Vec<(String, Result<u16, Ending>)> = Vec::new();
        for round in 0..2 {
            if case == "node killed" && round == 1 {
                cluster.nodes[0].signal("KILL");
            }
            let calls = (0..16).map(|index| {
                let caller = cluster.caller(0);
                async move {
                    let key = format!("approval-{index}");
                    let path = "/services/label-portal/approvals";
                    let deadline = Duration::from_secs(4);
                    let result = caller
                        .call(index + round, Method::POST, path, Some(&key), deadline)
                        .await;
                    (key, result.map(|(status, _)| status.as_u16()))
                }
            });
            results.extend(futures_util::future::join_all(calls).await);
        }
        assert_runs_match_results(&cluster, case, &results).await;
    }
}

async fn assert_runs_match_results(
    cluster: &Cluster,
    case: &str,
    results: &[(String, Result<u16, Ending>)],
) {
    let mut runs: NameMap<u64> = NameMap::new();
    for backend in &cluster.plain_servers {
        let counted: NameMap<u64> =
            caller::get_json(&cluster.client, &backend.server.address, "/runs")
                .await
                .unwrap();
        for (key, count) in counted.iter() {
            *runs.get_or_insert_with(key, || 0) += count;
        }
    }
    for (key, count) in runs.iter() {
        assert!(*count <= 1, "{case}: {key} ran {count} times");
    }
    for index in 0..16 {
        let key = format!("approval-{index}");
        let key_results: Vec<_> = results
            .iter()
            .filter(|(k, _)| *k == key)
            .map(|(_, result)| result)
            .collect();
        let ran = runs.get(&key).is_some();
        let is_not_run = |result: &&Result<u16, Ending>| {
            matches!(
                result,
                Err(Ending::Refused {
                    verdict: Verdict::NotRun,
                    ..
                })
            )
        };
        assert!(
            !(ran && key_results.iter().all(is_not_run)),
            "{case}: {key} ran although it was refused as not run"
        );
        assert!(
            ran || key_results.iter().all(|result| result.is_err()),
            "{case}: {key} was answered but did not run"
        );
        if case == "none" {
            assert!(
                key_results.iter().all(|result| **result == Ok(200)),
                "{case}: {key_results:?}"
            );
        }
    }
    if case == "store unreachable" {
        assert!(runs.is_empty(), "{case}: calls ran without a claim");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_patches_is_accepted() {
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
    let faults = platform::Faults {
        lose_every: 2,
        ..platform::Faults::default()
    };
    cluster
        .post(&cluster.platform.address, "/control", &faults)
        .await;
    for number in 1..8 {
        let patch = json!({"workspaces": {"w": {"weight": number, "tokens_per_s": 5}}});
        let body =
            json!({"id": format!("p{number}"), "base": number, "author": "test", "patch": patch});
        // The second request resends a patch that was already accepted.
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
    let crashing_body = br#"{"model":"cassia-pool","max_tokens":9,"stream":true,"messages":[{"role":"user","content":"the forbidden knot"}]}"#;
    for index in 0..6 {
        // The caller resends the request to a different node each time.
        let outcome = cluster
            .caller(index % 3)
            .complete(crashing_body, DEADLINE, None)
            .await;
        let Ending::Refused { reason, verdict } = outcome.ending else {
            panic!("{:?}", outcome.ending);
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
    let outcome = cluster
        .caller(0)
        .complete(&chat_body(1, 10, true), DEADLINE, None)
        .await;
    assert_eq!(outcome.ending, Ending::Complete);
}
