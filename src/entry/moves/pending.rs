//! Responses that servers have not begun.

use std::sync::Arc;

use crate::core::Name;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::backends::ChosenBackend;
use crate::entry::moves;
use crate::telemetry::events::Event;

/// A response that a server has not begun.
///
/// If it is dropped, the request was given up, which counts against a slow version.
pub struct PendingResponse {
    entry: Arc<Entry>,
    request: Name,
    service: Name,
    route: Name,
    server: ChosenBackend,
    sent_at: Time,
    is_settled: bool,
}

impl PendingResponse {
    /// Starts to wait for the response to a request on `route`.
    pub fn new(
        entry: &Arc<Entry>,
        request: &Name,
        service: &Name,
        route: &Name,
        server: &ChosenBackend,
    ) -> Self {
        Self {
            request: request.clone(),
            service: service.clone(),
            route: route.clone(),
            server: server.clone(),
            sent_at: entry.clock.now(),
            entry: Arc::clone(entry),
            is_settled: false,
        }
    }

    /// Ends the wait, because the outcome is known.
    pub fn settle(mut self) {
        self.is_settled = true;
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let waited = self.entry.clock.now().since(self.sent_at);
        self.entry.events.write(
            Event::for_request("response_abandoned", &self.request)
                .with("route", &*self.route)
                .with("backend", &*self.server.id)
                .with_ms("waited_ms", waited),
        );
        let mut canaries = self.entry.moves.canaries.lock().unwrap();
        let Some(canary) = canaries.get_mut(&self.service) else {
            return;
        };
        let is_new = canary.target == self.server.server.version;
        let detector = &mut canary.detector;
        detector.record_unanswered(&self.route, is_new, waited);
        drop(canaries);
        if is_new {
            moves::judge(&self.entry);
        }
    }
}
