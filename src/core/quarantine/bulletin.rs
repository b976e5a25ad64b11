//! What nodes tell each other about crashes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::quarantine::features::Feature;
use crate::core::quarantine::features::Features;
use crate::core::time::Time;

/// Time for which features are blocked after the last crash, and for which crashes
/// are remembered.
pub const BLOCK_TIME: Duration = Duration::from_secs(600);

/// A crash of a server and the requests that may have caused it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Incarnation of the server.
    pub server: Name,
    /// Time at which the first request was cut off, on the clock of the fleet.
    pub at: Time,
    /// Features of the requests that the server had not begun to answer.
    pub suspects: Vec<Features>,
}

/// Features that crash servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Block {
    /// The features; a request that has all of them is refused.
    pub features: Features,
    /// Time of the last crash that counted against them, on the clock of the fleet.
    pub crashed_at: Time,
}

impl Block {
    /// Returns the time at which the block ends.
    pub fn ends_at(&self) -> Time {
        self.crashed_at + BLOCK_TIME
    }
}

/// What one node tells others about crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bulletin {
    /// Recent crashes.
    pub crashes: Vec<Crash>,
    /// Suspected features that requests had which were answered, and when.
    pub cleared: Vec<(Feature, Time)>,
    /// Blocked features.
    pub blocks: Vec<Block>,
}

impl Bulletin {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.blocks.is_empty()
    }
}

/// Which rows a bulletin has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// What this node has observed itself.
    Own,
    /// What this node knows.
    All,
}
