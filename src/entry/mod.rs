//! Entry nodes: the processes that callers connect to on a platform of reclaimable VMs.
//!
//! Every VM of the deployment runs one entry, and all entries are equal. Durable
//! state is kept in the platform's store; state exchanged between entries is
//! lost when they stop.
//!
//! - [`listeners`] accepts connections, [`call`] forwards a request to a backend server.
//! - [`feeds`] watches the store, [`membership`] exchanges heartbeats with other entries.
//! - [`leader`] makes the calls that are reserved for the lease holder.
//! - [`adapter`] declares the traits that a platform adapter implements.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use futures_util::FutureExt;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::core::Name;
use crate::core::catalog::WorkspaceHistory;
use crate::core::store_contact::StoreContact;
use crate::core::time::Time;
use crate::entry::adapter::Adapter;
use crate::entry::adapter::DeclaredMove;
use crate::entry::adapter::ObjectKind;
use crate::entry::admission::Admission;
use crate::entry::backends::Backends;
use crate::entry::catalog::CurrentCatalog;
use crate::entry::hedging::Hedging;
use crate::entry::limits::Limits;
use crate::entry::membership::Membership;
use crate::entry::membership::datagrams;
use crate::entry::moves::Moves;
use crate::entry::quarantine::CrashGuard;
use crate::entry::relay::Relay;
use crate::entry::service_load::ServiceLoad;
use crate::entry::settings::Settings;
use crate::entry::usage::Usage;
use crate::error::Error;
use crate::in_flight::InFlight;
use crate::telemetry;
use crate::telemetry::events::Event;
use crate::telemetry::events::EventLog;
use crate::web::pool::Pool;

pub mod adapter;
pub mod admission;
pub mod backends;
pub mod call;
pub mod catalog;
pub mod evacuations;
pub mod feeds;
pub mod hedging;
pub mod leader;
pub mod limits;
pub mod listeners;
pub mod membership;
pub mod moves;
pub mod notices;
pub mod probes;
pub mod quarantine;
pub mod relay;
pub mod service_load;
pub mod settings;
pub mod speeds;
pub mod usage;
pub mod workspaces;

/// Interval of periodic maintenance.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Ticks between two maintenance runs of metrics and idle connections.
const UPKEEP_TICKS: u32 = 10;

/// Part of the grace period that a stopping entry leaves unused.
const STOP_MARGIN: Duration = Duration::from_millis(800);

/// Time for which a stopping entry still accepts connections, because callers
/// cache the directory response that named it.
const ACCEPT_LINGER: Duration = Duration::from_millis(1_500);

/// Pause before a task that has panicked is started anew.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Holds the state of an entry, shared by its tasks.
pub struct Entry {
    /// The settings in force.
    pub settings: arc_swap::ArcSwap<Settings>,
    /// The clock of the node.
    pub clock: Clock,
    /// Access to the platform: protocol, store and cloud.
    pub adapter: Adapter,
    /// The event log.
    pub events: EventLog,
    /// The operator's catalog in force.
    pub catalog: CurrentCatalog,
    /// Backend servers and load balancing.
    pub backends: Backends,
    /// Quotas of workspaces and retry budgets of services.
    pub limits: Limits,
    /// The other entries of the deployment.
    pub membership: Membership,
    /// Store changes relayed from and to other entries.
    pub relay: Relay,
    /// Counts of started requests for usage reports.
    pub usage: Usage,
    /// Hedged requests.
    pub hedging: Hedging,
    /// Load of the services, which determines the servers to order.
    pub service_load: ServiceLoad,
    /// Admission to services that are short of capacity.
    pub admission: Admission,
    /// Version moves in progress.
    pub moves: Moves,
    /// Requests that crash backend servers.
    pub crashes: CrashGuard,
    /// Idle connections to backend servers.
    pub pool: Pool,
    /// Count of open requests.
    pub open_requests: InFlight,
    /// Memory reserved for open requests, in bytes.
    pub reserved_bytes: AtomicUsize,
    /// When the store last answered any call.
    pub store_contact: Mutex<StoreContact>,
    /// Number of times the store became reachable again after an outage.
    pub store_recoveries: watch::Sender<u64>,
    /// Objects of the store that could not be decoded and were logged, sorted.
    pub unreadable: Mutex<Vec<(ObjectKind, Name)>>,
    /// Becomes true when the entry starts to stop.
    pub leaving: watch::Sender<bool>,
    /// Time at which open requests are aborted, once the entry has started to stop.
    stop_at: OnceLock<Time>,
    rng: Mutex<SmallRng>,
}

impl Entry {
    /// Creates an entry without catalog, backend servers or other entries.
    pub fn new(settings: Settings, adapter: Adapter, events: EventLog, clock: Clock) -> Self {
        let now = clock.now();
        let seed = crate::core::hash(&[&settings.node, &now.0.to_string()]);
        let history = if settings.bounds.has_workspaces {
            WorkspaceHistory::Unknown
        } else {
            WorkspaceHistory::Never
        };
        Self {
            backends: Backends::new(&settings),
            limits: Limits::new(now),
            membership: Membership::new(),
            relay: Relay::new(),
            usage: Usage::new(settings.bounds.window),
            hedging: Hedging::new(),
            service_load: ServiceLoad::new(),
            admission: Admission::new(),
            moves: Moves::new(),
            settings: arc_swap::ArcSwap::from_pointee(settings),
            clock,
            adapter,
            events,
            catalog: CurrentCatalog::new().with_history(history),
            crashes: CrashGuard::new(),
            pool: Pool::new(),
            open_requests: InFlight::new(),
            reserved_bytes: AtomicUsize::new(0),
            store_contact: Mutex::new(StoreContact::new()),
            store_recoveries: watch::channel(0).0,
            unreadable: Mutex::new(Vec::new()),
            leaving: watch::channel(false).0,
            stop_at: OnceLock::new(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Returns a random number.
    pub fn random_u64(&self) -> u64 {
        self.rng.lock().unwrap().random()
    }

    /// Returns a random number in the range 0 to 1.
    pub fn random_fraction(&self) -> f64 {
        self.rng.lock().unwrap().random()
    }

    /// Returns a random duration below `bound`.
    pub fn jitter(&self, bound: Duration) -> Duration {
        bound.mul_f64(self.rng.lock().unwrap().random())
    }

    /// Returns the time until open requests are aborted, if the entry is stopping.
    pub fn time_to_stop(&self) -> Option<Duration> {
        let stop_at = self.stop_at.get()?;
        Some(stop_at.since(self.clock.now()))
    }

    /// Returns whether the entry is stopping.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns the local time corrected by the median clock offset of the live nodes.
    pub fn cluster_time(&self) -> Time {
        let now = self.clock.now();
        Time(
            now.0
                .saturating_add_signed(self.membership.clock_offset(now)),
        )
    }

    /// Records an answer of the store, to a call of this entry or of its relay, which was
    /// sent at `sent` or later in the era `era`, if that is known.
    pub fn record_store_answer(&self, era: Option<u64>, sent: Time) {
        let now = self.clock.now();
        let mut contact = self.store_contact.lock().unwrap();
        if contact.record_answer(era, sent, now) {
            self.backends.record_store_return(now);
        }
    }

    /// Applies the version moves declared in the store as of `revision`, unless
    /// newer ones are known.
    pub fn apply_moves(&self, revision: u64, moves: Vec<DeclaredMove>) {
        let now = self.clock.now();
        let events = self.moves.apply_listing(revision, moves, now);
        events
            .into_iter()
            .for_each(|event| self.events.write(event));
    }

    /// Applies changed settings.
    ///
    /// Listening addresses and the limit of hedged requests keep the values that they had
    /// at the start.
    pub fn reload(&self, settings: Settings) {
        let settings = Settings {
            features: self.settings.load().features,
            ..settings
        };
        if **self.settings.load() == settings {
            return;
        }
        self.settings.store(Arc::new(settings));
        self.events.write(Event::new("settings_reloaded"));
    }
}

/// Runs an entry until `stop` becomes true, then drains it.
///
/// # Errors
///
/// Returns an error if one of its addresses cannot be listened on.
pub async fn run(entry: Arc<Entry>, mut stop: watch::Receiver<bool>) -> Result<(), Error> {
    let settings = entry.settings.load_full();
    let (closing, closed) = watch::channel(false);
    let listener_tasks = listeners::listen(&entry, closed).await?;
    let mut serving = listener_tasks.callers;
    let socket = datagrams::bind(settings.peer).await?;
    let socket = Arc::new(socket);
    let exchange = move |entry| datagrams::run(entry, Arc::clone(&socket));
    let mut tasks = vec![
        spawn(&entry, "nodes", feeds::nodes::follow),
        spawn(&entry, "datagrams", exchange),
    ];
    // Whether the other feeds have a relay depends on the number of entries.
    feeds::nodes::wait_listed(&entry).await;
    tasks.extend([
        spawn(&entry, "catalog", feeds::catalog::follow),
        spawn(&entry, "backends", feeds::backends::follow),
        spawn(&entry, "moves", feeds::moves::follow),
        spawn(&entry, "quarantine", feeds::quarantine::follow),
        spawn(&entry, "blocks", quarantine::run),
        spawn(&entry, "leader", leader::run),
        spawn(&entry, "tick", tick),
        spawn(&entry, "admission", admission::run),
    ]);
    if settings.bounds.has_evacuations {
        let following = feeds::evacuations::follow;
        tasks.push(spawn(&entry, "evacuations", following));
    }
    entry.events.write(
        Event::new("started")
            .with("domain", &*settings.domain)
            .with("version", env!("CARGO_PKG_VERSION")),
    );
    crate::web::wait_stopped(&mut stop).await;
    drain(&entry, &closing, &mut serving).await;
    for task in serving.iter().chain(&listener_tasks.internal).chain(&tasks) {
        task.abort();
    }
    entry
        .events
        .write(Event::new("stopped").with("open_requests", entry.open_requests.count()));
    Ok(())
}

/// Spawns a task that is started again, after a pause, whenever it panics.
pub fn spawn<F>(
    entry: &Arc<Entry>,
    name: &'static str,
    task: impl Fn(Arc<Entry>) -> F + Send + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(supervise(Arc::clone(entry), name, task))
}

async fn supervise<F>(entry: Arc<Entry>, name: &'static str, task: impl Fn(Arc<Entry>) -> F)
where
    F: Future<Output = ()>,
{
    // A task that has panicked leaves nothing behind but shared state, which is locked.
    while AssertUnwindSafe(task(Arc::clone(&entry)))
        .catch_unwind()
        .await
        .is_err()
    {
        let event = Event::new("task_restarted").with("task", name);
        entry.events.write(event.with_ms("pause_ms", RESTART_PAUSE));
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

/// Waits for open requests to finish while callers are directed to other entries.
///
/// `serving` is the task that serves them.
async fn drain(entry: &Entry, closing: &watch::Sender<bool>, serving: &mut Option<JoinHandle<()>>) {
    let grace = entry.settings.load().bounds.grace_period;
    let limit = grace.saturating_sub(STOP_MARGIN);
    entry.stop_at.get_or_init(|| entry.clock.now() + limit);
    entry.leaving.send_replace(true);
    entry.admission.stop();
    entry.events.write(
        Event::new("stopping")
            .with("open_requests", entry.open_requests.count())
            .with_ms("limit_ms", limit),
    );
    let finished = async {
        tokio::time::sleep(ACCEPT_LINGER.min(limit / 2)).await;
        closing.send_replace(true);
        if let Some(serving) = serving {
            // A failed task has no connections left.
            let _ = serving.await;
        }
        entry.open_requests.wait_idle().await;
    };
    // Requests still open at the limit are aborted when the process exits.
    let _ = tokio::time::timeout(limit, finished).await;
}

/// Runs periodic maintenance.
async fn tick(entry: Arc<Entry>) {
    let metrics = telemetry::metrics::prometheus_handle();
    let mut step = tokio::time::interval(TICK_INTERVAL);
    step.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for count in 0_u32.. {
        step.tick().await;
        limits::refresh(&entry);
        backends::expire_lapsed(&entry);
        backends::cold::refresh(&entry);
        service_load::refresh(&entry);
        speeds::report(&entry);
        hedging::refresh(&entry);
        admission::refresh(&entry);
        quarantine::update(&entry);
        moves::judge(&entry);
        Moves::advance(&entry, entry.clock.now());
        if count % UPKEEP_TICKS == 0 {
            metrics.run_upkeep();
            entry.pool.expire();
        }
    }
}
