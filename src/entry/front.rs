//! Listens for callers, the directory, readiness and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::entry::Entry;
use crate::entry::beats;
use crate::entry::call;
use crate::error::Error;
use crate::telemetry;
use crate::web;
use crate::web::Body;
use crate::web::ConnectionLimits;

/// Time for which an answer about entries may be kept.
const KEEP: Duration = Duration::from_secs(2);

/// Entries in one answer.
const MAX_ENTRIES: usize = 64;

/// Open connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on all addresses of the settings.
///
/// Connections for callers end gracefully once `closing` becomes true.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on.
pub async fn listen(
    entry: &Arc<Entry>,
    closing: watch::Receiver<bool>,
) -> Result<Vec<JoinHandle<()>>, Error> {
    let settings = entry.settings.load_full();
    let mut tasks = Vec::new();
    if let Some(address) = settings.front {
        let listener = bind(address)?;
        tasks.push(tokio::spawn(serve_callers(
            Arc::clone(entry),
            listener,
            closing,
        )));
    }
    let mut inner: Vec<SocketAddr> = [settings.directory, settings.ready, settings.metrics]
        .into_iter()
        .flatten()
        .collect();
    inner.sort();
    inner.dedup();
    for address in inner {
        let listener = bind(address)?;
        tasks.push(tokio::spawn(serve_inner(Arc::clone(entry), listener)));
    }
    Ok(tasks)
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listen = || {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|e| Error::io(address.to_string(), &e))
}

/// Serves callers until `closing` becomes true.
async fn serve_callers(entry: Arc<Entry>, listener: TcpListener, closing: watch::Receiver<bool>) {
    let limits = {
        let entry = Arc::clone(&entry);
        move || {
            let limits = entry.catalog.load().map(|catalog| catalog.limits);
            let limits = limits.unwrap_or_default();
            ConnectionLimits {
                head_bytes: limits.head_bytes,
                idle_timeout: limits.idle_time,
            }
        }
    };
    let handler = move |request, _| answer(Arc::clone(&entry), request);
    web::serve_with(listener, handler, closing, limits).await;
}

async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let _open = entry.open.guard();
    let mut response = call::answer(&entry, request).await;
    if entry.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Serves the platform's own questions until the process ends.
async fn serve_inner(entry: Arc<Entry>, listener: TcpListener) {
    // The sender is kept for as long as the task runs.
    let (_stop, stopped) = watch::channel(false);
    let handler = move |request: Request<Incoming>, _| {
        let response = answer_inner(&entry, request);
        async move { response }
    };
    web::serve_with(listener, handler, stopped, ConnectionLimits::default).await;
}

fn answer_inner(entry: &Entry, request: Request<Incoming>) -> Response<Body> {
    let (head, _) = request.into_parts();
    let dialect = &entry.outside.dialect;
    if dialect.is_directory(&head) {
        return directory(entry);
    }
    if dialect.is_readiness(&head) {
        return readiness(entry);
    }
    if head.uri.path() == "/metrics" {
        return web::text(
            StatusCode::OK,
            telemetry::metrics::prometheus_handle().render(),
        );
    }
    dialect.refuse(&Refusal::new(Reason::UnknownRoute, "no such page"))
}

/// Answers which entries callers should use.
fn directory(entry: &Entry) -> Response<Body> {
    let settings = entry.settings.load();
    let (with_own, mut fronts) = entry.beats.fronts(beats::phase(entry), entry.clock.now());
    if with_own {
        fronts.extend(settings.front);
    }
    if fronts.len() > MAX_ENTRIES {
        // Any part will do, as long as callers of different entries get different ones.
        let first = (entry.draw() % fronts.len() as u64) as usize;
        fronts.rotate_left(first);
        fronts.truncate(MAX_ENTRIES);
    }
    let keep = KEEP.min(settings.bounds.keep_max);
    entry.outside.dialect.directory(&fronts, keep)
}

/// Answers whether this entry should get callers.
fn readiness(entry: &Entry) -> Response<Body> {
    let (is_best, _) = entry.beats.fronts(beats::phase(entry), entry.clock.now());
    if is_best {
        web::text(StatusCode::OK, "ready\n")
    } else {
        web::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
