//! An entry: the process that callers connect to on a platform of reclaimable VMs.
//!
//! Every VM of the deployment runs one entry, and all are equal. What must last
//! lies in the platform's store; what entries tell each other is lost with them.
//!
//! - [`front`] accepts callers, [`call`] takes one request to a backend server.
//! - [`feeds`] follows the store, [`beats`] tells the other entries.
//! - [`duties`] makes the calls that only one node may make.
//! - [`outside`] is the border to the platform's adapter.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::core::retry::crash::Crashes;
use crate::core::time::Time;
use crate::entry::backends::Backends;
use crate::entry::beats::Beats;
use crate::entry::catalog::Held;
use crate::entry::fleet::Fleet;
use crate::entry::limits::Limits;
use crate::entry::moves::Moves;
use crate::entry::outside::Outside;
use crate::entry::relay::Relay;
use crate::entry::settings::Settings;
use crate::entry::usage::Usage;
use crate::error::Error;
use crate::in_flight::InFlight;
use crate::telemetry;
use crate::telemetry::events::Event;
use crate::telemetry::events::EventLog;
use crate::web::pool::Pool;

pub mod backends;
pub mod beats;
pub mod call;
pub mod catalog;
pub mod duties;
pub mod feeds;
pub mod fleet;
pub mod front;
pub mod limits;
pub mod moves;
pub mod outside;
pub mod relay;
pub mod settings;
pub mod usage;

/// Time between two looks at what has to be done from time to time.
const TICK: Duration = Duration::from_millis(500);

/// Ticks between two upkeeps of metrics and unused connections.
const UPKEEP_TICKS: u32 = 10;

/// Servers that a request may take down before it is refused.
const MAX_CRASHES: usize = 3;

/// Part of the grace time that a stopping entry leaves unused.
const STOP_MARGIN: Duration = Duration::from_millis(800);

/// Time for which a stopping entry still accepts connections, because callers
/// keep the answer that led them here.
const LINGER: Duration = Duration::from_millis(1_500);

/// The parts of an entry, shared by its tasks.
pub struct Entry {
    /// The settings in force.
    pub settings: arc_swap::ArcSwap<Settings>,
    /// The clock.
    pub clock: Clock,
    /// Everything outside.
    pub outside: Outside,
    /// Event lines.
    pub events: EventLog,
    /// The declaration in force.
    pub catalog: Held,
    /// Backend servers.
    pub backends: Backends,
    /// Quotas and retry budgets.
    pub limits: Limits,
    /// Other entries.
    pub beats: Beats,
    /// News of the store from and for other entries.
    pub relay: Relay,
    /// Requests that began to run.
    pub usage: Usage,
    /// Load of the services, from which servers are ordered.
    pub fleet: Fleet,
    /// Version moves.
    pub moves: Moves,
    /// Requests that took down backend servers.
    pub crashes: Mutex<Crashes>,
    /// Kept connections to backend servers.
    pub pool: Pool,
    /// Open requests.
    pub open: InFlight,
    /// Memory counted for open requests, in bytes.
    pub memory: AtomicUsize,
    /// Counts how often the store was out of reach and is back.
    pub store_returned: watch::Sender<u64>,
    /// Becomes true when the entry stops.
    pub leaving: watch::Sender<bool>,
    rng: Mutex<SmallRng>,
}

impl Entry {
    /// Creates an entry that knows nothing yet.
    pub fn new(settings: Settings, outside: Outside, events: EventLog, clock: Clock) -> Self {
        let now = clock.now();
        let seed = crate::core::hash(&[&settings.node, &now.0.to_string()]);
        Self {
            backends: Backends::new(&settings.node, &settings.domain),
            limits: Limits::new(),
            beats: Beats::new(),
            relay: Relay::new(),
            usage: Usage::new(settings.bounds.window),
            fleet: Fleet::new(),
            moves: Moves::new(),
            settings: arc_swap::ArcSwap::from_pointee(settings),
            clock,
            outside,
            events,
            catalog: Held::new(),
            crashes: Mutex::new(Crashes::new().with_limit(MAX_CRASHES)),
            pool: Pool::new(),
            open: InFlight::new(),
            memory: AtomicUsize::new(0),
            store_returned: watch::channel(0).0,
            leaving: watch::channel(false).0,
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Returns a random number.
    pub fn draw(&self) -> u64 {
        self.rng.lock().unwrap().random()
    }

    /// Returns a random number from 0 to 1.
    pub fn draw_part(&self) -> f64 {
        self.rng.lock().unwrap().random()
    }

    /// Returns a random time below `bound`.
    pub fn jitter(&self, bound: Duration) -> Duration {
        bound.mul_f64(self.rng.lock().unwrap().random())
    }

    /// Returns whether the entry is stopping.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns the time of day on which most nodes agree.
    pub fn true_time(&self) -> Time {
        let now = self.clock.now();
        Time(now.0.saturating_add_signed(self.beats.clock_offset(now)))
    }

    /// Puts changed settings into force.
    ///
    /// Addresses stay as they were at the start.
    pub fn reload(&self, settings: Settings) {
        if **self.settings.load() == settings {
            return;
        }
        self.settings.store(Arc::new(settings));
        self.events.write(Event::new("settings_reloaded"));
    }
}

/// Runs an entry until `stop` becomes true, and then stops it gracefully.
///
/// # Errors
///
/// Returns an error if one of its addresses cannot be listened on.
pub async fn run(entry: Arc<Entry>, mut stop: watch::Receiver<bool>) -> Result<(), Error> {
    let settings = entry.settings.load_full();
    let (closing, closed) = watch::channel(false);
    let fronts = front::listen(&entry, closed).await?;
    let socket = beats::bind(settings.peer).await?;
    let tasks = [
        tokio::spawn(feeds::catalog::follow(Arc::clone(&entry))),
        tokio::spawn(feeds::backends::follow(Arc::clone(&entry))),
        tokio::spawn(feeds::moves::follow(Arc::clone(&entry))),
        tokio::spawn(feeds::nodes::follow(Arc::clone(&entry))),
        tokio::spawn(beats::run(Arc::clone(&entry), socket)),
        tokio::spawn(duties::run(Arc::clone(&entry))),
        tokio::spawn(tick(Arc::clone(&entry))),
    ];
    entry.events.write(
        Event::new("started")
            .with("domain", &*settings.domain)
            .with("version", env!("CARGO_PKG_VERSION")),
    );
    crate::web::wait_stopped(&mut stop).await;
    drain(&entry, &closing, settings.bounds.grace).await;
    for task in fronts.iter().chain(&tasks) {
        task.abort();
    }
    entry
        .events
        .write(Event::new("stopped").with("open_requests", entry.open.count()));
    Ok(())
}

/// Lets open requests end, and leads callers elsewhere meanwhile.
async fn drain(entry: &Entry, closing: &watch::Sender<bool>, grace: Duration) {
    let limit = grace.saturating_sub(STOP_MARGIN);
    entry.leaving.send_replace(true);
    entry.events.write(
        Event::new("stopping")
            .with("open_requests", entry.open.count())
            .with_ms("limit_ms", limit),
    );
    let ended = async {
        tokio::time::sleep(LINGER.min(limit / 2)).await;
        closing.send_replace(true);
        entry.open.wait_idle().await;
    };
    // What is still open at the limit is cut by the exit.
    let _ = tokio::time::timeout(limit, ended).await;
}

/// Does what has to be done from time to time.
async fn tick(entry: Arc<Entry>) {
    let metrics = telemetry::metrics::prometheus_handle();
    let mut step = tokio::time::interval(TICK);
    step.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for count in 0_u32.. {
        step.tick().await;
        limits::refresh(&entry);
        backends::expire(&entry);
        fleet::refresh(&entry);
        entry.moves.step(&entry);
        if count % UPKEEP_TICKS == 0 {
            metrics.run_upkeep();
            entry.pool.expire();
        }
    }
}
