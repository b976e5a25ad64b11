//! Admission: deadlines, fair shares and bounded queues.
//!
//! A [`queue::AdmissionQueue`] stands before the backend servers of each service. It
//! starts a request at once when a server has room, queues it when it can
//! still be answered in time, and refuses it early otherwise.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::time::Time;

pub mod queue;
pub mod quota;
pub mod token_bucket;

/// The order in which kinds of work are served.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Priority {
    /// Answers that a person reads while they stream.
    Stream,
    /// Whole answers that a caller waits for.
    #[default]
    Panel,
    /// Work that no one waits for at the moment.
    Batch,
}

impl Priority {
    /// Parses the value of the priority header.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "stream" => Some(Priority::Stream),
            "panel" => Some(Priority::Panel),
            "batch" => Some(Priority::Batch),
            _ => None,
        }
    }
}

/// A request that asks to be started.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Number that identifies the request at this node.
    pub id: u64,
    /// The workspace it belongs to.
    pub workspace: Name,
    /// Weight of the workspace.
    pub weight: u32,
    /// Work that the request brings, in tokens.
    pub work: u32,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Shortest time in which the request can be answered once started.
    pub service_time: Duration,
    /// Kind of work.
    pub priority: Priority,
}
