//! Selection of the bounded set of neighbours that a node sends heartbeats to.

use crate::core::Name;
use crate::core::hash;
use crate::core::member::Member;

/// Maximum number of neighbours that a node sends heartbeats to.
pub const MAX_NEIGHBOURS: usize = 5;

/// Returns the neighbours that the node `from` sends heartbeats to.
///
/// The members form a ring ordered by hash. A node links to its successor and
/// to the next member in a different failure domain than the successor's, so
/// that members of two domains monitor every node. It also links to three
/// members selected by hash from the whole ring, so that a change reaches every
/// node in a few hops. Every node can compute the neighbours of every other
/// node.
pub fn neighbours_of<'a>(from: &str, members: impl IntoIterator<Item = &'a Member>) -> Vec<Name> {
    let mut ring: Vec<(u64, &Member)> = members
        .into_iter()
        .map(|member| (hash(&["ring", &member.id]), member))
        .collect();
    ring.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.id.cmp(&b.1.id)));
    let Some(index) = ring.iter().position(|row| *row.1.id == *from) else {
        return Vec::new();
    };
    let after: Vec<&Member> = (1..ring.len())
        .map(|step| ring[(index + step) % ring.len()].1)
        .collect();
    let Some(successor) = after.first() else {
        return Vec::new();
    };
    let other_domain = after.iter().find(|m| m.domain != successor.domain);
    let mut ranked: Vec<(u64, &Member)> = after
        .iter()
        .map(|member| (hash(&["link", from, &member.id]), *member))
        .collect();
    ranked.sort_unstable_by_key(|row| row.0);

    let near = std::iter::once(successor).chain(other_domain).copied();
    let far = ranked.into_iter().map(|row| row.1);
    let mut neighbours: Vec<Name> = Vec::with_capacity(MAX_NEIGHBOURS);
    for member in near.chain(far) {
        if neighbours.len() == MAX_NEIGHBOURS {
            break;
        }
        if !neighbours.contains(&member.id) {
            neighbours.push(member.id.clone());
        }
    }
    neighbours
}
