//! The platform's object API and cloud API.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use serde::Deserialize;

use crate::core::Name;
use crate::core::route::servers::Vm;

pub mod client;

/// A value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// Version of the object.
    pub version: u64,
    /// The value.
    pub value: Bytes,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// The platform did not answer; a write may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable;

/// Why a write was not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteError {
    /// The condition did not hold; nothing was written.
    Conflict,
    /// No answer came; the write may have taken effect.
    Unavailable,
}

/// Changed keys, in the answer to a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Events {
    /// Revision to watch from next.
    pub revision: u64,
    /// The changed objects.
    pub events: Vec<Event>,
}

/// One changed object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Event {
    /// Key of the object.
    pub key: String,
    /// Its version.
    pub version: u64,
}

/// Changes of the list of VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct VmChanges {
    /// Revision to ask from next.
    pub revision: u64,
    /// VMs that were added or changed.
    pub vms: Vec<Vm>,
    /// VMs that were removed.
    pub removed: Vec<Name>,
}

/// A notice that the platform takes a VM back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Notice {
    /// Position in the sequence of notices.
    pub seq: u64,
    /// Name of the VM.
    pub vm: Name,
    /// When the VM goes, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// The platform as the node uses it.
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

    /// Deletes an object; one that does not exist counts as deleted.
    fn delete(&self, key: &str) -> BoxFuture<'_, Result<(), Unavailable>>;

    /// Lists the objects under a prefix.
    fn list(&self, prefix: &str) -> BoxFuture<'_, Result<Events, Unavailable>>;

    /// Waits at most `wait` for changes under a prefix after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, Unavailable>>;

    /// Returns the changes of the list of VMs after a revision.
    fn vms(&self, after: u64) -> BoxFuture<'_, Result<VmChanges, Unavailable>>;

    /// Waits at most `wait` for notices after a sequence number.
    fn notices(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Vec<Notice>, Unavailable>>;
}
