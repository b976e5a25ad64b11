//! The declaration of the operator.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::feeds;
use crate::entry::feeds::Feed;
use crate::entry::feeds::Resume;
use crate::entry::outside::Change;
use crate::entry::outside::Content;
use crate::entry::outside::Kind;
use crate::entry::outside::Object;
use crate::telemetry::events::Event;

/// Part of the time to revoke a key for which a watch of the declaration waits.
///
/// Each answer of the store confirms that the declaration is the newest.
const CONFIRM_PART: f64 = 0.2;

struct CatalogFeed;

impl CatalogFeed {
    fn take(entry: &Entry, object: Object) {
        match object.content {
            Content::Catalog(catalog) => {
                let (before, version) = (entry.catalog.version(), catalog.version);
                if entry.catalog.install(*catalog) {
                    entry.events.write(
                        Event::new("catalog_installed")
                            .with("version", version)
                            .with("version_before", before)
                            .with("revision", object.revision),
                    );
                }
            }
            Content::Unreadable(reason) => {
                feeds::note_unreadable(entry, Kind::Catalog, &object.name, &reason);
            }
            Content::Backend(_) | Content::Move(_) | Content::Record(_) => {}
        }
    }
}

impl Feed for CatalogFeed {
    fn kind(&self) -> Kind {
        Kind::Catalog
    }

    fn told<'a>(&'a mut self, entry: &'a Entry) -> BoxFuture<'a, Option<Resume>> {
        Box::pin(async {
            if !entry.relay.is_told(entry.clock.now()) {
                return None;
            }
            entry.relay.wait_newer(entry).await;
            Some(Resume::Anew)
        })
    }

    fn wait(&self, entry: &Entry) -> Duration {
        entry.settings.load().bounds.revoke.mul_f64(CONFIRM_PART)
    }

    fn replace(&mut self, entry: &Entry, _revision: u64, objects: Vec<Object>) {
        for object in objects {
            Self::take(entry, object);
        }
    }

    fn change(&mut self, entry: &Entry, _revision: u64, changes: Vec<Change>) {
        for change in changes.into_iter().filter(|change| !change.is_removed) {
            Self::take(entry, change.object);
        }
    }

    fn confirm(&mut self, entry: &Entry, time: Time) {
        if entry.catalog.version() > 0 {
            entry.catalog.confirm(time);
        }
    }
}

/// Follows the declaration of the operator.
pub async fn follow(entry: Arc<Entry>) {
    feeds::follow(entry, Box::new(CatalogFeed), "catalog").await;
}
