//! Bounded and stable subsets, chosen by rendezvous hashing.

use crate::core::Name;
use crate::core::hash;

/// Maximum number of backend servers of one service to which a node sends requests.
pub const MAX_CANDIDATES: usize = 64;

/// Maximum number of entry nodes to which the callers of a workspace are directed.
pub const MAX_ENTRY_NODES: usize = 4;

/// An item of which subsets are chosen, with its failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubsetItem {
    /// ID of the item.
    pub id: Name,
    /// Failure domain of the item.
    pub domain: Name,
}

/// Returns the rendezvous hash of an item, by which `key` prefers it.
pub fn score(key: &str, id: &str) -> u64 {
    hash(&[key, id])
}

/// Returns at most `count` of `items` for `key`, spread over failure domains.
///
/// The subset depends only on the key and the set of items, not on their order.
/// Adding or removing an item changes at most one place in each failure domain.
pub fn pick(key: &str, items: &[SubsetItem], count: usize) -> Vec<Name> {
    let mut ranked: Vec<(u64, &SubsetItem)> = items
        .iter()
        .map(|item| (score(key, &item.id), item))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));

    // Sorting by the rank within the domain first takes items from all domains in turn.
    let mut last_ranks: Vec<(&Name, usize)> = Vec::new();
    let mut placed: Vec<(usize, u64, &SubsetItem)> = Vec::with_capacity(ranked.len());
    for (score, item) in ranked {
        let domain_rank = match last_ranks.binary_search_by(|row| row.0.cmp(&item.domain)) {
            Ok(index) => {
                last_ranks[index].1 += 1;
                last_ranks[index].1
            }
            Err(index) => {
                last_ranks.insert(index, (&item.domain, 0));
                0
            }
        };
        placed.push((domain_rank, score, item));
    }
    placed.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.cmp(&a.1)));
    placed
        .into_iter()
        .take(count)
        .map(|(_, _, item)| item.id.clone())
        .collect()
}
