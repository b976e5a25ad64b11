//! Admission of requests to services that are short of capacity.
//!
//! The decisions are made in [`crate::core::limit::scarcity`]; this module feeds them and
//! holds the requests that wait.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::core::Name;
use crate::core::limit::scarcity::Change;
use crate::core::limit::scarcity::Inputs;
use crate::core::limit::scarcity::Level;
use crate::core::limit::scarcity::Refused;
use crate::core::limit::scarcity::Source;
use crate::core::limit::scarcity::gate::Arrival;
use crate::core::limit::scarcity::gate::Gate;
use crate::core::limit::scarcity::gate::RELEASE_INTERVAL;
use crate::core::limit::scarcity::gate::Ruling;
use crate::core::name_map::NameMap;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::call::Call;
use crate::telemetry::events::Event;

/// Time beyond its hold after which a request passes although nothing has released it.
const RELEASE_SLACK: Duration = Duration::from_millis(100);

/// Admission to all services.
#[derive(Default)]
pub struct Admission {
    state: Mutex<State>,
    /// Notified when a request begins to be held.
    held: Notify,
}

#[derive(Default)]
struct State {
    gates: NameMap<Gate>,
    /// Held requests, sorted by id.
    waiters: Vec<Waiter>,
    last_id: u64,
    is_stopping: bool,
}

struct Waiter {
    id: u64,
    outcome: oneshot::Sender<Ruling>,
}

/// Frees the place of a held request when it is dropped, as when its caller disconnects.
struct Place<'a> {
    admission: &'a Admission,
    service: &'a Name,
    id: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.state.lock().unwrap();
        state.remove_waiter(self.id);
        if let Some(gate) = state.gates.get_mut(self.service) {
            gate.cancel(self.id);
        }
    }
}

impl State {
    fn remove_waiter(&mut self, id: u64) -> Option<Waiter> {
        let found = self.waiters.binary_search_by_key(&id, |waiter| waiter.id);
        Some(self.waiters.remove(found.ok()?))
    }

    /// Sends the outcome of a held request to it.
    fn settle(&mut self, id: u64, ruling: Ruling) {
        if let Some(waiter) = self.remove_waiter(id) {
            // The request may have ended at this moment.
            let _ = waiter.outcome.send(ruling);
        }
    }
}

impl Admission {
    /// Creates admission control without load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the level of a service.
    pub fn level(&self, service: &str) -> Level {
        let state = self.state.lock().unwrap();
        state.gates.get(service).map_or(Level::Normal, Gate::level)
    }

    /// Returns the number of held requests.
    pub fn held(&self) -> usize {
        self.state.lock().unwrap().waiters.len()
    }

    /// Records the time to the first byte of a response.
    pub fn record_first(&self, service: &Name, route: &Name, took: Duration, now: Time) {
        let mut state = self.state.lock().unwrap();
        let gate = state.gates.get_or_insert_with(service, Gate::new);
        gate.record_first(route, took, now);
    }

    /// Passes on all held requests and holds no more, because the entry stops.
    ///
    /// Those that can't be answered in time are refused before they are sent.
    pub fn stop(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_stopping = true;
        let gates = state.gates.iter_mut();
        let ids: Vec<u64> = gates.flat_map(|(_, gate)| gate.drain()).collect();
        for id in ids {
            state.settle(id, Ruling::Pass);
        }
    }

    /// Decides on a request that arrives, and returns where it waits if it is held.
    fn offer(
        &self,
        service: &Name,
        arrival: Arrival,
        random: f64,
        now: Time,
    ) -> (Ruling, u64, Option<oneshot::Receiver<Ruling>>) {
        let mut state = self.state.lock().unwrap();
        state.last_id += 1;
        let id = state.last_id;
        if state.is_stopping {
            return (Ruling::Pass, id, None);
        }
        let gate = state.gates.get_or_insert_with(service, Gate::new);
        let ruling = gate.offer(Arrival { id, ..arrival }, random, now);
        if ruling != Ruling::Hold {
            return (ruling, id, None);
        }
        let (outcome, waiting) = oneshot::channel();
        state.waiters.push(Waiter { id, outcome });
        self.held.notify_one();
        (ruling, id, Some(waiting))
    }

    /// Releases held requests whose outcome is known.
    fn release(&self, random: f64, now: Time) {
        let mut state = self.state.lock().unwrap();
        let gates = state.gates.iter_mut();
        let released: Vec<_> = gates
            .flat_map(|(_, gate)| gate.release(random, now))
            .collect();
        for (id, _, ruling) in released {
            state.settle(id, ruling);
        }
    }
}

/// Releases held requests until the task is aborted.
pub async fn run(entry: std::sync::Arc<Entry>) {
    loop {
        if entry.admission.held() == 0 {
            entry.admission.held.notified().await;
        }
        tokio::time::sleep(RELEASE_INTERVAL).await;
        let now = entry.cluster_time();
        entry.admission.release(entry.random_fraction(), now);
    }
}

/// Admits a request before its first attempt, or refuses it.
///
/// # Errors
///
/// Returns a refusal if the service is short of capacity and the request cannot be served
/// in time, or others come first.
pub async fn enter(call: &mut Call) -> Result<(), Refusal> {
    let entry = call.entry.clone();
    if !entry.settings.load().features.admission {
        return Ok(());
    }
    let level = entry.admission.level(&call.service);
    call.level = level;
    let workspace = call.workspace.as_ref().map(|w| w.name.clone());
    let workspace = workspace.unwrap_or_default();
    let began = entry.clock.now();
    let left = call.deadlines.refusal.since(began);
    let now = entry.cluster_time();
    let objective = call.route.target_latency;
    let arrival = Arrival {
        id: 0,
        route: call.route.name.clone(),
        rank: call.priority(),
        objective,
        deadline: now + left,
        draw: draw(call, level),
        workspace,
    };
    let random = entry.random_fraction();
    let (ruling, id, waiting) = entry.admission.offer(&call.service, arrival, random, now);
    if level != Level::Normal {
        count_offered(call);
    }
    let ruling = match waiting {
        Some(waiting) => {
            let place = Place {
                admission: &entry.admission,
                service: &call.service,
                id,
            };
            let limit = objective / 8 + RELEASE_SLACK;
            let outcome = tokio::time::timeout(limit, waiting).await;
            drop(place);
            let route = call.route.name.to_string();
            metrics::histogram!("cassialock_admission_held_seconds", "route" => route)
                .record(entry.clock.now().since(began));
            match outcome {
                Ok(Ok(ruling)) => ruling,
                // Nothing is refused because its release was missed.
                Ok(Err(_)) | Err(_) => Ruling::Pass,
            }
        }
        None => ruling,
    };
    match ruling {
        Ruling::Pass | Ruling::Hold => Ok(()),
        Ruling::Refuse(refused) => Err(refuse(call, &refused)),
    }
}

/// Returns the number that decides on the place of a request.
///
/// Repetitions of a request with a body share it; without one, all requests for a path
/// would.
fn draw(call: &Call, level: Level) -> u64 {
    if level == Level::Normal || call.body.is_empty() {
        return call.draw;
    }
    call.fingerprint.0
}

fn refuse(call: &Call, refused: &Refused) -> Refusal {
    metrics::counter!(
        "cassialock_admission_refused_total",
        "route" => call.route.name.to_string(),
        "workspace" => workspace_label(call),
        "reason" => refused.cause.as_str(),
        "level" => refused.level.as_str(),
    )
    .increment(1);
    let detail = format!(
        "the servers of {} are short of capacity for requests of priority {}",
        call.service, refused.rank
    );
    Refusal::new(Reason::Overloaded, detail)
        .with_inputs(refused.to_string())
        .with_retry_after(refused.wait)
}

fn workspace_label(call: &Call) -> String {
    let workspace = call.workspace.as_ref();
    workspace.map_or(String::new(), |workspace| workspace.name.to_string())
}

fn count_offered(call: &Call) {
    metrics::counter!(
        "cassialock_admission_offered_total",
        "route" => call.route.name.to_string(),
        "workspace" => workspace_label(call),
    )
    .increment(1);
}

/// Records that the response to a request has begun, `took` after it was sent.
pub fn record_first(call: &Call, took: Duration) {
    let entry = &call.entry;
    let now = entry.cluster_time();
    entry
        .admission
        .record_first(&call.service, &call.route.name, took, now);
    if call.level == Level::Normal {
        return;
    }
    let is_late = entry.clock.now().since(call.arrived) > call.route.target_latency;
    metrics::counter!(
        "cassialock_admission_served_total",
        "route" => call.route.name.to_string(),
        "workspace" => workspace_label(call),
        "late" => if is_late { "true" } else { "false" },
    )
    .increment(1);
}

/// Updates the levels of all services from the sums over all entries.
pub fn refresh(entry: &Entry) {
    if !entry.settings.load().features.admission {
        return;
    }
    let Some(catalog) = entry.catalog.load() else {
        return;
    };
    let clock = entry.clock.now();
    let now = entry.cluster_time();
    let own = entry.service_load.traffic();
    let sums = entry.membership.fleet_traffic(own.clone(), clock);
    let capacities = entry.backends.capacities(clock);
    let services = catalog.services.iter().map(|(service, _)| service);
    let routes = catalog.routes().iter();
    let names = services.chain(routes.flat_map(|route| route.split.iter().map(|part| &part.0)));
    let mut names: Vec<&Name> = names.collect();
    names.sort_unstable();
    names.dedup();
    let mut changes = Vec::new();
    let mut state = entry.admission.state.lock().unwrap();
    state
        .gates
        .retain(|service, gate| names.binary_search(&service).is_ok() || gate.held() > 0);
    for service in names {
        let capacity = capacities.get(service).copied().unwrap_or_default();
        let fleet = sums.as_ref().map(|(traffic, age)| Inputs {
            traffic: traffic.get(service).copied().unwrap_or_default(),
            slots: capacity.slots,
            servers: capacity.servers,
            age: *age,
            source: Source::Fleet,
        });
        let traffic = own.get(service).copied().unwrap_or_default();
        let alone = capacity.occupancy.map(|occupancy| Inputs {
            traffic,
            // The part of the slots that this entry's requests correspond to.
            slots: traffic.in_flight / occupancy,
            servers: capacity.servers,
            age: capacity.report_age,
            source: Source::Own,
        });
        let gate = state.gates.get_or_insert_with(service, Gate::new);
        if let Some(change) = gate.refresh(fleet.or(alone), now) {
            changes.push((service.clone(), change));
        }
    }
    let held = state.waiters.len();
    drop(state);
    metrics::gauge!("cassialock_admission_held").set(held as f64);
    for (service, change) in changes {
        record_change(entry, &service, &change);
    }
    // A change of level decides on the requests that are held.
    entry.admission.release(entry.random_fraction(), now);
}

fn record_change(entry: &Entry, service: &Name, change: &Change) {
    let level = f64::from(change.to as u8);
    metrics::gauge!("cassialock_admission_level", "service" => service.to_string()).set(level);
    let event = Event::new("capacity_level")
        .with("service", &**service)
        .with("from", change.from.as_str())
        .with("to", change.to.as_str())
        .with_ms("lasted_ms", change.lasted)
        .with("room_per_s", change.room.round())
        .with_ms("in_progress_ms", change.time)
        .with(
            "usual_ms",
            change.usual.map(|usual| usual.as_millis() as u64),
        );
    let event = match &change.inputs {
        Some(inputs) => event
            .with("inputs", inputs.to_string())
            .with_ms("inputs_age_ms", inputs.age),
        None => event.with("inputs", "none"),
    };
    entry.events.write(event);
}
