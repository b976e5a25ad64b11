//! Cold servers: what is known of them, and the log of it.

use crate::core::Name;
use crate::core::catalog::Catalog;
use crate::core::name_map::NameMap;
use crate::core::route::servers::Filter;
use crate::core::route::servers::cold::ColdStart;
use crate::core::route::servers::cold::Coldness;
use crate::core::route::servers::cold::Source;
use crate::core::route::servers::cold::Stated;
use crate::core::route::servers::cold::news::ColdNews;
use crate::core::route::servers::cold::report::Change;
use crate::core::route::servers::notice::Statement;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::adapter::BackendServer;
use crate::entry::backends::ChosenBackend;
use crate::entry::backends::State;
use crate::telemetry::events::Event;

/// Backend in a line that concerns all servers which may be cold.
const ALL_BACKENDS: &str = "*";

/// Returns what the records of some servers state, by incarnation.
pub(super) fn stated<'a>(
    servers: impl IntoIterator<Item = &'a BackendServer>,
) -> Vec<(Name, Stated)> {
    let servers = servers.into_iter();
    let rows = servers.map(|server| (State::incarnation_id(server), server.cold.clone()));
    rows.collect()
}

impl State {
    /// Records what the records of servers state.
    pub(super) fn record_cold(&mut self, stated: &[(Name, Stated)], source: Source, now: Time) {
        self.servers.note_new(now);
        for (id, stated) in stated {
            self.servers.record_cold(id, stated, source, now);
        }
    }

    /// Returns whether a registered server is cold, as far as anything is known of it.
    pub(super) fn is_starting(&self, server: &BackendServer, now: Time) -> bool {
        let id = Self::incarnation_id(server);
        !server.is_leaving && self.servers.is_starting(&id, now)
    }

    /// Counts a request that is placed while a cold candidate has had its share.
    pub(super) fn count_diverted(&self, filter: &Filter<'_>, now: Time) {
        if self.servers.has_cold_held(filter, now) {
            let service = filter.service.to_string();
            metrics::counter!("cassialock_cold_diverted_total", "service" => service).increment(1);
        }
    }
}

/// Applies how the servers of each service start, before a catalog is in force.
pub fn set_starts(entry: &Entry, catalog: &Catalog) {
    let now = entry.clock.now();
    let tolerance = entry.settings.load().bounds.cold;
    let services = catalog.services.iter();
    let rules: NameMap<ColdStart> = services
        .filter_map(|(name, service)| Some((name.clone(), service.cold?)))
        .collect();
    entry
        .backends
        .with_servers(|servers| servers.set_cold_starts(rules, tolerance, now));
}

/// Records that the store has reported all changes of servers.
pub fn confirm(entry: &Entry) {
    let now = entry.clock.now();
    entry
        .backends
        .with_servers(|servers| servers.confirm_cold(now));
}

/// Returns whether a request may be sent to the server chosen for it, which may be cold.
pub fn is_paced(entry: &Entry, chosen: &ChosenBackend) -> bool {
    let now = entry.clock.now();
    entry
        .backends
        .with_servers(|servers| servers.is_paced(&chosen.id, chosen.paced, now))
}

/// Returns what this entry knows of cold servers, for other entries; with `is_all` it
/// includes what others have told.
pub fn news(entry: &Entry, is_all: bool) -> Option<ColdNews> {
    let now = entry.clock.now();
    entry
        .backends
        .with_servers(|servers| servers.cold_news(is_all, now))
}

/// Records what another entry tells of cold servers.
pub fn record_news(entry: &Entry, news: &ColdNews) {
    let now = entry.clock.now();
    entry
        .backends
        .with_servers(|servers| servers.record_cold_news(news, now));
}

/// Counts a request that is refused because the servers that may take it are cold.
pub fn count_refused(service: &str) {
    let service = service.to_string();
    metrics::counter!("cassialock_cold_refused_total", "service" => service).increment(1);
}

/// Applies the settings and the catalog in force, and logs what has changed.
pub fn refresh(entry: &Entry) {
    if let Some(catalog) = entry.catalog.load() {
        set_starts(entry, &catalog);
    }
    let now = entry.clock.now();
    let changes = entry
        .backends
        .with_servers(|servers| servers.cold_changes(now));
    let (changes, ignored) = changes;
    if ignored > 0 {
        let statement = Statement::Cold.as_str();
        metrics::counter!("cassialock_ignored_statements_total", "statement" => statement)
            .increment(ignored);
    }
    for change in changes {
        entry.events.write(match change {
            Change::Cold(id, coldness) => cold_event(&id, coldness),
            Change::AllCold(coldness) => cold_event(ALL_BACKENDS, coldness),
            Change::Warm(id) => Event::new("backend_warm").with("backend", &*id),
            Change::AllKnown => Event::new("backend_warm").with("backend", ALL_BACKENDS),
            Change::Ignored(id, value) => Event::new("statement_ignored")
                .with("backend", &*id)
                .with("statement", Statement::Cold.as_str())
                .with("value", &*value),
        });
    }
}

fn cold_event(id: &str, coldness: Coldness) -> Event {
    let event = Event::new("backend_cold")
        .with("backend", id)
        .with("source", coldness.source.as_str())
        .with_ms("age_ms", coldness.age);
    match coldness.left {
        Some(left) => event.with_ms("left_ms", left),
        None => event,
    }
}
