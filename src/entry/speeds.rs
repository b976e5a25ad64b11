//! Exchange of the speeds of servers with other entries, and reports about them.

use std::net::SocketAddr;

use crate::core::Name;
use crate::core::route::speed::share::Audience;
use crate::core::route::speed::share::Message;
use crate::core::route::speed::share::Scope;
use crate::core::route::speed::share::Share;
use crate::core::route::speed::table::SpeedTable;
use crate::entry::Entry;
use crate::telemetry::events::Event;

/// Where the messages of the last round went.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// All other entries, where each hears every other.
    pub mesh: Vec<SocketAddr>,
    /// The aggregators of this entry.
    pub aggregators: Vec<SocketAddr>,
    /// Other aggregators, if this entry is one.
    pub receivers: Vec<SocketAddr>,
    /// Entries that report to this one.
    pub reporters: Vec<SocketAddr>,
}

/// Returns the messages to send now, with their receivers.
pub fn messages<'a>(entry: &Entry, routes: &'a Routes) -> Vec<(Message, &'a [SocketAddr])> {
    let (settings, now) = (entry.settings.load(), entry.clock.now());
    let (node, domain) = (&settings.node, &settings.domain);
    let incarnation = entry.membership.incarnation();
    let (reported, receiving) = (routes.reporters.len(), routes.receivers.len());
    let mut messages = Vec::new();
    entry.backends.with_speeds(|speeds| {
        let mut add = |share: Option<Share>, seq, to: &'a [SocketAddr]| {
            messages.extend(share.map(|share| {
                let message = Message {
                    node: node.clone(),
                    incarnation,
                    seq,
                    share,
                };
                (message, to)
            }));
        };
        if !routes.mesh.is_empty() {
            let audience = Audience::Mesh(routes.mesh.len());
            let share = speeds.own_share(node, audience, now);
            add(share, speeds.seq(), &routes.mesh);
        }
        if !routes.aggregators.is_empty() {
            let audience = Audience::Aggregators(routes.aggregators.len());
            let share = speeds.own_share(node, audience, now);
            add(share, speeds.seq(), &routes.aggregators);
        }
        if !routes.receivers.is_empty() {
            let audience = Audience::Domains(reported, receiving);
            let share = speeds.domain_share(node, domain, audience, now);
            add(share, speeds.seq(), &routes.receivers);
        }
        if !routes.reporters.is_empty() {
            let audience = Audience::Reporters(reported, receiving);
            let share = speeds.fleet_share(node, audience, now);
            add(share, speeds.seq(), &routes.reporters);
        }
    });
    messages
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
    if !settings.features.prediction {
        return;
    }
    // The entries of the own failure domain report to this one too, if it aggregates.
    let is_own = matches!(&share.scope, Scope::Domain(domain) if *domain == settings.domain);
    if is_own || *node == settings.node {
        return;
    }
    let now = entry.clock.now();
    let (merged, is_urgent) = entry.backends.with_listed_speeds(|speeds| {
        let merged = speeds.merge(node, *incarnation, *seq, share, now);
        (merged, speeds.is_urgent())
    });
    if is_urgent {
        entry.membership.send_speeds_soon();
    }
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
    for (service, _) in entry.catalog.load().iter().flat_map(|c| c.services.iter()) {
        let utilization = |speeds: &mut SpeedTable| speeds.utilization(service, now);
        if let Some(utilization) = entry.backends.with_speeds(utilization) {
            let service = service.to_string();
            metrics::gauge!("cassialock_waiting_fraction", "service" => service)
                .set(utilization.busy);
        }
    }
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
