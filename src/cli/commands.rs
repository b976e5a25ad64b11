//! Implementation of the commands.
//!
//! Each command prints its result and returns the exit code.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::cli::Context;
use crate::cli::client;
use crate::cli::exit;
use crate::cli::table;
use crate::core;
use crate::core::config::Config;
use crate::core::config::head::Change;
use crate::core::config::patch::Patch;
use crate::core::moves::Phase;
use crate::error::Category;
use crate::error::Error;
use crate::node::api::entries::Entries;
use crate::node::moves::Status;
use crate::node::operator_api::ConfigAnswer;
use crate::node::operator_api::PatchAnswer;
use crate::node::operator_api::StatusAnswer;

/// Interval between status polls and between attempts to send a patch.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of attempts to send a patch if its answer is lost or no node is
/// available.
const MAX_PATCH_ATTEMPTS: usize = 4;

/// Delay before a version move starts, so that every node learns of it first.
const MOVE_START_DELAY: Duration = Duration::from_secs(1);

/// A merge patch to the configuration, as requested by an operator.
#[derive(Clone, Debug)]
pub struct PatchRequest {
    /// Configuration number that the patch is based on.
    pub base: u64,
    /// Id of the patch; a hash of base and patch if absent.
    pub id: Option<String>,
    /// Author of the change, recorded in the history.
    pub author: String,
    /// The JSON merge patch.
    pub patch: Value,
}

/// Prints the configuration in force.
///
/// # Errors
///
/// Returns an error if no node answered.
pub fn config_get(context: &Context) -> Result<u8, Error> {
    let answer: ConfigAnswer = context.get("/v1/config")?;
    if context.json {
        context.print_json(&json!({"number": answer.number, "config": answer.config}));
    } else {
        println!("number {}", answer.number);
        println!("{:#}", answer.config);
    }
    Ok(exit::SUCCESS)
}

/// Prints the most recent configuration changes.
///
/// # Errors
///
/// Returns an error if no node answered.
pub fn config_history(context: &Context) -> Result<u8, Error> {
    let changes: Vec<Change> = context.get("/v1/config/history")?;
    if context.json {
        context.print_json(&json!(changes));
        return Ok(exit::SUCCESS);
    }
    let rows: Vec<Vec<String>> = changes
        .iter()
        .map(|change| {
            vec![
                change.number.to_string(),
                change.author.clone(),
                change.id.to_string(),
                change.paths.join(" "),
            ]
        })
        .collect();
    table::print(&["NUMBER", "AUTHOR", "ID", "PATHS"], &rows);
    Ok(exit::SUCCESS)
}

/// Sends a patch and, if `wait` is set, waits until it is in force at every live node.
///
/// # Errors
///
/// Returns an error if the patch was refused, conflicts with another change or
/// could not be stored, or if a node did not apply it before the timeout.
pub fn config_patch(context: &Context, request: &PatchRequest, wait: bool) -> Result<u8, Error> {
    let answer = send_patch(context, request)?;
    if context.json && !wait {
        context.print_json(&json!({"number": answer.number, "already": answer.already}));
    } else if !context.json {
        let outcome = if answer.already {
            "was accepted before"
        } else {
            "is accepted"
        };
        println!("the patch {outcome} as number {}", answer.number);
    }
    if wait {
        wait_until_in_force(context, answer.number)?;
    }
    Ok(exit::SUCCESS)
}

fn send_patch(context: &Context, request: &PatchRequest) -> Result<PatchAnswer, Error> {
    let id = request.id.clone().unwrap_or_else(|| {
        let text = request.patch.to_string();
        format!("{:016x}", core::hash(&[&request.base.to_string(), &text]))
    });
    let patch = Patch {
        id: id.into(),
        base: request.base,
        author: request.author.clone(),
        patch: request.patch.clone(),
    };
    let body = serde_json::to_vec(&patch).map_err(|e| Error::usage("patch", e.to_string()))?;
    let mut last_error = Error::unavailable("node", "no node answered");
    // Nodes recognize a resent patch by its id and accept it only once.
    for _ in 0..MAX_PATCH_ATTEMPTS {
        let result = client::try_nodes(&context.nodes, |node| {
            client::post(node, "/v1/config", body.clone())
        });
        match result {
            Ok(body) => return super::parse("/v1/config", &body),
            Err(e) if e.category() == Category::Unavailable => last_error = e,
            Err(e) => return Err(e),
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(last_error)
}

/// Waits until configuration `number` or a later one is in force at every live node.
fn wait_until_in_force(context: &Context, number: u64) -> Result<(), Error> {
    let deadline = Instant::now() + context.timeout;
    loop {
        let status: StatusAnswer = context.get("/v1/status")?;
        let lagging: Vec<String> = status
            .nodes
            .iter()
            .filter(|node| node.live && node.number.is_none_or(|n| n < number))
            .map(|node| match node.number {
                Some(n) => format!("{} has {n}", node.id),
                None => format!("{} did not answer", node.id),
            })
            .collect();
        if lagging.is_empty() {
            if context.json {
                context.print_json(&json!({"number": number, "nodes": status.nodes.len()}));
            } else {
                println!(
                    "number {number} is in force at {} nodes",
                    status.nodes.len()
                );
            }
            return Ok(());
        }
        if Instant::now() > deadline {
            let text = format!("not yet in force at every node: {}", lagging.join(", "));
            return Err(Error::timed_out(format!("number {number}"), text));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A version move, as requested by an operator.
#[derive(Clone, Debug)]
pub struct MoveRequest {
    /// Name of the move.
    pub name: String,
    /// Service to move.
    pub service: String,
    /// Version to move to.
    pub to: String,
    /// Time from the start of the move to its deadline.
    pub within: Duration,
    /// Configuration number that the move is based on.
    pub base: u64,
    /// Author of the change, recorded in the history.
    pub author: String,
}

/// Adds a version move to the configuration, with a start shortly in the future.
///
/// # Errors
///
/// Returns an error if the service is unknown, or if the change was refused,
/// conflicts with another change or could not be stored.
pub fn move_start(context: &Context, request: &MoveRequest) -> Result<u8, Error> {
    let answer: ConfigAnswer = context.get("/v1/config")?;
    let config: Config = serde_json::from_value(answer.config)
        .map_err(|e| Error::refused("/v1/config", e.to_string()))?;
    let service = config.services.get(&request.service).ok_or_else(|| {
        let text = format!(
            "no service named {}; see `cassialock config get`",
            request.service
        );
        Error::usage("--service", text)
    })?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let start = now + MOVE_START_DELAY;
    let plan = json!({
        "service": request.service,
        "from": &*service.version,
        "to": request.to,
        "start_ms": start.as_millis() as u64,
        "deadline_ms": (start + request.within).as_millis() as u64,
    });
    let request = PatchRequest {
        base: request.base,
        id: None,
        author: request.author.clone(),
        patch: json!({"moves": {request.name.as_str(): plan}}),
    };
    config_patch(context, &request, false)
}

/// Reverts a version move and waits until the change is in force at every live node.
///
/// # Errors
///
/// Returns an error if the move does not exist, if the change was refused,
/// conflicts with another change or could not be stored, or if a node did not
/// apply it before the timeout.
pub fn move_revert(context: &Context, name: &str, author: &str) -> Result<u8, Error> {
    let status = find_move(context, name)?;
    let answer: ConfigAnswer = context.get("/v1/config")?;
    let request = PatchRequest {
        base: answer.number,
        id: None,
        author: author.to_string(),
        patch: json!({"moves": {status.name.as_str(): {"revert": true}}}),
    };
    config_patch(context, &request, true)
}

fn find_move(context: &Context, name: &str) -> Result<Status, Error> {
    let moves: Vec<Status> = context.get("/v1/moves")?;
    moves
        .into_iter()
        .find(|status| status.name == name)
        .ok_or_else(|| Error::usage(name, "no such move; see `cassialock move list`"))
}

/// Prints all version moves.
///
/// # Errors
///
/// Returns an error if no node answered.
pub fn move_list(context: &Context) -> Result<u8, Error> {
    let moves: Vec<Status> = context.get("/v1/moves")?;
    if context.json {
        context.print_json(&json!(moves));
        return Ok(exit::SUCCESS);
    }
    let rows: Vec<Vec<String>> = moves
        .iter()
        .map(|status| {
            vec![
                status.name.clone(),
                phase_text(status.phase).to_string(),
                format!("{} %", status.share),
                status.sentence.clone(),
            ]
        })
        .collect();
    table::print(&["MOVE", "PHASE", "SHARE", "STATUS"], &rows);
    Ok(exit::SUCCESS)
}

const fn phase_text(phase: Phase) -> &'static str {
    match phase {
        Phase::Waiting => "waiting",
        Phase::Running => "running",
        Phase::Done => "done",
        Phase::Reverted => "reverted",
    }
}

/// Prints the status of a version move.
///
/// # Errors
///
/// Returns an error if the move does not exist or no node answered.
pub fn move_status(context: &Context, name: &str) -> Result<u8, Error> {
    let status = find_move(context, name)?;
    print_move(context, &status);
    Ok(exit::SUCCESS)
}

fn print_move(context: &Context, status: &Status) {
    if context.json {
        context.print_json(&json!(status));
    } else {
        println!("{}: {}", phase_text(status.phase), status.sentence);
    }
}

/// Waits until a version move is done or reverted and prints its status.
///
/// # Errors
///
/// Returns an error if the move does not exist, no node answered, or the move was
/// neither done nor reverted before the timeout.
pub fn move_wait(context: &Context, name: &str) -> Result<u8, Error> {
    let deadline = Instant::now() + context.timeout;
    loop {
        let status = find_move(context, name)?;
        match status.phase {
            Phase::Done | Phase::Reverted => {
                print_move(context, &status);
                let is_done = status.phase == Phase::Done;
                return Ok(if is_done {
                    exit::SUCCESS
                } else {
                    exit::REVERTED
                });
            }
            Phase::Waiting | Phase::Running if Instant::now() > deadline => {
                return Err(Error::timed_out(name, status.sentence));
            }
            Phase::Waiting | Phase::Running => std::thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Prints the entry nodes that callers of a workspace should use.
///
/// # Errors
///
/// Returns an error if no node answered.
pub fn entries(context: &Context, workspace: &str) -> Result<u8, Error> {
    let answer: Entries = context.get(&format!("/v1/entries?workspace={workspace}"))?;
    if context.json {
        context.print_json(&json!(answer));
        return Ok(exit::SUCCESS);
    }
    let rows: Vec<Vec<String>> = answer
        .entries
        .iter()
        .map(|entry| {
            vec![
                entry.node.clone(),
                entry.address.clone(),
                entry.domain.clone(),
                entry.weight.to_string(),
            ]
        })
        .collect();
    table::print(&["NODE", "ADDRESS", "FAILURE DOMAIN", "WEIGHT"], &rows);
    Ok(exit::SUCCESS)
}

/// Prints the status of all nodes, backend servers and version moves.
///
/// # Errors
///
/// Returns an error if no node answered.
pub fn status(context: &Context) -> Result<u8, Error> {
    let answer: StatusAnswer = context.get("/v1/status")?;
    if context.json {
        context.print_json(&json!(answer));
        return Ok(exit::SUCCESS);
    }
    println!("number {} is in force at {}", answer.number, answer.node);
    let nodes: Vec<Vec<String>> = answer
        .nodes
        .iter()
        .map(|node| {
            let number = node.number.map_or("-".into(), |n| n.to_string());
            let live = if node.live { "live" } else { "not live" };
            vec![
                node.id.clone(),
                node.domain.clone(),
                node.address.clone(),
                live.into(),
                number,
            ]
        })
        .collect();
    table::print(
        &["NODE", "FAILURE DOMAIN", "ADDRESS", "STATE", "NUMBER"],
        &nodes,
    );
    let servers: Vec<Vec<String>> = answer
        .servers
        .iter()
        .map(|server| {
            let state = if server.leaving { "leaving" } else { "live" };
            vec![
                server.id.clone(),
                server.service.clone(),
                server.version.clone(),
                server.domain.clone(),
                state.into(),
            ]
        })
        .collect();
    table::print(
        &["SERVER", "SERVICE", "VERSION", "FAILURE DOMAIN", "STATE"],
        &servers,
    );
    for item in &answer.moves {
        println!("move {}: {}", item.name, item.sentence);
    }
    Ok(exit::SUCCESS)
}
