//! Follows the registrations of entries in the store, and keeps this entry
//! registered.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use serde_json::Value;

use crate::entry::Entry;
use crate::entry::adapter::Change;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::adapter::StoreError;
use crate::entry::feeds;
use crate::entry::feeds::Feed;
use crate::entry::feeds::Resume;
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

/// Time in which all entries register when the deployment starts for the first time.
const FIRST_START_DELAY: Duration = Duration::from_millis(400);

/// Longest wait of a starting entry for the list of registrations.
const LIST_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval at which a starting entry checks for the list of registrations.
const LIST_STEP: Duration = Duration::from_millis(5);

/// Applies registrations, and writes that of this entry if it is missing.
struct NodesFeed {
    own: Registration,
    /// Revision at which this entry last wrote its registration.
    written_at: u64,
    /// Set while the registration of this entry is missing, to the revision of the
    /// object that is there in its place, if any.
    missing: Option<Option<u64>>,
}

impl NodesFeed {
    fn apply_object(&mut self, entry: &Entry, object: Object) -> Option<u64> {
        let now = entry.clock.now();
        let Object {
            name,
            revision,
            content,
        } = object;
        let registration: Registration =
            feeds::decode_record(entry, ObjectKind::Nodes, &name, content)?;
        let is_own = *name == *entry.settings.load().node && registration == self.own;
        let registered = Some((registration, revision));
        entry.membership.set_registration(&name, registered, now);
        is_own.then_some(revision)
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
        self.written_at = revision;
        let event = Event::new("registered").with("revision", revision);
        entry.events.write(event);
        Ok(())
    }
}

impl NodesFeed {
    /// Registers this entry when the whole deployment starts for the first time, and
    /// waits until the others have registered as well.
    async fn register_at_first_start(&mut self, entry: &Entry) {
        match self.register(entry, None).await {
            Ok(()) => tokio::time::sleep(FIRST_START_DELAY).await,
            // The listing that follows shows what is there.
            Err(e) => entry.events.write(
                Event::new("store_call_failed")
                    .with("call", "register")
                    .with("reason", e.to_string()),
            ),
        }
    }
}

impl Feed for NodesFeed {
    fn kind(&self) -> ObjectKind {
        ObjectKind::Nodes
    }

    fn wait_relayed<'a>(&'a mut self, entry: &'a Entry) -> BoxFuture<'a, Option<Resume>> {
        Box::pin(feeds::wait_aggregated(entry))
    }

    fn accepts_cached(&self, entry: &Entry) -> bool {
        let is_joining = !entry.settings.load().is_first_start;
        is_joining && !entry.membership.has_registrations()
    }

    fn watch_timeout(&self, entry: &Entry) -> Duration {
        feeds::long_watch_timeout(entry)
    }

    fn batch_delay(&self, entry: &Entry) -> Duration {
        if entry.relay.has_relay() {
            RELAYED_BATCH_DELAY
        } else {
            BATCH_DELAY
        }
    }

    fn replace(&mut self, entry: &Entry, revision: u64, objects: Vec<Object>) {
        let node = entry.settings.load().node.clone();
        let now = entry.clock.now();
        for name in entry.membership.registered() {
            if !objects.iter().any(|object| object.name == name) {
                entry.membership.set_registration(&name, None, now);
            }
        }
        let own = objects.iter().find(|object| object.name == node);
        // A cached listing may not show the registration yet.
        if revision >= self.written_at {
            self.missing = Some(own.map(|object| object.revision));
        }
        for object in objects {
            if let Some(revision) = self.apply_object(entry, object) {
                entry.membership.set_incarnation(revision);
                self.missing = None;
            }
        }
        entry.membership.record_listed();
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

/// Waits until the registrations were read from the store, for a limited time.
pub async fn wait_listed(entry: &Entry) {
    let _ = tokio::time::timeout(LIST_TIMEOUT, async {
        while !entry.membership.has_registrations() {
            tokio::time::sleep(LIST_STEP).await;
        }
    })
    .await;
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
        millicores: settings.millicores,
    };
    let mut feed = NodesFeed {
        own,
        written_at: 0,
        missing: None,
    };
    if settings.is_first_start {
        feed.register_at_first_start(&entry).await;
    }
    feeds::follow(entry, Box::new(feed), "nodes").await;
}
