//! Follows the backend servers in the store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::adapter::Change;
use crate::entry::adapter::Content;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::backends::cold;
use crate::entry::feeds;
use crate::entry::feeds::Feed;
use crate::entry::feeds::Resume;

/// Watch timeout for backend servers.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the next watch, in which changes accumulate.
///
/// Changes often come in bursts, and the platform bills each response.
const BATCH_DELAY: Duration = Duration::from_millis(200);

struct BackendsFeed;

impl Feed for BackendsFeed {
    fn kind(&self) -> ObjectKind {
        ObjectKind::Backends
    }

    fn wait_relayed<'a>(&'a mut self, entry: &'a Entry) -> BoxFuture<'a, Option<Resume>> {
        Box::pin(async {
            if !entry.relay.is_relayed(entry.clock.now()) {
                return None;
            }
            entry.relay.wait_unrelayed(entry).await;
            Some(Resume::From(entry.relay.revision()))
        })
    }

    fn watch_timeout(&self, _entry: &Entry) -> Duration {
        WATCH_TIMEOUT
    }

    fn batch_delay(&self, _entry: &Entry) -> Duration {
        BATCH_DELAY
    }

    fn replace(&mut self, entry: &Entry, revision: u64, objects: Vec<Object>) {
        let mut list = Vec::with_capacity(objects.len());
        for object in objects {
            match object.content {
                Content::Backend(server) => list.push(server),
                Content::Unreadable(reason) => {
                    feeds::record_unreadable(entry, ObjectKind::Backends, &object.name, &reason);
                }
                Content::Catalog(_) | Content::Move(_) | Content::Record(_) => {}
            }
        }
        if entry.relay.has_list() {
            // The entries that this one informs need not list the servers again.
            let changes = entry.backends.differences(&list);
            entry.relay.record_changes(revision, &changes);
        } else {
            entry.relay.record_list(revision);
        }
        let events = entry.backends.replace(list, entry.clock.now());
        events
            .into_iter()
            .for_each(|event| entry.events.write(event));
    }

    fn apply(&mut self, entry: &Entry, revision: u64, changes: Vec<Change>) {
        let mut list = Vec::with_capacity(changes.len());
        for change in changes {
            let name = change.object.name;
            match change.object.content {
                Content::Backend(server) if !change.is_removed => {
                    list.push((name, Some(server)));
                }
                Content::Unreadable(reason) if !change.is_removed => {
                    feeds::record_unreadable(entry, ObjectKind::Backends, &name, &reason);
                    list.push((name, None));
                }
                _ => list.push((name, None)),
            }
        }
        if revision <= entry.relay.revision() && !list.is_empty() {
            // A relay already supplied these changes.
            return;
        }
        entry.relay.record_changes(revision, &list);
        let events = entry.backends.apply_changes(list, entry.clock.now());
        events
            .into_iter()
            .for_each(|event| entry.events.write(event));
    }

    fn confirm(&mut self, entry: &Entry, _time: Time) {
        // The time at which the call was sent says nothing about whether the store
        // still answers: a change may end a watch that has waited for long.
        entry.relay.record_response(entry.clock.now());
        cold::confirm(entry);
    }
}

/// Follows the backend servers.
pub async fn follow(entry: Arc<Entry>) {
    feeds::follow(entry, Box::new(BackendsFeed), "backends").await;
}
