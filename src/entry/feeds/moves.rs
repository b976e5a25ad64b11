//! Follows the version moves in the store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::entry::Entry;
use crate::entry::adapter::Change;
use crate::entry::adapter::Content;
use crate::entry::adapter::DeclaredMove;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::feeds;
use crate::entry::feeds::Feed;
use crate::entry::feeds::Resume;

struct MovesFeed;

/// Returns the move that an object declares, if it can be decoded.
fn declared_move(entry: &Entry, object: Object) -> Option<DeclaredMove> {
    match object.content {
        Content::Move(declared) => Some(declared),
        Content::Unreadable(reason) => {
            feeds::record_unreadable(entry, ObjectKind::Moves, &object.name, &reason);
            None
        }
        Content::Catalog(_) | Content::Backend(_) | Content::Record(_) => None,
    }
}

impl Feed for MovesFeed {
    fn kind(&self) -> ObjectKind {
        ObjectKind::Moves
    }

    fn waits_for_relay(&self) -> bool {
        true
    }

    fn wait_relayed<'a>(&'a mut self, entry: &'a Entry) -> BoxFuture<'a, Option<Resume>> {
        Box::pin(async {
            if entry.moves.listing().is_some() {
                return feeds::wait_aggregated(entry).await;
            }
            None
        })
    }

    fn watch_timeout(&self, entry: &Entry) -> Duration {
        feeds::long_watch_timeout(entry)
    }

    fn replace(&mut self, entry: &Entry, revision: u64, objects: Vec<Object>) {
        let moves = objects.into_iter();
        let moves = moves.filter_map(|object| declared_move(entry, object));
        entry.apply_moves(revision, moves.collect());
    }

    fn apply(&mut self, entry: &Entry, revision: u64, changes: Vec<Change>) {
        let mut moves = entry.moves.listing().map_or(Vec::new(), |(_, moves)| moves);
        for change in changes {
            let name = change.object.name.clone();
            if change.is_removed {
                moves.retain(|known| known.service != name);
            } else if let Some(declared) = declared_move(entry, change.object) {
                moves.retain(|known| known.service != declared.service);
                moves.push(declared);
            }
        }
        entry.apply_moves(revision, moves);
    }
}

/// Follows the version moves.
pub async fn follow(entry: Arc<Entry>) {
    feeds::follow(entry, Box::new(MovesFeed), "moves").await;
}
