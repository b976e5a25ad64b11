//! The registrations of entries.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use serde_json::Value;

use crate::entry::Entry;
use crate::entry::beats::Member;
use crate::entry::feeds;
use crate::entry::feeds::Feed;
use crate::entry::limits;
use crate::entry::outside::Change;
use crate::entry::outside::Content;
use crate::entry::outside::Kind;
use crate::entry::outside::Object;
use crate::entry::outside::StoreError;
use crate::telemetry::events::Event;

/// Time for which changes of registrations are gathered, since entries that
/// start are heard before their registrations are read.
const NODES_GATHER: Duration = Duration::from_secs(3);

/// The same time at an entry that asks another one for the news of the store. It
/// hears new entries by their heartbeats.
const RELAYED_GATHER: Duration = Duration::from_secs(10);

/// Follows the registrations of entries, and keeps the own one there.
struct NodesFeed {
    own: Member,
    /// Set while the own registration is missing, to the revision of what is
    /// there in its place.
    missing: Option<Option<u64>>,
}

impl NodesFeed {
    fn take(&mut self, entry: &Entry, object: Object) -> Option<u64> {
        let now = entry.clock.now();
        let Content::Record(value) = object.content else {
            return None;
        };
        match serde_json::from_value::<Member>(value) {
            Ok(member) => {
                let is_own = *object.name == *entry.settings.load().node && member == self.own;
                let registered = Some((member, object.revision));
                entry.beats.set_member(&object.name, registered, now);
                is_own.then_some(object.revision)
            }
            Err(e) => {
                feeds::note_unreadable(entry, Kind::Nodes, &object.name, &e.to_string());
                None
            }
        }
    }

    /// Writes the own registration over what is there.
    async fn register(&mut self, entry: &Entry, over: Option<u64>) -> Result<(), StoreError> {
        let node = entry.settings.load().node.clone();
        let value = serde_json::to_value(&self.own).unwrap_or(Value::Null);
        let store = &entry.outside.store;
        let revision = store.write(Kind::Nodes, &node, over, &value).await?;
        entry.beats.set_incarnation(revision);
        let line = Event::new("registered").with("revision", revision);
        entry.events.write(line);
        Ok(())
    }
}

impl Feed for NodesFeed {
    fn kind(&self) -> Kind {
        Kind::Nodes
    }

    fn wait(&self, _entry: &Entry) -> Duration {
        feeds::SELDOM_WAIT
    }

    fn rest(&self, entry: &Entry) -> Duration {
        if entry.relay.has_relay() {
            RELAYED_GATHER
        } else {
            NODES_GATHER
        }
    }

    fn replace(&mut self, entry: &Entry, _revision: u64, objects: Vec<Object>) {
        let node = entry.settings.load().node.clone();
        let now = entry.clock.now();
        for name in entry.beats.members() {
            if !objects.iter().any(|object| object.name == name) {
                entry.beats.set_member(&name, None, now);
            }
        }
        let own = objects.iter().find(|object| object.name == node);
        self.missing = Some(own.map(|object| object.revision));
        for object in objects {
            if let Some(revision) = self.take(entry, object) {
                entry.beats.set_incarnation(revision);
                self.missing = None;
            }
        }
        // Quotas depend on how many nodes there are.
        limits::refresh(entry);
    }

    fn change(&mut self, entry: &Entry, _revision: u64, changes: Vec<Change>) {
        let node = entry.settings.load().node.clone();
        let now = entry.clock.now();
        for change in changes {
            if !change.is_removed {
                self.take(entry, change.object);
                continue;
            }
            entry.beats.set_member(&change.object.name, None, now);
            if change.object.name == node {
                self.missing = Some(None);
            }
        }
    }

    fn settle<'a>(&'a mut self, entry: &'a Entry) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async {
            let Some(over) = self.missing else {
                return Ok(());
            };
            self.register(entry, over).await?;
            self.missing = None;
            Ok(())
        })
    }
}

/// Follows the registrations of entries.
pub async fn follow(entry: Arc<Entry>) {
    let settings = entry.settings.load_full();
    let Some(front) = settings.front else { return };
    let own = Member {
        front,
        peer: settings.peer,
        domain: settings.domain.clone(),
        started: entry.clock.now().0,
    };
    feeds::follow(entry, Box::new(NodesFeed { own, missing: None }), "nodes").await;
}
