//! HTTP plumbing shared by the node and the stand-ins.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

pub mod client;
pub mod pool;

/// Body of every response.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;

/// Time in which a caller must send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Least size of a connection's buffer that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Time that open connections get when a server stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a body with known content.
pub fn full(content: impl Into<Bytes>) -> Body {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// One part of a streamed body; an error cuts the connection.
pub type BodyChunk = Result<Bytes, io::Error>;

/// Returns a body whose parts come from a channel.
pub fn stream(parts: mpsc::Receiver<BodyChunk>) -> Body {
    let frames = stream::unfold(parts, |mut parts| async move {
        let part = parts.recv().await?;
        Some((part.map(Frame::data), parts))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Returns a response with a text body.
pub fn text(status: StatusCode, content: impl Into<Bytes>) -> Response<Body> {
    respond(status, "text/plain; charset=utf-8", full(content))
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(content) => respond(status, "application/json", full(content)),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Returns a response that streams server-sent events.
pub fn event_stream(parts: mpsc::Receiver<BodyChunk>) -> Response<Body> {
    let mut response = respond(StatusCode::OK, "text/event-stream", stream(parts));
    let headers = response.headers_mut();
    headers.insert(
        header::CACHE_CONTROL,
        header::HeaderValue::from_static("no-store"),
    );
    response
}

fn respond(status: StatusCode, content_type: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    response
}

/// Marks a response that is not sent: the connection is closed instead.
#[derive(Clone, Copy, Debug)]
struct Abort;

/// Returns a response that closes the connection without an answer.
pub fn abort() -> Response<Body> {
    let mut response = Response::new(full(""));
    response.extensions_mut().insert(Abort);
    response
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection ended before the body was whole.
    Cut,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`ReadError`] if the body is too large or the connection ended early.
pub async fn read(body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
    match Limited::new(body, limit).collect().await {
        Ok(content) => Ok(content.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLarge),
        Err(_) => Err(ReadError::Cut),
    }
}

/// Reads a whole body as JSON.
///
/// # Errors
///
/// Returns a response that says what is wrong.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    limit: usize,
) -> Result<T, Response<Body>> {
    let content = read(body, limit)
        .await
        .map_err(|e| text(StatusCode::BAD_REQUEST, format!("body: {e:?}")))?;
    serde_json::from_slice(&content)
        .map_err(|e| text(StatusCode::BAD_REQUEST, format!("body: {e}")))
}

/// Returns the value of a query parameter.
pub fn query_param(uri: &http::Uri, name: &str) -> Option<String> {
    let query = uri.query()?;
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Returns a query parameter as a number, or `default`.
pub fn query_number(uri: &http::Uri, name: &str, default: u64) -> u64 {
    query_param(uri, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Waits until `stop` becomes true or its sender is gone.
pub async fn wait_stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender is gone, which ends the wait too.
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Limits of a connection, taken when it is accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest time for the next head to arrive as a whole.
    pub idle_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_bytes: MAX_HEAD_BYTES,
            idle_timeout: HEAD_TIMEOUT,
        }
    }
}

/// Serves HTTP on `listener` until `stop` becomes true.
///
/// Open connections finish the request that they are at, within a few seconds.
pub async fn serve<H, F>(listener: TcpListener, handler: H, stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_with(listener, handler, stop, ConnectionLimits::default).await;
}

/// Serves HTTP like [`serve`], with limits that are asked for at each connection.
pub async fn serve_with<H, F, L>(
    listener: TcpListener,
    handler: H,
    mut stop: watch::Receiver<bool>,
    limits: L,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
    L: Fn() -> ConnectionLimits + Send,
{
    let graceful = GracefulShutdown::new();
    loop {
        let (socket, from) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(pair) => pair,
                Err(_) => {
                    // Out of file descriptors: wait for some to be closed.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
            () = wait_stopped(&mut stop) => break,
        };
        // A failure to set the option costs latency only.
        let _ = socket.set_nodelay(true);
        // Without it, a silent peer holds the connection for longer.
        let _ = pool::set_keepalive(&socket);
        let limits = limits();
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request, from);
            async move {
                let response = response.await;
                match response.extensions().get::<Abort>() {
                    Some(_) => Err(io::Error::other("aborted")),
                    None => Ok(response),
                }
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(socket), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // The peer sees the failure of its own connection.
            let _ = connection.await;
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(STOP_TIMEOUT, graceful.shutdown()).await;
}
