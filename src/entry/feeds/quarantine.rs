//! Follows the blocks of crashing requests in the store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::core::quarantine::bulletin::Block;
use crate::entry::Entry;
use crate::entry::adapter::Change;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::feeds;
use crate::entry::feeds::Feed;
use crate::entry::feeds::Resume;

struct QuarantineFeed;

fn add(entry: &Entry, object: Object) {
    let Object {
        name,
        revision,
        content,
    } = object;
    let block: Option<Block> = feeds::decode_record(entry, ObjectKind::Quarantine, &name, content);
    if let Some(block) = block {
        let now = entry.cluster_time();
        entry.crashes.add_stored(name, revision, block, now);
    }
}

impl Feed for QuarantineFeed {
    fn kind(&self) -> ObjectKind {
        ObjectKind::Quarantine
    }

    fn waits_for_relay(&self) -> bool {
        true
    }

    fn wait_relayed<'a>(&'a mut self, entry: &'a Entry) -> BoxFuture<'a, Option<Resume>> {
        Box::pin(feeds::wait_told(entry))
    }

    fn watch_timeout(&self, entry: &Entry) -> Duration {
        feeds::long_watch_timeout(entry)
    }

    fn replace(&mut self, entry: &Entry, _revision: u64, objects: Vec<Object>) {
        objects.into_iter().for_each(|object| add(entry, object));
    }

    fn apply(&mut self, entry: &Entry, _revision: u64, changes: Vec<Change>) {
        for change in changes {
            if change.is_removed {
                entry.crashes.remove_stored(&change.object.name);
            } else {
                add(entry, change.object);
            }
        }
    }
}

/// Follows the blocks of crashing requests.
pub async fn follow(entry: Arc<Entry>) {
    feeds::follow(entry, Box::new(QuarantineFeed), "quarantine").await;
}
