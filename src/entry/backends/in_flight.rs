//! Requests in flight at backend servers.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use crate::core::Name;
use crate::core::route::Forecast;
use crate::core::route::servers::notice::Change;
use crate::core::route::servers::notice::Notice;
use crate::core::route::servers::notice::Origin;
use crate::core::route::servers::notice::Receipt;
use crate::core::route::servers::silence::Suspicion;
use crate::core::route::speed::Kind;
use crate::core::route::speed::Work;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::backends::ChosenBackend;
use crate::entry::backends::State;
use crate::entry::speeds;

/// Counts a request as in flight at a server until dropped.
pub struct InFlight {
    entry: Arc<Entry>,
    id: Name,
    sent: Time,
    trial: Option<Time>,
    service: Name,
    work: Work,
    forecast: Option<Forecast>,
    /// Time of the first data of a stream.
    first: OnceLock<Time>,
}

impl InFlight {
    /// Counts a request as in flight at a server.
    pub fn new(entry: &Arc<Entry>, chosen: &ChosenBackend) -> Self {
        let mut state = entry.backends.state.lock().unwrap();
        state.servers.begin_request(&chosen.id, &[]);
        drop(state);
        Self {
            entry: Arc::clone(entry),
            id: chosen.id.clone(),
            sent: entry.clock.now(),
            trial: chosen.trial,
            service: chosen.server.service.clone(),
            work: chosen.work,
            forecast: chosen.forecast,
            first: OnceLock::new(),
        }
    }

    /// Records a response and its latency relative to the route's target.
    ///
    /// `kind` is what its latency tells of the speed of the server, if anything: the first
    /// data of a stream or the end of a plain response.
    pub fn record_success(&self, target: Duration, kind: Option<Kind>) {
        let now = self.entry.clock.now();
        let latency = now.since(self.sent);
        let ratio = latency.as_secs_f64() / target.as_secs_f64().max(0.001);
        let mut state = self.entry.backends.state.lock().unwrap();
        // One millisecond stands for 1 % of the target, so that routes with
        // different targets are comparable.
        state
            .servers
            .record_success(&self.id, Duration::from_secs_f64(ratio / 10.0));
        state.record_first(&self.service, &self.work, self.forecast, latency);
        let Some(kind) = kind else { return };
        if kind == Kind::First {
            let _ = self.first.set(now);
        }
        let learned = state.record_speed(self, kind, latency, now);
        let is_urgent = state.speeds.is_urgent();
        drop(state);
        if is_urgent {
            self.entry.membership.send_speeds_soon();
        }
        if let Some((service, ratio)) = learned {
            speeds::count_prediction(&service, ratio);
        }
    }

    /// Records the end of a stream, which tells the time per token.
    pub fn record_end(&self) {
        let Some(first) = self.first.get().filter(|_| self.work.output_tokens >= 2.0) else {
            return;
        };
        let now = self.entry.clock.now();
        // The first data holds at least one of the tokens.
        let each = now.since(*first).div_f64(self.work.output_tokens - 1.0);
        let mut state = self.entry.backends.state.lock().unwrap();
        state.record_speed(self, Kind::Pace, each, now);
    }

    /// Records that the server failed.
    pub fn record_failure(&self) {
        let now = self.entry.clock.now();
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.record_failure(&self.id, now);
    }

    /// Records that a connection to the server broke, which may have started again.
    pub fn doubt_warmth(&self) {
        let now = self.entry.clock.now();
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.doubt_warmth(&self.id, now);
    }

    /// Suspects the server, which has sent nothing to the request since `since`.
    pub fn suspect(&self, since: Time) -> Suspicion {
        let now = self.entry.clock.now();
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.suspect(&self.id, since, now)
    }

    /// Records that the suspected server has sent nothing until the request ended.
    pub fn give_up(&self) {
        let now = self.entry.clock.now();
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.give_up(&self.id, now);
    }

    /// Records a sign of life of the server.
    pub fn hear(&self) {
        let now = self.entry.clock.now();
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.hear(&self.id, now);
    }

    /// Records what the server states about itself and returns the changes.
    pub fn record_notice(&self, notice: &Notice, receipt: &Receipt) -> Vec<Change> {
        let mut state = self.entry.backends.state.lock().unwrap();
        let before = state.last_load(&self.id);
        let changes = state.servers.record_notice(&self.id, notice, receipt);
        if changes.contains(&Change::Leaving)
            && let Some(server) = state.registered.get_mut(&self.id)
        {
            server.is_leaving = true;
        }
        // As for the servers, a report of another exchange is not used.
        let load = notice.load.as_ref();
        let load = load.filter(|_| receipt.origin == Origin::Own && !notice.is_misdirected);
        let policy = load.and_then(|load| state.record_load(&self.id, load, before, receipt.now));
        // Speeds are exchanged only for services whose servers state the time of work.
        let is_predicted = state.is_predicted;
        if let Some(load) = load.filter(|load| is_predicted && load.work_percent.is_some()) {
            let speeds = state.listed_speeds();
            speeds.record_load(&self.service, load, receipt.now);
        }
        drop(state);
        if let Some(policy) = policy {
            policy.write(&self.entry);
        }
        changes
    }

    /// Returns whether the server gets no more requests.
    pub fn is_server_leaving(&self) -> bool {
        let state = self.entry.backends.state.lock().unwrap();
        let server = state.servers.get(&self.id);
        server.is_none_or(|server| server.leaving)
    }

    /// Returns whether the server has announced that it leaves.
    pub fn has_announced(&self) -> bool {
        let state = self.entry.backends.state.lock().unwrap();
        state.servers.has_announced(&self.id)
    }

    /// Returns the time at which the request was sent.
    pub const fn sent(&self) -> Time {
        self.sent
    }

    /// Returns the time since the request was sent.
    pub fn age(&self) -> Duration {
        self.entry.clock.now().since(self.sent)
    }
}

impl State {
    /// Records how long a response took, if the server stated with it how long work takes
    /// at the moment.
    ///
    /// Returns the service and the time relative to the predicted one, if there was one.
    fn record_speed(
        &mut self,
        request: &InFlight,
        kind: Kind,
        took: Duration,
        now: Time,
    ) -> Option<(Name, f64)> {
        if !self.is_predicted {
            return None;
        }
        let InFlight { id, work, sent, .. } = request;
        let (load, reported) = self.servers.get(id)?.last_load()?;
        let stated = load.work_percent.filter(|_| reported >= *sent)?;
        // The request was worked on between the two statements.
        let percent = work
            .work_percent
            .map_or(stated, |before| before.midpoint(stated));
        let work = Work {
            work_percent: Some(percent),
            ..*work
        };
        let service = self.registered.get(id)?.service.clone();
        let speeds = self.listed_speeds();
        let ratio = match kind {
            Kind::First => speeds.record(&service, id, &work, took, now),
            Kind::Pace => speeds.record_pace(&service, id, &work, took, now),
            Kind::Plain => speeds.record_plain(&service, id, &work, took, now),
        };
        Some((service, ratio?))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.end_request(&self.id);
        if let Some(began) = self.trial {
            state.servers.end_trial(&self.id, began);
        }
    }
}
