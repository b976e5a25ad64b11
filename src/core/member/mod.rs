//! The nodes of the system and what they tell each other.
//!
//! Nodes watch a few neighbours by heartbeats and flood rare changes as
//! [`gossip::Fact`]s, so the traffic of one node does not grow with the number
//! of nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::route::subset::SubsetItem;
use crate::core::time::Time;

pub mod gossip;
pub mod links;
pub mod roster;

/// What nodes know of a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the node.
    pub id: Name,
    /// Raised by the node itself at each start and to refute a suspicion.
    pub incarnation: u64,
    /// Whether it takes requests.
    pub state: State,
    /// When it took this state.
    pub at: Time,
    /// IP number and port for callers and operators.
    pub address: Name,
    /// IP number and port for other nodes.
    pub peer: Name,
    /// Failure domain.
    pub domain: Name,
}

/// Whether a node takes requests.
///
/// The order matters: for the same incarnation a later state wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes requests.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It has stopped.
    Gone,
}

impl Member {
    /// Returns what rendezvous hashing needs to know of the member.
    pub fn placed(&self) -> SubsetItem {
        SubsetItem {
            id: self.id.clone(),
            domain: self.domain.clone(),
        }
    }
}
