//! Bounded, stable subsets by rendezvous hashing.

use crate::core::Name;
use crate::core::hash;

/// Backend servers of one service that a node sends requests to, at most.
pub const MAX_CANDIDATES: usize = 64;

/// Entry nodes that a workspace's callers are led to, at most.
pub const MAX_ENTRY_NODES: usize = 4;

/// An item with the failure domain it stands in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubsetItem {
    /// Name of the item.
    pub id: Name,
    /// Failure domain of the item.
    pub domain: Name,
}

/// Returns at most `count` of `items` for `key`, spread over failure domains.
///
/// The same items and key always give the same subset, whatever the order of
/// `items`; one item more or less changes at most one place in each domain.
pub fn pick(key: &str, items: &[SubsetItem], count: usize) -> Vec<Name> {
    let mut ranked: Vec<(u64, &SubsetItem)> = items
        .iter()
        .map(|item| (hash(&[key, &item.id]), item))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));

    // The rank within its own domain comes first, so that the domains take turns.
    let mut seen: Vec<(&Name, usize)> = Vec::new();
    let mut turns: Vec<(usize, u64, &SubsetItem)> = Vec::with_capacity(ranked.len());
    for (score, item) in ranked {
        let turn = match seen.binary_search_by(|row| row.0.cmp(&item.domain)) {
            Ok(at) => {
                seen[at].1 += 1;
                seen[at].1
            }
            Err(at) => {
                seen.insert(at, (&item.domain, 0));
                0
            }
        };
        turns.push((turn, score, item));
    }
    turns.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.cmp(&a.1)));
    turns
        .into_iter()
        .take(count)
        .map(|(_, _, item)| item.id.clone())
        .collect()
}
