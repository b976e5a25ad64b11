//! The bounded number of neighbours that a node sends heartbeats to.

use crate::core::Name;
use crate::core::hash;
use crate::core::member::Member;

/// Neighbours that a node sends to, at most.
pub const MAX_NEIGHBOURS: usize = 5;

/// Returns the neighbours that the node `from` sends to.
///
/// The members stand on a ring in the order of their hashes. A node links to
/// its successor and to the next one of another failure domain than that, so
/// that every node is heard from two domains, and to three drawn from all
/// members, so that a change reaches every node in a few steps. Every node can
/// compute the links of every other.
pub fn neighbours_of<'a>(from: &str, members: impl IntoIterator<Item = &'a Member>) -> Vec<Name> {
    let mut ring: Vec<(u64, &Member)> = members
        .into_iter()
        .map(|member| (hash(&["ring", &member.id]), member))
        .collect();
    ring.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.id.cmp(&b.1.id)));
    let Some(at) = ring.iter().position(|row| *row.1.id == *from) else {
        return Vec::new();
    };
    let after: Vec<&Member> = (1..ring.len())
        .map(|step| ring[(at + step) % ring.len()].1)
        .collect();
    let Some(successor) = after.first() else {
        return Vec::new();
    };
    let elsewhere = after.iter().find(|m| m.domain != successor.domain);
    let mut drawn: Vec<(u64, &Member)> = after
        .iter()
        .map(|member| (hash(&["link", from, &member.id]), *member))
        .collect();
    drawn.sort_unstable_by_key(|row| row.0);

    let near = std::iter::once(successor).chain(elsewhere).copied();
    let far = drawn.into_iter().map(|row| row.1);
    let mut links: Vec<Name> = Vec::with_capacity(MAX_NEIGHBOURS);
    for member in near.chain(far) {
        if links.len() == MAX_NEIGHBOURS {
            break;
        }
        if !links.contains(&member.id) {
            links.push(member.id.clone());
        }
    }
    links
}
