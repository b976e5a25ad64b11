//! Acts on evacuations of failure domains.

use std::net::SocketAddr;

use crate::core::Name;
use crate::core::route::servers::evacuation::Difference;
use crate::core::route::servers::evacuation::Evacuations;
use crate::entry::Entry;
use crate::telemetry::events::Event;

/// Applies a listing of the store.
pub fn apply(entry: &Entry, listing: Evacuations) {
    let now = entry.clock.now();
    let difference = entry
        .backends
        .with_servers(|servers| servers.record_evacuations(listing, now));
    report(entry, difference, None);
}

/// Applies changes that the store has delivered.
pub fn apply_changes(entry: &Entry, revision: u64, changes: &[(Name, bool)]) {
    let now = entry.clock.now();
    let difference = entry
        .backends
        .with_servers(|servers| servers.record_evacuation_changes(revision, changes, now));
    report(entry, difference, None);
}

/// Applies what another entry tells, if this deployment has evacuations.
pub fn merge(entry: &Entry, peer: SocketAddr, listing: Evacuations) {
    if entry.settings.load().bounds.has_evacuations {
        let now = entry.clock.now();
        let difference = entry
            .backends
            .with_servers(|servers| servers.record_evacuations(listing, now));
        report(entry, difference, Some(peer));
    }
}

/// Returns the evacuated failure domains as they are logged, if there are any.
pub fn summary(entry: &Entry) -> Option<String> {
    entry.backends.with_servers(|servers| {
        let domains = &servers.evacuated().known().domains;
        (!domains.is_empty()).then(|| format!("evacuated: {}", domains.join(", ")))
    })
}

fn report(entry: &Entry, difference: Difference, peer: Option<SocketAddr>) {
    let Difference { begun, ended } = difference;
    let begun = begun.iter().map(|domain| ("evacuation_began", domain));
    let ended = ended.iter().map(|domain| ("evacuation_ended", domain));
    for (name, domain) in begun.chain(ended) {
        let event = Event::new(name).with("domain", &**domain);
        let peer = peer.map(|peer| peer.to_string());
        entry.events.write(event.with("peer", peer));
    }
}
