//! Placement of requests by predicted time among the backend servers.

use std::time::Duration;

use crate::core::Name;
use crate::core::route::Forecast;
use crate::core::route::placement::Placed;
use crate::core::route::placement::Query;
use crate::core::route::probing::ProbeOutcome;
use crate::core::route::servers::Filter;
use crate::core::route::servers::LoadReport;
use crate::core::route::servers::Servers;
use crate::core::route::servers::notice::Change;
use crate::core::route::servers::notice::Notice;
use crate::core::route::speed::Estimates;
use crate::core::route::speed::Unlearned;
use crate::core::route::speed::Work;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::adapter::BackendServer;
use crate::entry::backends::Backends;
use crate::entry::backends::Criteria;
use crate::entry::backends::State;
use crate::telemetry::events::Event;

/// Longest difference between a predicted and a measured time that is recorded.
const MAX_ERROR: Duration = Duration::from_secs(60);

/// A change of the policy by which a service's requests are placed.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyChange {
    /// The service.
    pub service: Name,
    /// Whether requests are placed by predicted time from now on.
    pub is_predicted: bool,
}

impl PolicyChange {
    /// Writes the event of the change.
    pub fn write(&self, entry: &Entry) {
        let policy = if self.is_predicted {
            "predicted"
        } else {
            "session-affinity"
        };
        let event = Event::new("placement_changed").with("service", &*self.service);
        entry.events.write(event.with("policy", policy));
    }
}

/// What the answer to a probe changes.
#[derive(Clone, Debug, Default)]
pub struct ProbeChanges {
    /// Changes of the server.
    pub changes: Vec<Change>,
    /// Change of the policy of its service.
    pub policy: Option<PolicyChange>,
}

impl Backends {
    /// Returns the candidates for a request that are to be probed next before it is placed.
    ///
    /// `asked` are those that were probed before.
    pub fn to_probe(
        &self,
        criteria: &Criteria<'_>,
        asked: &[Name],
        now: Time,
    ) -> Vec<(Name, BackendServer)> {
        let state = self.state.lock().unwrap();
        let Some(query) = query(&state.servers, &Unlearned, criteria, criteria.avoid, now) else {
            return Vec::new();
        };
        let ids = state.placement.to_probe(&query, asked);
        let with_server = |id: Name| {
            let server = state.registered.get(&id)?.clone();
            Some((id, server))
        };
        ids.into_iter().filter_map(with_server).collect()
    }

    /// Returns the mean time for which a request keeps a server of a service busy until its
    /// response begins, if it is known.
    pub fn mean_work(&self, service: &str) -> Option<Duration> {
        let state = self.state.lock().unwrap();
        state.placement.mean_work(service, &state.speeds)
    }

    /// Records the outcome of a probe that took `took`.
    pub fn record_probe(&self, id: &Name, outcome: ProbeOutcome, took: Duration, now: Time) {
        let mut state = self.state.lock().unwrap();
        state.placement.probing.record(id, outcome, took, now);
    }

    /// Records what a server states in its answer to a probe sent at `sent`.
    pub fn record_probe_notice(
        &self,
        id: &Name,
        notice: &Notice,
        sent: Time,
        random: f64,
        now: Time,
    ) -> ProbeChanges {
        let mut state = self.state.lock().unwrap();
        let before = state.last_load(id);
        let changes = state
            .servers
            .record_probe_notice(id, notice, sent, random, now);
        if changes.contains(&Change::Leaving)
            && let Some(server) = state.registered.get_mut(id)
        {
            server.is_leaving = true;
        }
        let load = notice.load.as_ref();
        let policy = load.and_then(|load| state.record_load(id, load, before, now));
        ProbeChanges { changes, policy }
    }
}

impl State {
    /// Places a request by predicted time, if that applies to its service.
    pub(super) fn place(
        &mut self,
        criteria: &Criteria<'_>,
        avoid: &[Name],
        now: Time,
    ) -> Option<Placed> {
        if !self.placement.is_active(criteria.service) {
            return None;
        }
        let query = query(&self.servers, &Unlearned, criteria, avoid, now)?;
        self.placement.choose(&query)
    }

    /// Returns the last load report of a server and its time.
    pub(super) fn last_load(&self, id: &str) -> Option<(LoadReport, Time)> {
        self.servers.get(id)?.last_load()
    }

    /// Records a load report for the placement, and returns the change of the policy of
    /// the server's service, if any.
    ///
    /// `before` is the previous report of the server.
    pub(super) fn record_load(
        &mut self,
        id: &str,
        load: &LoadReport,
        before: Option<(LoadReport, Time)>,
        now: Time,
    ) -> Option<PolicyChange> {
        if !self.is_predicted {
            return None;
        }
        let service = &self.registered.get(id)?.service;
        let is_changed = self.placement.record_load(service, load, before, now);
        is_changed.then(|| PolicyChange {
            service: service.clone(),
            is_predicted: self.placement.is_active(service),
        })
    }

    /// Records the time until a response began, and how far the prediction was from it.
    pub(super) fn record_first(
        &mut self,
        service: &Name,
        work: &Work,
        forecast: Option<Forecast>,
        took: Duration,
    ) {
        // The sessions of a trial are placed without a look at the work.
        if *work != Work::default() {
            self.placement.record_first(service, work, took);
        }
        if let Some(forecast) = forecast {
            let error = took.abs_diff(forecast.first).min(MAX_ERROR);
            let label = || service.to_string();
            metrics::histogram!("cassialock_forecast_error_seconds", "service" => label())
                .record(error);
            metrics::histogram!("cassialock_forecast_age_seconds", "service" => label())
                .record(forecast.age);
        }
    }
}

/// Returns the query for a request, if it may be placed by predicted time.
fn query<'a>(
    servers: &'a Servers,
    estimates: &'a dyn Estimates,
    criteria: &Criteria<'a>,
    avoid: &'a [Name],
    now: Time,
) -> Option<Query<'a>> {
    let filter = Filter {
        service: criteria.service,
        version: criteria.version,
        // The number of slots has no influence on these candidates.
        slots: 0,
        excluded: avoid,
        exclude_suspected: false,
    };
    Some(Query {
        servers,
        estimates,
        filter,
        prompt: criteria.prompt?,
        now,
    })
}
