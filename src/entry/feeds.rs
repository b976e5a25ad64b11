//! Follows the objects of the store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use serde_json::Value;

use crate::core::Name;
use crate::core::peer::Phase;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::beats::Member;
use crate::entry::outside::Change;
use crate::entry::outside::Content;
use crate::entry::outside::Kind;
use crate::entry::outside::Listing;
use crate::entry::outside::Object;
use crate::entry::outside::StoreError;
use crate::entry::outside::Watched;
use crate::telemetry::events::Line;

/// Part of the time to revoke a key for which a watch of the declaration waits.
///
/// Each answer of the store confirms that the declaration is the newest.
const CONFIRM_PART: f64 = 0.2;

/// Time for which a watch of backend servers waits.
const BACKENDS_WAIT: Duration = Duration::from_secs(2);

/// Time for which a watch of what changes seldom waits.
const SELDOM_WAIT: Duration = Duration::from_secs(20);

/// Time for which the first watch after an outage waits.
///
/// It answers at once, so that the time of the store's return is known.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Time for which changes of backend servers are gathered before they are asked
/// for, since many come together and each answer of the store is paid.
const GATHER: Duration = Duration::from_millis(200);

/// Time for which changes of registrations are gathered, since entries that
/// start are heard before their registrations are read.
const NODES_GATHER: Duration = Duration::from_secs(3);

/// Longest wait of a feed that is woken when the store is back.
const LONG_BACKOFF: Duration = Duration::from_secs(2);

/// First wait after a failed call to the store.
const BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

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
    fn rest(&self) -> Duration {
        Duration::ZERO
    }

    /// Takes over all objects, as they were at `revision`.
    fn replace<'a>(
        &'a mut self,
        entry: &'a Entry,
        revision: u64,
        objects: Vec<Object>,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Takes over all changes up to `revision`.
    fn change<'a>(
        &'a mut self,
        entry: &'a Entry,
        revision: u64,
        changes: Vec<Change>,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

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
            feed.replace(entry, revision, objects).await?;
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
                feed.change(entry, revision, changes).await?;
                self.revision = Some(revision);
                let waited = entry.clock.now().since(sent);
                let known = if is_empty && waited >= wait {
                    sent + wait
                } else {
                    sent
                };
                feed.confirm(entry, known);
                if !is_empty {
                    tokio::time::sleep(feed.rest()).await;
                }
                Ok(Step::Answered)
            }
            Ok(Watched::HistoryGone) => {
                let line = Line::new("store_history_gone").with("feed", self.name);
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
    /// and wakes the others.
    async fn rest(&self, entry: &Entry) {
        if self.is_first {
            let wait = self.backoff / 2 + entry.jitter(self.backoff / 2);
            tokio::time::sleep(wait).await;
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
                Line::new("store_lost")
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
                Line::new("store_regained")
                    .with("feed", self.name)
                    .with_ms("outage_ms", span),
            );
        }
    }
}

/// Notes an object that cannot be used; the others hold.
fn note_unreadable(entry: &Entry, kind: Kind, object: &str, reason: &str) {
    entry.events.write(
        Line::new("object_unreadable")
            .with("kind", format!("{kind:?}"))
            .with("object", object)
            .with("reason", reason),
    );
}

struct CatalogFeed;

impl CatalogFeed {
    fn take(entry: &Entry, object: Object) {
        match object.content {
            Content::Catalog(catalog) => {
                let (before, version) = (entry.catalog.version(), catalog.version);
                if entry.catalog.install(*catalog) {
                    entry.events.write(
                        Line::new("catalog_installed")
                            .with("version", version)
                            .with("version_before", before)
                            .with("revision", object.revision),
                    );
                }
            }
            Content::Unreadable(reason) => {
                note_unreadable(entry, Kind::Catalog, &object.name, &reason);
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

    fn replace<'a>(
        &'a mut self,
        entry: &'a Entry,
        _revision: u64,
        objects: Vec<Object>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        for object in objects {
            Self::take(entry, object);
        }
        Box::pin(std::future::ready(Ok(())))
    }

    fn change<'a>(
        &'a mut self,
        entry: &'a Entry,
        _revision: u64,
        changes: Vec<Change>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        for change in changes.into_iter().filter(|change| !change.is_removed) {
            Self::take(entry, change.object);
        }
        Box::pin(std::future::ready(Ok(())))
    }

    fn confirm(&mut self, entry: &Entry, time: Time) {
        if entry.catalog.version() > 0 {
            entry.catalog.confirm(time);
        }
    }
}

/// Follows the declaration of the operator.
pub async fn follow_catalog(entry: Arc<Entry>) {
    follow(entry, Box::new(CatalogFeed), "catalog").await;
}

struct BackendsFeed;

impl Feed for BackendsFeed {
    fn kind(&self) -> Kind {
        Kind::Backends
    }

    fn told<'a>(&'a mut self, entry: &'a Entry) -> BoxFuture<'a, Option<Resume>> {
        Box::pin(async {
            if !entry.relay.is_told(entry.clock.now()) {
                return None;
            }
            entry.relay.wait_untold(entry).await;
            Some(Resume::From(entry.relay.revision()))
        })
    }

    fn wait(&self, _entry: &Entry) -> Duration {
        BACKENDS_WAIT
    }

    fn rest(&self) -> Duration {
        GATHER
    }

    fn replace<'a>(
        &'a mut self,
        entry: &'a Entry,
        revision: u64,
        objects: Vec<Object>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        let mut list = Vec::with_capacity(objects.len());
        for object in objects {
            match object.content {
                Content::Backend(listed) => list.push(listed),
                Content::Unreadable(reason) => {
                    note_unreadable(entry, Kind::Backends, &object.name, &reason);
                }
                Content::Catalog(_) | Content::Move(_) | Content::Record(_) => {}
            }
        }
        entry.relay.record_list(revision);
        let lines = entry.backends.replace(list, entry.clock.now());
        lines.into_iter().for_each(|line| entry.events.write(line));
        Box::pin(std::future::ready(Ok(())))
    }

    fn change<'a>(
        &'a mut self,
        entry: &'a Entry,
        revision: u64,
        changes: Vec<Change>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        let mut list = Vec::with_capacity(changes.len());
        for change in changes {
            let name = change.object.name;
            match change.object.content {
                Content::Backend(listed) if !change.is_removed => {
                    list.push((name, Some(listed)));
                }
                Content::Unreadable(reason) if !change.is_removed => {
                    note_unreadable(entry, Kind::Backends, &name, &reason);
                    list.push((name, None));
                }
                _ => list.push((name, None)),
            }
        }
        if revision <= entry.relay.revision() && !list.is_empty() {
            // Another entry has told these changes before.
            return Box::pin(std::future::ready(Ok(())));
        }
        entry.relay.record_changes(revision, &list);
        let lines = entry.backends.change(list, entry.clock.now());
        lines.into_iter().for_each(|line| entry.events.write(line));
        Box::pin(std::future::ready(Ok(())))
    }

    fn confirm(&mut self, entry: &Entry, time: Time) {
        entry.relay.confirm(time);
    }

    fn fail(&mut self, entry: &Entry) {
        let now = entry.clock.now();
        let mut others = entry.beats.live(now).into_iter();
        let serves_others = others.any(|status| status.phase == Phase::Ready);
        let unheard = entry.catalog.age(now).unwrap_or_default();
        let since = Time(now.0.saturating_sub(unheard.as_micros() as u64));
        entry.backends.record_outage(serves_others, since, now);
    }
}

/// Follows the backend servers.
pub async fn follow_backends(entry: Arc<Entry>) {
    follow(entry, Box::new(BackendsFeed), "backends").await;
}

struct MovesFeed {
    known: Vec<Name>,
}

impl MovesFeed {
    fn take(&mut self, entry: &Entry, object: Object) {
        let now = entry.clock.now();
        match object.content {
            Content::Move(declared) => {
                let service = declared.service.clone();
                if !self.known.contains(&service) {
                    self.known.push(service.clone());
                }
                let line = entry.moves.set(&service, Some(declared), now);
                line.into_iter().for_each(|line| entry.events.write(line));
            }
            Content::Unreadable(reason) => {
                note_unreadable(entry, Kind::Moves, &object.name, &reason);
            }
            Content::Catalog(_) | Content::Backend(_) | Content::Record(_) => {}
        }
    }

    fn withdraw(&mut self, entry: &Entry, service: &Name) {
        self.known.retain(|known| known != service);
        let line = entry.moves.set(service, None, entry.clock.now());
        line.into_iter().for_each(|line| entry.events.write(line));
    }
}

impl Feed for MovesFeed {
    fn kind(&self) -> Kind {
        Kind::Moves
    }

    fn wait(&self, _entry: &Entry) -> Duration {
        SELDOM_WAIT
    }

    fn replace<'a>(
        &'a mut self,
        entry: &'a Entry,
        _revision: u64,
        objects: Vec<Object>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        let names: Vec<Name> = objects.iter().map(|object| object.name.clone()).collect();
        for service in self.known.clone() {
            if !names.contains(&service) {
                self.withdraw(entry, &service);
            }
        }
        for object in objects {
            self.take(entry, object);
        }
        Box::pin(std::future::ready(Ok(())))
    }

    fn change<'a>(
        &'a mut self,
        entry: &'a Entry,
        _revision: u64,
        changes: Vec<Change>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        for change in changes {
            if change.is_removed {
                self.withdraw(entry, &change.object.name);
            } else {
                self.take(entry, change.object);
            }
        }
        Box::pin(std::future::ready(Ok(())))
    }
}

/// Follows the version moves.
pub async fn follow_moves(entry: Arc<Entry>) {
    let feed = MovesFeed { known: Vec::new() };
    follow(entry, Box::new(feed), "moves").await;
}

/// Follows the registrations of entries, and keeps the own one there.
struct NodesFeed {
    own: Member,
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
                note_unreadable(entry, Kind::Nodes, &object.name, &e.to_string());
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
        let line = Line::new("registered").with("revision", revision);
        entry.events.write(line);
        Ok(())
    }
}

impl Feed for NodesFeed {
    fn kind(&self) -> Kind {
        Kind::Nodes
    }

    fn wait(&self, _entry: &Entry) -> Duration {
        SELDOM_WAIT
    }

    fn rest(&self) -> Duration {
        NODES_GATHER
    }

    fn replace<'a>(
        &'a mut self,
        entry: &'a Entry,
        _revision: u64,
        objects: Vec<Object>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            let node = entry.settings.load().node.clone();
            let now = entry.clock.now();
            for name in entry.beats.members() {
                if !objects.iter().any(|object| object.name == name) {
                    entry.beats.set_member(&name, None, now);
                }
            }
            let mut over = None;
            let mut own = None;
            for object in objects {
                if object.name == node {
                    over = Some(object.revision);
                }
                own = self.take(entry, object).or(own);
            }
            match own {
                Some(revision) => {
                    entry.beats.set_incarnation(revision);
                    Ok(())
                }
                None => self.register(entry, over).await,
            }
        })
    }

    fn change<'a>(
        &'a mut self,
        entry: &'a Entry,
        _revision: u64,
        changes: Vec<Change>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            let node = entry.settings.load().node.clone();
            let now = entry.clock.now();
            for change in changes {
                if !change.is_removed {
                    self.take(entry, change.object);
                    continue;
                }
                entry.beats.set_member(&change.object.name, None, now);
                if change.object.name == node {
                    self.register(entry, None).await?;
                }
            }
            Ok(())
        })
    }
}

/// Follows the registrations of entries.
pub async fn follow_nodes(entry: Arc<Entry>) {
    let settings = entry.settings.load_full();
    let Some(front) = settings.front else { return };
    let own = Member {
        front,
        peer: settings.peer,
        domain: settings.domain.clone(),
        started: entry.clock.now().0,
    };
    follow(entry, Box::new(NodesFeed { own }), "nodes").await;
}
