//! Receivers for the generated tokens of a response.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::core::Name;
use crate::core::completion::chunk;
use crate::core::completion::request::Endpoint;
use crate::web::BodyChunk;

/// Receives the tokens of one response.
pub trait TokenSink: Send {
    /// Delivers a token and returns whether the caller is still connected.
    fn token<'a>(&'a mut self, index: u64, text: &'a str) -> BoxFuture<'a, bool>;

    /// Sends a keep-alive to the caller while no tokens arrive.
    fn keep_alive(&mut self) -> BoxFuture<'_, ()>;

    /// Completes when the caller has disconnected.
    fn closed(&self) -> BoxFuture<'_, ()>;

    /// Returns whether the caller can be redirected to another node.
    fn can_redirect(&self) -> bool;
}

/// Discards tokens, for a caller that waits for the complete response.
///
/// The response is built from [`Progress`](crate::core::completion::Progress). If the
/// caller disconnects, the server drops the task of its request.
#[derive(Debug, Default)]
pub struct DiscardSink;

impl TokenSink for DiscardSink {
    fn token<'a>(&'a mut self, _: u64, _: &'a str) -> BoxFuture<'a, bool> {
        Box::pin(std::future::ready(true))
    }

    fn keep_alive(&mut self) -> BoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }

    fn closed(&self) -> BoxFuture<'_, ()> {
        Box::pin(std::future::pending())
    }

    fn can_redirect(&self) -> bool {
        false
    }
}

/// Payload of the `moved` event, which redirects a caller to another node.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub struct StreamMoved {
    /// IP address and port of the node that continues the stream.
    pub address: String,
    /// `Last-Event-ID` to send to that node.
    pub last_id: String,
}

/// Sends tokens as server-sent events.
#[derive(Debug)]
pub struct EventSink {
    stream: Name,
    request: Name,
    model: String,
    endpoint: Endpoint,
    created: u64,
    last_index: u64,
    chunks: mpsc::Sender<BodyChunk>,
}

impl EventSink {
    /// Creates a sink that writes the events of `stream` to `chunks`.
    pub fn new(
        stream: Name,
        request: Name,
        model: String,
        endpoint: Endpoint,
        created: u64,
        chunks: mpsc::Sender<BodyChunk>,
    ) -> Self {
        Self {
            stream,
            request,
            model,
            endpoint,
            created,
            last_index: 0,
            chunks,
        }
    }

    /// Skips the tokens up to `last_index`, which the caller has already received.
    #[must_use]
    pub fn with_last_index(mut self, last_index: u64) -> Self {
        self.last_index = last_index;
        self
    }

    fn chunk(&self, text: &str, finish_reason: Option<&str>) -> String {
        let header = chunk::Header {
            request_id: &self.request,
            model: &self.model,
            endpoint: self.endpoint,
            created: self.created,
        };
        chunk::encode(&header, text, finish_reason, None)
    }

    async fn send(&self, event: String) -> bool {
        self.chunks.send(Ok(Bytes::from(event))).await.is_ok()
    }

    /// Ends the stream of a complete response with `reason` as its finish reason.
    pub async fn finish(&self, reason: &str) {
        let data = self.chunk("", Some(reason));
        let stream = &self.stream;
        let last_index = self.last_index;
        // The result is ignored: a disconnected caller needs no end marker.
        self.send(format!(
            "id: {stream}:{last_index}\ndata: {data}\n\ndata: [DONE]\n\n"
        ))
        .await;
    }

    /// Ends the stream with an event of type `event`.
    pub async fn send_final<T: Serialize>(&self, event: &str, value: &T) {
        let data = serde_json::to_string(value).unwrap_or_default();
        // The result is ignored: a disconnected caller needs no event.
        self.send(format!("event: {event}\ndata: {data}\n\n")).await;
    }

    /// Returns the id of the last event that was sent.
    pub fn last_id(&self) -> String {
        format!("{}:{}", self.stream, self.last_index)
    }
}

impl TokenSink for EventSink {
    fn token<'a>(&'a mut self, index: u64, text: &'a str) -> BoxFuture<'a, bool> {
        Box::pin(async move {
            if index <= self.last_index {
                return true;
            }
            let data = self.chunk(text, None);
            let event = format!("id: {}:{index}\ndata: {data}\n\n", self.stream);
            let is_connected = self.send(event).await;
            self.last_index = index;
            is_connected
        })
    }

    fn keep_alive(&mut self) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            // The result is ignored: `closed` reports a disconnected caller.
            self.send(": keep-alive\n\n".into()).await;
        })
    }

    fn closed(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.chunks.closed())
    }

    fn can_redirect(&self) -> bool {
        true
    }
}
