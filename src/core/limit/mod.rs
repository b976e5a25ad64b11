//! Admission control: deadlines, fair sharing and bounded queues.
//!
//! Each service has a [`queue::AdmissionQueue`]. It starts a request at once if
//! a server has a free slot, queues it if it can still finish before its
//! deadline, and refuses it early otherwise.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::time::Time;

pub mod queue;
pub mod quota;
pub mod scarcity;
pub mod token_bucket;

/// The priority classes, highest first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Priority {
    /// Streamed responses that a person reads as they arrive.
    Stream,
    /// Complete responses that a caller waits for.
    #[default]
    Panel,
    /// Work that nobody is waiting for.
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

    /// Returns the rank of the class; 0 is first.
    pub const fn rank(self) -> u8 {
        self as u8
    }
}

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Identifies the request within this process.
    pub id: u64,
    /// The workspace of the request.
    pub workspace: Name,
    /// Fair-queueing weight of the workspace.
    pub weight: u32,
    /// Estimated work of the request, in tokens at a node and in requests at an entry.
    pub work: u32,
    /// The request's deadline.
    pub deadline: Time,
    /// Shortest time from the start of the request to its response.
    pub service_time: Duration,
    /// Rank of the request; 0 is first.
    pub rank: u8,
}
