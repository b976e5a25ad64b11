//! The node daemon.

use std::process::ExitCode;
use std::time::Duration;

use cassialock::error::Category;
use cassialock::error::Error;
use cassialock::node;
use cassialock::node::settings::Settings;
use error_stack::Report;
use gumdrop::Options;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Flags of `cassialockd`; `settings::SETTINGS` says what each does.
#[derive(Debug, Options)]
struct Flags {
    /// Prints the help text.
    #[options(help = "print this help")]
    help: bool,
    /// Validates the settings and exits.
    #[options(no_short, help = "check all settings and exit with 0 or 2")]
    check: bool,
    /// Name of this node.
    #[options(no_short, help = "name of this node", meta = "NAME")]
    id: Option<String>,
    /// Failure domain.
    #[options(no_short, help = "failure domain of this node", meta = "NAME")]
    domain: Option<String>,
    /// Address for callers.
    #[options(
        no_short,
        help = "IP number and port for callers and operators",
        meta = "ADDRESS"
    )]
    listen: Option<String>,
    /// Address for other nodes.
    #[options(
        no_short,
        help = "IP number and port for other nodes",
        meta = "ADDRESS"
    )]
    peer_listen: Option<String>,
    /// Address of the platform.
    #[options(
        no_short,
        help = "IP number and port of the platform's API",
        meta = "ADDRESS"
    )]
    platform: Option<String>,
    /// Peer addresses.
    #[options(
        no_short,
        help = "peer addresses to begin with, or none",
        meta = "LIST"
    )]
    seeds: Option<String>,
    /// Service name of nodes.
    #[options(
        no_short,
        help = "service name of nodes in the list of VMs",
        meta = "NAME"
    )]
    node_service: Option<String>,
    /// Routing policy.
    #[options(
        no_short,
        help = "scored, round-robin, least-loaded or two-choices",
        meta = "POLICY"
    )]
    policy: Option<String>,
    /// Time for open requests.
    #[options(
        no_short,
        help = "seconds for open requests when the node stops",
        meta = "N"
    )]
    drain_s: Option<String>,
    /// Log format.
    #[options(no_short, help = "text or json", meta = "FORMAT")]
    log_format: Option<String>,
    /// Log level.
    #[options(no_short, help = "error, warn, info, debug or trace", meta = "LEVEL")]
    log_level: Option<String>,
}

impl Flags {
    fn get(&self, flag: &str) -> Option<String> {
        let value = match flag {
            "id" => &self.id,
            "domain" => &self.domain,
            "listen" => &self.listen,
            "peer-listen" => &self.peer_listen,
            "platform" => &self.platform,
            "seeds" => &self.seeds,
            "node-service" => &self.node_service,
            "policy" => &self.policy,
            "drain-s" => &self.drain_s,
            "log-format" => &self.log_format,
            "log-level" => &self.log_level,
            _ => &None,
        };
        value.clone()
    }
}

fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    let read = Settings::read(&|flag| flags.get(flag), &|name| std::env::var(name).ok());
    let settings = match read {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("cassialockd: {fault}");
            }
            return ExitCode::from(2);
        }
    };
    if flags.check {
        println!("all settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("cassialockd: {report:?}");
            match report.current_context().category() {
                Category::Usage => ExitCode::from(2),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn run(settings: Settings) -> Result<(), Report<Error>> {
    node::log::init(settings.log_format, settings.log_level).map_err(Report::new)?;
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|e| Report::new(Error::io("runtime", &e)).attach("while the runtime started"))?;
    runtime.block_on(serve(settings))?;
    // Threads that wait at the platform need not be waited for.
    runtime.shutdown_timeout(Duration::from_millis(100));
    Ok(())
}

async fn serve(settings: Settings) -> Result<(), Report<Error>> {
    let drain = settings.drain;
    let running = node::start(settings)
        .await
        .map_err(|e| Report::new(e).attach("while the node started"))?;
    println!(
        "listening {} peers {}",
        running.address, running.peer_address
    );
    let signalled = |e| Report::new(Error::io("signals", &e));
    let mut term = signal(SignalKind::terminate()).map_err(signalled)?;
    let mut int = signal(SignalKind::interrupt()).map_err(signalled)?;
    let limit = tokio::select! {
        _ = term.recv() => drain,
        _ = int.recv() => drain,
        left = running.stop_asked() => left,
    };
    running.drain(limit).await;
    Ok(())
}
