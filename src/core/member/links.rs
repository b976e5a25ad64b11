//! The bounded number of neighbours that a node sends heartbeats to.

use crate::core::Name;
use crate::core::hash;
use crate::core::member::Member;

/// Neighbours that a node sends to, at most.
pub const MAX_LINKS: usize = 5;

/// Returns the neighbours that the node `from` sends to.
///
/// The members stand on a ring in the order of their hashes. A node links to
/// its two successors, to the next one of another failure domain, and to two
/// that stand far away on the ring, so that a change reaches every node in a
/// few steps. Every node can compute the links of every other.
pub fn of<'a>(from: &str, members: impl IntoIterator<Item = &'a Member>) -> Vec<Name> {
    let mut ring: Vec<(u64, &Member)> = members
        .into_iter()
        .map(|member| (hash(&["ring", &member.id]), member))
        .collect();
    ring.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.id.cmp(&b.1.id)));
    let Some(at) = ring.iter().position(|row| *row.1.id == *from) else {
        return Vec::new();
    };
    let size = ring.len();
    let own_domain = &ring[at].1.domain;
    let far = (size as f64).sqrt() as usize;
    let other_domain = (1..size).find(|step| ring[(at + step) % size].1.domain != *own_domain);
    let steps = [Some(1), Some(2), other_domain, Some(far), Some(size / 2)];

    let mut links: Vec<Name> = Vec::with_capacity(MAX_LINKS);
    for step in steps.into_iter().flatten() {
        let id = &ring[(at + step) % size].1.id;
        if **id != *from && !links.contains(id) {
            links.push(id.clone());
        }
    }
    links
}
