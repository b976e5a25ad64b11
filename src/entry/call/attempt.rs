//! Sends a request to one backend server and checks the head of its response.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Request;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::core::moves::detector::Outcome;
use crate::core::retry::Cause;
use crate::core::route::servers::silence::Suspicion;
use crate::core::time::Time;
use crate::core::verdict::Verdict;
use crate::entry::Entry;
use crate::entry::adapter::ForwardInfo;
use crate::entry::adapter::ResponseInfo;
use crate::entry::backends::ChosenBackend;
use crate::entry::backends::cold;
use crate::entry::backends::in_flight::InFlight;
use crate::entry::call::AttemptError;
use crate::entry::call::Call;
use crate::entry::call::hedge::Waited;
use crate::entry::call::receive::HeadResult;
use crate::entry::call::receive::ReceivedHead;
use crate::entry::call::resend::Resend;
use crate::entry::call::silence::Relief;
use crate::entry::moves;
use crate::entry::moves::pending::PendingResponse;
use crate::entry::notices;
use crate::entry::quarantine;
use crate::web::pool::Connection;
use crate::web::pool::SendError;

/// Timeout for opening a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Multiple of the route's target latency, or of the predicted time if that is longer,
/// after which a silent server is suspected.
const SILENCE_FACTOR: u32 = 3;

/// Shortest silence after which a server is suspected.
const MIN_SILENCE: Duration = Duration::from_millis(700);

/// Time after the first bytes of an answer from which its request is not suspected
/// of crashing the server.
const SOUND_AFTER: Duration = Duration::from_millis(250);

/// Interval at which signs of life of a server are recorded.
const LIFE_INTERVAL: Duration = Duration::from_millis(100);

/// One attempt at a server.
pub struct Attempt {
    /// The server.
    pub server: ChosenBackend,
    /// Counts the request as in flight at the server.
    pub in_flight: InFlight,
    /// The wait for the response; `None` once its outcome is known.
    pending: Option<PendingResponse>,
    /// Whether the attempt is counted among those that may have run.
    pub is_counted: bool,
    /// Time of the last sign of life of the server to the request.
    heard_at: Time,
    /// Time at which it was last recorded for the server.
    recorded_at: Option<Time>,
    /// How the current silence counts against the server, if it is suspected.
    suspicion: Option<Suspicion>,
    /// Time at which the answer began, on the clock of the fleet.
    began: Option<Time>,
    /// Whether the answer shows that the request does not crash servers.
    is_sound: bool,
}

/// A request that was sent to a server and whose response has not begun.
///
/// Dropping it cancels the request.
pub struct Sent {
    /// The attempt.
    pub attempt: Attempt,
    /// Ends with the head of the response.
    pub head: BoxFuture<'static, HeadResult>,
}

/// A server's response whose head has arrived and whose body has not been read.
pub struct ServerResponse {
    /// The attempt at the server that sent the response.
    pub attempt: Attempt,
    /// The connection; dropping it cancels the request.
    pub connection: Connection,
    /// Head of the response, as received.
    pub head: response::Parts,
    /// Fields parsed from the head.
    pub info: ResponseInfo,
    /// What was read of the body already.
    pub first: Bytes,
    /// Rest of the body.
    pub body: Incoming,
}

/// The servers that an attempt may choose from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// All servers; those that were tried are the last choice.
    All,
    /// Servers that were not tried.
    Untried,
    /// Servers that were tried; the last one is the last choice.
    Tried,
}

impl Call {
    /// Sends the request to a server and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no server to try or the attempt failed.
    pub async fn attempt(&mut self) -> Result<ServerResponse, AttemptError> {
        self.refresh_load().await;
        let server = self.choose(Scope::All).map_err(AttemptError::Unavailable)?;
        let sent = self.start(server).await.map_err(AttemptError::Failed)?;
        self.begin_wait(&sent.attempt);
        let response = self.wait_head(sent).await.map_err(AttemptError::Failed)?;
        // The response to a stream begins with its first data.
        if !self.route.kind.is_stream() && !response.class().is_failure() {
            self.record_begun();
        }
        Ok(response)
    }

    /// Connects to a server and starts an attempt at it.
    ///
    /// # Errors
    ///
    /// Returns the cause if nothing can be sent to the server.
    pub async fn start(&mut self, server: ChosenBackend) -> Result<Sent, Cause> {
        self.tried.push(server.id.clone());
        let attempt = Attempt {
            pending: Some(PendingResponse::new(
                &self.entry,
                &self.request.id,
                &self.service,
                &self.route.name,
                &server,
            )),
            in_flight: InFlight::new(&self.entry, &server),
            server,
            is_counted: false,
            heard_at: self.entry.clock.now(),
            recorded_at: None,
            suspicion: None,
            began: None,
            is_sound: false,
        };
        match self.send(&attempt.server).await {
            Ok(head) => Ok(Sent { attempt, head }),
            Err(cause) => Err(self.fail(attempt, cause)),
        }
    }

    /// Waits for the head of a response, at first from the server of `sent`.
    ///
    /// # Errors
    ///
    /// Returns the cause if the attempt failed.
    pub async fn wait_head(&mut self, mut sent: Sent) -> Result<ServerResponse, Cause> {
        loop {
            let (limit, left) = (self.silence_limit(&sent.attempt), self.time_left());
            let (entry, id) = (Arc::clone(&self.entry), self.request.id.clone());
            let is_usable = move |head: &HeadResult| {
                let head = head.as_ref().ok();
                head.is_some_and(|received| received.is_usable(&entry, &id))
            };
            let Sent { attempt, head } = &mut sent;
            let waiting = self.wait_or_hedge(attempt, &mut *head, &is_usable, limit.min(left));
            let relief = match waiting.await {
                Waited::Begun(head) => return self.receive(sent.attempt, head),
                Waited::Silent if left <= limit => {
                    return Err(self.fail(sent.attempt, Cause::Silent));
                }
                Waited::Silent => self.relieve(attempt, head, is_usable, true).await,
                Waited::Hedged(relief) => relief,
            };
            match relief {
                Relief::Resumed(head) => return self.receive(sent.attempt, head),
                Relief::Failed(head, next) => {
                    let silent = std::mem::replace(&mut sent, *next);
                    // The cause of a failed attempt is recorded by the check.
                    if let Ok(response) = self.receive(silent.attempt, head) {
                        self.fail(response.attempt, Cause::Failed);
                    }
                }
                Relief::Replaced(response) => {
                    let cause = sent.attempt.loss();
                    self.fail(sent.attempt, cause);
                    return Ok(*response);
                }
                Relief::Moved(next) => {
                    let silent = std::mem::replace(&mut sent, *next);
                    let cause = silent.attempt.loss();
                    self.fail(silent.attempt, cause);
                }
                Relief::Expired => return Err(self.fail(sent.attempt, Cause::Silent)),
            }
        }
    }

    /// Records the failure of an attempt and returns its cause.
    pub fn fail(&mut self, mut attempt: Attempt, cause: Cause) -> Cause {
        attempt.record_failure(cause);
        if attempt.is_counted {
            self.attempts.correct(cause);
        } else {
            self.attempts.record(cause);
        }
        match attempt.pending.take() {
            Some(pending) if cause != Cause::Silent => pending.settle(),
            // Dropping it records a response that took too long.
            _ => {}
        }
        // A streaming request counts as run from its first event on, and the forwarder
        // counts it then.
        let is_incomplete = matches!(cause, Cause::Silent | Cause::Cut | Cause::Hedged);
        let has_run = !(is_incomplete && self.route.kind.is_stream());
        if cause.verdict() == Verdict::MayHaveRun && has_run {
            self.count_run();
        }
        if cause.is_version_fault() {
            self.record_outcome(&mut attempt, Outcome::Failed);
        }
        if cause == Cause::Cut {
            self.check_for_crash(&attempt);
        }
        cause
    }

    /// Counts an attempt among those that may have run, before its outcome is known.
    pub fn count_attempt(&mut self, attempt: &mut Attempt) {
        if !std::mem::replace(&mut attempt.is_counted, true) {
            self.attempts.record(Cause::Silent);
        }
    }

    /// Records that some of the answer has arrived, or all of it if `is_complete`.
    ///
    /// A server that crashes as it begins to answer may still send some bytes.
    pub fn record_progress(&self, attempt: &mut Attempt, is_complete: bool) {
        attempt.record_life(self.entry.clock.now());
        if attempt.is_sound {
            return;
        }
        let now = self.entry.cluster_time();
        let began = *attempt.began.get_or_insert(now);
        if is_complete || now.since(began) >= SOUND_AFTER {
            attempt.is_sound = true;
            let crashes = &self.entry.crashes;
            crashes.record_success(&self.features, began, now);
        }
    }

    /// Records the outcome of a request, by which new versions are judged.
    pub fn record_outcome(&self, attempt: &mut Attempt, outcome: Outcome) {
        if let Some(pending) = attempt.pending.take() {
            pending.settle();
        }
        if outcome != Outcome::Failed {
            self.entry.service_load.count_answered(&self.service);
        }
        let version = &attempt.server.server.version;
        let route = &self.route.name;
        let moves = &self.entry.moves;
        if moves.record(&self.service, route, version, outcome) {
            moves::judge(&self.entry);
        }
    }

    /// Records a crash if the server's process has ended.
    ///
    /// A server that is leaving is not checked, and one that does not respond at all
    /// may only be unreachable.
    fn check_for_crash(&self, attempt: &Attempt) {
        let server = &attempt.server;
        let is_leaving = server.server.is_leaving || attempt.in_flight.has_announced();
        if is_leaving || attempt.is_sound {
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

    /// Connects to a server and returns the exchange with it, which sends the request
    /// when it is first polled.
    async fn send(&self, server: &ChosenBackend) -> Result<BoxFuture<'static, HeadResult>, Cause> {
        let address = server.server.address;
        // A pooled connection may deliver the response to an earlier request, or the
        // server may have closed it. Only repeatable requests can be sent again, so
        // all others open a new connection.
        let pooled = if self.route.kind.is_repeatable() {
            self.entry.pool.take(address)
        } else {
            None
        };
        let Some(mut connection) = pooled else {
            let connection = connect(&self.entry, server, self.time_left()).await?;
            let mut request = self.build_request(server).ok_or(Cause::Connect)?;
            self.watch_interim(server, &mut request);
            return Ok(Box::pin(async move {
                exchange(connection, request).await.map_err(to_cause)
            }));
        };
        let mut request = self.build_request(server).ok_or(Cause::Connect)?;
        self.watch_interim(server, &mut request);
        let resend = Resend::new(self, server, request.clone());
        let (entry, server) = (Arc::clone(&self.entry), server.clone());
        let left = self.time_left();
        Ok(Box::pin(async move {
            match connection.send(request).await {
                Ok(response) => Ok(ReceivedHead::new(connection, response)),
                Err(SendError::NotSent(Some(request))) => {
                    let connection = connect(&entry, &server, left).await?;
                    exchange(connection, *request).await.map_err(to_cause)
                }
                Err(SendError::Cut) if !connection.has_received() => resend.run().await,
                Err(e) => Err(to_cause(e)),
            }
        }))
    }

    /// Counts what the server states in interim responses to a request.
    fn watch_interim(&self, server: &ChosenBackend, request: &mut Request<Full<Bytes>>) {
        let (entry, backend) = (Arc::clone(&self.entry), server.id.clone());
        let id = self.request.id.clone();
        hyper::ext::on_informational(request, move |interim| {
            let dialect = &entry.adapter.dialect;
            let notice = dialect.read_notice(interim.status(), interim.headers());
            notices::ignore_interim(&entry, &id, &backend, &notice);
        });
    }

    /// Returns the length of silence after which the server of an attempt is suspected.
    ///
    /// A server that is predicted to be slow is not taken for a silent one.
    pub fn silence_limit(&self, attempt: &Attempt) -> Duration {
        let forecast = attempt.server.forecast;
        let predicted = forecast.map_or(Duration::ZERO, |forecast| forecast.first);
        let usual = self.route.target_latency.max(predicted);
        (usual * SILENCE_FACTOR).max(MIN_SILENCE)
    }

    fn build_request(&self, server: &ChosenBackend) -> Option<Request<Full<Bytes>>> {
        let info = ForwardInfo {
            instance: &server.server.instance,
            remaining: self.deadlines.end.since(self.entry.clock.now()),
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
}

impl ServerResponse {
    /// Waits for the first bytes of the body.
    ///
    /// # Errors
    ///
    /// Returns the cause if the body ends before them.
    pub async fn begin(&mut self) -> Result<(), Cause> {
        while self.first.is_empty() {
            match self.body.frame().await {
                Some(Ok(frame)) => self.first = frame.into_data().unwrap_or_default(),
                Some(Err(_)) | None => return Err(Cause::Cut),
            }
        }
        Ok(())
    }
}

impl Attempt {
    /// Suspects the server because it is silent.
    pub fn suspect(&mut self) {
        if self.suspicion.is_none() {
            self.suspicion = Some(self.in_flight.suspect(self.heard_at));
        }
    }

    /// Returns the cause that ends the attempt if another server replaces this one.
    pub fn loss(&self) -> Cause {
        if self.suspicion.is_some() {
            Cause::Silent
        } else {
            Cause::Hedged
        }
    }

    /// Ends an attempt of which nothing was sent.
    pub fn discard(mut self) {
        if let Some(pending) = self.pending.take() {
            pending.settle();
        }
    }

    /// Records that the server has sent something.
    pub fn record_life(&mut self, now: Time) {
        self.heard_at = now;
        let was_suspected = self.suspicion.take().is_some();
        let is_due = |at: Time| now.since(at) >= LIFE_INTERVAL;
        if was_suspected || self.recorded_at.is_none_or(is_due) {
            self.recorded_at = Some(now);
            self.in_flight.hear();
        }
    }

    /// Counts the failure of the attempt against the server.
    fn record_failure(&mut self, cause: Cause) {
        if cause == Cause::Silent {
            self.suspect();
        }
        if matches!(cause, Cause::Connect | Cause::Cut) {
            self.in_flight.doubt_warmth();
        }
        match self.suspicion {
            // A failure is counted already.
            Some(Suspicion::Failure) => {}
            _ if cause == Cause::Silent => self.in_flight.give_up(),
            _ if cause.is_server_fault() => self.in_flight.record_failure(),
            _ => {}
        }
    }
}

/// Returns the cause of failure of an attempt whose request received no response.
fn to_cause(e: SendError) -> Cause {
    match e {
        SendError::NotSent(_) => Cause::Connect,
        SendError::Cut => Cause::Cut,
        SendError::Garbled => Cause::Garbled,
    }
}

/// Opens a connection to a server, before `left` has passed.
///
/// # Errors
///
/// Returns the cause if there is no connection, or the server accepts no more requests.
pub async fn connect(
    entry: &Entry,
    server: &ChosenBackend,
    left: Duration,
) -> Result<Connection, Cause> {
    let connection = Connection::open(server.server.address, CONNECT_TIMEOUT.min(left))
        .await
        .map_err(|_| Cause::Connect)?;
    metrics::counter!("cassialock_connections_total").increment(1);
    if entry.backends.accepts(server) && cold::is_paced(entry, server) {
        Ok(connection)
    } else {
        Err(Cause::Closed)
    }
}

/// Sends a request and returns the head of the response with its connection.
///
/// # Errors
///
/// Returns a [`SendError`] that tells whether the request may have been sent.
pub async fn exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<ReceivedHead, SendError> {
    let response = connection.send(request).await?;
    Ok(ReceivedHead::new(connection, response))
}
