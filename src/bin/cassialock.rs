//! The operators' command line.

use std::process::ExitCode;
use std::time::Duration;

use cassialock::cli;
use cassialock::cli::Context;
use cassialock::cli::commands;
use cassialock::cli::commands::MoveRequest;
use cassialock::cli::commands::PatchRequest;
use cassialock::demo;
use cassialock::error::Error;
use gumdrop::Options;

/// Flags that every command takes.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "nodes to ask, separated by commas (or CASSIALOCK_NODE)",
        meta = "ADDRESSES"
    )]
    node: Option<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(
        no_short,
        help = "seconds to wait for something to happen",
        meta = "N",
        default = "60"
    )]
    wait_s: u64,
    #[options(
        no_short,
        help = "who makes the change (or CASSIALOCK_AUTHOR)",
        meta = "NAME"
    )]
    author: Option<String>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "read or change the configuration")]
    Config(ConfigFlags),
    #[options(help = "move a service to another version")]
    Move(MoveFlags),
    #[options(help = "print which entries a workspace's callers should use")]
    Entries(EntriesFlags),
    #[options(help = "print how nodes, servers and moves stand")]
    Status(NoFlags),
    #[options(help = "run a whole small system in one process and break parts of it")]
    Demo(DemoFlags),
}

#[derive(Debug, Options)]
struct NoFlags {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Debug, Options)]
struct ConfigFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<ConfigCommand>,
}

#[derive(Debug, Options)]
enum ConfigCommand {
    #[options(help = "print the configuration in force")]
    Get(NoFlags),
    #[options(help = "print the last changes")]
    History(NoFlags),
    #[options(help = "apply a merge patch from a file")]
    Patch(PatchFlags),
}

#[derive(Debug, Options)]
struct PatchFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "number that the patch was made against", meta = "N")]
    base: Option<u64>,
    #[options(
        no_short,
        help = "id of the patch; made from its content if not given",
        meta = "ID"
    )]
    id: Option<String>,
    #[options(no_short, help = "wait until it is in force at every node")]
    wait: bool,
    #[options(free, help = "file with the merge patch in JSON")]
    file: Option<String>,
}

#[derive(Debug, Options)]
struct MoveFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<MoveCommand>,
}

#[derive(Debug, Options)]
enum MoveCommand {
    #[options(help = "start a move")]
    Start(StartFlags),
    #[options(help = "print all moves")]
    List(NoFlags),
    #[options(help = "print how a move stands")]
    Status(NameFlags),
    #[options(help = "wait until a move is done (exit 0) or reverted (exit 3)")]
    Wait(NameFlags),
    #[options(help = "take a move back")]
    Revert(NameFlags),
}

#[derive(Debug, Options)]
struct NameFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "name of the move")]
    name: Option<String>,
}

#[derive(Debug, Options)]
struct StartFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "service to move", meta = "NAME")]
    service: Option<String>,
    #[options(no_short, help = "version to move to", meta = "VERSION")]
    to: Option<String>,
    #[options(
        no_short,
        help = "seconds until the move must be done or reverted",
        meta = "N"
    )]
    within_s: Option<u64>,
    #[options(
        no_short,
        help = "number that the move was planned against",
        meta = "N"
    )]
    base: Option<u64>,
    #[options(free, help = "name of the move")]
    name: Option<String>,
}

#[derive(Debug, Options)]
struct EntriesFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "name of the workspace")]
    workspace: Option<String>,
}

#[derive(Debug, Options)]
struct DemoFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "leave it running and print the addresses")]
    hold: bool,
    #[options(no_short, help = "print the table as JSON")]
    json: bool,
}

fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    match run(&flags) {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("cassialock: {e}");
            ExitCode::from(cli::exit_code(e.category()))
        }
    }
}

/// Returns the value of a flag that must be given.
fn need<T: Clone>(value: Option<&T>, flag: &str) -> Result<T, Error> {
    value
        .cloned()
        .ok_or_else(|| Error::usage(flag, "must be given; see --help"))
}

fn run(flags: &Flags) -> Result<u8, Error> {
    let variable = |name: &str| std::env::var(name).ok();
    let nodes = flags.node.clone().or_else(|| variable("CASSIALOCK_NODE"));
    let context = Context {
        nodes: nodes
            .iter()
            .flat_map(|list| list.split(','))
            .map(Into::into)
            .collect(),
        json: flags.json,
        timeout: Duration::from_secs(flags.wait_s),
    };
    let author = flags
        .author
        .clone()
        .or_else(|| variable("CASSIALOCK_AUTHOR"))
        .unwrap_or_else(|| "unknown".into());
    match &flags.command {
        Some(Command::Config(config)) => run_config(&context, config, author),
        Some(Command::Move(item)) => run_move(&context, item, author),
        Some(Command::Entries(entries)) => {
            commands::entries(&context, &need(entries.workspace.as_ref(), "WORKSPACE")?)
        }
        Some(Command::Status(_)) => commands::status(&context),
        Some(Command::Demo(demo)) => demo::run(demo.hold, demo.json || flags.json),
        None => Err(Error::usage("command", "none given; see --help")),
    }
}

fn run_config(context: &Context, flags: &ConfigFlags, author: String) -> Result<u8, Error> {
    match &flags.command {
        Some(ConfigCommand::Get(_)) => commands::config_get(context),
        Some(ConfigCommand::History(_)) => commands::config_history(context),
        Some(ConfigCommand::Patch(patch)) => {
            let file = need(patch.file.as_ref(), "FILE")?;
            let text = std::fs::read_to_string(&file).map_err(|e| Error::io(&file, &e))?;
            let order = PatchRequest {
                base: need(patch.base.as_ref(), "--base")?,
                id: patch.id.clone(),
                author,
                patch: serde_json::from_str(&text)
                    .map_err(|e| Error::usage(&file, e.to_string()))?,
            };
            commands::config_patch(context, &order, patch.wait)
        }
        None => Err(Error::usage(
            "config",
            "say get, patch or history; see --help",
        )),
    }
}

fn run_move(context: &Context, flags: &MoveFlags, author: String) -> Result<u8, Error> {
    match &flags.command {
        Some(MoveCommand::Start(start)) => {
            let order = MoveRequest {
                name: need(start.name.as_ref(), "NAME")?,
                service: need(start.service.as_ref(), "--service")?,
                to: need(start.to.as_ref(), "--to")?,
                within: Duration::from_secs(need(start.within_s.as_ref(), "--within-s")?),
                base: need(start.base.as_ref(), "--base")?,
                author,
            };
            commands::move_start(context, &order)
        }
        Some(MoveCommand::List(_)) => commands::move_list(context),
        Some(MoveCommand::Status(name)) => {
            commands::move_status(context, &need(name.name.as_ref(), "NAME")?)
        }
        Some(MoveCommand::Wait(name)) => {
            commands::move_wait(context, &need(name.name.as_ref(), "NAME")?)
        }
        Some(MoveCommand::Revert(name)) => {
            commands::move_revert(context, &need(name.name.as_ref(), "NAME")?, &author)
        }
        None => Err(Error::usage(
            "move",
            "say start, list, status, wait or revert; see --help",
        )),
    }
}
