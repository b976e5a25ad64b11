//! Follows the objects of the store.
//!
//! Each kind of objects has a feed of its own; [`follow`] keeps it in touch with
//! the store, and [`Feed`] says what is done with the objects.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::outside::Change;
use crate::entry::outside::Kind;
use crate::entry::outside::Listing;
use crate::entry::outside::Object;
use crate::entry::outside::StoreError;
use crate::entry::outside::Watched;
use crate::telemetry::events::Event;

pub mod backends;
pub mod catalog;
pub mod moves;
pub mod nodes;

/// Time for which a watch of what changes seldom waits.
const SELDOM_WAIT: Duration = Duration::from_secs(20);

/// Time for which the first watch after an outage waits.
///
/// It answers at once, so that the time of the store's return is known.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Longest wait of a feed that is woken when the store is back.
const LONG_BACKOFF: Duration = Duration::from_secs(2);

/// First wait after a failed call to the store.
const BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// Longest wait after failed calls of an entry that asks another one, and is
/// told by it when the store is back.
const RELAYED_BACKOFF: Duration = Duration::from_secs(1);

/// How a feed goes on after another entry has told its news.
enum Resume {
    /// Watch from a revision.
    From(u64),
    /// List all objects.
    Anew,
}

/// What is done with the objects of one kind.
trait Feed: Send {
    /// The kind.
    fn kind(&self) -> Kind;

    /// Time for which a watch waits.
    fn wait(&self, entry: &Entry) -> Duration;

    /// Waits for as long as another entry tells the news.
    fn told<'a>(&'a mut self, _entry: &'a Entry) -> BoxFuture<'a, Option<Resume>> {
        Box::pin(std::future::ready(None))
    }

    /// Time to wait between an answer with changes and the next watch.
    fn rest(&self, _entry: &Entry) -> Duration {
        Duration::ZERO
    }

    /// Takes over all objects, as they were at `revision`.
    fn replace(&mut self, entry: &Entry, revision: u64, objects: Vec<Object>);

    /// Takes over all changes up to `revision`.
    fn change(&mut self, entry: &Entry, revision: u64, changes: Vec<Change>);

    /// Writes to the store what follows from the objects taken over.
    fn settle<'a>(&'a mut self, _entry: &'a Entry) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(std::future::ready(Ok(())))
    }

    /// Records that everything taken over was the newest at `time`.
    fn confirm(&mut self, _entry: &Entry, _time: Time) {}

    /// Records that the store did not answer.
    fn fail(&mut self, _entry: &Entry) {}
}

/// How a feed stands with the store.
struct Link {
    name: &'static str,
    revision: Option<u64>,
    backoff: Duration,
    lost: Option<Time>,
    /// Whether this feed finds out for the others when the store is back.
    is_first: bool,
    /// Whether another feed has found that the store is back.
    is_woken: bool,
}

/// What became of one call to the store.
enum Step {
    /// The store answered.
    Answered,
    /// The call was given up, because the store was away meanwhile.
    Abandoned,
}

/// Follows one kind of objects until the entry stops.
async fn follow(entry: Arc<Entry>, mut feed: Box<dyn Feed>, name: &'static str) {
    let mut link = Link {
        name,
        revision: None,
        backoff: BACKOFF,
        lost: None,
        is_first: feed.kind() == Kind::Catalog,
        is_woken: false,
    };
    loop {
        match feed.told(&entry).await {
            Some(Resume::From(revision)) => link.revision = Some(revision),
            Some(Resume::Anew) => link.revision = None,
            None => {}
        }
        match link.step(&entry, &mut *feed).await {
            Ok(Step::Answered) => link.record_answer(&entry),
            Ok(Step::Abandoned) => link.is_woken = true,
            Err(e) => {
                link.record_failure(&entry, &e);
                feed.fail(&entry);
                link.rest(&entry).await;
            }
        }
    }
}

impl Link {
    async fn step(&mut self, entry: &Entry, feed: &mut dyn Feed) -> Result<Step, StoreError> {
        let sent = entry.clock.now();
        let Some(revision) = self.revision else {
            let listing = entry.outside.store.list(feed.kind()).await?;
            let Listing { revision, objects } = listing;
            feed.replace(entry, revision, objects);
            feed.settle(entry).await?;
            feed.confirm(entry, sent);
            self.revision = Some(revision);
            return Ok(Step::Answered);
        };
        let is_woken = std::mem::take(&mut self.is_woken);
        let wait = if self.lost.is_some() || is_woken {
            PROBE_WAIT
        } else {
            feed.wait(entry)
        };
        let mut returned = entry.store_returned.subscribe();
        let watching = entry.outside.store.watch(feed.kind(), revision, wait);
        let watched = tokio::select! {
            watched = watching => watched,
            // A call of before the outage may never be answered.
            _ = returned.changed() => return Ok(Step::Abandoned),
        };
        match watched {
            Ok(Watched::Changes(revision, changes)) => {
                let is_empty = changes.is_empty();
                feed.change(entry, revision, changes);
                feed.settle(entry).await?;
                self.revision = Some(revision);
                let waited = entry.clock.now().since(sent);
                let known = if is_empty && waited >= wait {
                    sent + wait
                } else {
                    sent
                };
                feed.confirm(entry, known);
                if !is_empty {
                    tokio::time::sleep(feed.rest(entry)).await;
                }
                Ok(Step::Answered)
            }
            Ok(Watched::HistoryGone) => {
                let line = Event::new("store_history_gone").with("feed", self.name);
                entry.events.write(line.with("revision", revision));
                self.revision = None;
                Ok(Step::Answered)
            }
            Err(e) => Err(e),
        }
    }

    /// Waits before the next call after a failed one.
    ///
    /// Refused calls are paid too, so one feed finds out when the store is back,
    /// and wakes the others. The entries that tell others are the first to try.
    async fn rest(&self, entry: &Entry) {
        if self.is_first {
            let longest = if entry.relay.has_relay() {
                RELAYED_BACKOFF
            } else {
                self.backoff
            };
            tokio::time::sleep(longest / 2 + entry.jitter(longest / 2)).await;
            return;
        }
        let mut returned = entry.store_returned.subscribe();
        let wait = LONG_BACKOFF / 2 + entry.jitter(LONG_BACKOFF / 2);
        // Either end of the wait leads to the same call.
        let _ = tokio::time::timeout(wait, returned.changed()).await;
    }

    fn record_failure(&mut self, entry: &Entry, e: &StoreError) {
        let label = self.name;
        metrics::counter!("cassialock_store_failures_total", "call" => label).increment(1);
        if self.lost.is_none() {
            self.lost = Some(entry.clock.now());
            entry.events.write(
                Event::new("store_lost")
                    .with("feed", label)
                    .with("reason", e.to_string()),
            );
        } else {
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }

    fn record_answer(&mut self, entry: &Entry) {
        self.backoff = BACKOFF;
        if let Some(lost) = self.lost.take() {
            let span = entry.clock.now().since(lost);
            if self.is_first {
                entry.store_returned.send_modify(|count| *count += 1);
            }
            entry.events.write(
                Event::new("store_regained")
                    .with("feed", self.name)
                    .with_ms("outage_ms", span),
            );
        }
    }
}

/// Notes an object that cannot be used; the others hold.
fn note_unreadable(entry: &Entry, kind: Kind, object: &str, reason: &str) {
    entry.events.write(
        Event::new("object_unreadable")
            .with("kind", format!("{kind:?}"))
            .with("object", object)
            .with("reason", reason),
    );
}
