//! Sends a request to one backend server and checks the head of its response.

use std::io::ErrorKind;
use std::time::Duration;

use http::Request;
use http::Response;
use http::response;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::core::verdict::Verdict;
use crate::entry::adapter::ForwardInfo;
use crate::entry::adapter::ResponseInfo;
use crate::entry::backends::Backends;
use crate::entry::backends::ChosenBackend;
use crate::entry::backends::InFlight;
use crate::entry::call::AttemptError;
use crate::entry::call::Call;
use crate::entry::moves::PendingResponse;
use crate::entry::quarantine;
use crate::web::pool::Connection;
use crate::web::pool::SendError;

/// Timeout for opening a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Multiple of the route's target latency after which a silent server is suspected.
const SILENCE_FACTOR: u32 = 3;

/// Shortest silence after which a server is suspected.
const MIN_SILENCE: Duration = Duration::from_millis(700);

/// A server's response whose head has arrived and whose body has not been read.
pub struct ServerResponse {
    /// The server that sent the response.
    pub server: ChosenBackend,
    /// Counts the request as in flight at the server.
    pub in_flight: InFlight,
    /// The connection; dropping it cancels the request.
    pub connection: Connection,
    /// Head of the response, as received.
    pub head: response::Parts,
    /// Fields parsed from the head.
    pub info: ResponseInfo,
    /// Body of the response.
    pub body: Incoming,
}

impl Call {
    /// Sends the request to a server and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no server to try or the attempt failed.
    pub async fn attempt(&mut self) -> Result<ServerResponse, AttemptError> {
        let server = self.choose().map_err(AttemptError::Unavailable)?;
        self.tried.push(server.id.clone());
        self.pending = Some(PendingResponse::new(
            &self.entry,
            &self.request.id,
            &self.service,
            &self.route.name,
            &server,
        ));
        self.answer_began = None;
        self.is_sound = false;
        let in_flight = Backends::begin(&self.entry, &server);
        match self.exchange(&server, &in_flight).await {
            Ok((connection, response)) => {
                let (head, body) = response.into_parts();
                let info = self.entry.adapter.dialect.read_response(&head);
                let response = ServerResponse {
                    server,
                    in_flight,
                    connection,
                    head,
                    info,
                    body,
                };
                self.check_head(response).map_err(AttemptError::Failed)
            }
            Err(cause) => {
                in_flight.record_failure();
                self.record_failure(&server, cause);
                Err(AttemptError::Failed(cause))
            }
        }
    }

    /// Records the effects of a failed attempt on usage and on the server's version,
    /// and checks whether the server crashed.
    pub fn record_failure(&mut self, server: &ChosenBackend, cause: Cause) {
        match self.pending.take() {
            Some(pending) if cause != Cause::Silent => pending.settle(),
            // Dropping it records a response that took too long.
            _ => {}
        }
        // A streaming request counts as run from its first event on, and the forwarder
        // counts it then.
        let is_incomplete = matches!(cause, Cause::Silent | Cause::Cut);
        let has_run = !(is_incomplete && self.route.kind.is_stream());
        if cause.verdict() == Verdict::MayHaveRun && has_run {
            self.count_run();
        }
        if cause.is_version_fault() {
            self.record_outcome(server, true, Duration::ZERO);
        }
        if cause == Cause::Cut {
            self.check_for_crash(server);
        }
    }

    /// Records the outcome of a request, by which new versions are judged.
    pub fn record_outcome(&mut self, server: &ChosenBackend, failed: bool, latency: Duration) {
        if let Some(pending) = self.pending.take() {
            pending.settle();
        }
        if !failed {
            self.entry.service_load.count_answered(&self.service);
        }
        let version = &server.server.version;
        let route = &self.route.name;
        self.entry
            .moves
            .record(&self.service, route, version, failed, latency);
    }

    /// Records a crash if the server's process has ended.
    ///
    /// A server that is leaving is not checked, and one that does not respond at all
    /// may only be unreachable.
    fn check_for_crash(&self, server: &ChosenBackend) {
        if server.server.is_leaving || self.is_sound {
            return;
        }
        let (address, id) = (server.server.address, server.id.clone());
        let (entry, features) = (self.entry.clone(), self.features.clone());
        let request_id = self.request.id.clone();
        tokio::spawn(async move {
            let opened = Connection::open(address, CONNECT_TIMEOUT).await;
            let is_closed = |kind| {
                matches!(
                    kind,
                    ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
                )
            };
            if opened.is_err_and(|e| is_closed(e.kind())) {
                quarantine::record_crash(&entry, &request_id, &id, &features);
            }
        });
    }

    /// Sends the request and waits for the head of the response.
    async fn exchange(
        &self,
        server: &ChosenBackend,
        in_flight: &InFlight,
    ) -> Result<(Connection, Response<Incoming>), Cause> {
        let address = server.server.address;
        // A pooled connection may deliver the response to an earlier request, or the
        // server may have closed it. Only repeatable requests can be sent again, so
        // all others open a new connection.
        if self.route.kind.is_repeatable()
            && let Some(connection) = self.entry.pool.take(address).await
        {
            match self.send(connection, server, in_flight).await {
                Err(Cause::Connect) => {}
                result => return result,
            }
        }
        let limit = CONNECT_TIMEOUT.min(self.time_left());
        let connection = Connection::open(address, limit)
            .await
            .map_err(|_| Cause::Connect)?;
        metrics::counter!("cassialock_connections_total").increment(1);
        self.send(connection, server, in_flight).await
    }

    async fn send(
        &self,
        mut connection: Connection,
        server: &ChosenBackend,
        in_flight: &InFlight,
    ) -> Result<(Connection, Response<Incoming>), Cause> {
        let request = self.build_request(server).ok_or(Cause::Connect)?;
        let silence = self.silence_limit();
        let remaining = self.time_left();
        let response = {
            let sending = connection.send(request);
            tokio::pin!(sending);
            match tokio::time::timeout(silence.min(remaining), &mut sending).await {
                Ok(response) => response,
                Err(_) if silence >= remaining || self.route.kind.is_repeatable() => {
                    return Err(Cause::Silent);
                }
                Err(_) => {
                    // This request cannot be sent again, but the recorded failure
                    // directs other requests elsewhere.
                    in_flight.record_failure();
                    tokio::time::timeout(self.time_left(), &mut sending)
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

    /// Returns the length of silence after which a server is suspected.
    pub fn silence_limit(&self) -> Duration {
        (self.route.target_latency * SILENCE_FACTOR).max(MIN_SILENCE)
    }

    fn build_request(&self, server: &ChosenBackend) -> Option<Request<Full<bytes::Bytes>>> {
        let info = ForwardInfo {
            instance: &server.server.instance,
            remaining: self.time_left(),
            workspace: self.workspace.as_ref().map(|w| &*w.name),
            priority: self.route.kind.is_stream().then(|| self.priority()),
            last_event: self.last_event.as_deref(),
        };
        let headers = self
            .entry
            .adapter
            .dialect
            .forward_headers(&self.headers, &info);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Checks that the head of a response belongs to this request and can be
    /// forwarded.
    fn check_head(&mut self, response: ServerResponse) -> Result<ServerResponse, Cause> {
        let info = &response.info;
        if let Some(load) = info.load {
            response.in_flight.record_load(load);
        }
        if info.is_misdirected {
            self.entry.backends.mark_gone(&response.server);
            return Err(Cause::Busy);
        }
        let cause = if info.is_not_run {
            Cause::Busy
        } else if info
            .request_id
            .as_ref()
            .is_some_and(|id| *id != self.request.id)
        {
            Cause::Crossed
        } else if !info.is_signed {
            Cause::Garbled
        } else if response.head.status.is_server_error() && self.may_retry_error() {
            Cause::Failed
        } else {
            response.in_flight.record_rate_limit(info.rate_limit);
            return Ok(response);
        };
        if cause != Cause::Busy {
            response.in_flight.record_failure();
        }
        self.record_failure(&response.server, cause);
        Err(cause)
    }

    /// Returns whether the request may be retried after an error response.
    fn may_retry_error(&self) -> bool {
        let mut attempts = self.attempts;
        attempts.record(Cause::Failed);
        let repeatable = self.route.kind == crate::core::catalog::RouteKind::Idempotent;
        let now = self.entry.clock.now();
        let decision = attempts.decide(self.route.max_attempts, repeatable, self.deadline, now);
        decision == Decision::Again && self.entry.limits.has_retry(&self.service)
    }
}
