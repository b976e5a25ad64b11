//! What nodes say to each other: one `h2` stream for each call, framed by
//! `bincode` behind a version byte.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::call::Progress;
use crate::core::config::head;
use crate::core::limit::Priority;
use crate::core::member::Member;
use crate::core::member::gossip::Fact;
use crate::core::moves::judge::Evidence;
use crate::core::once;
use crate::core::route::servers::Vm;
use crate::core::time::Time;

pub mod client;
pub mod server;

/// A call from one node to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// The sender is there.
    Heartbeat(Heartbeat),
    /// News to pass on.
    Facts(Vec<Fact>),
    /// Asks for every fact.
    GetFacts,
    /// Asks for what changed in the configuration since a number.
    GetConfig(u64),
    /// Asks for parts of the configuration by their keys.
    GetParts(Vec<Name>),
    /// Asks for the changes of the list of VMs after a revision.
    GetVms(u64),
    /// Hands an open stream over.
    TransferStream(StreamRecord),
    /// Asks the owner of a shard to apply changes to it.
    ChangeClaims(Vec<ClaimChange>),
    /// Asks which configuration is in force.
    GetConfigNumber,
}

/// An answer to a [`Call`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// Done; nothing to say.
    Done,
    /// Digest of the facts held, in answer to a heartbeat.
    Digest(u64),
    /// Every fact held.
    Facts(Vec<Fact>),
    /// What changed in the configuration, with the parts that were set and the
    /// version of the head object.
    Delta(head::Delta, Vec<PartText>, u64),
    /// The head of the configuration as JSON, empty if there is none, and the
    /// version of the head object.
    Head(String, u64),
    /// Parts of the configuration.
    Parts(Vec<PartText>),
    /// Changes of the list of VMs.
    Vms(VmDelta),
    /// Effects of changes to a shard, one for each.
    ClaimEffects(Vec<once::Effect>),
    /// The configuration number in force.
    ConfigNumber(u64),
    /// The call cannot be carried out now.
    Refused,
}

/// Tells a neighbour that the sender is there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's account of itself.
    pub from: Member,
    /// Digest of the facts that the sender holds.
    pub digest: u64,
    /// The sender's counters of version moves under way.
    pub evidence: Vec<MoveEvidence>,
}

/// Counters of one version move.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MoveEvidence {
    /// Name of the move.
    pub name: Name,
    /// Start of the move, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// The counters.
    pub evidence: Evidence,
}

/// One part of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartText {
    /// Key of the part.
    pub key: Name,
    /// Its content as JSON.
    pub text: String,
}

/// Changes of the list of VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmDelta {
    /// Revision that the answer reflects.
    pub revision: u64,
    /// VMs that were added or changed.
    pub vms: Vec<Vm>,
    /// VMs that were removed.
    pub removed: Vec<Name>,
}

/// One change to a shard of claims.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimChange {
    /// The shard.
    pub shard: u64,
    /// The change.
    pub change: once::Change,
}

/// All that is needed to go on with a stream elsewhere.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamRecord {
    /// Name of the stream in event ids.
    pub id: Name,
    /// The caller's own request id.
    pub request: Name,
    /// The workspace.
    pub workspace: Name,
    /// Whether the request is a chat.
    pub is_chat: bool,
    /// The request's body.
    pub body: Vec<u8>,
    /// Kind of work.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// What was received so far.
    pub progress: Progress,
}
