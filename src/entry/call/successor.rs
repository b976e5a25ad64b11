//! Servers that go on with a stream that has broken off.

use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::entry::backends::ChosenBackend;
use crate::entry::call::Call;
use crate::entry::call::attempt::Scope;
use crate::entry::call::attempt::ServerResponse;
use crate::entry::call::silence::SEARCH_INTERVAL;
use crate::entry::quarantine;
use crate::telemetry::events::Event;

impl Call {
    /// Sends a stream that broke off because of `cause` to another server, from the last
    /// event that the caller has.
    ///
    /// When no other server may get it, it goes back to one that has had it.
    ///
    /// # Errors
    ///
    /// Returns the cause of the last failure if the stream cannot go on.
    pub async fn find_successor(&mut self, mut cause: Cause) -> Result<ServerResponse, Cause> {
        loop {
            let now = self.entry.clock.now();
            let allowed = self.route.max_attempts;
            let decision = self.attempts.decide_stream(allowed, self.deadline(), now);
            if self.last_event.is_none() || self.apply(decision, cause).is_err() {
                return Err(cause);
            }
            let scope = match decision {
                Decision::Return => Scope::Tried,
                _ => Scope::All,
            };
            let server = self.wait_for_server(scope).await.ok_or(cause)?;
            let response = match self.start(server).await {
                Ok(sent) => self.wait_head(sent).await,
                Err(failed) => Err(failed),
            };
            match response.and_then(|response| self.check_successor(response)) {
                Ok(response) => return Ok(response),
                Err(failed) => cause = failed,
            }
        }
    }

    /// Waits until a server can be chosen, or returns `None` if none can be in time.
    ///
    /// The caller of a stream that has begun waits anyway, and a server may be closed or
    /// missing from the list for a moment.
    async fn wait_for_server(&self, scope: Scope) -> Option<ChosenBackend> {
        if let Ok(server) = self.choose(scope) {
            return Some(server);
        }
        let began = self.entry.clock.now();
        let searching = async {
            loop {
                tokio::time::sleep(SEARCH_INTERVAL).await;
                if quarantine::check(&self.entry, &self.features).is_err() {
                    return Err("crashing_request");
                }
                if let Ok(server) = self.choose(scope) {
                    return Ok(server);
                }
                if scope == Scope::Tried && !self.entry.backends.has_any(&self.tried) {
                    return Err("no_server");
                }
            }
        };
        let found = tokio::time::timeout(self.time_left(), searching).await;
        let found = found.unwrap_or(Err("deadline"));
        let outcome = found.as_ref().err().copied().unwrap_or("found");
        metrics::counter!("cassialock_stream_waits_total", "outcome" => outcome).increment(1);
        self.entry.events.write(
            Event::for_request("stream_waited", &self.request.id)
                .with("last_event", self.last_event.as_deref())
                .with("backend", found.as_ref().ok().map(|server| &*server.id))
                .with("outcome", outcome)
                .with_ms("waited_ms", self.entry.clock.now().since(began)),
        );
        found.ok()
    }
}
