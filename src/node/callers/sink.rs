//! Where the tokens of an answer go.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::core::Name;
use crate::core::call::chunk;
use crate::core::call::request::Shape;
use crate::web::BodyChunk;

/// Takes the tokens of one answer.
pub trait Sink: Send {
    /// Takes a token and returns whether the caller is still there.
    fn token<'a>(&'a mut self, index: u64, text: &'a str) -> BoxFuture<'a, bool>;

    /// Shows the caller that the answer is still coming.
    fn keep_alive(&mut self) -> BoxFuture<'_, ()>;

    /// Waits until the caller has gone.
    fn closed(&self) -> BoxFuture<'_, ()>;

    /// Returns whether the caller can be pointed to another node.
    fn can_move(&self) -> bool;
}

/// Takes tokens for a caller that waits for the whole answer.
///
/// If that caller goes, its request's task is dropped.
#[derive(Debug, Default)]
pub struct Whole;

impl Sink for Whole {
    fn token<'a>(&'a mut self, _: u64, _: &'a str) -> BoxFuture<'a, bool> {
        Box::pin(std::future::ready(true))
    }

    fn keep_alive(&mut self) -> BoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }

    fn closed(&self) -> BoxFuture<'_, ()> {
        Box::pin(std::future::pending())
    }

    fn can_move(&self) -> bool {
        false
    }
}

/// Tells a caller where its stream goes on.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub struct Moved {
    /// IP number and port of the node to go to.
    pub address: String,
    /// The `Last-Event-ID` to send there.
    pub last_id: String,
}

/// Sends tokens as server-sent events.
#[derive(Debug)]
pub struct Events {
    stream: Name,
    request: Name,
    model: String,
    shape: Shape,
    created: u64,
    sent: u64,
    out: mpsc::Sender<BodyChunk>,
}

impl Events {
    /// Creates the sink of the stream `stream`.
    pub fn new(
        stream: Name,
        request: Name,
        model: String,
        shape: Shape,
        created: u64,
        out: mpsc::Sender<BodyChunk>,
    ) -> Self {
        Self {
            stream,
            request,
            model,
            shape,
            created,
            sent: 0,
            out,
        }
    }

    /// Sets the last token that the caller has received already.
    #[must_use]
    pub fn with_sent(mut self, sent: u64) -> Self {
        self.sent = sent;
        self
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> String {
        let head = chunk::Head {
            request: &self.request,
            model: &self.model,
            shape: self.shape,
            created: self.created,
        };
        chunk::encode(&head, text, finish, None)
    }

    async fn send(&self, event: String) -> bool {
        self.out.send(Ok(Bytes::from(event))).await.is_ok()
    }

    /// Ends the stream as a whole answer.
    pub async fn finish(&self, reason: &str) {
        let data = self.chunk("", Some(reason));
        let stream = &self.stream;
        let sent = self.sent;
        // A caller that has gone needs no end mark.
        self.send(format!(
            "id: {stream}:{sent}\ndata: {data}\n\ndata: [DONE]\n\n"
        ))
        .await;
    }

    /// Ends the stream with an event of another kind.
    pub async fn end_with<T: Serialize>(&self, event: &str, value: &T) {
        let data = serde_json::to_string(value).unwrap_or_default();
        // A caller that has gone needs no event.
        self.send(format!("event: {event}\ndata: {data}\n\n")).await;
    }

    /// Returns the id of the last event sent.
    pub fn last_id(&self) -> String {
        format!("{}:{}", self.stream, self.sent)
    }

    /// Cuts the connection, so that the caller does not take the answer as whole.
    pub async fn cut(&self) {
        let error = std::io::Error::other("stream ended early");
        // A caller that has gone needs no cut.
        let _ = self.out.send(Err(error)).await;
    }
}

impl Sink for Events {
    fn token<'a>(&'a mut self, index: u64, text: &'a str) -> BoxFuture<'a, bool> {
        Box::pin(async move {
            if index <= self.sent {
                return true;
            }
            let data = self.chunk(text, None);
            let event = format!("id: {}:{index}\ndata: {data}\n\n", self.stream);
            let is_there = self.send(event).await;
            self.sent = index;
            is_there
        })
    }

    fn keep_alive(&mut self) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            // A caller that has gone is noticed by `closed`.
            self.send(": keep-alive\n\n".into()).await;
        })
    }

    fn closed(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.out.closed())
    }

    fn can_move(&self) -> bool {
        true
    }
}
