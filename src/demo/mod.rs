//! A whole small system in one process, with parts of it broken on purpose.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ::log::LevelFilter;
use http::Method;
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
use crate::load::caller::Seen;
use crate::load::deploy::Deployment;
use crate::load::deploy::Shape;
use crate::load::texts;
use crate::load::texts::Ask;
use crate::load::texts::Kind;
use crate::node::log;
use crate::standin::engine::faults::Faults;

/// Wait between two requests of the background load.
const REQUEST_STEP: Duration = Duration::from_millis(10);

/// Time that callers wait for an answer.
const DEADLINE: Duration = Duration::from_secs(20);

/// Time span of the version moves.
const MOVE_SPAN: Duration = Duration::from_secs(10);

/// Longest wait for a version move to be decided.
const MOVE_WAIT: Duration = Duration::from_secs(15);

/// Notice given to a backend server.
const NOTICE: Duration = Duration::from_millis(1_500);

/// Keyed calls that are made twice.
const KEYED_CALLS: usize = 8;

/// What the callers saw, added up.
#[derive(Clone, Debug, Default, Serialize)]
struct Tally {
    accepted: u64,
    whole: u64,
    refused_not_run: u64,
    refused_may_have_run: u64,
    wrong: u64,
    lost: u64,
    returns: u64,
    tokens: u64,
    keyed_calls: u64,
    keyed_runs_most: u64,
    good_move: String,
    bad_move: String,
    problems: Vec<String>,
}

impl Tally {
    fn add(&mut self, seen: &Seen) {
        self.accepted += u64::from(seen.accepted);
        self.returns += u64::from(seen.returns);
        self.tokens += seen.tokens;
        match &seen.ending {
            Ending::Whole => self.whole += 1,
            Ending::Refused { reason, verdict } => {
                match verdict {
                    Verdict::NotRun => self.refused_not_run += 1,
                    Verdict::MayHaveRun => self.refused_may_have_run += 1,
                }
                if seen.accepted {
                    self.problems
                        .push(format!("accepted, then refused: {reason}"));
                }
            }
            Ending::Wrong(why) => {
                self.wrong += 1;
                self.problems.push(format!("wrong answer: {why}"));
            }
            Ending::Lost(why) => {
                self.lost += 1;
                self.problems.push(format!("lost: {why}"));
            }
        }
    }
}

/// Runs the demo and returns the exit code.
///
/// # Errors
///
/// Returns an error if a part of the system did not start.
pub fn run(holds: bool, is_json: bool) -> Result<u8, Error> {
    log::init(log::Format::Text, LevelFilter::Error)?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| Error::io("runtime", &e))?;
    let code = runtime.block_on(play(holds, is_json))?;
    runtime.shutdown_timeout(Duration::from_millis(100));
    Ok(code)
}

fn say(is_json: bool, text: &str) {
    if !is_json {
        println!("{text}");
    }
}

async fn play(holds: bool, is_json: bool) -> Result<u8, Error> {
    say(
        is_json,
        "Starting a platform, 9 engines, 3 plain servers and 3 nodes.",
    );
    let mut deployment = Deployment::start(Shape::copa_alta()).await?;
    if holds {
        return hold(&deployment, is_json).await;
    }
    let tally = Arc::new(Mutex::new(Tally::default()));
    print_words(&deployment, is_json, &tally).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let load = start_load(&deployment, &is_over, &tally);

    break_things(&mut deployment, is_json).await?;
    call_twice(&deployment, &tally).await;
    let good = play_move(&mut deployment, "good", "v2", Faults::default(), is_json).await?;
    let faults = Faults {
        fail_percent: 40,
        ..Faults::default()
    };
    let bad = play_move(&mut deployment, "bad", "v3", faults, is_json).await?;

    is_over.store(true, Ordering::Relaxed);
    // The load only fails if it panicked, which then shows in the counts.
    let _ = load.await;
    {
        let mut tally = tally.lock().unwrap();
        tally.good_move = good;
        tally.bad_move = bad;
    }
    let recomputed = recomputed(&deployment);
    let tally = tally.lock().unwrap().clone();
    print_tally(&tally, recomputed, is_json);
    deployment.stop().await;
    Ok(verdict(&tally, is_json))
}

/// Prints one answer's words as they come.
async fn print_words(deployment: &Deployment, is_json: bool, tally: &Mutex<Tally>) {
    let body = texts::chat_body(&Ask {
        model: deployment.shape.model,
        kind: Kind::Survey,
        at: 0,
        prefix: 0,
        max_tokens: 24,
        stream: true,
    });
    say(is_json, "A family asks for the review of a site survey:");
    let mut print = |text: &str| {
        if !is_json {
            print!("{text}");
            // Output that cannot be flushed is shown later.
            let _ = std::io::stdout().flush();
        }
    };
    let seen = deployment
        .caller("familias", 0)
        .complete(&body, DEADLINE, Some(&mut print))
        .await;
    say(is_json, "");
    tally.lock().unwrap().add(&seen);
}

/// Sends requests at a steady pace until told to stop.
fn start_load(
    deployment: &Deployment,
    is_over: &Arc<AtomicBool>,
    tally: &Arc<Mutex<Tally>>,
) -> tokio::task::JoinHandle<()> {
    let workspaces: Vec<&'static str> = deployment.shape.workspaces.iter().map(|w| w.0).collect();
    let callers: Vec<Caller> = workspaces
        .iter()
        .enumerate()
        .map(|(at, workspace)| deployment.caller(workspace, at))
        .collect();
    let model = deployment.shape.model;
    let is_over = Arc::clone(is_over);
    let tally = Arc::clone(tally);
    tokio::spawn(async move {
        let mut open = tokio::task::JoinSet::new();
        let mut at = 0;
        while !is_over.load(Ordering::Relaxed) {
            let mut caller = callers[at % callers.len()].clone();
            let tally = Arc::clone(&tally);
            let body = load_body(model, at);
            open.spawn(async move {
                caller.refresh().await;
                let seen = caller.complete(&body, DEADLINE, None).await;
                tally.lock().unwrap().add(&seen);
            });
            at += 1;
            tokio::time::sleep(REQUEST_STEP).await;
        }
        while open.join_next().await.is_some() {}
    })
}

fn load_body(model: &str, at: usize) -> Vec<u8> {
    let is_survey = at.is_multiple_of(2);
    texts::chat_body(&Ask {
        model,
        kind: if is_survey { Kind::Survey } else { Kind::Label },
        at,
        prefix: at % 6,
        max_tokens: if is_survey { 40 } else { 20 },
        stream: at % 4 != 3,
    })
}

/// Takes a backend server and a node away while requests run.
async fn break_things(deployment: &mut Deployment, is_json: bool) -> Result<(), Error> {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let leaving = format!("{}-1", deployment.shape.model);
    say(
        is_json,
        &format!("The platform gives {leaving} a notice of 1.5 s, then takes it."),
    );
    deployment.give_notice(&leaving, NOTICE).await?;
    tokio::time::sleep(NOTICE).await;
    deployment.kill_backend(&leaving).await;

    let dying = format!("{}-2", deployment.shape.model);
    say(is_json, &format!("{dying} goes down without notice."));
    deployment.kill_backend(&dying).await;
    tokio::time::sleep(Duration::from_millis(500)).await;

    say(
        is_json,
        "entry-0 drains: its open streams go on at the other nodes.",
    );
    deployment.start_node().await?;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.drain_node(0, Duration::from_secs(10)).await;
    Ok(())
}

/// Makes each of a few deposits twice, with the same key, at different nodes.
async fn call_twice(deployment: &Deployment, tally: &Mutex<Tally>) {
    let caller = deployment.caller("familias", 0);
    let path = format!(
        "/services/{}{}",
        deployment.shape.portal, deployment.shape.order_path
    );
    let mut runs_most = 0;
    for at in 0..KEYED_CALLS {
        let key = format!("deposit-{at}");
        let call = |entry| caller.call(entry, Method::POST, &path, Some(&key), DEADLINE);
        let (first, second) = tokio::join!(call(0), call(1));
        for answer in [first, second].into_iter().flatten() {
            let receipt: serde_json::Value = serde_json::from_slice(&answer.1).unwrap_or_default();
            runs_most = runs_most.max(receipt["runs"].as_u64().unwrap_or(0));
        }
    }
    let mut tally = tally.lock().unwrap();
    tally.keyed_calls = KEYED_CALLS as u64;
    tally.keyed_runs_most = runs_most;
}

/// Starts servers of a new version, moves to it, and tells how that ended.
async fn play_move(
    deployment: &mut Deployment,
    name: &str,
    to: &str,
    faults: Faults,
    is_json: bool,
) -> Result<String, Error> {
    let model = deployment.shape.model;
    for _ in 0..3 {
        deployment.start_engine(to, faults.clone()).await?;
    }
    let from = current_version(deployment, model);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let start = deployment.clock().now().as_millis() + 500;
    let plan = json!({
        "service": model, "from": from, "to": to,
        "start_ms": start, "deadline_ms": start + MOVE_SPAN.as_millis() as u64,
    });
    say(
        is_json,
        &format!("{model} is to move from {from} to {to} within 10 s."),
    );
    deployment.patch(json!({"moves": {name: plan}})).await?;
    let until = Instant::now() + MOVE_WAIT;
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let status = deployment.status().await;
        let moves = status.map(|status| status.moves).unwrap_or_default();
        let found = moves.into_iter().find(|status| status.name == name);
        let Some(status) = found else { continue };
        let is_decided = matches!(status.phase, Phase::Done | Phase::Reverted);
        if is_decided || Instant::now() > until {
            say(is_json, &format!("{}.", status.sentence));
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

/// Returns the tokens that were computed again, from the nodes' metrics.
fn recomputed(deployment: &Deployment) -> u64 {
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

fn print_tally(tally: &Tally, recomputed: u64, is_json: bool) {
    if is_json {
        let mut value = json!(tally);
        value["recomputed"] = recomputed.into();
        println!("{value:#}");
        return;
    }
    let row = |name: &str, value: u64| vec![name.to_string(), value.to_string()];
    let rows = [
        row("requests accepted", tally.accepted),
        row("answered whole", tally.whole),
        row("refused, not run", tally.refused_not_run),
        row("refused, may have run", tally.refused_may_have_run),
        row("wrong answers", tally.wrong),
        row("lost", tally.lost),
        row("callers who came back to a stream", tally.returns),
        row("tokens received", tally.tokens),
        row("tokens recomputed", recomputed),
        row("deposits made twice", tally.keyed_calls),
        row("most runs of one deposit", tally.keyed_runs_most),
    ];
    println!();
    table::print(&["WHAT", "COUNT"], &rows);
}

/// Returns the exit code: 0 only if nothing accepted was lost.
fn verdict(tally: &Tally, is_json: bool) -> u8 {
    let mut problems = tally.problems.clone();
    if tally.keyed_runs_most != 1 {
        problems.push(format!("a deposit ran {} times", tally.keyed_runs_most));
    }
    if !tally.good_move.contains("all requests go to it") {
        problems.push(format!(
            "the good version did not take over: {}",
            tally.good_move
        ));
    }
    if !tally.bad_move.contains("was taken back") {
        problems.push(format!(
            "the bad version was not taken back: {}",
            tally.bad_move
        ));
    }
    if tally.whole == 0 {
        problems.push("no request was answered".into());
    }
    if problems.is_empty() {
        say(is_json, "Nothing accepted was lost.");
        return exit::SUCCESS;
    }
    for problem in problems.iter().take(10) {
        eprintln!("problem: {problem}");
    }
    exit::FAILED
}

/// Leaves the system running until it is interrupted.
async fn hold(deployment: &Deployment, is_json: bool) -> Result<u8, Error> {
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
        println!("Stop it with Ctrl-C.");
    }
    tokio::signal::ctrl_c()
        .await
        .map_err(|e| Error::io("signal", &e))?;
    Ok(exit::SUCCESS)
}
