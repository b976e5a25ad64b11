//! The `cassialock` command line for operators.

use std::process::ExitCode;
use std::time::Duration;

use cassialock::cli;
use cassialock::cli::Context;
use cassialock::cli::commands;
use cassialock::cli::commands::MoveRequest;
use cassialock::cli::commands::PatchRequest;
use cassialock::cli::explain;
use cassialock::demo;
use cassialock::error::Error;
use cassialock::node::explain::Question;
use gumdrop::Options;

/// Reads and changes the state of a cassialock cluster.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "node addresses to try in order, separated by commas (or CASSIALOCK_NODE)",
        meta = "ADDRESSES"
    )]
    node: Option<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(
        no_short,
        help = "seconds to wait for a change to take effect",
        meta = "N",
        default = "60"
    )]
    wait_s: u64,
    #[options(
        no_short,
        help = "author of the change (or CASSIALOCK_AUTHOR)",
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
    #[options(help = "print the entry nodes that callers of a workspace should use")]
    Entries(EntriesFlags),
    #[options(help = "print the status of nodes, backend servers and moves")]
    Status(NoFlags),
    #[options(help = "print where a request would go now and why, without sending it")]
    Explain(ExplainFlags),
    #[options(help = "run a small cluster in one process and inject faults into it")]
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
    #[options(help = "print the most recent changes")]
    History(NoFlags),
    #[options(help = "apply a merge patch from a file")]
    Patch(PatchFlags),
}

#[derive(Debug, Options)]
struct PatchFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "configuration number that the patch is based on",
        meta = "N"
    )]
    base: Option<u64>,
    #[options(
        no_short,
        help = "id of the patch; derived from its base and content if not given",
        meta = "ID"
    )]
    id: Option<String>,
    #[options(no_short, help = "wait until the patch is in force at every live node")]
    wait: bool,
    #[options(free, help = "file that contains the JSON merge patch")]
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
    #[options(help = "print the status of a move")]
    Status(NameFlags),
    #[options(help = "wait until a move is done (exit 0) or reverted (exit 3)")]
    Wait(NameFlags),
    #[options(help = "revert a move and wait until the change is in force")]
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
        help = "configuration number that the move is based on",
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
struct ExplainFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "service of the request", meta = "NAME")]
    service: Option<String>,
    #[options(no_short, help = "workspace of the request", meta = "NAME")]
    workspace: Option<String>,
    #[options(
        no_short,
        help = "maximum number of tokens in the completion",
        meta = "N",
        default = "128"
    )]
    max_tokens: u32,
    #[options(free, help = "prompt, for model services")]
    prompt: Option<String>,
}

#[derive(Debug, Options)]
struct DemoFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "inject no faults; print the addresses and run until interrupted"
    )]
    hold: bool,
    #[options(no_short, help = "print the results as JSON")]
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

/// Returns the value of a required option, or a usage error that names `flag`.
fn require<T: Clone>(value: Option<&T>, flag: &str) -> Result<T, Error> {
    value
        .cloned()
        .ok_or_else(|| Error::usage(flag, "must be given; see --help"))
}

fn run(flags: &Flags) -> Result<u8, Error> {
    let env_var = |name: &str| std::env::var(name).ok();
    let nodes = flags.node.clone().or_else(|| env_var("CASSIALOCK_NODE"));
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
        .or_else(|| env_var("CASSIALOCK_AUTHOR"))
        .unwrap_or_else(|| "unknown".into());
    match &flags.command {
        Some(Command::Config(flags)) => run_config(&context, flags, author),
        Some(Command::Move(flags)) => run_move(&context, flags, author),
        Some(Command::Entries(entries)) => {
            commands::entries(&context, &require(entries.workspace.as_ref(), "WORKSPACE")?)
        }
        Some(Command::Status(_)) => commands::status(&context),
        Some(Command::Explain(flags)) => {
            let question = Question {
                service: require(flags.service.as_ref(), "--service")?,
                workspace: require(flags.workspace.as_ref(), "--workspace")?,
                prompt: flags.prompt.clone().unwrap_or_default(),
                max_tokens: flags.max_tokens,
            };
            explain::explain(&context, &question)
        }
        Some(Command::Demo(demo)) => demo::run(demo.hold, demo.json || flags.json),
        None => Err(Error::usage(
            "command",
            "a subcommand is required; see --help",
        )),
    }
}

fn run_config(context: &Context, flags: &ConfigFlags, author: String) -> Result<u8, Error> {
    match &flags.command {
        Some(ConfigCommand::Get(_)) => commands::config_get(context),
        Some(ConfigCommand::History(_)) => commands::config_history(context),
        Some(ConfigCommand::Patch(patch)) => {
            let file = require(patch.file.as_ref(), "FILE")?;
            let text = std::fs::read_to_string(&file).map_err(|e| Error::io(&file, &e))?;
            let request = PatchRequest {
                base: require(patch.base.as_ref(), "--base")?,
                id: patch.id.clone(),
                author,
                patch: serde_json::from_str(&text)
                    .map_err(|e| Error::usage(&file, e.to_string()))?,
            };
            commands::config_patch(context, &request, patch.wait)
        }
        None => Err(Error::usage(
            "config",
            "expected get, patch or history; see --help",
        )),
    }
}

fn run_move(context: &Context, flags: &MoveFlags, author: String) -> Result<u8, Error> {
    match &flags.command {
        Some(MoveCommand::Start(start)) => {
            let request = MoveRequest {
                name: require(start.name.as_ref(), "NAME")?,
                service: require(start.service.as_ref(), "--service")?,
                to: require(start.to.as_ref(), "--to")?,
                within: Duration::from_secs(require(start.within_s.as_ref(), "--within-s")?),
                base: require(start.base.as_ref(), "--base")?,
                author,
            };
            commands::move_start(context, &request)
        }
        Some(MoveCommand::List(_)) => commands::move_list(context),
        Some(MoveCommand::Status(name)) => {
            commands::move_status(context, &require(name.name.as_ref(), "NAME")?)
        }
        Some(MoveCommand::Wait(name)) => {
            commands::move_wait(context, &require(name.name.as_ref(), "NAME")?)
        }
        Some(MoveCommand::Revert(name)) => {
            commands::move_revert(context, &require(name.name.as_ref(), "NAME")?, &author)
        }
        None => Err(Error::usage(
            "move",
            "expected start, list, status, wait or revert; see --help",
        )),
    }
}
