//! The answer on its way to the caller.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::Response;
use http::response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;

use crate::core::Name;
use crate::core::retry::Cause;
use crate::core::stream;
use crate::core::stream::Splitter;
use crate::entry::backends::Chosen;
use crate::entry::backends::Seat;
use crate::entry::call::Attempted;
use crate::entry::call::Call;
use crate::entry::call::attempt::Sent;
use crate::telemetry::events::Event;
use crate::web;
use crate::web::Body;
use crate::web::pool::Connection;

/// Largest answer that is read as a whole before it is passed on, in bytes.
///
/// An answer that breaks off can then still be asked for again.
const WHOLE_BYTES: u64 = 64 * 1024;

/// Factor on the pause that callers aim at after which a stream is taken to
/// have stalled.
const STALL_FACTOR: u32 = 4;

/// Least such time.
const MIN_STALL: Duration = Duration::from_millis(900);

/// A server's response that is being passed on.
struct Live {
    chosen: Chosen,
    seat: Seat,
    connection: Connection,
    body: Incoming,
    idle_time: Option<Duration>,
    is_last: bool,
}

impl Live {
    fn new(sent: Sent) -> (Self, response::Parts) {
        let live = Self {
            chosen: sent.chosen,
            seat: sent.seat,
            connection: sent.connection,
            body: sent.body,
            idle_time: sent.reply.idle_time,
            is_last: sent.reply.is_last,
        };
        (live, sent.head)
    }
}

/// Passes a response on, and goes on at another server where that is possible.
struct Transfer {
    call: Call,
    live: Option<Live>,
    splitter: Splitter,
    /// Whether a byte of the answer has arrived.
    is_begun: bool,
    /// Whether the server was reported for a stall.
    is_suspect: bool,
    bytes: u64,
    resumes: u32,
}

/// What a transfer has for the caller.
enum Next {
    Data(Bytes),
    End,
    Broken(Cause),
}

impl Call {
    /// Passes on a response whose head was judged.
    ///
    /// # Errors
    ///
    /// Returns the call and why the response cannot be passed on.
    pub async fn respond(self, sent: Sent) -> Result<Response<Body>, (Cause, Box<Call>)> {
        let is_stream = self.route.kind.is_stream() && sent.head.status.is_success();
        let length = sent.body.size_hint().upper();
        if !is_stream && length.is_none_or(|length| length <= WHOLE_BYTES) {
            return self.respond_whole(sent).await;
        }
        let (transfer, head) = Transfer::new(self, sent);
        let first = transfer.first().await?;
        Ok(first.into_response(head))
    }

    /// Reads a response as a whole and passes it on.
    async fn respond_whole(mut self, sent: Sent) -> Result<Response<Body>, (Cause, Box<Call>)> {
        self.count_run();
        let reading = web::read(sent.body, WHOLE_BYTES as usize);
        let read = tokio::time::timeout(self.left(), reading).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(web::ReadError::Cut)) => {
                return Err(self.broken(sent.chosen, sent.seat, Cause::Cut));
            }
            Ok(Err(web::ReadError::TooLarge)) => {
                return Err(self.broken(sent.chosen, sent.seat, Cause::Garbled));
            }
            Err(_) => return Err(self.broken(sent.chosen, sent.seat, Cause::Silent)),
        };
        let status = sent.head.status;
        sent.seat.record_success(self.route.target);
        self.record_answer(&sent.chosen, status.is_server_error(), sent.seat.age());
        if !sent.reply.is_last {
            let mut connection = sent.connection;
            connection.set_idle_timeout(sent.reply.idle_time);
            self.entry.pool.put(connection);
        }
        self.note_end(&sent.chosen, status.as_u16(), body.len() as u64, 0);
        let mut head = sent.head;
        self.entry.outside.dialect.strip_reply(&mut head.headers);
        Ok(Response::from_parts(head, web::full(body)))
    }

    /// Records that a response broke off.
    fn broken(mut self, chosen: Chosen, seat: Seat, cause: Cause) -> (Cause, Box<Call>) {
        seat.record_failure();
        self.note_failure(&chosen, cause);
        (cause, Box::new(self))
    }

    /// Notes that the caller has the whole answer.
    fn note_end(&self, chosen: &Chosen, status: u16, bytes: u64, resumes: u32) {
        let took = self.entry.clock.now().since(self.arrived);
        let route = self.route.name.to_string();
        metrics::histogram!("cassialock_answer_seconds", "route" => route).record(took);
        self.entry.events.write(
            Event::for_request("answered", &self.ask.id)
                .with("route", &*self.route.name)
                .with("backend", &*chosen.id)
                .with("status", status)
                .with("bytes", bytes)
                .with("sends", self.tries.sends + 1)
                .with("resumes", resumes)
                .with("catalog_version", self.entry.catalog.version())
                .with_ms("after_ms", took),
        );
    }
}

impl Transfer {
    fn new(call: Call, sent: Sent) -> (Self, response::Parts) {
        let (live, head) = Live::new(sent);
        let transfer = Self {
            call,
            live: Some(live),
            splitter: Splitter::new(),
            is_begun: false,
            is_suspect: false,
            bytes: 0,
            resumes: 0,
        };
        (transfer, head)
    }

    /// Waits for the first bytes, so that a failure before them can be answered.
    async fn first(mut self) -> Result<First, (Cause, Box<Call>)> {
        match self.next().await {
            Next::Data(data) => Ok(First {
                transfer: self,
                data: Some(data),
            }),
            Next::End => Ok(First {
                transfer: self,
                data: None,
            }),
            Next::Broken(cause) => Err((cause, Box::new(self.call))),
        }
    }

    /// Returns the next bytes for the caller.
    async fn next(&mut self) -> Next {
        loop {
            let Some(live) = &mut self.live else {
                return Next::End;
            };
            let limit = if self.is_suspect {
                Duration::MAX
            } else {
                stall_after(&self.call, self.is_begun)
            };
            let left = self.call.left();
            let cause = match tokio::time::timeout(limit.min(left), live.body.frame()).await {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => match self.take(data) {
                        Some(data) => return Next::Data(data),
                        None => continue,
                    },
                    // Trailers and empty frames are nothing to pass on.
                    _ => continue,
                },
                Ok(None) if !self.splitter.is_within() => {
                    self.finish();
                    return Next::End;
                }
                Ok(Some(Err(_)) | None) => Cause::Cut,
                Err(_) if left <= limit => Cause::Silent,
                Err(_) if self.call.is_resumable() => Cause::Silent,
                Err(_) => {
                    live.seat.record_failure();
                    self.is_suspect = true;
                    continue;
                }
            };
            self.drop_live(cause);
            if !self.call.is_resumable() || !self.is_begun {
                return Next::Broken(cause);
            }
            if let Err(cause) = self.resume(cause).await {
                return Next::Broken(cause);
            }
        }
    }

    /// Takes bytes that have arrived, and returns what can be passed on.
    fn take(&mut self, data: Bytes) -> Option<Bytes> {
        if let Some(live) = &self.live
            && !std::mem::replace(&mut self.is_begun, true)
        {
            live.seat.record_success(self.call.route.target);
            let latency = live.seat.age();
            self.call.record_answer(&live.chosen, false, latency);
            let first = self.call.entry.clock.now().since(self.call.arrived);
            let route = self.call.route.name.to_string();
            metrics::histogram!("cassialock_first_event_seconds", "route" => route).record(first);
            self.call.count_run();
        }
        self.is_suspect = false;
        if !self.call.is_resumable() {
            self.bytes += data.len() as u64;
            return Some(data);
        }
        let whole = self.splitter.push(&data);
        let mut last = None;
        for event in stream::events(&whole) {
            let id = self.call.entry.outside.dialect.event_id(&event);
            last = id.map(Name::from).or(last);
        }
        if last.is_some() {
            self.call.last_event = last;
        }
        if whole.is_empty() {
            return None;
        }
        self.bytes += whole.len() as u64;
        Some(whole)
    }

    /// Ends the response of the server at hand, which has failed.
    fn drop_live(&mut self, cause: Cause) {
        self.splitter.clear();
        if let Some(live) = self.live.take() {
            live.seat.record_failure();
            self.call.note_failure(&live.chosen, cause);
        }
    }

    /// Goes on at another server after the last event that was passed on.
    async fn resume(&mut self, cause: Cause) -> Result<(), Cause> {
        let mut cause = cause;
        loop {
            if self.call.last_event.is_none() || self.call.after_failure(cause).is_err() {
                return Err(cause);
            }
            match self.call.attempt().await {
                Ok(sent) if sent.head.status.is_success() => {
                    // The caller has the head of the first server.
                    let (live, _) = Live::new(sent);
                    self.live = Some(live);
                    self.is_suspect = false;
                    self.resumes += 1;
                    metrics::counter!("cassialock_resumes_total").increment(1);
                    return Ok(());
                }
                Ok(_) => cause = Cause::Failed,
                Err(Attempted::Failed(failed)) => cause = failed,
                Err(Attempted::NoServer) => return Err(cause),
            }
        }
    }

    /// Ends the response, which is whole.
    fn finish(&mut self) {
        let Some(live) = self.live.take() else { return };
        self.call
            .note_end(&live.chosen, 200, self.bytes, self.resumes);
        if !live.is_last {
            let mut connection = live.connection;
            connection.set_idle_timeout(live.idle_time);
            self.call.entry.pool.put(connection);
        }
    }

    /// Notes that the caller does not get the rest of the answer.
    fn note_broken(&self, cause: Cause) {
        metrics::counter!("cassialock_broken_answers_total", "reason" => cause.as_str())
            .increment(1);
        let call = &self.call;
        call.entry.events.write(
            Event::for_request("answer_broken", &call.ask.id)
                .with("route", &*call.route.name)
                .with("backend", call.tried.last().map_or("", |id| &**id))
                .with("cause", cause.as_str())
                .with("bytes", self.bytes)
                .with("resumes", self.resumes)
                .with_ms("after_ms", call.entry.clock.now().since(call.arrived)),
        );
    }
}

/// Returns the silence after which a stream is taken to have stalled.
fn stall_after(call: &Call, is_begun: bool) -> Duration {
    match call.route.pause {
        Some(pause) if is_begun => (pause * STALL_FACTOR).max(MIN_STALL),
        _ => call.silent_after(),
    }
}

/// A transfer whose first bytes have arrived.
struct First {
    transfer: Transfer,
    data: Option<Bytes>,
}

impl First {
    fn into_response(self, mut head: response::Parts) -> Response<Body> {
        let Self { transfer, data } = self;
        let entry = &transfer.call.entry;
        entry.outside.dialect.strip_reply(&mut head.headers);
        let open = entry.open.guard();
        let frames = unfold(
            (Some(transfer), data, open),
            |(transfer, data, open)| async {
                let mut transfer = transfer?;
                if let Some(data) = data {
                    return Some((Ok(Frame::data(data)), (Some(transfer), None, open)));
                }
                match transfer.next().await {
                    Next::Data(data) => Some((Ok(Frame::data(data)), (Some(transfer), None, open))),
                    Next::End => None,
                    Next::Broken(cause) => {
                        transfer.note_broken(cause);
                        // The connection is cut, so the answer cannot look whole.
                        let e = io::Error::other(cause.as_str());
                        Some((Err(e), (None, None, open)))
                    }
                }
            },
        );
        Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
    }
}
