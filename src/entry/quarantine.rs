//! Quarantine of requests that crash backend servers.
//!
//! Blocks are kept in the store, so that they outlast the entries. Entries that do
//! not follow the store learn them from the others.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;

use crate::core;
use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::quarantine::Quarantine;
use crate::core::quarantine::bulletin::Block;
use crate::core::quarantine::bulletin::Bulletin;
use crate::core::quarantine::bulletin::Scope;
use crate::core::quarantine::features::Features;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::adapter::ObjectKind;
use crate::entry::adapter::StoreError;
use crate::telemetry::events::Event;

/// Interval at which blocks are written to the store and removed from it.
const STORE_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a failed call to the store.
const STORE_BACKOFF: Duration = Duration::from_secs(2);

/// Tracks the requests that crash backend servers.
#[derive(Default)]
pub struct CrashGuard {
    quarantine: Mutex<Quarantine>,
    /// Blocks in the store, by object name.
    stored: Mutex<NameMap<StoredBlock>>,
}

/// A block in the store.
#[derive(Clone, Copy, Debug)]
struct StoredBlock {
    /// Revision of the object, or `None` before it was read.
    revision: Option<u64>,
    ends_at: Time,
}

impl CrashGuard {
    /// Creates a guard that knows no crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was answered; the answer began at `began`, on the clock
    /// of the fleet.
    pub fn record_success(&self, features: &Features, began: Time, now: Time) {
        let mut quarantine = self.quarantine.lock().unwrap();
        quarantine.record_success(features, began, now);
    }

    /// Returns what to tell the other entries.
    pub fn bulletin(&self, scope: Scope, now: Time) -> Bulletin {
        self.quarantine.lock().unwrap().bulletin(scope, now)
    }

    /// Adds what another entry has told.
    pub fn merge(&self, bulletin: Bulletin, now: Time) {
        self.quarantine.lock().unwrap().merge(bulletin, now);
    }

    /// Adds a block that was read from the store.
    pub fn add_stored(&self, name: Name, revision: u64, block: Block, now: Time) {
        let row = StoredBlock {
            revision: Some(revision),
            ends_at: block.ends_at(),
        };
        self.stored.lock().unwrap().insert(name, row);
        self.quarantine.lock().unwrap().add_block(block, now);
    }

    /// Records that an object was removed from the store.
    pub fn remove_stored(&self, name: &str) {
        self.stored.lock().unwrap().remove(name);
    }

    /// Returns the blocks that are not in the store, with their object names.
    fn unstored(&self, now: Time) -> Vec<(Name, Block)> {
        let stored = self.stored.lock().unwrap();
        let blocks = self.quarantine.lock().unwrap().blocks(now);
        blocks
            .into_iter()
            .map(|block| (object_name(&block.features), block))
            .filter(|(name, _)| stored.get(name).is_none())
            .collect()
    }

    /// Returns the objects whose blocks have ended, with their revisions.
    fn ended(&self, now: Time) -> Vec<(Name, u64)> {
        let stored = self.stored.lock().unwrap();
        let ended = stored.iter().filter(|(_, row)| row.ends_at <= now);
        ended
            .filter_map(|(name, row)| Some((name.clone(), row.revision?)))
            .collect()
    }
}

/// Returns the name of the object that holds a block.
fn object_name(features: &Features) -> Name {
    format!("{:016x}", core::hash(&[&features.to_string()])).into()
}

/// Records that `server` crashed while it ran a request that it had not begun to
/// answer.
pub fn record_crash(entry: &Entry, request: &str, server: &Name, features: &Features) {
    let now = entry.cluster_time();
    let mut quarantine = entry.crashes.quarantine.lock().unwrap();
    let is_new = quarantine.record_crash(server, features, now);
    drop(quarantine);
    if is_new {
        metrics::counter!("cassialock_crashes_total").increment(1);
    }
    entry.events.write(
        Event::for_request("backend_crashed", request)
            .with("backend", &**server)
            .with("features", features.to_string()),
    );
}

/// Checks that a request has no features that crash servers.
///
/// # Errors
///
/// Returns the refusal to send.
pub fn check(entry: &Entry, features: &Features) -> Result<(), Refusal> {
    let now = entry.cluster_time();
    let quarantine = entry.crashes.quarantine.lock().unwrap();
    let Some(block) = quarantine.blocking(features, now) else {
        return Ok(());
    };
    let inputs = format!(
        "blocked {}, last crash {} ms ago",
        block.features,
        now.since(block.crashed_at).as_millis()
    );
    let detail = "requests like this one crashed the servers that ran them";
    Err(Refusal::new(Reason::CrashingRequest, detail)
        .with_inputs(inputs)
        .with_retry_after(block.ends_at().since(now)))
}

/// Returns whether a request is suspected of crashing servers.
pub fn is_suspected(entry: &Entry, features: &Features) -> bool {
    let now = entry.cluster_time();
    let quarantine = entry.crashes.quarantine.lock().unwrap();
    quarantine.has_suspect(features, now)
}

/// Blocks the features that the known crashes speak against.
pub fn update(entry: &Entry) {
    let now = entry.cluster_time();
    let blocks = entry.crashes.quarantine.lock().unwrap().update(now);
    for block in blocks {
        metrics::counter!("cassialock_blocks_total").increment(1);
        entry.events.write(
            Event::new("features_blocked")
                .with("features", block.features.to_string())
                .with_ms("crash_age_ms", now.since(block.crashed_at)),
        );
    }
}

/// Writes blocks to the store and removes those that have ended.
///
/// Does not return; the task is aborted when the entry stops.
pub async fn run(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(STORE_INTERVAL).await;
        if entry.relay.is_relayed(entry.clock.now()) {
            continue;
        }
        if let Err(e) = sync(&entry).await {
            let event = Event::new("block_unstored").with("reason", e.to_string());
            entry.events.write(event);
            tokio::time::sleep(STORE_BACKOFF).await;
        }
    }
}

async fn sync(entry: &Entry) -> Result<(), StoreError> {
    let now = entry.cluster_time();
    let store = &entry.adapter.store;
    for (name, block) in entry.crashes.unstored(now) {
        let value = serde_json::to_value(&block).unwrap_or(Value::Null);
        let written = store.write(ObjectKind::Quarantine, &name, None, &value);
        match written.await {
            // Another entry has stored the same block.
            Ok(_) | Err(StoreError::Conflict) => {}
            Err(e) => return Err(e),
        }
        let row = StoredBlock {
            revision: None,
            ends_at: block.ends_at(),
        };
        let mut stored = entry.crashes.stored.lock().unwrap();
        stored.get_or_insert_with(&name, || row);
    }
    for (name, revision) in entry.crashes.ended(now) {
        match store.remove(ObjectKind::Quarantine, &name, revision).await {
            Ok(()) | Err(StoreError::Conflict | StoreError::Missing) => {
                entry.crashes.remove_stored(&name);
            }
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
