//! Follows the blocks of crashing requests in the store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::core::quarantine::bulletin::Block;
use crate::entry::Entry;
use crate::entry::adapter::Change;
use crate::entry::adapter::Content;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::feeds;
use crate::entry::feeds::Feed;
use crate::entry::feeds::Resume;

struct QuarantineFeed;

fn add(entry: &Entry, object: Object) {
    let value = match object.content {
        Content::Record(value) => value,
        Content::Unreadable(reason) => {
            let kind = ObjectKind::Quarantine;
            return feeds::record_unreadable(entry, kind, &object.name, &reason);
        }
        Content::Catalog(_) | Content::Backend(_) | Content::Move(_) => return,
    };
    match serde_json::from_value::<Block>(value) {
        Ok(block) => {
            let now = entry.cluster_time();
            let crashes = &entry.crashes;
            crashes.add_stored(object.name, object.revision, block, now);
        }
        Err(e) => {
            let kind = ObjectKind::Quarantine;
            feeds::record_unreadable(entry, kind, &object.name, &e.to_string());
        }
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
