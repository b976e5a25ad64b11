//! Follows the registrations of entries in the store, and keeps this entry
//! registered.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use serde_json::Value;

use crate::entry::Entry;
use crate::entry::adapter::Change;
use crate::entry::adapter::Content;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::adapter::StoreError;
use crate::entry::feeds;
use crate::entry::feeds::Feed;
use crate::entry::limits;
use crate::entry::membership::Registration;
use crate::telemetry::events::Event;

/// Delay before the next watch, in which changes of registrations accumulate.
///
/// It may be long, since the heartbeats of new entries are received before their
/// registrations are read.
const BATCH_DELAY: Duration = Duration::from_secs(3);

/// The same delay on an entry that has a relay.
///
/// Such an entry learns of new entries by their heartbeats.
const RELAYED_BATCH_DELAY: Duration = Duration::from_secs(10);

/// Applies registrations, and writes that of this entry if it is missing.
struct NodesFeed {
    own: Registration,
    /// Set while the registration of this entry is missing, to the revision of the
    /// object that is there in its place, if any.
    missing: Option<Option<u64>>,
}

impl NodesFeed {
    fn apply_object(&mut self, entry: &Entry, object: Object) -> Option<u64> {
        let now = entry.clock.now();
        let Content::Record(value) = object.content else {
            return None;
        };
        match serde_json::from_value::<Registration>(value) {
            Ok(registration) => {
                let is_own =
                    *object.name == *entry.settings.load().node && registration == self.own;
                let registered = Some((registration, object.revision));
                entry
                    .membership
                    .set_registration(&object.name, registered, now);
                is_own.then_some(object.revision)
            }
            Err(e) => {
                feeds::record_unreadable(entry, ObjectKind::Nodes, &object.name, &e.to_string());
                None
            }
        }
    }

    /// Writes the registration of this entry, replacing the object of revision
    /// `existing`, if any.
    async fn register(&mut self, entry: &Entry, existing: Option<u64>) -> Result<(), StoreError> {
        let node = entry.settings.load().node.clone();
        let value = serde_json::to_value(&self.own).unwrap_or(Value::Null);
        let store = &entry.adapter.store;
        let revision = store
            .write(ObjectKind::Nodes, &node, existing, &value)
            .await?;
        entry.membership.set_incarnation(revision);
        let event = Event::new("registered").with("revision", revision);
        entry.events.write(event);
        Ok(())
    }
}

impl Feed for NodesFeed {
    fn kind(&self) -> ObjectKind {
        ObjectKind::Nodes
    }

    fn watch_timeout(&self, _entry: &Entry) -> Duration {
        feeds::LONG_WATCH_TIMEOUT
    }

    fn batch_delay(&self, entry: &Entry) -> Duration {
        if entry.relay.has_relay() {
            RELAYED_BATCH_DELAY
        } else {
            BATCH_DELAY
        }
    }

    fn replace(&mut self, entry: &Entry, _revision: u64, objects: Vec<Object>) {
        let node = entry.settings.load().node.clone();
        let now = entry.clock.now();
        for name in entry.membership.registered() {
            if !objects.iter().any(|object| object.name == name) {
                entry.membership.set_registration(&name, None, now);
            }
        }
        let own = objects.iter().find(|object| object.name == node);
        self.missing = Some(own.map(|object| object.revision));
        for object in objects {
            if let Some(revision) = self.apply_object(entry, object) {
                entry.membership.set_incarnation(revision);
                self.missing = None;
            }
        }
        // Quotas depend on the number of nodes.
        limits::refresh(entry);
    }

    fn apply(&mut self, entry: &Entry, _revision: u64, changes: Vec<Change>) {
        let node = entry.settings.load().node.clone();
        let now = entry.clock.now();
        for change in changes {
            if !change.is_removed {
                self.apply_object(entry, change.object);
                continue;
            }
            entry
                .membership
                .set_registration(&change.object.name, None, now);
            if change.object.name == node {
                self.missing = Some(None);
            }
        }
    }

    fn write_back<'a>(&'a mut self, entry: &'a Entry) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async {
            let Some(existing) = self.missing else {
                return Ok(());
            };
            self.register(entry, existing).await?;
            self.missing = None;
            Ok(())
        })
    }
}

/// Follows the registrations of entries.
pub async fn follow(entry: Arc<Entry>) {
    let settings = entry.settings.load_full();
    let Some(front) = settings.front else { return };
    let own = Registration {
        front,
        peer: settings.peer,
        domain: settings.domain.clone(),
        started: entry.clock.now().0,
    };
    feeds::follow(entry, Box::new(NodesFeed { own, missing: None }), "nodes").await;
}
