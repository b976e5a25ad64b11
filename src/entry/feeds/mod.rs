//! Follows the objects of the store by lists and watches.
//!
//! Each kind of objects has its own [`Feed`], which applies the objects to the
//! entry; [`follow`] makes the calls to the store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use serde::de::DeserializeOwned;

use crate::core::Name;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::adapter::Change;
use crate::entry::adapter::Consistency;
use crate::entry::adapter::Content;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::adapter::StoreError;
use crate::entry::adapter::WatchResult;
use crate::telemetry::events::Event;

pub mod backends;
pub mod catalog;
pub mod evacuations;
pub mod moves;
pub mod nodes;
pub mod quarantine;

/// Longest watch timeout for objects that seldom change.
const LONG_WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest watch timeout as a fraction of the time for which the store keeps its
/// history.
///
/// After a longer watch, the objects would have to be listed again.
const HISTORY_FRACTION: f64 = 0.75;

/// Returns the watch timeout for objects that seldom change.
fn long_watch_timeout(entry: &Entry) -> Duration {
    let history = entry.settings.load().history;
    LONG_WATCH_TIMEOUT.min(history.mul_f64(HISTORY_FRACTION))
}

/// Watch timeout while the store is unreachable, of the first watch after another
/// feed reported that it is reachable again, and after a cached listing.
///
/// The watch returns at once, so that the end of the outage is known and the
/// listing is confirmed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1);

/// Longest backoff of a feed that is notified when the store is reachable again.
const NOTIFIED_BACKOFF: Duration = Duration::from_secs(2);

/// Backoff after the first failed call to the store.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest backoff after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// Longest backoff of a feed whose calls fail while the store answers those of others.
const MAX_ANSWERED_BACKOFF: Duration = Duration::from_secs(1);

/// Longest backoff of an entry that has a relay, which tells it when the store is
/// reachable again.
const RELAYED_BACKOFF: Duration = Duration::from_secs(1);

/// Number of objects that cannot be decoded which are logged.
const MAX_UNREADABLE_LOGGED: usize = 256;

/// How a feed resumes after a relay supplied the updates for a time.
enum Resume {
    /// Watches from a revision.
    From(u64),
    /// Lists all objects.
    Relist,
}

/// Applies the objects of one kind to the entry.
trait Feed: Send {
    /// Returns the kind.
    fn kind(&self) -> ObjectKind;

    /// Returns the timeout of a watch.
    fn watch_timeout(&self, entry: &Entry) -> Duration;

    /// Waits while a relay supplies the updates, and returns how to resume.
    ///
    /// Returns `None` if no relay supplies them.
    fn wait_relayed<'a>(&'a mut self, _entry: &'a Entry) -> BoxFuture<'a, Option<Resume>> {
        Box::pin(std::future::ready(None))
    }

    /// Returns whether a starting entry first waits for a relay, which may supply the
    /// objects without a listing.
    fn waits_for_relay(&self) -> bool {
        false
    }

    /// Returns the delay between a response with changes and the next watch.
    fn batch_delay(&self, _entry: &Entry) -> Duration {
        Duration::ZERO
    }

    /// Returns whether all objects may be read from a cache of the store.
    ///
    /// Later changes are delivered from the revision of the listing on.
    fn accepts_cached(&self, entry: &Entry) -> bool {
        entry.membership.is_aggregated()
    }

    /// Returns whether the applied objects are as recent as this entry knows that
    /// they should be.
    fn is_up_to_date(&self, _entry: &Entry) -> bool {
        true
    }

    /// Replaces all objects by those of `revision`.
    fn replace(&mut self, entry: &Entry, revision: u64, objects: Vec<Object>);

    /// Applies all changes up to `revision`.
    fn apply(&mut self, entry: &Entry, revision: u64, changes: Vec<Change>);

    /// Writes to the store what the applied objects require.
    fn write_back<'a>(&'a mut self, _entry: &'a Entry) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(std::future::ready(Ok(())))
    }

    /// Records that the applied objects were current at `time`.
    fn confirm(&mut self, _entry: &Entry, _time: Time) {}
}

/// Waits while other entries tell what they read from the store.
async fn wait_told(entry: &Entry) -> Option<Resume> {
    if entry.relay.is_relayed(entry.clock.now()) {
        entry.relay.wait_unrelayed(entry).await;
    }
    None
}

/// Waits while the aggregators of a large deployment supply the updates that other
/// deployments read from the store.
async fn wait_aggregated(entry: &Entry) -> Option<Resume> {
    if entry.membership.is_aggregated() {
        wait_told(entry).await;
    }
    None
}

/// The state of a feed's connection to the store.
struct FeedState {
    name: &'static str,
    revision: Option<u64>,
    backoff: Duration,
    lost_at: Option<Time>,
    /// Whether this feed probes the store during an outage and notifies the others.
    is_prober: bool,
    /// Whether the next watch should return at once.
    is_probing: bool,
    /// Whether the wait for changes has begun.
    has_watched: bool,
    /// Whether the store has dropped the history since the last listing, so that a
    /// cached one may be too old.
    is_expired: bool,
}

/// The outcome of a call to the store that did not fail.
enum SyncOutcome {
    /// The store responded.
    Answered,
    /// The call was abandoned, because an outage ended while it was open.
    Abandoned,
}

/// Follows one kind of objects.
///
/// Does not return; the task is aborted when the entry stops.
async fn follow(entry: Arc<Entry>, mut feed: Box<dyn Feed>, name: &'static str) {
    let mut state = FeedState {
        name,
        revision: None,
        backoff: INITIAL_BACKOFF,
        lost_at: None,
        is_prober: feed.kind() == ObjectKind::Catalog,
        is_probing: false,
        has_watched: false,
        is_expired: false,
    };
    if feed.waits_for_relay() {
        entry.relay.wait_first_reply(&entry).await;
    }
    loop {
        if state.is_first_watch() {
            entry.relay.wait_first_reply(&entry).await;
        }
        let resume = feed.wait_relayed(&entry).await;
        if resume.is_some() {
            state.backoff = INITIAL_BACKOFF;
        }
        match resume {
            Some(Resume::From(revision)) => state.revision = Some(revision),
            Some(Resume::Relist) => state.revision = None,
            None => {}
        }
        match state.sync(&entry, &mut *feed).await {
            Ok(SyncOutcome::Answered) => state.record_success(&entry),
            Ok(SyncOutcome::Abandoned) => state.is_probing = true,
            Err(e) => {
                state.record_failure(&entry, &e);
                state.wait_retry(&entry).await;
            }
        }
    }
}

impl FeedState {
    /// Returns whether all objects were listed and no change was awaited yet, and
    /// returns false from then on.
    fn is_first_watch(&mut self) -> bool {
        self.revision.is_some() && !std::mem::replace(&mut self.has_watched, true)
    }

    async fn sync(
        &mut self,
        entry: &Entry,
        feed: &mut dyn Feed,
    ) -> Result<SyncOutcome, StoreError> {
        let sent = entry.clock.now();
        let Some(revision) = self.revision else {
            self.list(entry, feed, sent).await?;
            return Ok(SyncOutcome::Answered);
        };
        let is_probing = std::mem::take(&mut self.is_probing);
        let wait = if self.lost_at.is_some() || is_probing {
            PROBE_TIMEOUT
        } else {
            feed.watch_timeout(entry)
        };
        let mut recoveries = entry.store_recoveries.subscribe();
        let watching = entry.adapter.store.watch(feed.kind(), revision, wait);
        let watched = tokio::select! {
            watched = watching => watched,
            // A call that was sent before the outage may never be answered.
            _ = recoveries.changed() => return Ok(SyncOutcome::Abandoned),
        };
        match answered(entry, watched) {
            Ok(WatchResult::Changes(revision, changes)) => {
                let is_empty = changes.is_empty();
                feed.apply(entry, revision, changes);
                feed.write_back(entry).await?;
                self.revision = Some(revision);
                let waited = entry.clock.now().since(sent);
                let confirmed_at = if is_empty && waited >= wait {
                    sent + wait
                } else {
                    sent
                };
                feed.confirm(entry, confirmed_at);
                if !is_empty {
                    tokio::time::sleep(feed.batch_delay(entry)).await;
                }
                Ok(SyncOutcome::Answered)
            }
            Ok(WatchResult::HistoryGone) => {
                let event = Event::new("store_history_gone").with("feed", self.name);
                entry.events.write(event.with("revision", revision));
                self.revision = None;
                self.is_expired = true;
                Ok(SyncOutcome::Answered)
            }
            Err(e) => Err(e),
        }
    }

    /// Reads all objects, from a cache of the store if their age does not matter.
    async fn list(
        &mut self,
        entry: &Entry,
        feed: &mut dyn Feed,
        sent: Time,
    ) -> Result<(), StoreError> {
        let is_cached = !self.is_expired && feed.accepts_cached(entry);
        if is_cached {
            let store = &entry.adapter.store;
            let listed = store.list(feed.kind(), Consistency::Cached).await;
            let listing = answered(entry, listed)?;
            feed.replace(entry, listing.revision, listing.objects);
            feed.write_back(entry).await?;
            self.revision = Some(listing.revision);
            if feed.is_up_to_date(entry) {
                // A watch that returns at once confirms that nothing has changed.
                self.is_probing = true;
                return Ok(());
            }
        }
        let store = &entry.adapter.store;
        let listed = store.list(feed.kind(), Consistency::Current).await;
        let listing = answered(entry, listed)?;
        feed.replace(entry, listing.revision, listing.objects);
        feed.write_back(entry).await?;
        feed.confirm(entry, sent);
        self.revision = Some(listing.revision);
        self.is_expired = false;
        Ok(())
    }

    /// Waits before the retry of a failed call.
    ///
    /// The platform bills refused calls too, so during an outage only one feed probes the
    /// store and notifies the others. Relays retry sooner than the entries that they
    /// inform. A single failed call may be due to its connection, and a store that
    /// answers other calls is not away, so these do not wait for a notification.
    async fn wait_retry(&self, entry: &Entry) {
        let is_first = self.backoff == INITIAL_BACKOFF;
        if self.is_prober || is_first || self.is_answered_elsewhere(entry) {
            let longest = if self.is_prober && !is_first && entry.relay.has_relay() {
                RELAYED_BACKOFF
            } else {
                self.backoff
            };
            tokio::time::sleep(longest / 2 + entry.jitter(longest / 2)).await;
            return;
        }
        let mut recoveries = entry.store_recoveries.subscribe();
        let wait = NOTIFIED_BACKOFF / 2 + entry.jitter(NOTIFIED_BACKOFF / 2);
        // The call is retried both after the timeout and after a notification.
        let _ = tokio::time::timeout(wait, recoveries.changed()).await;
    }

    /// Returns whether the store has answered a call of another feed since this one
    /// lost it.
    fn is_answered_elsewhere(&self, entry: &Entry) -> bool {
        entry.store_contact.lock().unwrap().last_answer() > self.lost_at
    }

    fn record_failure(&mut self, entry: &Entry, e: &StoreError) {
        let name = self.name;
        metrics::counter!("cassialock_store_failures_total", "call" => name).increment(1);
        let now = entry.clock.now();
        let serves_others = entry.membership.has_ready_peer(now);
        let mut contact = entry.store_contact.lock().unwrap();
        let last_answer = contact.last_answer();
        // The end of one connection does not show that the store is away.
        if self.lost_at.is_some() || *e != StoreError::Cut {
            contact.record_failure(serves_others, now);
        }
        drop(contact);
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            let event = Event::new("store_lost").with("feed", name);
            let event = event.with_ms("silence_ms", now.since(last_answer.unwrap_or(now)));
            entry.events.write(event.with("reason", e.to_string()));
        } else {
            let longest = if self.is_prober {
                MAX_BACKOFF
            } else {
                MAX_ANSWERED_BACKOFF
            };
            self.backoff = (self.backoff * 2).min(longest);
        }
    }

    fn record_success(&mut self, entry: &Entry) {
        self.backoff = INITIAL_BACKOFF;
        if let Some(lost_at) = self.lost_at.take() {
            let outage = entry.clock.now().since(lost_at);
            if self.is_prober {
                entry.store_recoveries.send_modify(|count| *count += 1);
            }
            entry.events.write(
                Event::new("store_regained")
                    .with("feed", self.name)
                    .with_ms("outage_ms", outage),
            );
        }
    }
}

/// Records that the store has answered a call, if it has.
fn answered<T>(entry: &Entry, result: Result<T, StoreError>) -> Result<T, StoreError> {
    if result.is_ok() {
        let era = entry.adapter.store.era();
        entry.record_store_answer(Some(era), entry.clock.now());
    }
    result
}

/// Decodes an object that this program has written; one that cannot be decoded is recorded.
fn decode_record<T: DeserializeOwned>(
    entry: &Entry,
    kind: ObjectKind,
    name: &str,
    content: Content,
) -> Option<T> {
    let decoded = match content {
        Content::Record(value) => serde_json::from_value(value).map_err(|e| e.to_string()),
        Content::Unreadable(reason) => Err(reason),
        Content::Catalog(_) | Content::Backend(_) | Content::Move(_) => return None,
    };
    decoded
        .inspect_err(|reason| record_unreadable(entry, kind, name, reason))
        .ok()
}

/// Records an object that cannot be decoded; other objects are not affected.
///
/// Each object is logged once, since its writer may write it often.
fn record_unreadable(entry: &Entry, kind: ObjectKind, object: &str, reason: &str) {
    metrics::counter!("cassialock_objects_unreadable_total", "kind" => format!("{kind:?}"))
        .increment(1);
    let row = (kind, Name::from(object));
    let mut logged = entry.unreadable.lock().unwrap();
    let Err(index) = logged.binary_search(&row) else {
        return;
    };
    if logged.len() >= MAX_UNREADABLE_LOGGED {
        return;
    }
    logged.insert(index, row);
    drop(logged);
    entry.events.write(
        Event::new("object_unreadable")
            .with("kind", format!("{kind:?}"))
            .with("object", object)
            .with("reason", reason),
    );
}
