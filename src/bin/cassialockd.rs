//! The `cassialockd` node daemon.

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

/// Interval at which the modification time of the settings file is checked.
const RELOAD_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a cassialock node.
// `cassialock::node::settings::SETTINGS` describes each setting.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    /// Validates the settings and exits without starting the node.
    #[options(
        no_short,
        help = "check all settings and exit with code 0 (valid) or 2 (invalid)"
    )]
    check: bool,
    #[options(no_short, help = "name of this node", meta = "NAME")]
    id: Option<String>,
    #[options(no_short, help = "failure domain of this node", meta = "NAME")]
    domain: Option<String>,
    #[options(
        no_short,
        help = "IP address and port for callers and operators",
        meta = "ADDRESS"
    )]
    listen: Option<String>,
    #[options(
        no_short,
        help = "IP address and port for other nodes",
        meta = "ADDRESS"
    )]
    peer_listen: Option<String>,
    #[options(
        no_short,
        help = "IP address and port of the platform's API",
        meta = "ADDRESS"
    )]
    platform: Option<String>,
    #[options(
        no_short,
        help = "initial peer addresses, separated by commas, or none",
        meta = "LIST"
    )]
    seeds: Option<String>,
    #[options(
        no_short,
        help = "service name under which the platform lists node VMs",
        meta = "NAME"
    )]
    node_service: Option<String>,
    #[options(
        no_short,
        help = "routing policy: scored, round-robin, least-loaded or two-choices",
        meta = "POLICY"
    )]
    policy: Option<String>,
    #[options(
        no_short,
        help = "seconds that open requests may take to finish when the node stops",
        meta = "N"
    )]
    drain_s: Option<String>,
    #[options(
        no_short,
        help = "extra work of hedged requests in percent of a service's work, 0 (off) to 20",
        meta = "PERCENT"
    )]
    hedge_extra_work: Option<String>,
    #[options(
        no_short,
        help = "on: order and refuse requests early while servers are short of capacity",
        meta = "SWITCH"
    )]
    admission: Option<String>,
    #[options(
        no_short,
        help = "on: place requests by predicted time where servers state their speed",
        meta = "SWITCH"
    )]
    prediction: Option<String>,
    #[options(no_short, help = "log format: text or json", meta = "FORMAT")]
    log_format: Option<String>,
    #[options(
        no_short,
        help = "log level: error, warn, info, debug or trace",
        meta = "LEVEL"
    )]
    log_level: Option<String>,
}

impl Flags {
    /// Returns the value of the option named `flag`, without dashes.
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
            "hedge-extra-work" => &self.hedge_extra_work,
            "admission" => &self.admission,
            "prediction" => &self.prediction,
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
        return run_entry(&path, &flags);
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

/// Runs an entry with the settings file at `path`, which the platform provides.
///
/// What the file has no field for is read from flags and environment variables.
fn run_entry(path: &Path, flags: &Flags) -> ExitCode {
    let variable = |name: &str| std::env::var(name).ok();
    let features = node::settings::read_features(&|flag| flags.get(flag), &variable);
    let file = settings_file::read(path);
    if let Err(fault) = &file {
        eprintln!("cassialockd: {fault}");
    }
    for fault in features.as_ref().err().into_iter().flatten() {
        eprintln!("cassialockd: {fault}");
    }
    let (Ok(file), Ok(features)) = (file, features) else {
        return ExitCode::from(2);
    };
    let settings = entry::settings::Settings { features, ..file };
    if flags.check {
        println!("all settings are valid");
        return ExitCode::SUCCESS;
    }
    // A single-threaded runtime serves best on a VM with less than one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(serve_entry(path, settings)),
        Err(e) => Err(Report::new(Error::io("runtime", &e))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("cassialockd: {report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the entry until SIGTERM, SIGINT or its own end, and reloads its settings.
async fn serve_entry(
    path: &Path,
    settings: entry::settings::Settings,
) -> Result<(), Report<Error>> {
    // The metrics recorder must be installed before the first counter is used.
    telemetry::metrics::prometheus_handle();
    let clock = Clock::new();
    let events = EventLog::new(settings.node.clone(), clock);
    telemetry::panics::report_to(events.clone());
    let adapter = platform::connect(&settings);
    let entry = Arc::new(Entry::new(settings, adapter, events, clock));
    let signal_error = |e| Report::new(Error::io("signals", &e));
    let mut term = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut int = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let hangup = signal(SignalKind::hangup()).map_err(signal_error)?;
    let (stop_sender, stop_receiver) = watch::channel(false);
    let mut entry_task = tokio::spawn(entry::run(Arc::clone(&entry), stop_receiver));
    let reload_task = tokio::spawn(reload(Arc::clone(&entry), path.to_path_buf(), hangup));
    let early_exit = tokio::select! {
        _ = term.recv() => None,
        _ = int.recv() => None,
        joined = &mut entry_task => Some(joined),
    };
    stop_sender.send_replace(true);
    let joined = match early_exit {
        Some(joined) => joined,
        None => entry_task.await,
    };
    reload_task.abort();
    entry.events.flush().await;
    match joined {
        Ok(result) => result.map_err(|e| Report::new(e).attach("while running the entry")),
        Err(e) => Err(Report::new(Error::unavailable("entry", e.to_string()))),
    }
}

/// Reloads the settings on SIGHUP and when the modification time of the file changes.
async fn reload(entry: Arc<Entry>, path: PathBuf, mut hangup: Signal) {
    let modified_at = |path: &Path| {
        std::fs::metadata(path)
            .and_then(|metadata| metadata.modified())
            .ok()
    };
    let mut last_modified = modified_at(&path);
    loop {
        let is_requested = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(RELOAD_POLL_INTERVAL) => false,
        };
        let current = modified_at(&path);
        if !is_requested && current == last_modified {
            continue;
        }
        last_modified = current;
        match settings_file::read(&path) {
            Ok(settings) => entry.reload(settings),
            Err(fault) => {
                let event = Event::new("settings_unusable").with("reason", fault.to_string());
                entry.events.write(event);
            }
        }
    }
}

fn run(settings: Settings) -> Result<(), Report<Error>> {
    node::logging::init(settings.log_format, settings.log_level).map_err(Report::new)?;
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|e| Report::new(Error::io("runtime", &e)).attach("while starting the runtime"))?;
    runtime.block_on(serve(settings))?;
    // Threads blocked on calls to the platform may be abandoned.
    runtime.shutdown_timeout(Duration::from_millis(100));
    Ok(())
}

/// Runs the node until a signal, a drain request or a reclaim notice, then drains it.
async fn serve(settings: Settings) -> Result<(), Report<Error>> {
    let default_timeout = settings.drain;
    let running = node::start(settings)
        .await
        .map_err(|e| Report::new(e).attach("while starting the node"))?;
    println!(
        "listening {} peers {}",
        running.address, running.peer_address
    );
    let signal_error = |e| Report::new(Error::io("signals", &e));
    let mut term = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut int = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let timeout = tokio::select! {
        _ = term.recv() => default_timeout,
        _ = int.recv() => default_timeout,
        remaining = running.stop_requested() => remaining,
    };
    running.drain(timeout).await;
    Ok(())
}
