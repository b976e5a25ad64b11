//! The backend servers and the choice among them.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::core::Name;
use crate::core::fleet::orders::Stock;
use crate::core::route::Policy;
use crate::core::route::Request as RouteRequest;
use crate::core::route::homes::Homes;
use crate::core::route::lapse::Lapses;
use crate::core::route::servers::Class;
use crate::core::route::servers::Filter;
use crate::core::route::servers::Load;
use crate::core::route::servers::Servers;
use crate::core::route::servers::Vm;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::outside::Listed;
use crate::telemetry::events::Event;

/// Slots of a server that names none.
const DEFAULT_SLOTS: u32 = 8;

/// The backend servers as this entry knows them.
pub struct Backends {
    state: Mutex<State>,
}

struct State {
    listed: Table<Listed>,
    servers: Servers,
    policy: Homes,
    lapses: Lapses,
}

/// A server that was chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    /// Name of the incarnation in the table.
    pub id: Name,
    /// The server.
    pub listed: Listed,
}

/// What a server is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a str,
    /// The version, or any.
    pub version: Option<&'a str>,
    /// The session.
    pub session: Option<u64>,
    /// Servers that were tried already.
    pub avoid: &'a [Name],
    /// A random number drawn for the request.
    pub draw: u64,
}

/// Counts a request at a server until it is dropped.
pub struct Seat {
    entry: Arc<Entry>,
    id: Name,
    sent: Time,
}

impl Seat {
    /// Records that the server answered, with the time as a part of the target.
    pub fn record_success(&self, target: Duration) {
        let took = self.entry.clock.now().since(self.sent);
        let share = took.as_secs_f64() / target.as_secs_f64().max(0.001);
        let mut state = self.entry.backends.state.lock().unwrap();
        // In hundredths of the target, so that routes can be compared.
        state
            .servers
            .record_success(&self.id, Duration::from_secs_f64(share / 10.0));
    }

    /// Records that the server failed.
    pub fn record_failure(&self) {
        let now = self.entry.clock.now();
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.record_failure(&self.id, now);
    }

    /// Records the load that the server reports.
    pub fn record_load(&self, load: Load) {
        let now = self.entry.clock.now();
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.set_load(&self.id, load, now);
    }

    /// Returns the time since the request was sent.
    pub fn age(&self) -> Duration {
        self.entry.clock.now().since(self.sent)
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.end(&self.id);
    }
}

impl Backends {
    /// Creates an empty view for the node `node` in failure domain `domain`.
    pub fn new(node: &Name, domain: &Name) -> Self {
        Self {
            state: Mutex::new(State {
                listed: Table::new(),
                servers: Servers::new(node.clone(), domain.clone()),
                policy: Homes::new(),
                lapses: Lapses::new(),
            }),
        }
    }

    /// Takes over the whole list of servers.
    pub fn replace(&self, list: Vec<Listed>, now: Time) -> Vec<Event> {
        let mut state = self.state.lock().unwrap();
        state.lapses.record_answer(now);
        let mut present: Vec<Name> = list.iter().map(|listed| listed.instance.clone()).collect();
        present.sort_unstable();
        let mut lines = Vec::new();
        for listed in list {
            lines.extend(state.put(listed));
        }
        let gone: Vec<Name> = state
            .listed
            .iter()
            .filter(|(_, listed)| present.binary_search(&listed.instance).is_err())
            .map(|(_, listed)| listed.instance.clone())
            .collect();
        for instance in gone {
            lines.extend(state.lapse(&instance, now));
        }
        state.rebuild();
        lines
    }

    /// Takes over changes of single servers.
    pub fn change(&self, changes: Vec<(Name, Option<Listed>)>, now: Time) -> Vec<Event> {
        let mut state = self.state.lock().unwrap();
        state.lapses.record_answer(now);
        if changes.is_empty() {
            return Vec::new();
        }
        let mut lines = Vec::new();
        for (instance, listed) in changes {
            match listed {
                Some(listed) => lines.extend(state.put(listed)),
                None => lines.extend(state.lapse(&instance, now)),
            }
        }
        state.rebuild();
        lines
    }

    /// Records that the store did not answer.
    ///
    /// It was last heard from at `since`, by this entry or by a relay.
    pub fn record_outage(&self, serves_others: bool, since: Time, now: Time) {
        let mut state = self.state.lock().unwrap();
        state.lapses.record_failure(serves_others, since, now);
    }

    /// Chooses a server, or returns `None` if there is none.
    ///
    /// Servers in `avoid` are used again only if there are no others.
    pub fn choose(&self, want: &Want<'_>, now: Time) -> Option<Chosen> {
        let mut state = self.state.lock().unwrap();
        let slots = state.slots(want.service);
        let request = RouteRequest {
            session: want.session,
            ..RouteRequest::default()
        };
        for avoid in [want.avoid, &[]] {
            let filter = Filter {
                service: want.service,
                version: want.version,
                slots,
                avoid,
                alone: false,
            };
            let candidates = state.servers.candidates(&filter, &request, now);
            if let Some(at) = state.policy.choose(&request, &candidates, want.draw) {
                let id = candidates[at].id.clone();
                let listed = state.listed.get(&id)?.clone();
                return Some(Chosen { id, listed });
            }
        }
        None
    }

    /// Returns whether a service has a server that may take work.
    pub fn has_usable(&self, service: &str, now: Time) -> bool {
        self.state.lock().unwrap().servers.has_usable(service, now)
    }

    /// Returns the requests of this entry at servers, by service.
    pub fn running(&self) -> Table<f64> {
        let state = self.state.lock().unwrap();
        let mut running: Table<f64> = Table::new();
        for server in state.servers.iter() {
            *running.get_or_insert_with(&server.vm.service, || 0.0) += f64::from(server.own);
        }
        running
    }

    /// Returns the servers of a service by failure domain.
    pub fn stocks(&self, service: &str, domains: &[Name]) -> Vec<Stock> {
        let state = self.state.lock().unwrap();
        let mut stocks: Vec<Stock> = domains
            .iter()
            .map(|domain| Stock {
                domain: domain.clone(),
                ..Stock::default()
            })
            .collect();
        for (_, listed) in state.listed.iter() {
            let stock = stocks
                .iter_mut()
                .find(|stock| stock.domain == listed.domain && *listed.service == *service);
            let Some(stock) = stock else { continue };
            match (listed.class, listed.is_leaving) {
                (Class::Reclaimable, false) => stock.reclaimable += 1,
                (Class::Reclaimable, true) => stock.noticed += 1,
                (Class::OnDemand, false) => stock.on_demand += 1,
                (Class::OnDemand, true) => {}
            }
        }
        stocks
    }

    /// Returns the versions that servers of a service have, sorted.
    pub fn versions(&self, service: &str) -> Vec<Name> {
        let state = self.state.lock().unwrap();
        let mut versions: Vec<Name> = state
            .listed
            .iter()
            .filter(|(_, listed)| *listed.service == *service && !listed.is_leaving)
            .map(|(_, listed)| listed.version.clone())
            .collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Counts a request at a server.
    pub fn sit(entry: &Arc<Entry>, chosen: &Chosen) -> Seat {
        let mut state = entry.backends.state.lock().unwrap();
        state.servers.begin(&chosen.id, &[]);
        drop(state);
        Seat {
            entry: Arc::clone(entry),
            id: chosen.id.clone(),
            sent: entry.clock.now(),
        }
    }

    /// Marks a server as gone, because its address answers for another one.
    pub fn set_gone(&self, chosen: &Chosen) {
        self.state.lock().unwrap().servers.set_leaving(&chosen.id);
    }
}

/// Drops the servers whose entries did not come back after an outage.
pub fn expire(entry: &Entry) {
    let now = entry.clock.now();
    let mut state = entry.backends.state.lock().unwrap();
    let expired = state.lapses.expired(now);
    if expired.is_empty() {
        return;
    }
    for instance in &expired {
        state.drop_instance(instance);
    }
    state.rebuild();
    drop(state);
    for instance in expired {
        let line = Event::new("backend_gone").with("backend", &*instance);
        entry.events.write(line.with("reason", "lapsed"));
    }
}

impl State {
    /// Returns the name of an incarnation in the tables.
    ///
    /// A server may start again under its name, and knows nothing of before.
    fn id(listed: &Listed) -> Name {
        format!("{}/{:x}", listed.instance, listed.born).into()
    }

    fn put(&mut self, listed: Listed) -> Option<Event> {
        self.lapses.record_present(&listed.instance);
        let id = Self::id(&listed);
        let known = self.listed.get(&id);
        let line = match known {
            None => Some("backend_new"),
            Some(known) if !known.is_leaving && listed.is_leaving => Some("backend_leaving"),
            Some(_) => None,
        };
        let line = line.map(|event| {
            Event::new(event)
                .with("backend", &*id)
                .with("service", &*listed.service)
                .with("domain", &*listed.domain)
                .with("backend_version", &*listed.version)
                .with("reclaimable", listed.class == Class::Reclaimable)
        });
        if known.is_none() {
            self.drop_instance(&listed.instance);
        }
        self.listed.insert(id, listed);
        line
    }

    fn lapse(&mut self, instance: &Name, now: Time) -> Option<Event> {
        if !self.lapses.is_gone(instance, now) {
            return Some(Event::new("backend_lapsed").with("backend", &**instance));
        }
        self.drop_instance(instance)
            .then(|| Event::new("backend_gone").with("backend", &**instance))
    }

    fn drop_instance(&mut self, instance: &str) -> bool {
        let count = self.listed.len();
        self.listed
            .retain(|_, listed| *listed.instance != *instance);
        self.listed.len() < count
    }

    fn rebuild(&mut self) {
        let vms: Vec<Vm> = self
            .listed
            .iter()
            .map(|(id, listed)| Vm {
                id: id.clone(),
                service: listed.service.clone(),
                version: listed.version.clone(),
                address: listed.address.to_string().into(),
                domain: listed.domain.clone(),
                class: listed.class,
                leaving: listed.is_leaving,
            })
            .collect();
        self.servers.update(&vms);
    }

    fn slots(&self, service: &str) -> u32 {
        self.listed
            .iter()
            .find(|(_, listed)| *listed.service == *service)
            .map_or(DEFAULT_SLOTS, |(_, listed)| listed.slots)
    }
}
