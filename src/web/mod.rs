//! HTTP server and client helpers shared by the node and the stand-ins.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt;
use futures_util::stream;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task;

use crate::web::head_limit::Allowance;
use crate::web::head_limit::HeadLimited;
use crate::web::head_timer::HeadTimer;
use crate::web::head_timer::LimitSource;
use crate::web::reset::CurrentReset;

pub mod client;
mod head_limit;
mod head_timer;
pub mod pool;
pub mod reset;

/// Body type of every response.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;

/// Default timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Default maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Smallest connection buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Maximum drain time of open connections when a server stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which a stopping server reads what the kernel already holds for it.
const SETTLE_TIME: Duration = Duration::from_millis(10);

/// Returns a body with fixed content.
pub fn full(content: impl Into<Bytes>) -> Body {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// One chunk of a streamed body; an error aborts the connection.
pub type BodyChunk = Result<Bytes, io::Error>;

/// Returns a body that streams the chunks of a channel.
pub fn stream(chunks: mpsc::Receiver<BodyChunk>) -> Body {
    let frames = stream::unfold(chunks, |mut chunks| async move {
        let chunk = chunks.recv().await?;
        Some((chunk.map(Frame::data), chunks))
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
pub fn event_stream(chunks: mpsc::Receiver<BodyChunk>) -> Response<Body> {
    let mut response = respond(StatusCode::OK, "text/event-stream", stream(chunks));
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

/// Marks a response that is not sent; the connection is closed instead.
#[derive(Clone, Copy, Debug)]
struct Abort;

/// Returns a response that closes the connection without sending anything.
pub fn abort() -> Response<Body> {
    let mut response = Response::new(full(""));
    response.extensions_mut().insert(Abort);
    response
}

/// Error of reading a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection ended before the body was complete.
    Cut,
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`ReadError`] if the body is too large or incomplete.
pub async fn read(mut body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| ReadError::Cut)?.into_data() else {
            // Trailers are not used.
            continue;
        };
        if content.len() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        if content.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        // A part keeps the whole buffer that it was read into, so that many small parts
        // would hold many times their length.
        content.extend_from_slice(&data);
    }
    Ok(content.freeze())
}

/// Reads and drops a body until it ends, `limit` bytes have arrived or nothing has
/// arrived for `gap`.
pub async fn discard(mut body: Incoming, limit: usize, gap: Duration) {
    let mut left = limit;
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(gap, body.frame()).await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(length) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}

/// Reads a complete body and decodes it as JSON.
///
/// # Errors
///
/// Returns a response with status 400 that describes the error.
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

/// Returns whether only the end of the connection shows the end of a response's body.
pub fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the value of a query parameter.
pub fn query_param(uri: &http::Uri, name: &str) -> Option<String> {
    let query = uri.query()?;
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Returns a query parameter as a number, or `default` if it is missing or not a
/// number.
pub fn query_number(uri: &http::Uri, name: &str, default: u64) -> u64 {
    query_param(uri, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Waits until `stop` becomes true or its sender is dropped.
pub async fn wait_stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which also ends the wait.
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Limits of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Maximum size of the head of a request, in bytes, applied when the connection is
    /// accepted.
    pub head_bytes: usize,
    /// Timeout for the first byte of the next request.
    pub idle_timeout: Duration,
    /// Timeout for the rest of its head.
    pub head_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_bytes: MAX_HEAD_BYTES,
            idle_timeout: HEAD_TIMEOUT,
            head_timeout: HEAD_TIMEOUT,
        }
    }
}

/// Serves HTTP on `listener` until `stop` becomes true.
///
/// Open connections may then finish their current request within a few seconds.
pub async fn serve<H, F>(listener: TcpListener, handler: H, stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_with(listener, handler, stop, ConnectionLimits::default).await;
}

/// Serves HTTP like [`serve`], with the limits that `limits` returns at the moment.
pub async fn serve_with<H, F, L>(
    listener: TcpListener,
    handler: H,
    mut stop: watch::Receiver<bool>,
    limits: L,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
    L: Fn() -> ConnectionLimits + Send + Sync + 'static,
{
    let limits: LimitSource = Arc::new(limits);
    let graceful = GracefulShutdown::new();
    loop {
        let (socket, peer) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(pair) => pair,
                Err(_) => {
                    // Out of file descriptors; wait until some are closed.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
            () = wait_stopped(&mut stop) => break,
        };
        serve_connection(socket, peer, handler.clone(), &limits, &graceful);
    }
    // Closing would reset the connections that the kernel has opened, and idle ones in
    // which a request lies that was not read yet.
    tokio::time::sleep(SETTLE_TIME).await;
    let accept_held = || task::unconstrained(listener.accept()).now_or_never();
    while let Some(Ok((socket, peer))) = accept_held() {
        serve_connection(socket, peer, handler.clone(), &limits, &graceful);
    }
    drop(listener);
    tokio::time::sleep(SETTLE_TIME).await;
    let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, graceful.shutdown()).await;
}

/// Serves the requests of one connection in the background.
fn serve_connection<H, F>(
    socket: TcpStream,
    peer: SocketAddr,
    handler: H,
    limits: &LimitSource,
    graceful: &GracefulShutdown,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // A failure to set the option only costs latency.
    let _ = socket.set_nodelay(true);
    // Without keepalive, an unresponsive peer only holds the connection for longer.
    let _ = pool::set_keepalive(&socket);
    let reset = CurrentReset::new();
    let current = reset.clone();
    let service = service_fn(move |request| {
        let response = handler(request, peer);
        let current = current.clone();
        async move {
            let mut response = response.await;
            if response.extensions().get::<Abort>().is_some() {
                return Err(io::Error::other("aborted"));
            }
            current.begin(&mut response);
            Ok(response)
        }
    });
    let allowance = Allowance::new();
    let head_bytes = limits().head_bytes;
    let socket = HeadLimited::new(socket, allowance.clone()).with_reset(reset.clone());
    let connection = http1::Builder::new()
        .timer(HeadTimer::new(Arc::clone(limits), allowance))
        // The timer replaces the timeout by the limits in force.
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        tokio::select! {
            biased;
            // A connection that takes no bytes asks for no more of the response, and so would
            // not notice its end.
            () = reset.triggered() => {}
            // An error concerns only this connection, and its peer notices it.
            _ = connection => {}
        }
    });
}
