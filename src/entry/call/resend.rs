//! Requests whose kept connection closes before any byte of an answer.
//!
//! A server closes its idle connections after a while, and a request may arrive at that
//! moment.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::core::Name;
use crate::core::quarantine::features::Features;
use crate::core::retry::Cause;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::backends::ChosenBackend;
use crate::entry::call::Call;
use crate::entry::call::attempt;
use crate::entry::call::receive::HeadResult;
use crate::entry::quarantine;
use crate::telemetry::events::Event;
use crate::web::pool::Connection;
use crate::web::pool::SendError;

/// Marks the response to a request that was sent twice and may have run before.
#[derive(Clone, Copy, Debug)]
pub struct Resent;

/// A copy of a request that was sent on a kept connection.
pub struct Resend {
    entry: Arc<Entry>,
    id: Name,
    service: Name,
    features: Features,
    server: ChosenBackend,
    request: Request<Full<Bytes>>,
    arrived: Time,
    deadline: Time,
}

impl Resend {
    /// Creates a copy of a request to a server.
    pub fn new(call: &Call, server: &ChosenBackend, request: Request<Full<Bytes>>) -> Self {
        Self {
            entry: Arc::clone(&call.entry),
            id: call.request.id.clone(),
            service: call.service.clone(),
            features: call.features.clone(),
            // Another arrival at a cold server would not be counted.
            server: ChosenBackend {
                paced: None,
                ..server.clone()
            },
            request,
            arrived: call.arrived,
            deadline: call.deadlines.end,
        }
    }

    /// Sends the request to the same server on a new connection.
    ///
    /// # Errors
    ///
    /// Returns the cause if there is no answer; the request may have run in any case.
    pub async fn run(mut self) -> HeadResult {
        let connected = self.connect().await;
        let outcome = connected.as_ref().err().copied().unwrap_or("sent_again");
        metrics::counter!("cassialock_closed_connections_total", "outcome" => outcome).increment(1);
        let now = self.entry.clock.now();
        self.entry.events.write(
            Event::for_request("kept_connection_closed", &self.id)
                .with("backend", &*self.server.id)
                .with("outcome", outcome)
                .with_ms("after_ms", now.since(self.arrived)),
        );
        let connection = connected.map_err(|_| Cause::Cut)?;
        let left = self.time_left();
        let dialect = &self.entry.adapter.dialect;
        dialect.set_remaining(self.request.headers_mut(), left);
        match attempt::exchange(connection, self.request).await {
            Ok(mut received) => {
                received.mark_resent();
                Ok(received)
            }
            Err(SendError::Garbled) => Err(Cause::Garbled),
            Err(SendError::Cut | SendError::NotSent(_)) => Err(Cause::Cut),
        }
    }

    /// Opens a connection, or returns the reason why the request is not sent again.
    ///
    /// Another arrival at the service is paid from its retry budget.
    async fn connect(&self) -> Result<Connection, &'static str> {
        if quarantine::check(&self.entry, &self.features).is_err() {
            return Err("crashing_request");
        }
        if !self.entry.limits.has_retry(&self.service) {
            return Err("retry_budget");
        }
        let connecting = attempt::connect(&self.entry, &self.server, self.time_left());
        let connection = connecting.await.map_err(|cause| match cause {
            Cause::Closed => "server_closed",
            _ => "no_connection",
        })?;
        if self.entry.limits.spend_retry(&self.service) {
            Ok(connection)
        } else {
            Err("retry_budget")
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.since(self.entry.clock.now())
    }
}
