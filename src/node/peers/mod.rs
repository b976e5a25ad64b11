//! The protocol between nodes: one `h2` stream for each call, with messages
//! encoded by `bincode` behind a version byte.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::completion::Progress;
use crate::core::config::head;
use crate::core::limit::Priority;
use crate::core::member::Member;
use crate::core::member::gossip::Fact;
use crate::core::moves::detector::Evidence;
use crate::core::once;
use crate::core::route::servers::Vm;
use crate::core::time::Time;

pub mod client;
pub mod server;

/// A call from one node to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Reports that the sender is alive.
    Heartbeat(Heartbeat),
    /// Sends facts, which the receiver forwards if they are new to it.
    Facts(Vec<Fact>),
    /// Requests all facts.
    GetFacts,
    /// Requests the changes to the configuration since a number.
    GetConfig(u64),
    /// Requests parts of the configuration by their keys.
    GetParts(Vec<Name>),
    /// Requests the changes to the list of VMs after a revision.
    GetVms(u64),
    /// Transfers an open stream to the receiver.
    TransferStream(StreamRecord),
    /// Sends changes of claims to the owner of their shard, which applies them.
    ChangeClaims(Vec<ClaimChange>),
    /// Requests the number of the configuration in force.
    GetConfigNumber,
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// The call was carried out and returns no data.
    Done,
    /// Digest of the facts that the receiver holds, in answer to a heartbeat.
    Digest(u64),
    /// All facts that the receiver holds.
    Facts(Vec<Fact>),
    /// Changes to the configuration, the parts that were set, and the version of the
    /// head object.
    Delta(head::Delta, Vec<PartText>, u64),
    /// Head of the configuration as JSON, or an empty string if there is none, and
    /// the version of the head object.
    Head(String, u64),
    /// Parts of the configuration.
    Parts(Vec<PartText>),
    /// Changes to the list of VMs.
    Vms(VmDelta),
    /// Effects of changes of claims, in the order of the changes.
    ClaimEffects(Vec<once::Effect>),
    /// Number of the configuration in force.
    ConfigNumber(u64),
    /// The receiver cannot carry out the call now.
    Refused,
}

/// A heartbeat to a neighbour.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Membership record of the sender.
    pub from: Member,
    /// Digest of the facts that the sender holds.
    pub digest: u64,
    /// The sender's counters for the version moves under way.
    pub evidence: Vec<MoveEvidence>,
}

/// Counters of responses for one version move.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MoveEvidence {
    /// Name of the move.
    pub name: Name,
    /// Start time of the move, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Counters of the move.
    pub evidence: Evidence,
}

/// One part of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartText {
    /// Key of the part.
    pub key: Name,
    /// Content of the part as JSON.
    pub text: String,
}

/// Changes to the list of VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmDelta {
    /// Revision of the list after the changes.
    pub revision: u64,
    /// VMs that were added or changed.
    pub vms: Vec<Vm>,
    /// VMs that were removed.
    pub removed: Vec<Name>,
}

/// A change of a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimChange {
    /// Shard that contains the claim.
    pub shard: u64,
    /// Change to apply.
    pub change: once::Change,
}

/// The state that another node needs to continue a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamRecord {
    /// Name of the stream in event ids.
    pub id: Name,
    /// Request id given by the caller.
    pub request: Name,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Whether the request is a chat completion.
    pub is_chat: bool,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Priority of the request.
    pub priority: Priority,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Output received so far.
    pub progress: Progress,
}
