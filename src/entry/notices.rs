//! Acts on what backend servers state about themselves in their answers.

use std::net::SocketAddr;

use crate::core::Name;
use crate::core::route::servers::closure::Closure;
use crate::core::route::servers::closure::MAX_CLOSURE;
use crate::core::route::servers::limit::LimitEnd;
use crate::core::route::servers::notice::Change;
use crate::core::route::servers::notice::Departure;
use crate::core::route::servers::notice::Ignored;
use crate::core::route::servers::notice::Notice;
use crate::core::route::servers::notice::Origin;
use crate::core::route::servers::notice::Receipt;
use crate::core::route::servers::notice::Statement;
use crate::entry::Entry;
use crate::entry::adapter::BackendServer;
use crate::entry::adapter::ResponseInfo;
use crate::entry::backends::ChosenBackend;
use crate::entry::backends::in_flight::InFlight;
use crate::entry::backends::placing::ProbeChanges;
use crate::telemetry::events::Event;

/// Records what a server states in its answer to `request`.
pub fn record(
    entry: &Entry,
    request: &str,
    server: &ChosenBackend,
    in_flight: &InFlight,
    info: &ResponseInfo,
) {
    let origin = match &info.request_id {
        Some(id) if **id == *request => Origin::Own,
        Some(_) => Origin::Other,
        None => Origin::Unnamed,
    };
    let receipt = Receipt {
        request: request.into(),
        sent: in_flight.sent(),
        is_accepted: !info.is_not_run,
        origin,
        is_signed: info.is_signed,
        random: entry.random_fraction(),
        now: entry.clock.now(),
    };
    for change in in_flight.record_notice(&info.notice, &receipt) {
        report(entry, request, server, in_flight, change);
    }
}

/// Acts on a change of a server, and counts and logs it.
fn report(
    entry: &Entry,
    request: &str,
    server: &ChosenBackend,
    in_flight: &InFlight,
    change: Change,
) {
    match change {
        Change::RateLimit(limit) => entry.events.write(
            Event::new("backend_limit")
                .with("backend", &*server.id)
                .with("limit_per_s", limit),
        ),
        Change::Leaving => {
            entry.pool.close(server.server.address);
            count_closure(Statement::Leaving);
            entry.events.write(
                Event::new("backend_closed")
                    .with("backend", &*server.id)
                    .with("cause", Statement::Leaving.as_str())
                    .with("request", request)
                    .with_ms("age_ms", in_flight.age()),
            );
        }
        Change::Closed(closure) => {
            count_closure(Statement::TurnedAway);
            entry.events.write(
                closure_event("backend_closed", server, &closure)
                    .with("is_bounded", closure.length() >= MAX_CLOSURE)
                    .with_ms("age_ms", in_flight.age()),
            );
        }
        Change::Opened(closure) => {
            let age = entry.clock.now().since(closure.since);
            let event = closure_event("backend_opened", server, &closure);
            entry
                .events
                .write(event.with("trial", request).with_ms("age_ms", age));
        }
        Change::Ignored(ignored) => record_ignored(entry, request, &server.id, &ignored),
    }
}

/// Acts on what another entry tells of servers that leave.
pub fn record_departures(entry: &Entry, peer: SocketAddr, departures: &[Departure]) {
    let now = entry.clock.now();
    for departure in departures {
        let Some(server) = entry.backends.record_departure(departure, now) else {
            continue;
        };
        entry.pool.close(server.address);
        count_closure(Statement::Leaving);
        entry.events.write(
            Event::new("backend_closed")
                .with("backend", &*departure.server)
                .with("cause", Statement::Leaving.as_str())
                .with("peer", peer.to_string())
                .with_ms("age_ms", departure.age),
        );
    }
}

/// Acts on what another entry tells of servers that no longer limit their rate.
pub fn record_limit_ends(entry: &Entry, peer: SocketAddr, ends: &[LimitEnd]) {
    let now = entry.clock.now();
    for end in ends {
        let is_new = entry
            .backends
            .with_servers(|servers| servers.record_limit_end(end, now));
        if is_new {
            entry.events.write(
                Event::new("backend_limit")
                    .with("backend", &*end.server)
                    .with("limit_per_s", None::<f64>)
                    .with("peer", peer.to_string())
                    .with_ms("age_ms", end.age),
            );
        }
    }
}

/// Counts the statements of an interim response, which are not acted on.
pub fn ignore_interim(entry: &Entry, request: &str, backend: &str, notice: &Notice) {
    for ignored in &notice.invalid {
        record_ignored(entry, request, backend, ignored);
    }
}

/// Acts on what a server states in its answer to a probe.
///
/// Statements that are not acted on are only counted, since probes are frequent.
pub fn report_probe(entry: &Entry, id: &Name, server: &BackendServer, recorded: ProbeChanges) {
    if let Some(policy) = &recorded.policy {
        policy.write(entry);
    }
    for change in recorded.changes {
        match change {
            Change::RateLimit(limit) => entry.events.write(
                Event::new("backend_limit")
                    .with("backend", &**id)
                    .with("limit_per_s", limit),
            ),
            Change::Leaving => {
                entry.pool.close(server.address);
                count_closure(Statement::Leaving);
                entry.events.write(
                    Event::new("backend_closed")
                        .with("backend", &**id)
                        .with("cause", Statement::Leaving.as_str())
                        .with("source", "probe"),
                );
            }
            Change::Ignored(ignored) => count_ignored(&ignored),
            // A probe neither closes nor opens a server.
            Change::Closed(_) | Change::Opened(_) => {}
        }
    }
}

/// Returns an event about a server that turns, or turned, requests away.
fn closure_event(name: &'static str, server: &ChosenBackend, closure: &Closure) -> Event {
    Event::new(name)
        .with("backend", &*server.id)
        .with("cause", Statement::TurnedAway.as_str())
        .with("request", &*closure.request)
        .with("value_s", closure.stated_s.to_string())
        .with_ms("for_ms", closure.length())
}

fn count_closure(cause: Statement) {
    metrics::counter!("cassialock_backend_closures_total", "cause" => cause.as_str()).increment(1);
}

fn count_ignored(ignored: &Ignored) {
    let statement = ignored.statement.as_str();
    metrics::counter!("cassialock_ignored_statements_total", "statement" => statement).increment(1);
}

fn record_ignored(entry: &Entry, request: &str, backend: &str, ignored: &Ignored) {
    let statement = ignored.statement.as_str();
    count_ignored(ignored);
    entry.events.write(
        Event::for_request("statement_ignored", request)
            .with("backend", backend)
            .with("statement", statement)
            .with("value", &*ignored.value),
    );
}
