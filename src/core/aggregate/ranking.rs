//! Choice of the aggregators that a node exchanges messages with.

use std::time::Duration;

use crate::core::Name;
use crate::core::hash;
use crate::core::name_map::NameMap;
use crate::core::time::Time;

/// Number of responsive aggregators that a node reports to, so that the loss of
/// one loses no information.
pub const COPIES: usize = 2;

/// Time without a message after which an aggregator counts as silent: three
/// rounds.
pub const SILENCE: Duration = Duration::from_millis(1_500);

/// Maximum number of aggregators that a node sends to while some are silent.
pub const MAX_CONTACTS: usize = 16;

/// A node that can serve as an aggregator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ranked {
    /// Name of the node.
    pub node: Name,
    /// Processor capacity in thousandths of a core, or 0 if unknown.
    pub millicores: u32,
}

/// Returns the nodes of one failure domain in the order in which they serve as
/// aggregators.
///
/// Larger nodes come first. Nodes of the same size are ordered by hash, so that
/// nodes with the same list derive the same order without coordination.
pub fn rank(mut nodes: Vec<Ranked>) -> Vec<Name> {
    let key = |row: &Ranked| hash(&["aggregator", &row.node]);
    nodes.sort_by(|a, b| {
        let by_size = b.millicores.cmp(&a.millicores);
        by_size.then_with(|| (key(a), &a.node).cmp(&(key(b), &b.node)))
    });
    nodes.into_iter().map(|row| row.node).collect()
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    first_sent: Time,
    last_heard: Option<Time>,
}

impl Contact {
    fn is_responsive(&self, now: Time) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) < SILENCE)
    }

    /// Returns whether the node may still answer the first message sent to it.
    fn is_pending(&self, now: Time) -> bool {
        self.last_heard.is_none() && now.since(self.first_sent) < SILENCE
    }
}

/// Tracks which aggregators respond.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    rows: NameMap<Contact>,
}

impl Contacts {
    /// Creates a tracker that has heard no aggregator.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a message from an aggregator.
    pub fn record_heard(&mut self, node: &Name, now: Time) {
        let contact = self.rows.get_or_insert_with(node, || Contact {
            first_sent: now,
            last_heard: None,
        });
        contact.last_heard = Some(now);
    }

    /// Returns whether an aggregator has responded recently.
    pub fn is_responsive(&self, node: &str, now: Time) -> bool {
        let contact = self.rows.get(node);
        contact.is_some_and(|contact| contact.is_responsive(now))
    }

    /// Returns the first nodes of `ranked` to send to, which include [`COPIES`]
    /// that respond or may still respond.
    ///
    /// Silent nodes that rank higher are included, so that their return is
    /// noticed. The local node `own` always responds.
    pub fn choose(&mut self, ranked: &[Name], own: &str, now: Time) -> Vec<Name> {
        let mut chosen = Vec::with_capacity(COPIES);
        let mut covered = 0;
        for node in ranked.iter().take(MAX_CONTACTS) {
            if covered == COPIES {
                break;
            }
            chosen.push(node.clone());
            if **node == *own {
                covered += 1;
                continue;
            }
            let contact = self.rows.get_or_insert_with(node, || Contact {
                first_sent: now,
                last_heard: None,
            });
            if contact.is_responsive(now) || contact.is_pending(now) {
                covered += 1;
            }
        }
        chosen
    }

    /// Forgets the nodes for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&Name) -> bool) {
        self.rows.retain(|node, _| keep(node));
    }
}
