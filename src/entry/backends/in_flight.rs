//! Requests in flight at backend servers.

use std::sync::Arc;
use std::time::Duration;

use crate::core::Name;
use crate::core::route::Forecast;
use crate::core::route::servers::notice::Change;
use crate::core::route::servers::notice::Notice;
use crate::core::route::servers::notice::Origin;
use crate::core::route::servers::notice::Receipt;
use crate::core::route::servers::silence::Suspicion;
use crate::core::route::speed::Work;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::backends::ChosenBackend;

/// Counts a request as in flight at a server until dropped.
pub struct InFlight {
    entry: Arc<Entry>,
    id: Name,
    sent: Time,
    trial: Option<Time>,
    service: Name,
    work: Work,
    forecast: Option<Forecast>,
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
        }
    }

    /// Records a response and its latency relative to the route's target.
    pub fn record_success(&self, target: Duration) {
        let latency = self.entry.clock.now().since(self.sent);
        let ratio = latency.as_secs_f64() / target.as_secs_f64().max(0.001);
        let mut state = self.entry.backends.state.lock().unwrap();
        // One millisecond stands for 1 % of the target, so that routes with
        // different targets are comparable.
        state
            .servers
            .record_success(&self.id, Duration::from_secs_f64(ratio / 10.0));
        state.record_first(&self.service, &self.work, self.forecast, latency);
    }

    /// Records that the server failed.
    pub fn record_failure(&self) {
        let now = self.entry.clock.now();
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.record_failure(&self.id, now);
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
        let load = notice.load.as_ref();
        let load = load.filter(|_| receipt.origin == Origin::Own && !notice.is_misdirected);
        let policy = load.and_then(|load| state.record_load(&self.id, load, before, receipt.now));
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

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.entry.backends.state.lock().unwrap();
        state.servers.end_request(&self.id);
        if let Some(began) = self.trial {
            state.servers.end_trial(&self.id, began);
        }
    }
}
