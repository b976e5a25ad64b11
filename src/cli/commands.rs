//! What each command does.

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
use crate::node::callers::entries::Entries;
use crate::node::moves::Status;
use crate::node::operators::ConfigAnswer;
use crate::node::operators::PatchAnswer;
use crate::node::operators::StatusAnswer;

/// Wait between two looks at something that is waited for.
const LOOK_STEP: Duration = Duration::from_millis(200);

/// Tries to send a patch whose answer was lost.
const PATCH_TRIES: usize = 4;

/// Lead time of a version move, so that every node hears of it before it begins.
const MOVE_LEAD: Duration = Duration::from_secs(1);

/// A change to the configuration, as an operator asks for it.
#[derive(Clone, Debug)]
pub struct PatchRequest {
    /// The number that the patch was made against.
    pub base: u64,
    /// Identifies the patch; made from the content if not given.
    pub id: Option<String>,
    /// Who makes the change.
    pub author: String,
    /// The merge patch.
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

/// Prints the last changes.
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

/// Sends a patch and, if asked, waits until it is in force at every node.
///
/// # Errors
///
/// Returns an error if the patch was refused, in conflict or not stored, or if
/// a node does not have it in time.
pub fn config_patch(context: &Context, order: &PatchRequest, waits: bool) -> Result<u8, Error> {
    let answer = send_patch(context, order)?;
    if context.json && !waits {
        context.print_json(&json!({"number": answer.number, "already": answer.already}));
    } else if !context.json {
        let how = if answer.already {
            "was accepted before"
        } else {
            "is accepted"
        };
        println!("the patch {how} as number {}", answer.number);
    }
    if waits {
        wait_number(context, answer.number)?;
    }
    Ok(exit::SUCCESS)
}

fn send_patch(context: &Context, order: &PatchRequest) -> Result<PatchAnswer, Error> {
    let id = order.id.clone().unwrap_or_else(|| {
        let text = order.patch.to_string();
        format!("{:016x}", core::hash(&[&order.base.to_string(), &text]))
    });
    let patch = Patch {
        id: id.into(),
        base: order.base,
        author: order.author.clone(),
        patch: order.patch.clone(),
    };
    let body = serde_json::to_vec(&patch).map_err(|e| Error::usage("patch", e.to_string()))?;
    let mut last = Error::unavailable("node", "no node answered");
    // The id tells the nodes that a resend is the same patch.
    for _ in 0..PATCH_TRIES {
        let sent = client::try_nodes(&context.nodes, |node| {
            client::post(node, "/v1/config", body.clone())
        });
        match sent {
            Ok(body) => return super::parse("/v1/config", &body),
            Err(e) if e.category() == Category::Unavailable => last = e,
            Err(e) => return Err(e),
        }
        std::thread::sleep(LOOK_STEP);
    }
    Err(last)
}

/// Waits until a configuration is in force at every live node.
fn wait_number(context: &Context, number: u64) -> Result<(), Error> {
    let until = Instant::now() + context.timeout;
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
        if Instant::now() > until {
            let text = format!("not in force everywhere yet: {}", lagging.join(", "));
            return Err(Error::timed_out(format!("number {number}"), text));
        }
        std::thread::sleep(LOOK_STEP);
    }
}

/// A version move, as an operator asks for it.
#[derive(Clone, Debug)]
pub struct MoveRequest {
    /// Name of the move.
    pub name: String,
    /// The service.
    pub service: String,
    /// The new version.
    pub to: String,
    /// Time from the beginning to the deadline.
    pub within: Duration,
    /// The number that the move was planned against.
    pub base: u64,
    /// Who makes the change.
    pub author: String,
}

/// Starts a version move.
///
/// # Errors
///
/// Returns an error if the move was refused, in conflict or not stored.
pub fn move_start(context: &Context, order: &MoveRequest) -> Result<u8, Error> {
    let answer: ConfigAnswer = context.get("/v1/config")?;
    let config: Config = serde_json::from_value(answer.config)
        .map_err(|e| Error::refused("/v1/config", e.to_string()))?;
    let service = config.services.get(&order.service).ok_or_else(|| {
        let text = format!(
            "no service named {}; see `cassialock config get`",
            order.service
        );
        Error::usage("--service", text)
    })?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let start = now + MOVE_LEAD;
    let plan = json!({
        "service": order.service,
        "from": &*service.version,
        "to": order.to,
        "start_ms": start.as_millis() as u64,
        "deadline_ms": (start + order.within).as_millis() as u64,
    });
    let order = PatchRequest {
        base: order.base,
        id: None,
        author: order.author.clone(),
        patch: json!({"moves": {order.name.as_str(): plan}}),
    };
    config_patch(context, &order, false)
}

/// Takes a version move back.
///
/// # Errors
///
/// Returns an error if the change was refused, in conflict or not stored.
pub fn move_revert(context: &Context, name: &str, author: &str) -> Result<u8, Error> {
    let status = find_move(context, name)?;
    let answer: ConfigAnswer = context.get("/v1/config")?;
    let order = PatchRequest {
        base: answer.number,
        id: None,
        author: author.to_string(),
        patch: json!({"moves": {status.name.as_str(): {"revert": true}}}),
    };
    config_patch(context, &order, true)
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
    table::print(&["MOVE", "PHASE", "SHARE", "HOW IT STANDS"], &rows);
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

/// Prints how a version move stands.
///
/// # Errors
///
/// Returns an error if there is no such move or no node answered.
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

/// Waits until a version move is done or reverted.
///
/// # Errors
///
/// Returns an error if there is no such move or it is not decided in time.
pub fn move_wait(context: &Context, name: &str) -> Result<u8, Error> {
    let until = Instant::now() + context.timeout;
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
            Phase::Waiting | Phase::Running if Instant::now() > until => {
                return Err(Error::timed_out(name, status.sentence));
            }
            Phase::Waiting | Phase::Running => std::thread::sleep(LOOK_STEP),
        }
    }
}

/// Prints the entries for a workspace.
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

/// Prints how the system stands.
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
