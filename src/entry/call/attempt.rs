//! One attempt at a backend server.

use std::time::Duration;

use http::Request;
use http::Response;
use http::response;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::core::verdict::Verdict;
use crate::entry::backends::Backends;
use crate::entry::backends::Chosen;
use crate::entry::backends::Seat;
use crate::entry::call::Attempted;
use crate::entry::call::Call;
use crate::entry::outside::PassOn;
use crate::entry::outside::Reply;
use crate::web::pool::Connection;
use crate::web::pool::SendError;

/// Longest time for a connection to a server to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Factor on the target after which a server that says nothing is suspected.
const SILENT_FACTOR: u32 = 3;

/// Least time after which a server that says nothing is suspected.
const MIN_SILENT: Duration = Duration::from_millis(700);

/// A server that has begun to answer.
pub struct Sent {
    /// The server.
    pub chosen: Chosen,
    /// The request's place there.
    pub seat: Seat,
    /// The connection, which cancels the request when dropped.
    pub connection: Connection,
    /// Head of the response.
    pub head: response::Parts,
    /// What the head says.
    pub reply: Reply,
    /// The rest of the response.
    pub body: Incoming,
}

impl Call {
    /// Sends the request to a server and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns why there is nothing to pass on.
    pub async fn attempt(&mut self) -> Result<Sent, Attempted> {
        let chosen = self.choose().ok_or(Attempted::NoServer)?;
        self.tried.push(chosen.id.clone());
        let seat = Backends::sit(&self.entry, &chosen);
        match self.exchange(&chosen, &seat).await {
            Ok((connection, response)) => {
                let (head, body) = response.into_parts();
                let reply = self.entry.outside.dialect.read_reply(&head);
                let sent = Sent {
                    chosen,
                    seat,
                    connection,
                    head,
                    reply,
                    body,
                };
                self.judge(sent).map_err(Attempted::Failed)
            }
            Err(cause) => {
                seat.record_failure();
                self.note_failure(&chosen, cause);
                Err(Attempted::Failed(cause))
            }
        }
    }

    /// Records what a failure says about the server.
    pub fn note_failure(&mut self, chosen: &Chosen, cause: Cause) {
        // A stream begins with its first event, which counts it.
        let is_unanswered = matches!(cause, Cause::Silent | Cause::Cut);
        let is_begun = !(is_unanswered && self.route.kind.is_stream());
        if cause.verdict() == Verdict::MayHaveRun && is_begun {
            self.count_run();
        }
        if cause.blames_version() {
            self.record_answer(chosen, true, Duration::ZERO);
        }
        if cause == Cause::Cut {
            self.look_for_crash(chosen);
        }
    }

    /// Tells the judges of version moves how an answer went.
    pub fn record_answer(&self, chosen: &Chosen, failed: bool, latency: Duration) {
        if !failed {
            self.entry.fleet.count_answered(&self.service);
        }
        let version = &chosen.listed.version;
        let route = &self.route.name;
        self.entry
            .moves
            .record(&self.service, route, version, failed, latency);
    }

    /// Finds out whether the server went down while it ran the request.
    fn look_for_crash(&self, chosen: &Chosen) {
        if chosen.listed.is_leaving {
            return;
        }
        let (address, id) = (chosen.listed.address, chosen.id.clone());
        let (entry, crash) = (self.entry.clone(), self.crash(&id));
        let request = self.ask.id.clone();
        tokio::spawn(async move {
            if Connection::open(address, CONNECT_TIMEOUT).await.is_err() {
                super::record_crash(&entry, &request, crash);
            }
        });
    }

    /// Sends the request and waits for the head of the response.
    async fn exchange(
        &self,
        chosen: &Chosen,
        seat: &Seat,
    ) -> Result<(Connection, Response<Incoming>), Cause> {
        let address = chosen.listed.address;
        // A kept connection may bring an answer to an earlier request, or may
        // have been closed unseen. That costs a request only if it can be repeated.
        if self.route.kind.is_repeatable()
            && let Some(connection) = self.entry.pool.take(address).await
        {
            match self.send(connection, chosen, seat).await {
                Err(Cause::Connect) => {}
                done => return done,
            }
        }
        let limit = CONNECT_TIMEOUT.min(self.left());
        let connection = Connection::open(address, limit)
            .await
            .map_err(|_| Cause::Connect)?;
        metrics::counter!("cassialock_connections_total").increment(1);
        self.send(connection, chosen, seat).await
    }

    async fn send(
        &self,
        mut connection: Connection,
        chosen: &Chosen,
        seat: &Seat,
    ) -> Result<(Connection, Response<Incoming>), Cause> {
        let request = self.request(chosen).ok_or(Cause::Connect)?;
        let silent = self.silent_after();
        let left = self.left();
        let response = {
            let sending = connection.send(request);
            tokio::pin!(sending);
            match tokio::time::timeout(silent.min(left), &mut sending).await {
                Ok(response) => response,
                Err(_) if silent >= left || self.route.kind.is_repeatable() => {
                    return Err(Cause::Silent);
                }
                Err(_) => {
                    // The request cannot be sent again, but others can go elsewhere.
                    seat.record_failure();
                    tokio::time::timeout(self.left(), &mut sending)
                        .await
                        .map_err(|_| Cause::Silent)?
                }
            }
        };
        match response {
            Ok(response) => Ok((connection, response)),
            Err(SendError::NotSent) => Err(Cause::Connect),
            Err(SendError::Cut) => Err(Cause::Cut),
            Err(SendError::Garbled) => Err(Cause::Garbled),
        }
    }

    /// Returns the silence after which a server is suspected.
    pub fn silent_after(&self) -> Duration {
        (self.route.target * SILENT_FACTOR).max(MIN_SILENT)
    }

    fn request(&self, chosen: &Chosen) -> Option<Request<Full<bytes::Bytes>>> {
        let order = PassOn {
            instance: &chosen.listed.instance,
            left: self.left(),
            workspace: self.workspace.as_ref().map(|w| &*w.name),
            priority: self.route.kind.is_stream().then(|| self.priority()),
            last_event: self.last_event.as_deref(),
        };
        let headers = self.entry.outside.dialect.pass_on(&self.headers, &order);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Decides whether the head of a response belongs to this request and can
    /// be passed on.
    fn judge(&mut self, sent: Sent) -> Result<Sent, Cause> {
        let reply = &sent.reply;
        if let Some(load) = reply.load {
            sent.seat.record_load(load);
        }
        if reply.is_other {
            self.entry.backends.set_gone(&sent.chosen);
            return Err(Cause::Busy);
        }
        let cause = if reply.is_not_run {
            Cause::Busy
        } else if reply.request.as_ref().is_some_and(|id| *id != self.ask.id) {
            Cause::Crossed
        } else if !reply.is_signed {
            Cause::Garbled
        } else if sent.head.status.is_server_error() && self.may_repeat_failure() {
            Cause::Failed
        } else {
            return Ok(sent);
        };
        if cause != Cause::Busy {
            sent.seat.record_failure();
        }
        self.note_failure(&sent.chosen, cause);
        Err(cause)
    }

    /// Returns whether a failure that a server answered is worth another attempt.
    fn may_repeat_failure(&self) -> bool {
        let mut tries = self.tries;
        tries.record(Cause::Failed);
        let repeatable = self.route.kind == crate::core::catalog::Kind::Idempotent;
        let now = self.entry.clock.now();
        let decision = tries.decide(self.route.attempts, repeatable, self.deadline, now);
        decision == Decision::Again && self.entry.limits.has_budget(&self.service)
    }
}
