//! Exchange of the speeds of servers with other entries, and reports about them.

use std::net::SocketAddr;

use crate::core::Name;
use crate::core::route::speed::share::Audience;
use crate::core::route::speed::share::Message;
use crate::core::route::speed::share::Scope;
use crate::core::route::speed::share::Share;
use crate::entry::Entry;
use crate::telemetry::events::Event;

/// Returns what this entry knows from its own responses, if there is news.
pub fn own_message(entry: &Entry, audience: Audience) -> Option<Message> {
    let (node, now) = (entry.settings.load().node.clone(), entry.clock.now());
    let share = entry
        .backends
        .with_speeds(|speeds| speeds.own_share(&node, audience, now))?;
    Some(message(entry, node, share))
}

/// Returns what this entry knows of its failure domain as an aggregator, if there is news.
pub fn domain_message(entry: &Entry, audience: Audience) -> Option<Message> {
    let (settings, now) = (entry.settings.load(), entry.clock.now());
    let (node, domain) = (settings.node.clone(), &settings.domain);
    let share = entry
        .backends
        .with_speeds(|speeds| speeds.domain_share(&node, domain, audience, now))?;
    Some(message(entry, node, share))
}

/// Returns what this entry knows of all entries as an aggregator, if there is news.
pub fn fleet_message(entry: &Entry, audience: Audience) -> Option<Message> {
    let (node, now) = (entry.settings.load().node.clone(), entry.clock.now());
    let share = entry
        .backends
        .with_speeds(|speeds| speeds.fleet_share(&node, audience, now))?;
    Some(message(entry, node, share))
}

fn message(entry: &Entry, node: Name, share: Share) -> Message {
    let (incarnation, seq) = entry.membership.number();
    Message {
        node,
        incarnation,
        seq,
        share,
    }
}

/// Merges what another entry knows.
pub fn merge(entry: &Entry, from: SocketAddr, message: &Message) {
    let Message {
        node,
        incarnation,
        seq,
        share,
    } = message;
    let settings = entry.settings.load();
    // The entries of the own failure domain report to this one too, if it aggregates.
    let is_own = matches!(&share.scope, Scope::Domain(domain) if *domain == settings.domain);
    if is_own || *node == settings.node {
        return;
    }
    let now = entry.clock.now();
    let merged = entry
        .backends
        .with_listed_speeds(|speeds| speeds.merge(node, *incarnation, *seq, share, now));
    for (reason, rows) in [("unknown", merged.unknown), ("invalid", merged.invalid)] {
        if rows > 0 {
            metrics::counter!("cassialock_speed_rows_ignored_total", "reason" => reason)
                .increment(u64::from(rows));
        }
    }
    if merged.is_logged {
        entry.events.write(
            Event::new("speed_rows_ignored")
                .with("peer", &**node)
                .with("from", from.to_string())
                .with("rows", merged.invalid),
        );
    }
}

/// Counts how long a response took relative to the predicted time.
pub fn count_prediction(service: &Name, ratio: f64) {
    let service = service.to_string();
    metrics::histogram!("cassialock_expected_time_ratio", "service" => service).record(ratio);
}

/// Logs which servers are newly slow or normal, and whether other entries are heard.
pub fn report(entry: &Entry) {
    let now = entry.clock.now();
    let checked = entry.backends.with_speeds(|speeds| speeds.check(now));
    for change in checked.changes {
        let class = if change.is_slow { "slow" } else { "normal" };
        metrics::counter!("cassialock_backend_speed_changes_total", "class" => class).increment(1);
        let name = if change.is_slow {
            "backend_slow"
        } else {
            "backend_normal"
        };
        entry.events.write(
            Event::new(name)
                .with("backend", &*change.server)
                .with("kind", change.kind.as_str())
                .with("ratio", change.ratio.value)
                .with("samples", change.ratio.samples)
                .with_ms("age_ms", change.ratio.age),
        );
    }
    if checked.omitted > 0 {
        let event = Event::new("backend_speeds_omitted").with("changes", checked.omitted);
        entry.events.write(event);
    }
    if let Some((is_heard, age)) = checked.contact {
        let name = if is_heard {
            "speed_shares_regained"
        } else {
            "speed_shares_lost"
        };
        entry.events.write(Event::new(name).with_ms("age_ms", age));
    }
}
