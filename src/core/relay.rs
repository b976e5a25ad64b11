//! Which nodes follow the store, and which ask those that do.
//!
//! Every call to the store is paid and counted against a common rate, while
//! nodes talk to each other for nothing. A few nodes follow the store; each
//! other one asks one of them several times a second. All nodes come to the
//! same roles without asking, as far as they hear the same others; where they
//! do not, one that gets no answer follows the store itself.

use crate::core::Name;
use crate::core::hash;

/// Nodes that follow the store.
pub const RELAY_COUNT: usize = 3;

/// Returns the nodes of `names` that follow the store.
fn relays(names: &[Name]) -> Vec<Name> {
    let mut ranked: Vec<(u64, &Name)> = names
        .iter()
        .map(|name| (hash(&["relay", name]), name))
        .collect();
    ranked.sort();
    ranked.truncate(RELAY_COUNT);
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Returns whom the node `me` asks, or `None` if it follows the store itself.
///
/// `names` are the nodes that can be asked, `me` included if it is one of them.
pub fn relay_of(me: &str, names: &[Name]) -> Option<Name> {
    let relays = relays(names);
    if relays.iter().any(|relay| **relay == *me) {
        return None;
    }
    relays
        .into_iter()
        .min_by_key(|relay| hash(&["asks", me, relay]))
}
