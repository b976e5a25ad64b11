//! Follows the operator's catalog in the store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::adapter::Change;
use crate::entry::adapter::Content;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::adapter::StoreError;
use crate::entry::backends::cold;
use crate::entry::feeds;
use crate::entry::feeds::Feed;
use crate::entry::feeds::Resume;
use crate::entry::workspaces;
use crate::telemetry::events::Event;

/// Watch timeout for the catalog, as a fraction of the time to revoke a key.
///
/// Each response of the store confirms that the catalog is the newest.
const CONFIRM_FRACTION: f64 = 0.2;

struct CatalogFeed;

impl CatalogFeed {
    fn apply_object(entry: &Entry, object: Object) {
        match object.content {
            Content::Catalog(catalog) => {
                let (before, version) = (entry.catalog.version(), catalog.version);
                let workspaces = catalog.workspaces().len();
                let has_unreadable = catalog.has_unreadable_workspaces();
                if version > before {
                    // No request may be sent to a cold server as to a warm one.
                    cold::set_starts(entry, &catalog);
                }
                if entry.catalog.install(*catalog) {
                    if let Some(catalog) = entry.catalog.load() {
                        entry.moves.retain_routes(&catalog);
                    }
                    entry.events.write(
                        Event::new("catalog_installed")
                            .with("version", version)
                            .with("version_before", before)
                            .with("workspaces", workspaces)
                            .with("unreadable_workspaces", has_unreadable)
                            .with("revision", object.revision),
                    );
                }
            }
            Content::Unreadable(reason) => {
                feeds::record_unreadable(entry, ObjectKind::Catalog, &object.name, &reason);
            }
            Content::Backend(_) | Content::Move(_) | Content::Record(_) => {}
        }
    }
}

impl Feed for CatalogFeed {
    fn kind(&self) -> ObjectKind {
        ObjectKind::Catalog
    }

    fn wait_relayed<'a>(&'a mut self, entry: &'a Entry) -> BoxFuture<'a, Option<Resume>> {
        Box::pin(async {
            if !entry.relay.is_relayed(entry.clock.now()) {
                return None;
            }
            entry.relay.wait_newer_catalog(entry).await;
            Some(Resume::Relist)
        })
    }

    fn watch_timeout(&self, entry: &Entry) -> Duration {
        entry
            .settings
            .load()
            .bounds
            .revoke_delay
            .mul_f64(CONFIRM_FRACTION)
    }

    /// The first catalog is read from the store itself, so that keys can be accepted
    /// at once.
    fn accepts_cached(&self, entry: &Entry) -> bool {
        entry.catalog.version() > 0 && entry.membership.is_aggregated()
    }

    fn is_up_to_date(&self, entry: &Entry) -> bool {
        entry.catalog.version() >= entry.relay.catalog_version()
    }

    fn replace(&mut self, entry: &Entry, _revision: u64, objects: Vec<Object>) {
        for object in objects {
            Self::apply_object(entry, object);
        }
    }

    fn apply(&mut self, entry: &Entry, _revision: u64, changes: Vec<Change>) {
        for change in changes.into_iter().filter(|change| !change.is_removed) {
            Self::apply_object(entry, change.object);
        }
    }

    fn write_back<'a>(&'a mut self, entry: &'a Entry) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(workspaces::sync(entry))
    }

    fn confirm(&mut self, entry: &Entry, time: Time) {
        entry.catalog.confirm(time);
    }
}

/// Follows the catalog.
pub async fn follow(entry: Arc<Entry>) {
    feeds::follow(entry, Box::new(CatalogFeed), "catalog").await;
}
