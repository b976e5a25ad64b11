//! The platform's object API and cloud API.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use serde::Deserialize;

use crate::core::Name;
use crate::core::route::servers::Vm;

pub mod client;

/// An object's value and version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// Version of the object.
    pub version: u64,
    /// Value of the object.
    pub value: Bytes,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// The platform did not answer, or its answer is unusable.
///
/// A write may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable;

/// Why a write was not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteError {
    /// The condition did not hold; nothing was written.
    Conflict,
    /// No usable answer arrived; the write may have taken effect.
    Unavailable,
}

/// The changed objects in the answer to a watch or a list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Events {
    /// Revision after which the next watch starts.
    pub revision: u64,
    /// The changed objects.
    pub events: Vec<Event>,
}

/// One changed object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Event {
    /// Key of the object.
    pub key: String,
    /// New version of the object.
    pub version: u64,
}

/// Changes to the list of VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct VmChanges {
    /// Revision after which the next request starts.
    pub revision: u64,
    /// VMs that were added or changed.
    pub vms: Vec<Vm>,
    /// VMs that were removed.
    pub removed: Vec<Name>,
}

/// A notice that the platform will reclaim a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Notice {
    /// Sequence number of the notice.
    pub seq: u64,
    /// Name of the VM.
    pub vm: Name,
    /// Time of the reclaim, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// The calls of the platform that a node uses.
pub trait Platform: Send + Sync {
    /// Reads an object.
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Versioned>, Unavailable>>;

    /// Writes an object if the condition holds and returns its new version.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> BoxFuture<'_, Result<u64, WriteError>>;

    /// Deletes an object; succeeds if it does not exist.
    fn delete(&self, key: &str) -> BoxFuture<'_, Result<(), Unavailable>>;

    /// Lists the objects under a prefix.
    fn list(&self, prefix: &str) -> BoxFuture<'_, Result<Events, Unavailable>>;

    /// Waits at most `wait` for changes after a revision to objects under a prefix.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, Unavailable>>;

    /// Returns the changes to the list of VMs after a revision.
    fn vms(&self, after: u64) -> BoxFuture<'_, Result<VmChanges, Unavailable>>;

    /// Waits at most `wait` for notices after a sequence number.
    fn notices(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Vec<Notice>, Unavailable>>;
}
