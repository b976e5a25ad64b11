//! Streams that callers can come back to.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;

use crate::core::Name;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::node::peers::StreamRecord;

/// Time for which a stream waits for its caller.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Streams that wait for their callers at the same time.
const MAX_DETACHED: usize = 4_096;

/// Wait between two looks at a stream that is being let go.
const RELEASE_STEP: Duration = Duration::from_millis(10);

/// Looks at a stream that is being let go.
const RELEASE_TRIES: usize = 100;

enum Entry {
    Active(Arc<watch::Sender<bool>>),
    Detached(Box<StreamRecord>, Time),
}

/// The streams at this node: those that run and those that wait.
#[derive(Default)]
pub struct Streams {
    rows: Mutex<Table<Entry>>,
}

impl Streams {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a stream that runs; the receiver tells it to let go.
    pub fn register(&self, id: &Name) -> watch::Receiver<bool> {
        let (sender, receiver) = watch::channel(false);
        let entry = Entry::Active(Arc::new(sender));
        self.rows.lock().unwrap().insert(id.clone(), entry);
        receiver
    }

    /// Removes a stream that has ended.
    pub fn remove(&self, id: &str) {
        self.rows.lock().unwrap().remove(id);
    }

    /// Keeps a stream for its caller.
    pub fn detach(&self, record: StreamRecord, now: Time) {
        let mut rows = self.rows.lock().unwrap();
        rows.retain(|_, entry| match entry {
            Entry::Active(_) => true,
            Entry::Detached(_, at) => now.since(*at) < RETENTION,
        });
        if rows.len() < MAX_DETACHED {
            let id = record.id.clone();
            rows.insert(id, Entry::Detached(Box::new(record), now));
        }
    }

    /// Takes out a stream for its caller, letting it go first if it still runs.
    pub async fn take(&self, id: &str, workspace: &str) -> Option<StreamRecord> {
        for _ in 0..RELEASE_TRIES {
            {
                let mut rows = self.rows.lock().unwrap();
                match rows.get(id)? {
                    Entry::Detached(record, _) if *record.workspace != *workspace => return None,
                    Entry::Detached(..) => {
                        return match rows.remove(id) {
                            Some(Entry::Detached(record, _)) => Some(*record),
                            _ => None,
                        };
                    }
                    Entry::Active(release) => {
                        release.send_replace(true);
                    }
                }
            }
            tokio::time::sleep(RELEASE_STEP).await;
        }
        None
    }

    /// Takes out every stream that waits, to hand it over.
    pub fn take_detached(&self) -> Vec<StreamRecord> {
        let mut rows = self.rows.lock().unwrap();
        let mut records = Vec::new();
        rows.retain(|_, entry| match entry {
            Entry::Active(_) => true,
            Entry::Detached(record, _) => {
                records.push((**record).clone());
                false
            }
        });
        records
    }
}
