//! Forwards a server's response to the caller.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Frame;

use crate::core::Name;
use crate::core::answer::Class;
use crate::core::moves::detector::Outcome;
use crate::core::retry::Cause;
use crate::core::route::speed::Kind;
use crate::core::sse;
use crate::core::sse::EventBuffer;
use crate::core::sse::EventOrder;
use crate::entry::admission;
use crate::entry::backends::ChosenBackend;
use crate::entry::call;
use crate::entry::call::Call;
use crate::entry::call::attempt::Attempt;
use crate::entry::call::attempt::Sent;
use crate::entry::call::attempt::ServerResponse;
use crate::entry::call::delivery::Started;
use crate::entry::call::hedge::Waited;
use crate::entry::call::memory;
use crate::entry::call::outcome::Stage;
use crate::entry::call::silence::Relief;
use crate::entry::call::upstream::Upstream;
use crate::telemetry::events::Event;
use crate::web;
use crate::web::Body;

/// Largest response with a length that is buffered before it is forwarded, and memory that
/// is used without a reservation.
///
/// If a buffered response is cut off, the request can still be retried.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// A part of a server's body, or `None` at its end.
type ReceivedFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Multiple of the route's target gap between events after which a stream counts
/// as stalled.
const STALL_FACTOR: u32 = 4;

/// Shortest gap after which a stream counts as stalled.
const MIN_STALL: Duration = Duration::from_millis(900);

/// Forwards a response, and resumes a resumable stream on another server.
pub(super) struct Forwarder {
    pub(super) call: Call,
    /// Head of the response that the caller gets.
    pub(super) head: response::Parts,
    upstream: Option<Upstream>,
    event_buffer: EventBuffer,
    order: EventOrder,
    /// Where in an event a stream is that is forwarded as it arrives.
    boundary: sse::Boundary,
    /// Whether any data of the response has arrived.
    has_data: bool,
    bytes: u64,
    resumes: u32,
}

/// The next part of a response.
pub(super) enum Next {
    Data(Bytes),
    End,
    Broken(Cause),
}

impl Call {
    /// Forwards a response whose head was checked.
    ///
    /// # Errors
    ///
    /// Returns the cause and the call if the response failed before any of it was
    /// forwarded.
    pub async fn forward(
        self,
        response: ServerResponse,
    ) -> Result<Response<Body>, (Cause, Box<Call>)> {
        let is_stream = self.route.kind.is_stream() && response.class() == Class::Success;
        let length = response.body.size_hint().upper();
        if !is_stream && length.is_none_or(|length| length <= MAX_BUFFERED_BYTES) {
            return self.forward_buffered(response).await;
        }
        let started = Forwarder::new(self, response).wait_first().await?;
        Ok(started.into_response())
    }

    /// Reads the whole response before forwarding it.
    async fn forward_buffered(
        mut self,
        response: ServerResponse,
    ) -> Result<Response<Body>, (Cause, Box<Call>)> {
        let mut attempt = response.attempt;
        let mut connection = response.connection;
        let may_be_cut = response.info.ends_with_connection && !response.body.is_end_stream();
        self.count_run();
        let unreserved = MAX_BUFFERED_BYTES as usize;
        let reading = memory::read_answer(&self.entry, response.body, unreserved);
        let read = tokio::time::timeout(self.time_left(), reading).await;
        let body = match read {
            // Without a length, a body that is cut before its first byte looks empty.
            Ok(Ok(body)) if !may_be_cut || !body.is_empty() && connection.has_sent_whole() => body,
            Ok(Ok(_) | Err(web::ReadError::Cut)) => {
                return Err((self.fail(attempt, Cause::Cut), Box::new(self)));
            }
            Ok(Err(web::ReadError::TooLarge)) => {
                return Err((self.fail(attempt, Cause::Garbled), Box::new(self)));
            }
            Err(_) => return Err((self.fail(attempt, Cause::Silent), Box::new(self))),
        };
        let status = response.head.status;
        let class = Class::of(status.as_u16());
        let kind = (class == Class::Success).then_some(Kind::Plain);
        let target = self.route.target_latency;
        attempt.in_flight.record_success(target, kind);
        let latency = attempt.in_flight.age();
        if !class.is_failure() {
            admission::record_first(&self, latency);
        }
        self.record_outcome(&mut attempt, Outcome::of(status.as_u16(), latency));
        self.record_progress(&mut attempt, true);
        if !response.info.is_closing && !attempt.in_flight.is_server_leaving() {
            connection.set_idle_timeout(response.info.idle_timeout);
            self.entry.pool.put(connection);
        }
        self.record_completion(&attempt.server, status.as_u16(), body.len() as u64, 0);
        let mut head = response.head;
        self.entry.adapter.dialect.strip_response(&mut head.headers);
        Ok(Response::from_parts(head, web::full(body)))
    }

    /// Records metrics and an event for a complete response.
    fn record_completion(&mut self, server: &ChosenBackend, status: u16, bytes: u64, resumes: u32) {
        self.outcome.settle();
        let elapsed = self.entry.clock.now().since(self.arrived);
        let route = self.route.name.to_string();
        metrics::histogram!("cassialock_answer_seconds", "route" => route).record(elapsed);
        let forecast = server.forecast;
        self.entry.events.write(
            Event::for_request("answered", &self.request.id)
                .with("route", &*self.route.name)
                .with("backend", &*server.id)
                .with("status", status)
                .with("bytes", bytes)
                .with("sends", self.attempts.sends + 1)
                .with("resumes", resumes)
                .with(
                    "forecast_ms",
                    forecast.map(|f| f.first.as_secs_f64() * 1_000.0),
                )
                .with(
                    "forecast_age_ms",
                    forecast.map(|f| f.age.as_secs_f64() * 1_000.0),
                )
                .with("catalog_version", self.entry.catalog.version())
                .with_ms("after_ms", elapsed),
        );
    }
}

impl Forwarder {
    fn new(call: Call, response: ServerResponse) -> Self {
        let (upstream, head) = Upstream::new(response);
        Self {
            call,
            head,
            upstream: Some(upstream),
            event_buffer: EventBuffer::new(),
            order: EventOrder::new(),
            boundary: sse::Boundary::new(),
            has_data: false,
            bytes: 0,
            resumes: 0,
        }
    }

    /// Waits for the first bytes, so that a failure before them can still be retried
    /// or answered with a refusal.
    async fn wait_first(mut self) -> Result<Started, (Cause, Box<Call>)> {
        match self.next().await {
            Next::Data(data) => Ok(Started::new(self, Some(data))),
            Next::End => Ok(Started::new(self, None)),
            Next::Broken(cause) => Err((cause, Box::new(self.call))),
        }
    }

    /// Returns the next bytes for the caller.
    pub(super) async fn next(&mut self) -> Next {
        loop {
            let is_inside_event = self.is_inside_event();
            if self.upstream.is_none() {
                return Next::End;
            }
            let cause = match self.next_frame().await {
                Ok(None) => continue,
                Ok(Some(Some(Ok(frame)))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => match self.accept(data) {
                        Ok(Some(data)) => return Next::Data(data),
                        Ok(None) => continue,
                        Err(cause) => cause,
                    },
                    // Trailers and empty frames are not forwarded.
                    _ => continue,
                },
                Ok(Some(None)) if is_inside_event || self.is_cut() => Cause::Cut,
                Ok(Some(None)) if self.order.is_joining() => self.refuse_run(None),
                Ok(Some(None)) => {
                    self.finish();
                    return Next::End;
                }
                Ok(Some(Some(Err(_)))) => Cause::Cut,
                Err(cause) => cause,
            };
            self.fail_upstream(cause);
            if !self.call.is_resumable() || !self.has_data {
                return Next::Broken(cause);
            }
            match self.call.find_successor(cause).await {
                Ok(response) => self.take_over(response),
                Err(cause) => return Next::Broken(cause),
            }
        }
    }

    /// Waits for the next frame of the server, or `None` if another server took over.
    ///
    /// # Errors
    ///
    /// Returns the cause if the response failed.
    async fn next_frame(&mut self) -> Result<Option<ReceivedFrame>, Cause> {
        let is_inside_event = self.is_inside_event();
        let Some(upstream) = &mut self.upstream else {
            return Err(Cause::Cut);
        };
        if !upstream.first.is_empty() {
            let first = std::mem::take(&mut upstream.first);
            return Ok(Some(Some(Ok(Frame::data(first)))));
        }
        let limit = stall_limit(&self.call, &upstream.attempt, self.has_data);
        let left = self.call.time_left();
        // A timeout does not end while each frame is there when it is asked for. Other
        // answers have a length, and their callers may read them slowly.
        if left.is_zero() && self.call.route.kind.is_stream() {
            return Err(Cause::Overdue);
        }
        // Before anything was forwarded, another run may begin anew.
        let can_resume = self.call.is_resumable() && self.call.last_event.is_some();
        let can_move = self.bytes == 0 || can_resume;
        let is_usable = move |frame: &ReceivedFrame| match frame {
            Some(result) => result.is_ok(),
            None => !is_inside_event,
        };
        let Upstream { attempt, body, .. } = upstream;
        let limit_or_left = limit.min(left);
        let call = &mut self.call;
        let waiting = call.wait_or_hedge(attempt, body.frame(), is_usable, limit_or_left);
        let relief = match waiting.await {
            Waited::Begun(frame) => return Ok(Some(frame)),
            Waited::Silent if left <= limit => return Err(Cause::Silent),
            Waited::Silent => {
                call.relieve(attempt, body.frame(), is_usable, can_move)
                    .await
            }
            Waited::Hedged(relief) => relief,
        };
        let loss = attempt.loss();
        match relief {
            Relief::Resumed(frame) => Ok(Some(frame)),
            Relief::Failed(_, sent) => self.move_to(*sent, Cause::Cut).await,
            Relief::Replaced(response) => {
                self.fail_upstream(loss);
                self.take_over(*response);
                Ok(None)
            }
            Relief::Moved(sent) => self.move_to(*sent, loss).await,
            Relief::Expired => Err(Cause::Silent),
        }
    }

    /// Leaves the current server because of `cause`, and waits for another one that
    /// has the request already.
    async fn move_to(&mut self, sent: Sent, cause: Cause) -> Result<Option<ReceivedFrame>, Cause> {
        self.fail_upstream(cause);
        let response = self.call.wait_head(sent).await?;
        let response = self.call.check_successor(response)?;
        self.take_over(response);
        Ok(None)
    }

    /// Goes on with the response of another server.
    fn take_over(&mut self, response: ServerResponse) {
        let (upstream, head) = Upstream::new(response);
        // The caller gets the head with the first event.
        if self.bytes == 0 {
            self.head = head;
        } else {
            self.order.begin_run();
        }
        self.upstream = Some(upstream);
        self.resumes += 1;
        metrics::counter!("cassialock_resumes_total").increment(1);
    }

    /// Accepts received bytes and returns those that can be forwarded.
    ///
    /// A resumable stream is forwarded in whole events only, which follow each other.
    ///
    /// # Errors
    ///
    /// Returns the cause if the bytes do not go on with the stream.
    fn accept(&mut self, data: Bytes) -> Result<Option<Bytes>, Cause> {
        if let Some(upstream) = &mut self.upstream {
            let attempt = &mut upstream.attempt;
            self.call.record_progress(attempt, false);
            if !std::mem::replace(&mut upstream.has_data, true) {
                let is_stream = self.call.route.kind.is_stream();
                let kind = is_stream.then_some(Kind::First);
                let target = self.call.route.target_latency;
                attempt.in_flight.record_success(target, kind);
                let latency = attempt.in_flight.age();
                if !self.has_data {
                    admission::record_first(&self.call, latency);
                }
                self.call
                    .record_outcome(attempt, Outcome::of(self.head.status.as_u16(), latency));
            }
        }
        if !std::mem::replace(&mut self.has_data, true) {
            self.call.record_begun();
            let first_event = self.call.entry.clock.now().since(self.call.arrived);
            let route = self.call.route.name.to_string();
            metrics::histogram!("cassialock_first_event_seconds", "route" => route)
                .record(first_event);
            self.call.count_run();
            self.call.outcome.enter(Stage::Answer);
        }
        if !self.call.is_resumable() {
            self.boundary.push(&data);
            self.bytes += data.len() as u64;
            return Ok(Some(data));
        }
        let complete = self
            .event_buffer
            .push(&data)
            .map_err(|sse::EventTooLarge| Cause::Garbled)?;
        let mut last = self.call.last_event.clone();
        for event in sse::events(&complete) {
            if sse::is_comment(&event) {
                continue;
            }
            let id = self.call.entry.adapter.dialect.event_id(&event);
            if self.order.push(last.as_deref(), id).is_err() {
                return Err(self.refuse_run(id));
            }
            last = id.map(Name::from).or(last);
        }
        self.call.last_event = last;
        if complete.is_empty() {
            return Ok(None);
        }
        self.bytes += complete.len() as u64;
        Ok(Some(complete))
    }

    /// Records that the current run does not go on with the stream, at the event `id`
    /// or at its end.
    fn refuse_run(&self, id: Option<&str>) -> Cause {
        let cause = Cause::OutOfOrder;
        if let Some(upstream) = &self.upstream {
            self.call
                .record_refused_successor(&upstream.attempt, cause, id);
        }
        cause
    }

    /// Returns whether the stream would be broken off if it ended now.
    fn is_inside_event(&self) -> bool {
        self.event_buffer.has_partial()
            || self.call.route.kind.is_stream() && self.boundary.is_inside()
    }

    /// Returns whether the end of a response that only the connection shows came before its
    /// first byte, or before the request was sent.
    fn is_cut(&self) -> bool {
        let upstream = self.upstream.as_ref();
        upstream.is_some_and(|upstream| {
            upstream.may_be_cut && (self.bytes == 0 || !upstream.connection.has_sent_whole())
        })
    }

    /// Drops the current upstream and records its failure.
    pub(super) fn fail_upstream(&mut self, cause: Cause) {
        self.event_buffer.clear();
        if let Some(upstream) = self.upstream.take() {
            self.call.fail(upstream.attempt, cause);
        }
    }

    /// Records that the response is complete and returns its connection to the pool.
    fn finish(&mut self) {
        let Some(mut upstream) = self.upstream.take() else {
            return;
        };
        self.call.record_progress(&mut upstream.attempt, true);
        upstream.attempt.in_flight.record_end();
        let status = self.head.status.as_u16();
        self.call
            .record_completion(&upstream.attempt.server, status, self.bytes, self.resumes);
        if !upstream.is_closing && !upstream.attempt.in_flight.is_server_leaving() {
            let mut connection = upstream.connection;
            connection.set_idle_timeout(upstream.idle_timeout);
            self.call.entry.pool.put(connection);
        }
    }

    /// Records metrics and an event for a response that was cut off while `waiting_bytes`
    /// of it waited for the caller's connection.
    pub(super) fn record_broken(&mut self, cause: Cause, waiting_bytes: usize) {
        self.call.outcome.settle();
        metrics::counter!("cassialock_broken_answers_total", "reason" => cause.as_str())
            .increment(1);
        let call = &self.call;
        call.entry.events.write(
            Event::for_request("answer_broken", &call.request.id)
                .with("route", &*call.route.name)
                .with("backend", call.tried.last().map_or("", |id| &**id))
                .with("cause", cause.as_str())
                .with("prompt_parts", call::format_parts(&call.request))
                .with("bytes", self.bytes)
                .with("resumes", self.resumes)
                .with("waiting_bytes", waiting_bytes)
                .with_ms("deadline_ms", call.deadlines.end.since(call.arrived))
                .with_ms("after_ms", call.entry.clock.now().since(call.arrived)),
        );
    }
}

/// Returns the length of silence after which a stream counts as stalled.
fn stall_limit(call: &Call, attempt: &Attempt, has_data: bool) -> Duration {
    match call.route.max_gap {
        Some(gap) if has_data => (gap * STALL_FACTOR).max(MIN_STALL),
        _ => call.silence_limit(attempt),
    }
}
