//! Follows the version moves in the store.

use std::sync::Arc;
use std::time::Duration;

use crate::core::Name;
use crate::entry::Entry;
use crate::entry::adapter::Change;
use crate::entry::adapter::Content;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::feeds;
use crate::entry::feeds::Feed;

struct MovesFeed {
    services: Vec<Name>,
}

impl MovesFeed {
    fn apply_object(&mut self, entry: &Entry, object: Object) {
        let now = entry.clock.now();
        match object.content {
            Content::Move(declared) => {
                let service = declared.service.clone();
                if !self.services.contains(&service) {
                    self.services.push(service.clone());
                }
                let event = entry.moves.set(&service, Some(declared), now);
                event
                    .into_iter()
                    .for_each(|event| entry.events.write(event));
            }
            Content::Unreadable(reason) => {
                feeds::record_unreadable(entry, ObjectKind::Moves, &object.name, &reason);
            }
            Content::Catalog(_) | Content::Backend(_) | Content::Record(_) => {}
        }
    }

    fn withdraw(&mut self, entry: &Entry, service: &Name) {
        self.services.retain(|known| known != service);
        let event = entry.moves.set(service, None, entry.clock.now());
        event
            .into_iter()
            .for_each(|event| entry.events.write(event));
    }
}

impl Feed for MovesFeed {
    fn kind(&self) -> ObjectKind {
        ObjectKind::Moves
    }

    fn watch_timeout(&self, _entry: &Entry) -> Duration {
        feeds::LONG_WATCH_TIMEOUT
    }

    fn replace(&mut self, entry: &Entry, _revision: u64, objects: Vec<Object>) {
        let names: Vec<Name> = objects.iter().map(|object| object.name.clone()).collect();
        for service in self.services.clone() {
            if !names.contains(&service) {
                self.withdraw(entry, &service);
            }
        }
        for object in objects {
            self.apply_object(entry, object);
        }
    }

    fn apply(&mut self, entry: &Entry, _revision: u64, changes: Vec<Change>) {
        for change in changes {
            if change.is_removed {
                self.withdraw(entry, &change.object.name);
            } else {
                self.apply_object(entry, change.object);
            }
        }
    }
}

/// Follows the version moves.
pub async fn follow(entry: Arc<Entry>) {
    let feed = MovesFeed {
        services: Vec::new(),
    };
    feeds::follow(entry, Box::new(feed), "moves").await;
}
