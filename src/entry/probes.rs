//! Probes of the load of servers, before a request is placed.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body as _;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::core::Name;
use crate::core::route::probing::FIRST_TIMEOUT;
use crate::core::route::probing::PROBE_TIMEOUT;
use crate::core::route::probing::ProbeOutcome;
use crate::entry::Entry;
use crate::entry::adapter::BackendServer;
use crate::entry::backends::Criteria;
use crate::entry::notices;
use crate::web::pool::Connection;
use crate::web::pool::SendError;

/// Largest body of an answer after which its connection is used again, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// Time within which such a body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks those candidates for a request for their load whose last report is too old.
///
/// Returns after [`PROBE_TIMEOUT`] at the latest.
pub async fn refresh(entry: &Arc<Entry>, criteria: &Criteria<'_>) {
    let Some(path) = health_path(entry, criteria.service) else {
        return;
    };
    let next = |asked: &[Name]| {
        let now = entry.clock.now();
        entry.backends.to_probe(criteria, asked, now)
    };
    let targets = next(&[]);
    if targets.is_empty() {
        return;
    }
    let asked: Vec<Name> = targets.iter().map(|(id, _)| id.clone()).collect();
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let probe_all = |targets: Vec<(Name, BackendServer)>| {
        let targets = targets.into_iter();
        future::join_all(targets.map(|(id, server)| probe(entry, id, server, &path, deadline)))
    };
    let mut first = pin!(probe_all(targets));
    let waiting = tokio::time::timeout(FIRST_TIMEOUT, &mut first).await;
    let further = probe_all(next(&asked));
    if waiting.is_ok() {
        further.await;
    } else {
        future::join(first, further).await;
    }
}

fn health_path(entry: &Entry, service: &str) -> Option<Name> {
    let catalog = entry.catalog.load()?;
    catalog.services.get(service)?.health_path.clone()
}

/// Probes one server and records the outcome.
///
/// A failure counts only against further probes: the server may be busy, or this node.
async fn probe(entry: &Arc<Entry>, id: Name, server: BackendServer, path: &str, deadline: Instant) {
    let sent = entry.clock.now();
    let asking = ask(entry, &id, &server, path);
    let outcome = tokio::time::timeout_at(deadline, asking).await;
    let outcome = outcome.unwrap_or(ProbeOutcome::TimedOut);
    metrics::counter!("cassialock_probes_total", "outcome" => outcome.as_str()).increment(1);
    let now = entry.clock.now();
    entry
        .backends
        .record_probe(&id, outcome, now.since(sent), now);
}

async fn ask(entry: &Arc<Entry>, id: &Name, server: &BackendServer, path: &str) -> ProbeOutcome {
    let mut sent = entry.clock.now();
    let Some(request) = build_request(server, path) else {
        return ProbeOutcome::Failed;
    };
    let kept = entry.pool.take(server.address);
    let exchanged = match kept {
        Some(connection) => exchange(connection, request.clone()).await.ok(),
        None => None,
    };
    let (connection, response) = match exchanged {
        Some(exchanged) => exchanged,
        // A kept connection may be closed at any time, and a probe may be sent twice.
        None => {
            let Ok(connection) = Connection::open(server.address, PROBE_TIMEOUT).await else {
                return ProbeOutcome::Failed;
            };
            metrics::counter!("cassialock_connections_total").increment(1);
            sent = entry.clock.now();
            match exchange(connection, request).await {
                Ok(exchanged) => exchanged,
                Err(_) => return ProbeOutcome::Failed,
            }
        }
    };
    let (head, body) = response.into_parts();
    let dialect = &entry.adapter.dialect;
    if dialect.server_id(&head.headers) != Some(&*server.instance) {
        return ProbeOutcome::OtherServer;
    }
    let mut info = dialect.read_response(&head);
    // A server that is not ready may state that it has nothing to do.
    if !head.status.is_success() {
        info.notice.load = None;
    }
    let now = entry.clock.now();
    let recorded =
        entry
            .backends
            .record_probe_notice(id, &info.notice, sent, entry.random_fraction(), now);
    notices::report_probe(entry, id, server, recorded);
    if !info.is_closing && !info.notice.is_leaving {
        keep(entry, connection, body, info.idle_timeout);
    }
    if info.notice.load.is_some() {
        ProbeOutcome::Answered
    } else {
        ProbeOutcome::NoLoad
    }
}

async fn exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<(Connection, Response<Incoming>), SendError> {
    let response = connection.send(request).await?;
    Ok((connection, response))
}

fn build_request(server: &BackendServer, path: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    Some(request)
}

/// Returns a connection to the pool once the body of the answer has arrived, without
/// letting the request wait for that.
fn keep(
    entry: &Arc<Entry>,
    mut connection: Connection,
    body: Incoming,
    idle_timeout: Option<Duration>,
) {
    if body.is_end_stream() {
        connection.set_idle_timeout(idle_timeout);
        entry.pool.put(connection);
        return;
    }
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        let reading = Limited::new(body, MAX_BODY_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(BODY_TIMEOUT, reading).await {
            connection.set_idle_timeout(idle_timeout);
            entry.pool.put(connection);
        }
    });
}
