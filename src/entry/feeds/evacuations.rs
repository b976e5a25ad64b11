//! Follows the evacuations of failure domains in the store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::core::Name;
use crate::core::route::servers::evacuation::Evacuations;
use crate::entry::Entry;
use crate::entry::adapter::Change;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::evacuations;
use crate::entry::feeds;
use crate::entry::feeds::Feed;
use crate::entry::feeds::Resume;

struct EvacuationsFeed;

impl Feed for EvacuationsFeed {
    fn kind(&self) -> ObjectKind {
        ObjectKind::Evacuations
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

    fn replace(&mut self, entry: &Entry, revision: u64, objects: Vec<Object>) {
        let domains = objects.into_iter().map(|object| object.name).collect();
        evacuations::apply(entry, Evacuations { revision, domains });
    }

    fn apply(&mut self, entry: &Entry, revision: u64, changes: Vec<Change>) {
        let changes: Vec<(Name, bool)> = changes
            .into_iter()
            .map(|change| (change.object.name, !change.is_removed))
            .collect();
        evacuations::apply_changes(entry, revision, &changes);
    }
}

/// Follows the evacuations.
pub async fn follow(entry: Arc<Entry>) {
    feeds::follow(entry, Box::new(EvacuationsFeed), "evacuations").await;
}
