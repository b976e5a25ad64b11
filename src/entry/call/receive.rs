//! Checks the head of a backend server's response.

use bytes::Bytes;
use http::Response;
use http::response;
use hyper::body::Incoming;

use crate::core::Name;
use crate::core::answer::Class;
use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::entry::Entry;
use crate::entry::adapter::ResponseInfo;
use crate::entry::call::Call;
use crate::entry::call::attempt::Attempt;
use crate::entry::call::attempt::ServerResponse;
use crate::entry::call::resend::Resent;
use crate::entry::notices;
use crate::telemetry::events::Event;
use crate::web::pool::Connection;

/// The head of a response as it arrived, before it is checked.
pub struct ReceivedHead {
    connection: Connection,
    head: response::Parts,
    body: Incoming,
}

/// The head of a response, or the reason why there is none.
pub type HeadResult = Result<ReceivedHead, Cause>;

impl Call {
    /// Checks the head of a response.
    ///
    /// # Errors
    ///
    /// Returns the cause if there is no head, or none that can be forwarded.
    pub fn receive(&mut self, attempt: Attempt, head: HeadResult) -> Result<ServerResponse, Cause> {
        let ReceivedHead {
            connection,
            head,
            body,
        } = match head {
            Ok(received) => received,
            Err(cause) => return Err(self.fail(attempt, cause)),
        };
        if head.extensions.get::<Resent>().is_some() {
            self.attempts.may_have_run = true;
        }
        let info = self.entry.adapter.dialect.read_response(&head);
        self.check_head(ServerResponse {
            attempt,
            connection,
            head,
            info,
            first: Bytes::new(),
            body,
        })
    }

    /// Checks that the head of a response belongs to this request and can be
    /// forwarded.
    fn check_head(&mut self, mut response: ServerResponse) -> Result<ServerResponse, Cause> {
        let info = &response.info;
        let Attempt {
            server, in_flight, ..
        } = &response.attempt;
        notices::record(&self.entry, &self.request.id, server, in_flight, info);
        let fault = find_fault(info, &self.request.id);
        if fault == Some(Cause::Crossed) {
            self.record_crossed(&response);
        } else {
            let now = self.entry.clock.now();
            response.attempt.record_life(now);
        }
        let is_error = response.class().is_failure();
        match fault {
            Some(cause) => Err(self.fail(response.attempt, cause)),
            None if is_error && self.may_retry_error(&response.attempt) => {
                Err(self.fail(response.attempt, Cause::Failed))
            }
            None => Ok(response),
        }
    }

    /// Checks that a response may take the place of another server's.
    ///
    /// # Errors
    ///
    /// Returns the cause if it is a failure, or not a stream that can be resumed.
    pub fn check_successor(&mut self, response: ServerResponse) -> Result<ServerResponse, Cause> {
        let cause = if response.class() != Class::Success {
            Cause::Failed
        } else if self.is_resumable() && !response.info.is_event_stream {
            Cause::Garbled
        } else {
            return Ok(response);
        };
        if self.last_event.is_some() {
            self.record_refused_successor(&response.attempt, cause, None);
        }
        Err(self.fail(response.attempt, cause))
    }

    /// Writes the event of a response that does not continue the stream of another
    /// server.
    pub fn record_refused_successor(&self, attempt: &Attempt, cause: Cause, id: Option<&str>) {
        self.entry.events.write(
            Event::for_request("continuation_refused", &self.request.id)
                .with("backend", &*attempt.server.id)
                .with("cause", cause.as_str())
                .with("last_event", self.last_event.as_deref())
                .with("event_id", id)
                .with_ms("age_ms", attempt.in_flight.age()),
        );
    }

    /// Writes the event of a response that belongs to another request.
    fn record_crossed(&self, response: &ServerResponse) {
        let info = &response.info;
        self.entry.events.write(
            Event::for_request("answer_crossed", &self.request.id)
                .with("backend", &*response.attempt.server.id)
                .with("other_request", info.request_id.as_deref())
                .with("status", response.head.status.as_u16())
                .with("says_not_run", info.is_not_run)
                .with_ms("age_ms", response.attempt.in_flight.age()),
        );
    }

    /// Returns whether the request may be retried after an error response.
    fn may_retry_error(&self, attempt: &Attempt) -> bool {
        let mut attempts = self.attempts;
        if !attempt.is_counted {
            attempts.record(Cause::Failed);
        }
        let repeatable = self.route.kind == crate::core::catalog::RouteKind::Idempotent;
        let now = self.entry.clock.now();
        let decision = attempts.decide(self.route.max_attempts, repeatable, self.deadline(), now);
        decision == Decision::Again && self.entry.limits.has_retry(&self.service)
    }
}

/// Returns why the answer to a request cannot be forwarded, if its head shows that.
fn find_fault(info: &ResponseInfo, request: &Name) -> Option<Cause> {
    // Nothing in the answer to another request holds for this one.
    if info.request_id.as_ref() != Some(request) {
        Some(Cause::Crossed)
    } else if info.is_not_run {
        Some(Cause::Busy)
    } else if !info.is_signed {
        Some(Cause::Garbled)
    } else if info.is_promise {
        // The server does not state what its status promises to the caller.
        Some(Cause::Failed)
    } else {
        None
    }
}

impl ServerResponse {
    /// Returns the class of the response.
    pub fn class(&self) -> Class {
        Class::of(self.head.status.as_u16())
    }
}

impl ReceivedHead {
    /// Splits a response that arrived on `connection`.
    pub fn new(connection: Connection, response: Response<Incoming>) -> Self {
        let (head, body) = response.into_parts();
        Self {
            connection,
            head,
            body,
        }
    }

    /// Marks the response to a request that was sent twice.
    pub fn mark_resent(&mut self) {
        self.head.extensions.insert(Resent);
    }

    /// Returns whether the response answers the request, if only with a rejection.
    pub fn is_usable(&self, entry: &Entry, request: &Name) -> bool {
        let info = entry.adapter.dialect.read_response(&self.head);
        find_fault(&info, request).is_none() && !Class::of(self.head.status.as_u16()).is_failure()
    }
}
