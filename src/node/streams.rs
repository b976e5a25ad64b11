//! Registry of streams that callers can resume.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::time::Time;
use crate::node::peers::StreamRecord;

/// Time for which a detached stream is kept.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Largest number of streams in the registry, active and detached, after one is
/// detached.
const MAX_STREAMS: usize = 4_096;

/// Interval between two checks whether an active stream has been released.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of checks whether an active stream has been released.
const MAX_RELEASE_POLLS: usize = 100;

enum Entry {
    Active(Arc<watch::Sender<bool>>),
    Detached(Box<StreamRecord>, Time),
}

/// The node's streams: active ones, and detached ones that wait for their caller.
#[derive(Default)]
pub struct Streams {
    entries: Mutex<NameMap<Entry>>,
}

impl Streams {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers an active stream; the receiver becomes true when it must be
    /// released to another connection.
    pub fn register(&self, id: &Name) -> watch::Receiver<bool> {
        let (sender, receiver) = watch::channel(false);
        let entry = Entry::Active(Arc::new(sender));
        self.entries.lock().unwrap().insert(id.clone(), entry);
        receiver
    }

    /// Removes a stream that has ended.
    pub fn remove(&self, id: &str) {
        self.entries.lock().unwrap().remove(id);
    }

    /// Keeps a stream without a connection, so that its caller can resume it.
    ///
    /// The stream is discarded if the registry is full.
    pub fn detach(&self, record: StreamRecord, now: Time) {
        let mut entries = self.entries.lock().unwrap();
        entries.retain(|_, entry| match entry {
            Entry::Active(_) => true,
            Entry::Detached(_, at) => now.since(*at) < RETENTION,
        });
        if entries.len() < MAX_STREAMS {
            let id = record.id.clone();
            entries.insert(id, Entry::Detached(Box::new(record), now));
        }
    }

    /// Removes and returns a stream that its caller resumes.
    ///
    /// A stream that is still active is signalled to release first. Returns `None` if the
    /// stream is unknown, belongs to another workspace or is not released in time.
    pub async fn take(&self, id: &str, workspace: &str) -> Option<StreamRecord> {
        for _ in 0..MAX_RELEASE_POLLS {
            {
                let mut entries = self.entries.lock().unwrap();
                match entries.get(id)? {
                    Entry::Detached(record, _) if *record.workspace != *workspace => return None,
                    Entry::Detached(..) => {
                        return match entries.remove(id) {
                            Some(Entry::Detached(record, _)) => Some(*record),
                            _ => None,
                        };
                    }
                    Entry::Active(release) => {
                        release.send_replace(true);
                    }
                }
            }
            tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
        }
        None
    }

    /// Removes and returns all detached streams, to transfer them to other nodes.
    pub fn take_detached(&self) -> Vec<StreamRecord> {
        let mut entries = self.entries.lock().unwrap();
        let mut records = Vec::new();
        entries.retain(|_, entry| match entry {
            Entry::Active(_) => true,
            Entry::Detached(record, _) => {
                records.push((**record).clone());
                false
            }
        });
        records
    }
}
