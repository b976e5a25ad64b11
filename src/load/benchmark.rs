//! Benchmarks: open-loop load on a deployment and the overhead of a node.

use std::time::Duration;

use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::core::name_map::NameMap;
use crate::error::Error;
use crate::load::caller;
use crate::load::caller::Caller;
use crate::load::caller::Ending;
use crate::load::caller::RequestOutcome;
use crate::load::deploy::Deployment;
use crate::load::deploy::DeploymentSpec;
use crate::load::prompts;
use crate::load::prompts::ChatRequest;
use crate::load::prompts::Corpus;
use crate::standin::engine;

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(10);

/// Latency target for the first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(450);

/// Mean price of a reclaimable VM for an hour, in cents.
const RECLAIMABLE_PRICE: f64 = 65.0;

/// Mean price of an on-demand VM for an hour, in cents.
const ON_DEMAND_PRICE: f64 = 200.0;

/// Largest latency that a histogram records, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Interval between tokens of the streams whose memory is measured.
const TOKEN_INTERVAL: Duration = Duration::from_millis(38);

/// Time after which the buffers of unread streams are full.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Sequential requests by which the added latency is measured.
const PROBES: usize = 400;

/// Parameters of an open-loop load.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Mean rate of requests, per second.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Seed for the arrival times and the contents of the requests.
    pub seed: u64,
    /// Number of distinct prompt prefixes.
    pub prefix_count: usize,
}

/// Results of an open-loop load.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete response.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Complete requests whose first token met the latency target.
    pub good: u64,
    /// Counts of the other endings.
    pub endings: NameMap<u64>,
    /// Median time to the first token, in milliseconds.
    pub first_p50_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_p95_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_p99_ms: f64,
    /// Prompt tokens sent.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engines computed; the others came from their caches.
    pub prefilled: u64,
    /// Cost of the servers for a thousand good requests, in cents.
    pub cost: f64,
}

/// Runs an open-loop load on a new deployment.
///
/// # Errors
///
/// Returns an error if the deployment does not start.
pub async fn run_open_loop(spec: DeploymentSpec, plan: &LoadPlan) -> Result<LoadReport, Error> {
    let deployment = Deployment::start(spec).await?;
    let mut callers = Vec::new();
    for (at, workspace) in deployment.spec.workspaces.iter().enumerate() {
        let mut caller = deployment.caller(workspace.0, at);
        caller.refresh_entries().await;
        callers.push(caller);
    }
    let before = count_prefilled(&deployment).await;
    let (outcomes, prompt_tokens) = send_all(&deployment, &callers, plan).await;
    let after = count_prefilled(&deployment).await;
    let report = summarize(&deployment, plan, &outcomes, prompt_tokens, after - before);
    deployment.stop().await;
    Ok(report)
}

async fn send_all(
    deployment: &Deployment,
    callers: &[Caller],
    plan: &LoadPlan,
) -> (Vec<RequestOutcome>, u64) {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut open = JoinSet::new();
    let mut next = Instant::now();
    let end = next + plan.duration;
    let mut prompt_tokens = 0;
    let mut at = 0;
    while next < end {
        tokio::time::sleep_until(next).await;
        // At least half of the requests share the prefix 0.
        let prefix = if rng.random_bool(0.5) {
            0
        } else {
            rng.random_range(0..plan.prefix_count)
        };
        let body = prompts::chat_body(&ChatRequest {
            model: deployment.spec.model,
            corpus: if rng.random_bool(0.5) {
                Corpus::Survey
            } else {
                Corpus::Label
            },
            index: at,
            prefix,
            max_tokens: rng.random_range(10..60),
            stream: true,
        });
        prompt_tokens += body.split(|byte| *byte == b' ').count() as u64;
        let caller = callers[prefix % callers.len()].clone();
        open.spawn(async move { caller.complete(&body, DEADLINE, None).await });
        let gap = -(1.0 - rng.random::<f64>()).ln() / plan.rate;
        next += Duration::from_secs_f64(gap);
        at += 1;
    }
    let mut outcomes = Vec::new();
    while let Some(Ok(outcome)) = open.join_next().await {
        outcomes.push(outcome);
    }
    (outcomes, prompt_tokens)
}

/// Returns the total number of prompt tokens that the engines have computed.
async fn count_prefilled(deployment: &Deployment) -> u64 {
    let mut total = 0;
    for server in deployment.server_ids(deployment.spec.model, "v1") {
        let address = deployment.backend_address(&server).unwrap_or_default();
        let client = &deployment.client;
        let counts = caller::get_json::<engine::Counts>(client, &address, "/counts").await;
        total += counts.map_or(0, |counts| counts.prefilled);
    }
    total
}

/// Builds a histogram of `times` in microseconds.
fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    // The constructor fails only on invalid bounds, and these are valid.
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3).unwrap_or_else(|_| unreachable!());
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    histogram
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

fn summarize(
    deployment: &Deployment,
    plan: &LoadPlan,
    outcomes: &[RequestOutcome],
    prompt_tokens: u64,
    prefilled: u64,
) -> LoadReport {
    let mut endings: NameMap<u64> = NameMap::new();
    for outcome in outcomes {
        let name = match &outcome.ending {
            Ending::Complete => continue,
            Ending::Refused { reason, .. } => format!("refused {reason}"),
            Ending::Wrong(_) => "wrong".to_string(),
            Ending::Lost(_) => "lost".to_string(),
        };
        *endings.get_or_insert_with(&name.as_str().into(), || 0) += 1;
    }
    let is_complete = |outcome: &&RequestOutcome| outcome.ending == Ending::Complete;
    let complete = outcomes.iter().filter(is_complete).count() as u64;
    let in_target = |outcome: &&RequestOutcome| {
        outcome
            .first_token
            .is_some_and(|first| first <= FIRST_TOKEN_TARGET)
    };
    let good = outcomes
        .iter()
        .filter(is_complete)
        .filter(in_target)
        .count() as u64;
    let first = histogram(outcomes.iter().filter_map(|outcome| outcome.first_token));
    let hours = plan.duration.as_secs_f64() / 3_600.0;
    let engines = deployment.spec.engines;
    let on_demand = engines.div_ceil(3) as f64;
    let price = on_demand * ON_DEMAND_PRICE + (engines as f64 - on_demand) * RECLAIMABLE_PRICE;
    LoadReport {
        sent: outcomes.len() as u64,
        complete,
        good,
        endings,
        first_p50_ms: quantile_ms(&first, 0.50),
        first_p95_ms: quantile_ms(&first, 0.95),
        first_p99_ms: quantile_ms(&first, 0.99),
        prompt_tokens,
        prefilled,
        cost: price * hours / (good as f64 / 1_000.0).max(f64::MIN_POSITIVE),
    }
}

/// Overhead that a node adds to each request.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// Median time to the first token directly from an engine, in milliseconds.
    pub direct_p50_ms: f64,
    /// 99th percentile of the time to the first token directly from an engine, in milliseconds.
    pub direct_p99_ms: f64,
    /// Median time to the first token through a node, in milliseconds.
    pub node_p50_ms: f64,
    /// 99th percentile of the time to the first token through a node, in milliseconds.
    pub node_p99_ms: f64,
    /// Throughput of plain-service calls through one node, per second.
    pub calls_per_s: f64,
    /// Memory that the node uses for each open stream, in bytes.
    pub stream_bytes: f64,
}

/// Measures the overhead that a node adds to each request.
///
/// # Errors
///
/// Returns an error if the deployment does not start.
pub async fn measure_overhead() -> Result<Overhead, Error> {
    // Memory is measured first: later the allocator could reuse freed memory, which
    // would hide new allocations.
    let memory_deployment = Deployment::start(single_engine(TOKEN_INTERVAL)).await?;
    let engine = memory_deployment.backends[0].vm.address.to_string();
    let stream_bytes =
        measure_stream_bytes(&memory_deployment, &engine, &memory_deployment.entries()[0]).await;
    memory_deployment.stop().await;
    let deployment = Deployment::start(single_engine(Duration::from_millis(1))).await?;
    let engine = deployment.backends[0].vm.address.to_string();
    let node = deployment.entries()[0].clone();
    let mut direct = Vec::new();
    let mut through_node = Vec::new();
    // Requests alternate, so that other load on the machine affects both alike.
    for at in 0..PROBES {
        direct.extend(measure_first_token(&deployment, &engine, at).await);
        through_node.extend(measure_first_token(&deployment, &node, at).await);
    }
    let direct = histogram(direct.into_iter());
    let through_node = histogram(through_node.into_iter());
    let calls_per_s = measure_throughput(&deployment, &node).await;
    let overhead = Overhead {
        direct_p50_ms: quantile_ms(&direct, 0.50),
        direct_p99_ms: quantile_ms(&direct, 0.99),
        node_p50_ms: quantile_ms(&through_node, 0.50),
        node_p99_ms: quantile_ms(&through_node, 0.99),
        calls_per_s,
        stream_bytes,
    };
    deployment.stop().await;
    Ok(overhead)
}

/// Returns a deployment of one engine and one node, where each token takes `token_time`.
fn single_engine(token_time: Duration) -> DeploymentSpec {
    let mut spec = DeploymentSpec::labels().with_engines(1).with_nodes(1);
    spec.costs.step_us = token_time.as_micros() as u64;
    spec.costs.request_us = 0;
    spec.costs.prefill_us = 1;
    spec.costs.max_batch = 4_096;
    spec
}

fn stream_request(
    address: &str,
    at: usize,
    max_tokens: u32,
) -> Option<Request<Full<bytes::Bytes>>> {
    let body = prompts::chat_body(&ChatRequest {
        model: "cassia-pool",
        corpus: Corpus::Label,
        index: 0,
        prefix: 0,
        max_tokens,
        stream: true,
    });
    Request::post(format!("http://{address}{}", prompts::chat_path()))
        .header("cassialock-workspace", "printers")
        .header("cassialock-deadline-ms", "900000")
        .header("x-request-id", format!("probe-{at}"))
        .body(Full::new(body.into()))
        .ok()
}

async fn measure_first_token(
    deployment: &Deployment,
    address: &str,
    at: usize,
) -> Option<Duration> {
    let request = stream_request(address, at, 2)?;
    let began = Instant::now();
    let response = deployment
        .client
        .send(request, false, DEADLINE)
        .await
        .ok()?;
    let mut body = response.into_body();
    body.frame().await?.ok()?;
    let first = began.elapsed();
    // Reads the rest so that the connection can be reused.
    let _ = body.collect().await;
    Some(first)
}

/// Returns the throughput of concurrent calls of a plain service, per second.
async fn measure_throughput(deployment: &Deployment, node: &str) -> f64 {
    const CALLERS: usize = 32;
    const SPAN: Duration = Duration::from_secs(3);
    let began = Instant::now();
    let mut open = JoinSet::new();
    for _ in 0..CALLERS {
        let client = deployment.client.clone();
        let url = format!("http://{node}/services/{}/status", deployment.spec.portal);
        open.spawn(async move {
            let mut done = 0_u64;
            while began.elapsed() < SPAN {
                let request = Request::get(&url)
                    .header("cassialock-workspace", "printers")
                    .body(Full::default());
                let Ok(request) = request else { break };
                let Ok(response) = client.send(request, false, DEADLINE).await else {
                    break;
                };
                let is_good = response.status().is_success();
                let _ = response.into_body().collect().await;
                done += u64::from(is_good);
            }
            done
        });
    }
    let mut total = 0;
    while let Some(Ok(done)) = open.join_next().await {
        total += done;
    }
    total as f64 / began.elapsed().as_secs_f64()
}

/// Returns the memory of a stream through the node beyond that of a direct stream, in bytes.
///
/// All streams stay open until the end: memory freed by the first group would be
/// reused by the second one and not show in its measurement.
async fn measure_stream_bytes(deployment: &Deployment, engine: &str, node: &str) -> f64 {
    const STREAMS: usize = 800;
    let mut bytes_per_stream = Vec::new();
    let mut bodies = Vec::new();
    for address in [engine, node] {
        let before = resident_bytes();
        for at in 0..STREAMS {
            let Some(request) = stream_request(address, at, 30_000) else {
                continue;
            };
            let sent = deployment.client.send(request, true, DEADLINE).await;
            if let Ok(response) = sent
                && response.status().is_success()
            {
                let mut body = response.into_body();
                let _ = body.frame().await;
                bodies.push(body);
            }
        }
        // Waits until buffers and queues have filled up to their bounds.
        tokio::time::sleep(SETTLE_TIME).await;
        let opened = bodies.len() - bytes_per_stream.len() * STREAMS;
        bytes_per_stream.push((resident_bytes() - before) / opened.max(1) as f64);
    }
    (bytes_per_stream[1] - bytes_per_stream[0]).max(0.0)
}

/// Returns the resident memory of the current process, in bytes.
pub fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
