//! Cluster membership, failure detection and gossip.
//!
//! Nodes monitor a few neighbours by heartbeats and flood rare changes as
//! [`gossip::Fact`]s, so the traffic of one node does not grow with the number
//! of nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::route::subset::SubsetItem;
use crate::core::time::Time;

pub mod gossip;
pub mod neighbours;
pub mod roster;

/// Describes a node to the other nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the node.
    pub id: Name,
    /// Incarnation number, which only the node itself raises: at each start and to refute a
    /// suspicion.
    pub incarnation: u64,
    /// State of the node.
    pub state: State,
    /// Time at which the node entered this state.
    pub at: Time,
    /// IP address and port for callers and operators.
    pub address: Name,
    /// IP address and port for other nodes.
    pub peer: Name,
    /// Failure domain.
    pub domain: Name,
}

/// Says whether a node accepts requests.
///
/// The order of the variants matters: within one incarnation, the later state wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It accepts requests.
    Live,
    /// It finishes its open requests and accepts no new ones.
    Leaving,
    /// It has stopped.
    Gone,
}

impl Member {
    /// Returns the member as input to rendezvous hashing.
    pub fn placed(&self) -> SubsetItem {
        SubsetItem {
            id: self.id.clone(),
            domain: self.domain.clone(),
        }
    }
}
