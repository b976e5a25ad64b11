//! Demo that runs a small cluster in one process and injects faults into it.
//!
//! It sends requests throughout, counts how they ended and checks that no
//! accepted request was lost.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use log::LevelFilter;
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;

use crate::cli::exit;
use crate::cli::table;
use crate::core::moves::Phase;
use crate::core::verdict::Verdict;
use crate::error::Error;
use crate::load::caller::Caller;
use crate::load::caller::Ending;
use crate::load::caller::RequestOutcome;
use crate::load::deploy::Deployment;
use crate::load::deploy::DeploymentSpec;
use crate::load::prompts;
use crate::load::prompts::ChatRequest;
use crate::load::prompts::Corpus;
use crate::node::logging;
use crate::standin::engine::faults::Faults;

/// Interval between requests of the background load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Deadline of each request.
const REQUEST_DEADLINE: Duration = Duration::from_secs(20);

/// Time from the start of a version move to its deadline.
const MOVE_DURATION: Duration = Duration::from_secs(10);

/// How long to wait until a version move is done or reverted.
const MOVE_TIMEOUT: Duration = Duration::from_secs(15);

/// Notice period before a backend server is reclaimed.
const NOTICE_PERIOD: Duration = Duration::from_millis(1_500);

/// Number of calls with an idempotency key, each of which is sent to two nodes.
const KEYED_CALLS: usize = 8;

/// Totals of the request outcomes, as seen by the callers.
#[derive(Clone, Debug, Default, Serialize)]
struct Totals {
    accepted: u64,
    #[serde(rename = "whole")]
    completed: u64,
    refused_not_run: u64,
    refused_may_have_run: u64,
    wrong: u64,
    lost: u64,
    #[serde(rename = "returns")]
    reconnects: u64,
    tokens: u64,
    keyed_calls: u64,
    #[serde(rename = "keyed_runs_most")]
    max_runs: u64,
    good_move: String,
    bad_move: String,
    problems: Vec<String>,
}

impl Totals {
    fn add(&mut self, outcome: &RequestOutcome) {
        self.accepted += u64::from(outcome.accepted);
        self.reconnects += u64::from(outcome.reconnects);
        self.tokens += outcome.tokens;
        match &outcome.ending {
            Ending::Complete => self.completed += 1,
            Ending::Refused { reason, verdict } => {
                match verdict {
                    Verdict::NotRun => self.refused_not_run += 1,
                    Verdict::MayHaveRun => self.refused_may_have_run += 1,
                }
                if outcome.accepted {
                    self.problems
                        .push(format!("accepted, then refused: {reason}"));
                }
            }
            Ending::Wrong(reason) => {
                self.wrong += 1;
                self.problems.push(format!("wrong answer: {reason}"));
            }
            Ending::Lost(reason) => {
                self.lost += 1;
                self.problems.push(format!("lost: {reason}"));
            }
        }
    }
}

/// Runs the demo and returns its exit code.
///
/// With `hold`, it injects no faults and runs the cluster until interrupted.
///
/// # Errors
///
/// Returns an error if a component of the cluster failed.
pub fn run(hold: bool, is_json: bool) -> Result<u8, Error> {
    logging::init(logging::Format::Text, LevelFilter::Error)?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| Error::io("runtime", &e))?;
    let code = runtime.block_on(run_demo(hold, is_json))?;
    runtime.shutdown_timeout(Duration::from_millis(100));
    Ok(code)
}

/// Prints a line of text unless the output is JSON.
fn print_text(is_json: bool, text: &str) {
    if !is_json {
        println!("{text}");
    }
}

async fn run_demo(hold: bool, is_json: bool) -> Result<u8, Error> {
    print_text(
        is_json,
        "Starting a platform, 9 model engines, 3 plain servers and 3 nodes.",
    );
    let mut deployment = Deployment::start(DeploymentSpec::designs()).await?;
    if hold {
        return run_until_interrupted(&deployment, is_json).await;
    }
    let totals = Arc::new(Mutex::new(Totals::default()));
    stream_answer(&deployment, is_json, &totals).await;
    let is_stopped = Arc::new(AtomicBool::new(false));
    let load = start_load(&deployment, &is_stopped, &totals);

    inject_faults(&mut deployment, is_json).await?;
    send_duplicate_calls(&deployment, &totals).await;
    let good = run_move(&mut deployment, "good", "v2", Faults::default(), is_json).await?;
    let faults = Faults {
        fail_percent: 40,
        ..Faults::default()
    };
    let bad = run_move(&mut deployment, "bad", "v3", faults, is_json).await?;

    is_stopped.store(true, Ordering::Relaxed);
    // The task fails only if it panics, which then shows in the totals.
    let _ = load.await;
    {
        let mut totals = totals.lock().unwrap();
        totals.good_move = good;
        totals.bad_move = bad;
    }
    let recomputed = recomputed_tokens(&deployment);
    let totals = totals.lock().unwrap().clone();
    print_totals(&totals, recomputed, is_json);
    deployment.stop().await;
    Ok(evaluate(&totals, is_json))
}

/// Sends one streaming request and prints the tokens as they arrive.
async fn stream_answer(deployment: &Deployment, is_json: bool, totals: &Mutex<Totals>) {
    let body = prompts::chat_body(&ChatRequest {
        model: deployment.spec.model,
        corpus: Corpus::Survey,
        index: 0,
        prefix: 0,
        max_tokens: 24,
        stream: true,
    });
    print_text(
        is_json,
        "Streaming an answer to a request for the review of a site survey:",
    );
    let mut print = |text: &str| {
        if !is_json {
            print!("{text}");
            // A failed flush only delays the output.
            let _ = std::io::stdout().flush();
        }
    };
    let outcome = deployment
        .caller("familias", 0)
        .complete(&body, REQUEST_DEADLINE, Some(&mut print))
        .await;
    print_text(is_json, "");
    totals.lock().unwrap().add(&outcome);
}

/// Starts a task that sends requests at a constant rate until `is_stopped` is set.
fn start_load(
    deployment: &Deployment,
    is_stopped: &Arc<AtomicBool>,
    totals: &Arc<Mutex<Totals>>,
) -> tokio::task::JoinHandle<()> {
    let workspaces: Vec<&'static str> = deployment.spec.workspaces.iter().map(|w| w.0).collect();
    let callers: Vec<Caller> = workspaces
        .iter()
        .enumerate()
        .map(|(index, workspace)| deployment.caller(workspace, index))
        .collect();
    let model = deployment.spec.model;
    let is_stopped = Arc::clone(is_stopped);
    let totals = Arc::clone(totals);
    tokio::spawn(async move {
        let mut requests = tokio::task::JoinSet::new();
        let mut index = 0;
        while !is_stopped.load(Ordering::Relaxed) {
            let mut caller = callers[index % callers.len()].clone();
            let totals = Arc::clone(&totals);
            let body = load_body(model, index);
            requests.spawn(async move {
                caller.refresh_entries().await;
                let outcome = caller.complete(&body, REQUEST_DEADLINE, None).await;
                totals.lock().unwrap().add(&outcome);
            });
            index += 1;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        while requests.join_next().await.is_some() {}
    })
}

fn load_body(model: &str, index: usize) -> Vec<u8> {
    let is_survey = index.is_multiple_of(2);
    prompts::chat_body(&ChatRequest {
        model,
        corpus: if is_survey {
            Corpus::Survey
        } else {
            Corpus::Label
        },
        index,
        prefix: index % 6,
        max_tokens: if is_survey { 40 } else { 20 },
        stream: index % 4 != 3,
    })
}

/// Reclaims one backend server, kills another and drains a node while requests run.
async fn inject_faults(deployment: &mut Deployment, is_json: bool) -> Result<(), Error> {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let reclaimed = format!("{}-1", deployment.spec.model);
    print_text(
        is_json,
        &format!("The platform gives {reclaimed} a notice of 1.5 s, then reclaims it."),
    );
    deployment.give_notice(&reclaimed, NOTICE_PERIOD).await?;
    tokio::time::sleep(NOTICE_PERIOD).await;
    deployment.kill_backend(&reclaimed).await;

    let killed = format!("{}-2", deployment.spec.model);
    print_text(is_json, &format!("{killed} is killed without notice."));
    deployment.kill_backend(&killed).await;
    tokio::time::sleep(Duration::from_millis(500)).await;

    print_text(
        is_json,
        "entry-0 drains: its open streams continue on the other nodes.",
    );
    deployment.start_node().await?;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.drain_node(0, Duration::from_secs(10)).await;
    Ok(())
}

/// Sends each deposit to two nodes at once with the same idempotency key.
async fn send_duplicate_calls(deployment: &Deployment, totals: &Mutex<Totals>) {
    let caller = deployment.caller("familias", 0);
    let path = format!(
        "/services/{}{}",
        deployment.spec.portal, deployment.spec.order_path
    );
    let mut max_runs = 0;
    for index in 0..KEYED_CALLS {
        let key = format!("deposit-{index}");
        let call = |entry| caller.call(entry, Method::POST, &path, Some(&key), REQUEST_DEADLINE);
        let (first, second) = tokio::join!(call(0), call(1));
        for answer in [first, second].into_iter().flatten() {
            let receipt: serde_json::Value = serde_json::from_slice(&answer.1).unwrap_or_default();
            max_runs = max_runs.max(receipt["runs"].as_u64().unwrap_or(0));
        }
    }
    let mut totals = totals.lock().unwrap();
    totals.keyed_calls = KEYED_CALLS as u64;
    totals.max_runs = max_runs;
}

/// Starts servers of a new version, moves the service to it, and returns the
/// status sentence of the move.
async fn run_move(
    deployment: &mut Deployment,
    name: &str,
    to: &str,
    faults: Faults,
    is_json: bool,
) -> Result<String, Error> {
    let model = deployment.spec.model;
    for _ in 0..3 {
        deployment.start_engine(to, faults.clone()).await?;
    }
    let from = current_version(deployment, model);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let start = deployment.clock().now().as_millis() + 500;
    let plan = json!({
        "service": model, "from": from, "to": to,
        "start_ms": start, "deadline_ms": start + MOVE_DURATION.as_millis() as u64,
    });
    print_text(
        is_json,
        &format!("Moving {model} from {from} to {to} within 10 s."),
    );
    deployment.patch(json!({"moves": {name: plan}})).await?;
    let deadline = Instant::now() + MOVE_TIMEOUT;
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let status = deployment.status().await;
        let moves = status.map(|status| status.moves).unwrap_or_default();
        let found = moves.into_iter().find(|status| status.name == name);
        let Some(status) = found else { continue };
        let is_finished = matches!(status.phase, Phase::Done | Phase::Reverted);
        if is_finished || Instant::now() > deadline {
            print_text(is_json, &format!("{}.", status.sentence));
            if status.phase == Phase::Done {
                let version = json!({"services": {model: {"version": to}}});
                deployment.patch(version).await?;
            }
            return Ok(status.sentence);
        }
    }
}

fn current_version(deployment: &Deployment, model: &str) -> String {
    let running = deployment.nodes.iter().flatten().next();
    let installed = running.map(|running| running.node.config.load());
    installed
        .and_then(|installed| {
            let service = installed.config.services.get(model)?;
            Some(service.version.to_string())
        })
        .unwrap_or_default()
}

/// Reads the number of recomputed tokens from the metrics of a running node.
fn recomputed_tokens(deployment: &Deployment) -> u64 {
    let Some(running) = deployment.nodes.iter().flatten().next() else {
        return 0;
    };
    running
        .node
        .render_metrics()
        .lines()
        .filter(|line| line.starts_with("cassialock_tokens_recomputed_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

fn print_totals(totals: &Totals, recomputed: u64, is_json: bool) {
    if is_json {
        let mut value = json!(totals);
        value["recomputed"] = recomputed.into();
        println!("{value:#}");
        return;
    }
    let row = |name: &str, value: u64| vec![name.to_string(), value.to_string()];
    let rows = [
        row("requests accepted", totals.accepted),
        row("answered completely", totals.completed),
        row("refused, not run", totals.refused_not_run),
        row("refused, may have run", totals.refused_may_have_run),
        row("wrong answers", totals.wrong),
        row("lost", totals.lost),
        row("stream reconnects", totals.reconnects),
        row("tokens received", totals.tokens),
        row("tokens recomputed", recomputed),
        row("deposits sent twice", totals.keyed_calls),
        row("maximum runs of one deposit", totals.max_runs),
    ];
    println!();
    table::print(&["METRIC", "COUNT"], &rows);
}

/// Prints the problems found and returns the exit code.
///
/// The code is 0 only if no accepted request was lost or answered wrongly, the
/// keyed calls ran once at most, and both version moves ended as expected.
fn evaluate(totals: &Totals, is_json: bool) -> u8 {
    let mut problems = totals.problems.clone();
    if totals.max_runs != 1 {
        problems.push(format!("a deposit ran {} times", totals.max_runs));
    }
    if !totals.good_move.contains("all requests go to it") {
        problems.push(format!(
            "the good version did not take over: {}",
            totals.good_move
        ));
    }
    if !totals.bad_move.contains("was taken back") {
        problems.push(format!(
            "the bad version was not reverted: {}",
            totals.bad_move
        ));
    }
    if totals.completed == 0 {
        problems.push("no request was answered completely".into());
    }
    if problems.is_empty() {
        print_text(is_json, "No accepted request was lost.");
        return exit::SUCCESS;
    }
    for problem in problems.iter().take(10) {
        eprintln!("problem: {problem}");
    }
    exit::FAILED
}

/// Prints the addresses of the cluster and runs it until it is interrupted.
async fn run_until_interrupted(deployment: &Deployment, is_json: bool) -> Result<u8, Error> {
    let entries = deployment.entries();
    let platform = deployment.platform.to_string();
    if is_json {
        println!("{}", json!({"entries": entries, "platform": platform}));
    } else {
        println!("platform {platform}");
        println!("export CASSIALOCK_NODE={}", entries.join(","));
        println!(
            "export ENTRY={}",
            entries.first().map_or("", String::as_str)
        );
        println!("Press Ctrl-C to stop.");
    }
    tokio::signal::ctrl_c()
        .await
        .map_err(|e| Error::io("signal", &e))?;
    Ok(exit::SUCCESS)
}
