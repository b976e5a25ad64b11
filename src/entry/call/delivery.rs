//! Delivers a server's response to the caller.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::Response;
use http::header;
use http::response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::core::retry::Cause;
use crate::core::time::Time;
use crate::entry::call::Call;
use crate::entry::call::forward::Forwarder;
use crate::entry::call::forward::Next;
use crate::in_flight::Guard;
use crate::telemetry::events::Event;
use crate::web::Body;
use crate::web::reset::Reset;

/// Maximum number of bytes of a stream that wait for the caller's connection.
const MAX_WAITING_BYTES: usize = 64 * 1024;

/// A response whose first bytes, if any, have arrived.
pub(super) struct Started {
    forwarder: Forwarder,
    first: Option<Bytes>,
    /// Time at which the caller's connection got the last part.
    handed_at: Option<Time>,
}

impl Started {
    /// Creates a response that begins with `first`, or is empty.
    pub(super) fn new(forwarder: Forwarder, first: Option<Bytes>) -> Self {
        Self {
            forwarder,
            first,
            handed_at: None,
        }
    }

    /// Returns the response to the caller.
    pub(super) fn into_response(self) -> Response<Body> {
        let head = self.head();
        let call = &self.forwarder.call;
        let guard = call.entry.open_requests.guard();
        if !call.route.kind.is_stream() {
            let frames = unfold((Some(self), guard), |(started, guard)| async {
                let (frame, started) = started?.next_frame().await?;
                Some((frame, (started, guard)))
            });
            return Response::from_parts(head, StreamBody::new(frames).boxed_unsync());
        }
        let reset = Reset::new();
        let (parts, waiting) = mpsc::unbounded_channel();
        let queue = Queue {
            parts,
            room: Arc::new(Semaphore::new(MAX_WAITING_BYTES)),
        };
        tokio::spawn(self.deliver(queue, reset.clone()));
        let frames = Frames {
            waiting,
            end: None,
            _guard: guard,
        };
        let frames = unfold(frames, Frames::next);
        let mut response = Response::from_parts(head, StreamBody::new(frames).boxed_unsync());
        response.extensions_mut().insert(reset);
        response
    }

    /// Returns the head of the response as the caller gets it.
    fn head(&self) -> response::Parts {
        let call = &self.forwarder.call;
        let mut head = self.forwarder.head.clone();
        call.entry.adapter.dialect.strip_response(&mut head.headers);
        if call.is_resumable() {
            // Another server may go on with a run of another length.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        head
    }

    /// Returns the next frame of a response that is read when its caller asks for it.
    ///
    /// The deadline is one of the server, so the time that the caller takes is added to it.
    async fn next_frame(mut self) -> Option<(io::Result<Frame<Bytes>>, Option<Self>)> {
        let clock = self.forwarder.call.entry.clock;
        if let Some(handed_at) = self.handed_at.take() {
            let deadlines = &mut self.forwarder.call.deadlines;
            deadlines.end = deadlines.end + clock.now().since(handed_at);
        }
        let next = match self.first.take() {
            Some(first) => Next::Data(first),
            None => self.forwarder.next().await,
        };
        match next {
            Next::Data(data) => {
                self.handed_at = Some(clock.now());
                Some((Ok(Frame::data(data)), Some(self)))
            }
            Next::End => None,
            Next::Broken(cause) => {
                self.forwarder.record_broken(cause, 0);
                // The error closes the caller's connection, so that the response does not
                // appear complete.
                Some((Err(io::Error::other(cause.as_str())), None))
            }
        }
    }

    /// Delivers a stream, and resets the caller's connection at the deadline unless the stream
    /// was complete by then.
    ///
    /// This runs in a task of its own, since the HTTP library asks for a part of the response
    /// only when the caller's connection takes bytes.
    async fn deliver(self, queue: Queue, reset: Reset) {
        let Self {
            mut forwarder,
            first,
            ..
        } = self;
        let call = &forwarder.call;
        let deadline = call.entry.clock.instant(call.deadlines.end);
        let end = tokio::select! {
            biased;
            // The request is recorded as abandoned.
            () = queue.parts.closed() => return,
            end = queue.fill(&mut forwarder, first, deadline) => end,
        };
        let Err(cause) = end else {
            return queue.put(Next::End, None);
        };
        let decided = forwarder.call.entry.clock.now();
        let waiting = queue.waiting_bytes();
        forwarder.fail_upstream(cause);
        forwarder.record_broken(cause, waiting);
        if Instant::now() < deadline {
            queue.put(Next::Broken(cause), None);
            // Until the deadline, the caller gets what arrived before the stream broke off.
            if timeout_at(deadline, queue.parts.closed()).await.is_ok() {
                return;
            }
        }
        reset.trigger();
        queue.parts.closed().await;
        record_reset(&forwarder.call, cause, decided, waiting);
    }
}

/// A part of a stream that waits for the caller's connection.
struct Part {
    next: Next,
    _room: Option<OwnedSemaphorePermit>,
}

/// The parts of a stream that wait for the caller's connection.
struct Queue {
    parts: mpsc::UnboundedSender<Part>,
    /// Bytes that may still be queued.
    room: Arc<Semaphore>,
}

impl Queue {
    /// Queues `first` and what follows it until the stream ends.
    ///
    /// # Errors
    ///
    /// Returns the cause if the stream broke off or was not complete at the deadline.
    async fn fill(
        &self,
        forwarder: &mut Forwarder,
        first: Option<Bytes>,
        deadline: Instant,
    ) -> Result<(), Cause> {
        let mut next = first.map_or(Next::End, Next::Data);
        loop {
            match next {
                Next::Data(data) => timeout_at(deadline, self.push(&data))
                    .await
                    .map_err(|_| Cause::Overdue)?,
                Next::End => return Ok(()),
                Next::Broken(cause) => return Err(cause),
            }
            next = timeout_at(deadline, forwarder.next())
                .await
                .map_err(|_| Cause::Silent)?;
        }
    }

    /// Queues data as soon as there is room for it.
    async fn push(&self, data: &[u8]) {
        for piece in data.chunks(MAX_WAITING_BYTES) {
            let room = Arc::clone(&self.room).acquire_many_owned(piece.len() as u32);
            // A slice would keep the whole buffer into which it was received.
            let data = Bytes::copy_from_slice(piece);
            self.put(Next::Data(data), room.await.ok());
        }
    }

    fn put(&self, next: Next, room: Option<OwnedSemaphorePermit>) {
        // A caller that has left is noticed elsewhere.
        let _ = self.parts.send(Part { next, _room: room });
    }

    /// Returns the number of bytes that wait.
    fn waiting_bytes(&self) -> usize {
        MAX_WAITING_BYTES - self.room.available_permits()
    }
}

/// The frames of a stream as the caller's connection asks for them.
struct Frames {
    waiting: mpsc::UnboundedReceiver<Part>,
    /// The end of the stream, once it has been received.
    end: Option<Next>,
    _guard: Guard,
}

impl Frames {
    /// Returns all data that waits as one frame, or the end of the stream.
    ///
    /// A frame for each part would send many small segments to a slow caller, whose system
    /// would then queue many times as many bytes.
    async fn next(mut self) -> Option<(io::Result<Frame<Bytes>>, Self)> {
        let mut data = Vec::new();
        if self.end.is_none() {
            let mut parts = Vec::new();
            self.waiting.recv_many(&mut parts, MAX_WAITING_BYTES).await;
            for part in parts {
                match part.next {
                    Next::Data(bytes) => data.push(bytes),
                    end => self.end = Some(end),
                }
            }
        }
        let frame = match (data.len(), &self.end) {
            (1, _) => Ok(Frame::data(data.remove(0))),
            (2.., _) => Ok(Frame::data(data.concat().into())),
            (0, Some(Next::Broken(cause))) => Err(io::Error::other(cause.as_str())),
            (0, Some(_)) => return None,
            (0, None) => Err(io::Error::other("the stream has no end")),
        };
        Some((frame, self))
    }
}

/// Writes the event of a connection that was reset at the deadline of its stream.
fn record_reset(call: &Call, cause: Cause, decided: Time, waiting_bytes: usize) {
    let age = |time: Time| time.since(call.arrived);
    call.entry.events.write(
        Event::for_request("connection_reset", &call.request.id)
            .with("cause", cause.as_str())
            .with("waiting_bytes", waiting_bytes)
            .with_ms("deadline_ms", age(call.deadlines.end))
            .with_ms("decided_ms", age(decided))
            .with_ms("closed_ms", age(call.entry.clock.now())),
    );
}
