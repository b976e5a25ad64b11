//! The node daemon.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use cassialock::clock::Clock;
use cassialock::entry;
use cassialock::entry::Entry;
use cassialock::error::Category;
use cassialock::error::Error;
use cassialock::node;
use cassialock::node::settings::Settings;
use cassialock::platform;
use cassialock::platform::settings_file;
use cassialock::telemetry;
use cassialock::telemetry::events::Event;
use cassialock::telemetry::events::EventLog;
use error_stack::Report;
use gumdrop::Options;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// Time between two looks at whether the settings file has changed.
const RELOAD_STEP: Duration = Duration::from_secs(2);

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
    if let Some(path) = settings_file::path() {
        return run_entry(&path, flags.check);
    }
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

/// Runs an entry on the platform that placed the settings file at `path`.
fn run_entry(path: &Path, is_check: bool) -> ExitCode {
    let settings = match settings_file::read(path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("cassialockd: {fault}");
            return ExitCode::from(2);
        }
    };
    if is_check {
        println!("all settings are valid");
        return ExitCode::SUCCESS;
    }
    // One thread serves best where a VM gives less than a core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let served = match runtime {
        Ok(runtime) => runtime.block_on(serve_entry(path, settings)),
        Err(e) => Err(Report::new(Error::io("runtime", &e))),
    };
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("cassialockd: {report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn serve_entry(
    path: &Path,
    settings: entry::settings::Settings,
) -> Result<(), Report<Error>> {
    // Set before the first counter is used.
    telemetry::metrics::prometheus_handle();
    let clock = Clock::new();
    let events = EventLog::new(settings.node.clone(), clock);
    let adapter = platform::connect(&settings);
    let entry = Arc::new(Entry::new(settings, adapter, events, clock));
    let signalled = |e| Report::new(Error::io("signals", &e));
    let mut term = signal(SignalKind::terminate()).map_err(signalled)?;
    let mut int = signal(SignalKind::interrupt()).map_err(signalled)?;
    let hangup = signal(SignalKind::hangup()).map_err(signalled)?;
    let (stop, stopped) = watch::channel(false);
    let mut running = tokio::spawn(entry::run(Arc::clone(&entry), stopped));
    let reloading = tokio::spawn(reload(Arc::clone(&entry), path.to_path_buf(), hangup));
    let failed = tokio::select! {
        _ = term.recv() => None,
        _ = int.recv() => None,
        ended = &mut running => Some(ended),
    };
    stop.send_replace(true);
    let ended = match failed {
        Some(ended) => ended,
        None => running.await,
    };
    reloading.abort();
    entry.events.flush().await;
    match ended {
        Ok(ended) => ended.map_err(|e| Report::new(e).attach("while the entry ran")),
        Err(e) => Err(Report::new(Error::unavailable("entry", e.to_string()))),
    }
}

/// Reads the settings again at SIGHUP, and when the file has changed without one.
async fn reload(entry: Arc<Entry>, path: PathBuf, mut hangup: Signal) {
    let modified = |path: &Path| {
        std::fs::metadata(path)
            .and_then(|data| data.modified())
            .ok()
    };
    let mut known = modified(&path);
    loop {
        let is_asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(RELOAD_STEP) => false,
        };
        let now = modified(&path);
        if !is_asked && now == known {
            continue;
        }
        known = now;
        match settings_file::read(&path) {
            Ok(settings) => entry.reload(settings),
            Err(fault) => {
                let line = Event::new("settings_unusable").with("reason", fault.to_string());
                entry.events.write(line);
            }
        }
    }
}

fn run(settings: Settings) -> Result<(), Report<Error>> {
    node::logging::init(settings.log_format, settings.log_level).map_err(Report::new)?;
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
        left = running.stop_requested() => left,
    };
    running.drain(limit).await;
    Ok(())
}
