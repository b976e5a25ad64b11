//! HTTP listeners for callers, the directory, readiness probes and metrics.

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
use crate::entry::call;
use crate::entry::membership;
use crate::error::Error;
use crate::telemetry;
use crate::web;
use crate::web::Body;
use crate::web::ConnectionLimits;

/// Time for which a directory response may be cached.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);

/// Maximum number of entries in a directory response.
const MAX_ENTRIES: usize = 64;

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// The tasks of the listeners.
#[derive(Debug, Default)]
pub struct Tasks {
    /// Serves callers, and ends when their connections are closed.
    pub callers: Option<JoinHandle<()>>,
    /// Serve the directory, readiness probes and metrics, and do not end.
    pub internal: Vec<JoinHandle<()>>,
}

/// Starts a listener for each address in the settings.
///
/// Caller connections are shut down gracefully once `closing` becomes true.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on.
pub async fn listen(entry: &Arc<Entry>, closing: watch::Receiver<bool>) -> Result<Tasks, Error> {
    let settings = entry.settings.load_full();
    let mut tasks = Tasks::default();
    if let Some(address) = settings.front {
        let listener = bind(address)?;
        let serving = serve_callers(Arc::clone(entry), listener, closing);
        tasks.callers = Some(tokio::spawn(serving));
    }
    let mut internal: Vec<SocketAddr> = [settings.directory, settings.ready, settings.metrics]
        .into_iter()
        .flatten()
        .collect();
    internal.sort();
    internal.dedup();
    for address in internal {
        let listener = bind(address)?;
        let serving = serve_internal(Arc::clone(entry), listener);
        tasks.internal.push(tokio::spawn(serving));
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
                idle_timeout: limits.idle_timeout,
                head_timeout: limits.head_timeout,
            }
        }
    };
    let handler = move |request, _| answer(Arc::clone(&entry), request);
    web::serve_with(listener, handler, closing, limits).await;
}

async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let _open = entry.open_requests.guard();
    let mut response = call::handle(&entry, request).await;
    if entry.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Serves the directory, readiness probes and metrics until the process ends.
async fn serve_internal(entry: Arc<Entry>, listener: TcpListener) {
    // Dropping the sender would stop the server.
    let (_stop, stopped) = watch::channel(false);
    let handler = move |request: Request<Incoming>, _| {
        let response = answer_internal(&entry, request);
        async move { response }
    };
    web::serve_with(listener, handler, stopped, ConnectionLimits::default).await;
}

fn answer_internal(entry: &Entry, request: Request<Incoming>) -> Response<Body> {
    let (head, _) = request.into_parts();
    let dialect = &entry.adapter.dialect;
    if dialect.is_directory_request(&head) {
        return directory(entry);
    }
    if dialect.is_readiness_probe(&head) {
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

/// Returns the directory response: the entries that callers should use.
fn directory(entry: &Entry) -> Response<Body> {
    let settings = entry.settings.load();
    let (includes_self, mut fronts) = entry
        .membership
        .best_fronts(membership::phase(entry), entry.clock.now());
    if includes_self {
        fronts.extend(settings.front);
    }
    if fronts.len() > MAX_ENTRIES {
        // A random subset spreads callers over all entries.
        let first = (entry.random_u64() % fronts.len() as u64) as usize;
        fronts.rotate_left(first);
        fronts.truncate(MAX_ENTRIES);
    }
    let ttl = DIRECTORY_TTL.min(settings.bounds.ttl_max);
    entry.adapter.dialect.directory(&fronts, ttl)
}

/// Returns the readiness response: whether callers should use this entry.
fn readiness(entry: &Entry) -> Response<Body> {
    let (is_best, _) = entry
        .membership
        .best_fronts(membership::phase(entry), entry.clock.now());
    if is_best {
        web::text(StatusCode::OK, "ready\n")
    } else {
        web::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
