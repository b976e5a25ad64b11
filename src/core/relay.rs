//! Selection of the relays: the nodes that watch the store for all others.
//!
//! This holds for a deployment whose nodes all hear each other. In a larger one,
//! the first aggregator of each failure domain is its relay; see
//! [`crate::core::aggregate`].
//!
//! Every call to the store costs money and counts against a shared rate limit,
//! while calls between nodes are free. Therefore only a few nodes, the relays,
//! watch the store, and every other node polls one relay several times a
//! second. Nodes that see the same live nodes derive the same relays without
//! coordination. If their views differ, a node whose relay does not respond
//! watches the store itself.

use crate::core::Name;
use crate::core::hash;

/// Number of nodes that watch the store.
pub const RELAY_COUNT: usize = 3;

/// Returns the nodes in `names` that watch the store.
fn relays(names: &[Name]) -> Vec<Name> {
    let mut ranked: Vec<(u64, &Name)> = names
        .iter()
        .map(|name| (hash(&["relay", name]), name))
        .collect();
    ranked.sort();
    ranked.truncate(RELAY_COUNT);
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Returns the relay that the node `node` polls, or `None` if it is a relay itself.
///
/// `names` are the nodes that can be polled, including `node` if it is one of them.
pub fn relay_of(node: &str, names: &[Name]) -> Option<Name> {
    let relays = relays(names);
    if relays.iter().any(|relay| **relay == *node) {
        return None;
    }
    relays
        .into_iter()
        .min_by_key(|relay| hash(&["asks", node, relay]))
}
