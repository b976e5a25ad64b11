//! Backend servers and load balancing among them.

use std::sync::Mutex;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::Forecast;
use crate::core::route::Policy;
use crate::core::route::Request as RouteRequest;
use crate::core::route::affinity::SessionAffinity;
use crate::core::route::placement::Placement;
use crate::core::route::placement::Prompt;
use crate::core::route::removal::RemovalFilter;
use crate::core::route::servers::Class;
use crate::core::route::servers::Filter;
use crate::core::route::servers::Servers;
use crate::core::route::servers::Vm;
use crate::core::route::servers::closure::Opening;
use crate::core::route::servers::cold::Source;
use crate::core::route::servers::cold::Stated;
use crate::core::route::servers::notice::Departure;
use crate::core::route::speed::Work;
use crate::core::route::speed::table::SpeedTable;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::adapter::BackendServer;
use crate::entry::settings::Settings;
use crate::telemetry::events::Event;

pub mod cold;
pub mod counts;
mod hedge;
pub mod in_flight;
pub mod placing;

/// Slots assumed per server of a service that has no servers.
const DEFAULT_SLOTS: u32 = 8;

/// Tracks the backend servers known to this entry.
pub struct Backends {
    state: Mutex<State>,
}

struct State {
    registered: NameMap<BackendServer>,
    servers: Servers,
    speeds: SpeedTable,
    policy: SessionAffinity,
    placement: Placement,
    removal_filter: RemovalFilter,
    /// Whether what servers state of the time of work is used.
    is_predicted: bool,
}

/// Identifies the server chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenBackend {
    /// Id of the server's incarnation.
    pub id: Name,
    /// The server as registered.
    pub server: BackendServer,
    /// Start of the trial that the attempt is, if the server turned requests away.
    pub trial: Option<Time>,
    /// Time at which the request was counted against the rate of the server, if it is cold.
    pub paced: Option<Time>,
    /// Sizes of the request and load of the server when it was chosen.
    pub work: Work,
    /// Predicted time until the response begins, if enough is known.
    pub forecast: Option<Forecast>,
}

/// The reason why no server can be chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Unavailable {
    /// The service has no server.
    NoServer,
    /// No server accepts a request yet; holds the first that will.
    Limited(Opening),
}

/// Selects the servers that are eligible for a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service that the server must run.
    pub service: &'a str,
    /// Required version, or `None` for any.
    pub version: Option<&'a str>,
    /// Session key for affinity, if any.
    pub session: Option<u64>,
    /// Servers that were already tried.
    pub avoid: &'a [Name],
    /// Whether servers in `avoid` may be used if there are no others.
    pub has_fallback: bool,
    /// Random number for tie-breaking.
    pub random: u64,
    /// Properties of the request, if it may be placed by predicted time.
    pub prompt: Option<Prompt<'a>>,
}

impl Backends {
    /// Creates an empty view for the node of `settings`.
    pub fn new(settings: &Settings) -> Self {
        Self {
            state: Mutex::new(State {
                registered: NameMap::new(),
                servers: Servers::new(settings.node.clone(), settings.domain.clone()),
                speeds: SpeedTable::new(),
                policy: SessionAffinity::new(),
                placement: Placement::new(),
                removal_filter: RemovalFilter::new(),
                is_predicted: settings.features.prediction,
            }),
        }
    }

    /// Replaces the whole list of servers and returns the events to write.
    pub fn replace(&self, list: Vec<BackendServer>, now: Time) -> Vec<Event> {
        let mut state = self.state.lock().unwrap();
        let mut present: Vec<Name> = list.iter().map(|server| server.instance.clone()).collect();
        present.sort_unstable();
        let stated = cold::stated(&list);
        let mut events = Vec::new();
        for server in list {
            events.extend(state.upsert(server));
        }
        let missing: Vec<Name> = state
            .registered
            .iter()
            .filter(|(_, server)| present.binary_search(&server.instance).is_err())
            .map(|(_, server)| server.instance.clone())
            .collect();
        for instance in missing {
            events.extend(state.remove_or_hold(&instance, now));
        }
        state.rebuild();
        state.record_cold(&stated, Source::Listing, now);
        events
    }

    /// Returns the changes that turn the known servers into those of `list`.
    pub fn differences(&self, list: &[BackendServer]) -> Vec<(Name, Option<BackendServer>)> {
        let state = self.state.lock().unwrap();
        let is_known = |server: &&BackendServer| {
            let id = State::incarnation_id(server);
            let server = state.with_announced(&id, (*server).clone());
            state.registered.get(&id) == Some(&server)
        };
        let changed = list
            .iter()
            .filter(|server| !is_known(server))
            .map(|server| (server.instance.clone(), Some(server.clone())));
        let mut present: Vec<&Name> = list.iter().map(|server| &server.instance).collect();
        present.sort_unstable();
        let missing = state
            .registered
            .iter()
            .map(|(_, server)| &server.instance)
            .filter(|instance| present.binary_search(instance).is_err())
            .map(|instance| (instance.clone(), None));
        changed.chain(missing).collect()
    }

    /// Applies changes of single servers and returns the events to write.
    pub fn apply_changes(
        &self,
        changes: Vec<(Name, Option<BackendServer>)>,
        now: Time,
    ) -> Vec<Event> {
        if changes.is_empty() {
            return Vec::new();
        }
        let mut state = self.state.lock().unwrap();
        let stated = cold::stated(changes.iter().filter_map(|(_, server)| server.as_ref()));
        let mut events = Vec::new();
        for (instance, server) in changes {
            match server {
                Some(server) => events.extend(state.upsert(server)),
                None => events.extend(state.remove_or_hold(&instance, now)),
            }
        }
        state.rebuild();
        state.record_cold(&stated, Source::Record, now);
        events
    }

    /// Records that the store has returned and may lack entries of live servers.
    pub fn record_store_return(&self, now: Time) {
        self.state.lock().unwrap().removal_filter.record_return(now);
    }

    /// Chooses a server, and counts the request against its rate limit.
    ///
    /// Servers in `avoid` are used only if there are no others, and not without
    /// `has_fallback`.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no server that accepts a request.
    pub fn choose(&self, criteria: &Criteria<'_>, now: Time) -> Result<ChosenBackend, Unavailable> {
        let mut state = self.state.lock().unwrap();
        state.servers.record_activity(now);
        let request = RouteRequest {
            session: criteria.session,
            ..RouteRequest::default()
        };
        let choices: &[&[Name]] = &[criteria.avoid, &[]];
        let mut slots = None;
        for avoid in &choices[..1 + usize::from(criteria.has_fallback)] {
            if let Some(placed) = state.place(criteria, avoid, now) {
                let chosen = state.take(placed.id, now)?;
                return Ok(ChosenBackend {
                    work: placed.work,
                    forecast: placed.forecast,
                    ..chosen
                });
            }
            let slots = *slots.get_or_insert_with(|| state.slots(criteria.service));
            let filter = Filter {
                service: criteria.service,
                version: criteria.version,
                slots,
                excluded: avoid,
                exclude_suspected: false,
            };
            let candidates = state.servers.candidates(&filter, &request, now);
            if let Some(at) = state.policy.choose(&request, &candidates, criteria.random) {
                state.count_diverted(&filter, now);
                return state.take(candidates[at].id.clone(), now);
            }
        }
        let Criteria {
            service, version, ..
        } = criteria;
        let opening = state.servers.first_opening(service, *version, now);
        Err(opening.map_or(Unavailable::NoServer, Unavailable::Limited))
    }

    /// Returns whether any of some servers is listed and not leaving.
    pub fn has_any(&self, servers: &[Name]) -> bool {
        let state = self.state.lock().unwrap();
        let mut listed = servers.iter().filter_map(|id| state.registered.get(id));
        listed.any(|server| !server.is_leaving)
    }

    /// Returns the servers of a service apart from some.
    pub fn others(&self, service: &str, servers: &[Name]) -> Vec<Name> {
        let state = self.state.lock().unwrap();
        let is_other = |id: &&Name| !servers.contains(id);
        let registered = state.registered.iter();
        let ids = registered.filter(|(_, server)| *server.service == *service);
        ids.map(|(id, _)| id).filter(is_other).cloned().collect()
    }

    /// Returns whether a request may still be sent to the server chosen for it.
    pub fn accepts(&self, chosen: &ChosenBackend) -> bool {
        let state = self.state.lock().unwrap();
        state.servers.accepts(&chosen.id, chosen.trial)
    }

    /// Sets the sorted names of the entries that share the rate limits of the servers.
    pub fn set_nodes(&self, names: &[Name], now: Time) {
        self.state.lock().unwrap().servers.set_nodes(names, now);
    }

    /// Returns whether a service has a server that accepts requests.
    pub fn has_usable(&self, service: &str, now: Time) -> bool {
        self.state.lock().unwrap().servers.has_usable(service, now)
    }

    /// Calls `f` with what this entry knows of the servers.
    pub fn with_servers<T>(&self, f: impl FnOnce(&mut Servers) -> T) -> T {
        f(&mut self.state.lock().unwrap().servers)
    }

    /// Calls `f` with what this entry knows of the speeds of the servers.
    pub fn with_speeds<T>(&self, f: impl FnOnce(&mut SpeedTable) -> T) -> T {
        f(&mut self.state.lock().unwrap().speeds)
    }

    /// Calls `f` with what this entry knows of the speeds, to which the servers are known.
    pub fn with_listed_speeds<T>(&self, f: impl FnOnce(&mut SpeedTable) -> T) -> T {
        f(self.state.lock().unwrap().listed_speeds())
    }

    /// Records what another entry tells, and returns the server if it was not known to
    /// leave.
    pub fn record_departure(&self, departure: &Departure, now: Time) -> Option<BackendServer> {
        let mut state = self.state.lock().unwrap();
        let is_new = state.servers.record_departure(departure, now);
        let server = state.registered.get_mut(&departure.server)?;
        server.is_leaving |= is_new;
        is_new.then(|| server.clone())
    }
}

/// Removes the servers that were not registered again after a store outage.
pub fn expire_lapsed(entry: &Entry) {
    let now = entry.clock.now();
    let mut state = entry.backends.state.lock().unwrap();
    let expired = state.removal_filter.take_expired(now);
    if expired.is_empty() {
        return;
    }
    for instance in &expired {
        state.remove_instance(instance);
    }
    state.rebuild();
    drop(state);
    for instance in expired {
        let event = Event::new("backend_gone").with("backend", &*instance);
        entry.events.write(event.with("reason", "lapsed"));
    }
}

impl State {
    /// Counts a request to a server against its limits.
    fn take(&mut self, id: Name, now: Time) -> Result<ChosenBackend, Unavailable> {
        let server = self.registered.get(&id).cloned();
        let server = server.ok_or(Unavailable::NoServer)?;
        let paced = self.servers.spend_rate(&id, now).then_some(now);
        let trial = self.servers.begin_trial(&id, now);
        self.servers.begin_probe(&id, now);
        Ok(ChosenBackend {
            id,
            server,
            trial,
            paced,
            work: Work::default(),
            forecast: None,
        })
    }

    /// Returns the id of a server's incarnation.
    ///
    /// A server that restarts keeps its name but loses its state, so it counts as
    /// another one.
    fn incarnation_id(server: &BackendServer) -> Name {
        format!("{}/{:x}", server.instance, server.started_ms).into()
    }

    /// Marks a registered server as leaving if it has announced that it leaves.
    fn with_announced(&self, id: &str, server: BackendServer) -> BackendServer {
        let is_leaving = server.is_leaving || self.servers.has_announced(id);
        BackendServer {
            is_leaving,
            cold: Stated::Missing,
            ..server
        }
    }

    fn upsert(&mut self, server: BackendServer) -> Option<Event> {
        self.removal_filter.record_present(&server.instance);
        let id = Self::incarnation_id(&server);
        let server = self.with_announced(&id, server);
        let known = self.registered.get(&id);
        let event_name = match known {
            None => Some("backend_new"),
            Some(known) if !known.is_leaving && server.is_leaving => Some("backend_leaving"),
            Some(_) => None,
        };
        let event = event_name.map(|name| {
            Event::new(name)
                .with("backend", &*id)
                .with("service", &*server.service)
                .with("domain", &*server.domain)
                .with("backend_version", &*server.version)
                .with("reclaimable", server.class == Class::Reclaimable)
        });
        if known.is_none() {
            self.remove_instance(&server.instance);
        }
        self.registered.insert(id, server);
        event
    }

    fn remove_or_hold(&mut self, instance: &Name, now: Time) -> Option<Event> {
        if !self.removal_filter.should_remove(instance, now) {
            return Some(Event::new("backend_lapsed").with("backend", &**instance));
        }
        self.remove_instance(instance)
            .then(|| Event::new("backend_gone").with("backend", &**instance))
    }

    fn remove_instance(&mut self, instance: &str) -> bool {
        let count = self.registered.len();
        self.registered
            .retain(|_, server| *server.instance != *instance);
        self.registered.len() < count
    }

    fn rebuild(&mut self) {
        let vms: Vec<Vm> = self
            .registered
            .iter()
            .map(|(id, server)| Vm {
                id: id.clone(),
                service: server.service.clone(),
                version: server.version.clone(),
                address: server.address.to_string().into(),
                domain: server.domain.clone(),
                class: server.class,
                leaving: server.is_leaving,
            })
            .collect();
        self.placement.update(&vms);
        self.servers.update(&vms);
        if self.speeds.is_listed() {
            self.list_speeds();
        }
    }

    fn list_speeds(&mut self) {
        let rows = self.registered.iter();
        self.speeds
            .set_servers(rows.map(|(id, server)| (id, &server.service)));
    }

    /// Returns the speeds, once something is recorded of them.
    ///
    /// An entry whose servers report nothing does not keep the list of servers for them.
    fn listed_speeds(&mut self) -> &mut SpeedTable {
        if !self.speeds.is_listed() {
            self.list_speeds();
        }
        &mut self.speeds
    }

    fn slots(&self, service: &str) -> u32 {
        self.registered
            .iter()
            .find(|(_, server)| *server.service == *service)
            .map_or(DEFAULT_SLOTS, |(_, server)| server.slots)
    }
}
