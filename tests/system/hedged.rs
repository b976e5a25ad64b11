//! Hedged requests of a node behind the project's own interface.

use std::time::Duration;
use std::time::Instant;

use cassialock::load::caller::Ending;
use cassialock::load::deploy::Deployment;
use cassialock::load::deploy::DeploymentSpec;
use cassialock::load::prompts;
use cassialock::load::prompts::ChatRequest;
use cassialock::load::prompts::Corpus;
use cassialock::standin::engine;
use cassialock::standin::service;
use futures_util::future;
use http::Method;

/// Time of a slow call.
const SLOW_MS: u64 = 1_500;

/// Time that callers wait.
const DEADLINE: Duration = Duration::from_secs(10);

/// Requests from which the usual time is learned.
const LEARNED: usize = 60;

/// Requests that are sent beside each other, so that all are in one window.
const ABREAST: usize = 6;

async fn start(percent: f64) -> Deployment {
    let spec = DeploymentSpec::labels().with_engines(3).with_nodes(1);
    Deployment::start(spec.with_hedging(percent)).await.unwrap()
}

/// Calls the plain service and returns the time that the call took.
async fn call(deployment: &Deployment, key: Option<&str>) -> Duration {
    let (method, path) = match key {
        Some(_) => (Method::POST, "/services/label-portal/approvals"),
        None => (Method::GET, "/services/label-portal/status"),
    };
    let began = Instant::now();
    let caller = deployment.caller("catalogue", 0);
    let called = caller.call(0, method, path, key, DEADLINE).await;
    assert_eq!(called.unwrap().0, 200);
    began.elapsed()
}

/// Sends a completion and returns the time until its first token.
async fn complete(deployment: &Deployment) -> Duration {
    let body = prompts::chat_body(&ChatRequest {
        model: deployment.spec.model,
        corpus: Corpus::Label,
        // Prompts of one size, so that the delay of all of them is learned together.
        index: 0,
        prefix: 0,
        max_tokens: 4,
        stream: true,
    });
    let caller = deployment.caller("catalogue", 0);
    let outcome = caller.complete(&body, DEADLINE, None).await;
    assert_eq!(outcome.ending, Ending::Complete);
    outcome.first_token.unwrap()
}

fn metric(deployment: &Deployment, name: &str) -> f64 {
    let node = &deployment.nodes[0].as_ref().unwrap().node;
    let text = node.render_metrics();
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Guards against calls and completions that wait for a slow server although the operator
/// accepts the extra work, against hedges of what may run once, and against any while the
/// setting is off.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_hedges_what_may_be_repeated_if_the_operator_accepts_it() {
    for percent in [0.0, 20.0] {
        let is_on = percent > 0.0;
        let deployment = start(percent).await;
        let sent_before = metric(&deployment, "cassialock_hedges_sent_total");
        for _ in 0..LEARNED / ABREAST {
            let both = |_| {
                let deployment = &deployment;
                async move { (call(deployment, None).await, complete(deployment).await) }
            };
            future::join_all((0..ABREAST).map(both)).await;
        }
        let portals = deployment.server_ids("label-portal", "v1");
        let faults = service::Faults {
            delay_ms: SLOW_MS,
            ..service::Faults::default()
        };
        deployment
            .set_backend_faults(&portals[0], &faults)
            .await
            .unwrap();
        let engines = deployment.server_ids("cassia-pool", "v1");
        let faults = engine::faults::Faults {
            freeze: true,
            ..engine::faults::Faults::default()
        };
        deployment
            .set_backend_faults(&engines[0], &faults)
            .await
            .unwrap();
        let mut slowest = Duration::ZERO;
        for _ in 0..5 {
            slowest = slowest.max(call(&deployment, None).await);
            if is_on {
                slowest = slowest.max(complete(&deployment).await);
            }
        }
        let sent = metric(&deployment, "cassialock_hedges_sent_total") - sent_before;
        let node = &deployment.nodes[0].as_ref().unwrap().node;
        let text = node.render_metrics();
        let lines = text.lines().filter(|line| line.contains("hedge"));
        lines.for_each(|line| println!("{line}"));
        println!("{percent}%: slowest {slowest:?}, {sent} hedges");
        assert_eq!(sent > 0.0, is_on, "{sent}");
        assert_eq!(slowest < Duration::from_millis(SLOW_MS), is_on);
        for at in 0..4 {
            call(&deployment, Some(&format!("key-{at}"))).await;
        }
        let sent_later = metric(&deployment, "cassialock_hedges_sent_total") - sent_before;
        assert_eq!(sent, sent_later);
        deployment.stop().await;
    }
}
