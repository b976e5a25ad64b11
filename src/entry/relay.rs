//! News of the store that one entry tells another.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::core::Name;
use crate::core::peer::Phase;
use crate::core::relay;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::beats;
use crate::entry::outside::Listed;
use crate::telemetry::events::Event;

/// Time between two questions to a relay.
pub const ASK_STEP: Duration = Duration::from_millis(400);

/// Silence of a relay after which an entry follows the store itself.
const SILENCE: Duration = Duration::from_millis(950);

/// Age of a relay's declaration from which an entry follows the store itself, as
/// a part of the time in which a new one must be in force.
///
/// The rest is for the next question to the relay and a call to the store.
const AGE_PART: f64 = 0.62;

/// Age of a relay's backend servers from which it does not tell of them.
const MAX_SILENT: Duration = Duration::from_millis(3_200);

/// Changes of backend servers that are remembered for others.
const MAX_LOGGED: usize = 1_024;

/// Changes in one answer, which fit into a datagram.
const MAX_TOLD: usize = 160;

/// A question to a relay.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// Tells the answers to different questions apart.
    pub nonce: u64,
    /// Revision up to which the asker knows the backend servers.
    pub revision: u64,
}

/// The answer of a relay.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Told {
    /// The question's nonce.
    pub nonce: u64,
    /// Number of the declaration in force at the relay.
    pub version: u64,
    /// Time for which the relay has not known it to be the newest.
    pub age: Duration,
    /// Changes of backend servers, unless the relay does not know them all.
    pub news: Option<News>,
}

/// Changes of backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct News {
    /// Revision after which the changes come.
    pub after: u64,
    /// Revision of the last change.
    pub revision: u64,
    /// Servers that changed; `None` for one that was removed.
    pub changes: Vec<(Name, Option<Listed>)>,
}

#[derive(Debug, Default)]
struct State {
    /// Revision up to which this entry knows the backend servers.
    revision: u64,
    /// Revision after which `log` is complete.
    floor: u64,
    log: Vec<(u64, Name, Option<Listed>)>,
    /// When the backend servers were last read from the store.
    confirmed: Time,
    asked: Option<(u64, Time)>,
    told: Option<Time>,
    is_told: bool,
    /// Whether there is an entry to ask.
    has_relay: bool,
}

/// This entry's part in telling news of the store.
#[derive(Debug, Default)]
pub struct Relay {
    state: Mutex<State>,
    /// Wakes the feed of the declaration when there is a newer one.
    newer: Notify,
    /// Wakes the feeds when an answer of the relay ends that it is believed.
    untold: Notify,
}

impl Relay {
    /// Creates a part that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the whole list of backend servers as read from the store.
    pub fn record_list(&self, revision: u64) {
        let mut state = self.state.lock().unwrap();
        state.log.clear();
        state.floor = revision;
        state.revision = revision;
    }

    /// Records changes up to `revision`, for others that ask.
    pub fn record_changes(&self, revision: u64, changes: &[(Name, Option<Listed>)]) {
        let mut state = self.state.lock().unwrap();
        state.record(revision, changes);
    }

    /// Records that the backend servers were as known at `time`.
    pub fn confirm(&self, time: Time) {
        let mut state = self.state.lock().unwrap();
        state.confirmed = state.confirmed.max(time);
    }

    /// Returns the revision up to which the backend servers are known.
    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().revision
    }

    /// Returns whether another entry tells this one the news.
    pub fn is_told(&self, now: Time) -> bool {
        let state = self.state.lock().unwrap();
        state.is_told && state.told.is_some_and(|at| now.since(at) < SILENCE)
    }

    /// Returns whether this entry asks another one, which may not answer.
    pub fn has_relay(&self) -> bool {
        self.state.lock().unwrap().has_relay
    }

    /// Waits until no other entry tells the news any more.
    pub async fn wait_untold(&self, entry: &Entry) {
        loop {
            let untold = self.untold.notified();
            if !self.is_told(entry.clock.now()) {
                return;
            }
            // A relay that falls silent wakes nobody.
            let _ = tokio::time::timeout(SILENCE / 2, untold).await;
        }
    }

    /// Waits until another entry has told of a newer declaration, or none tells
    /// the news any more.
    pub async fn wait_newer(&self, entry: &Entry) {
        tokio::select! {
            () = self.newer.notified() => {}
            () = self.wait_untold(entry) => {}
        }
    }
}

impl State {
    fn record(&mut self, revision: u64, changes: &[(Name, Option<Listed>)]) {
        for (name, listed) in changes {
            self.log.push((revision, name.clone(), listed.clone()));
        }
        self.revision = self.revision.max(revision);
        if self.log.len() > MAX_LOGGED {
            let excess = self.log.len() - MAX_LOGGED;
            self.floor = self.log[excess - 1].0;
            let floor = self.floor;
            self.log.retain(|row| row.0 > floor);
        }
    }

    fn news(&self, after: u64) -> Option<News> {
        if after < self.floor || self.revision == 0 {
            return None;
        }
        let changes: Vec<_> = self
            .log
            .iter()
            .filter(|row| row.0 > after)
            .map(|(_, name, listed)| (name.clone(), listed.clone()))
            .collect();
        (changes.len() <= MAX_TOLD).then_some(News {
            after,
            revision: self.revision,
            changes,
        })
    }
}

/// Returns the question to send now, and to whom.
pub fn ask(entry: &Entry) -> Option<(SocketAddr, Ask)> {
    let now = entry.clock.now();
    let me = entry.settings.load().node.clone();
    let live = entry.beats.live(now);
    let mut names: Vec<Name> = live
        .iter()
        .filter(|status| status.phase == Phase::Ready)
        .map(|status| status.node.clone())
        .collect();
    if beats::phase(entry) == Phase::Ready {
        names.push(me.clone());
    }
    let relay = relay::relay_of(&me, &names);
    let target = relay.and_then(|relay| live.iter().find(|status| status.node == relay));
    let mut state = entry.relay.state.lock().unwrap();
    let target = target.filter(|_| state.revision > 0);
    state.has_relay = target.is_some();
    let Some(target) = target else {
        state.is_told = false;
        return None;
    };
    let nonce = now.0;
    state.asked = Some((nonce, now));
    let ask = Ask {
        nonce,
        revision: state.revision,
    };
    Some((target.peer, ask))
}

/// Returns the answer to a question, if this entry follows the store itself.
pub fn answer(entry: &Entry, ask: &Ask) -> Option<Told> {
    let now = entry.clock.now();
    if entry.relay.is_told(now) || entry.is_leaving() {
        return None;
    }
    let state = entry.relay.state.lock().unwrap();
    if now.since(state.confirmed) > MAX_SILENT {
        return None;
    }
    Some(Told {
        nonce: ask.nonce,
        version: entry.catalog.version(),
        age: entry.catalog.age(now)?,
        news: state.news(ask.revision),
    })
}

/// Takes over what a relay has answered.
pub fn take(entry: &Entry, told: Told) {
    let now = entry.clock.now();
    let mut state = entry.relay.state.lock().unwrap();
    let Some((_, sent)) = state.asked.filter(|(nonce, _)| *nonce == told.nonce) else {
        return;
    };
    state.asked = None;
    let after = state.revision;
    let news = told.news;
    if news.as_ref().is_some_and(|news| news.after != after) {
        // Changes came from the store meanwhile.
        state.told = Some(now);
        return;
    }
    // Without the changes this entry has to read the servers from the store.
    let max_age = entry.settings.load().bounds.config.mul_f64(AGE_PART);
    let was_told = std::mem::replace(&mut state.is_told, news.is_some() && told.age < max_age);
    state.told = Some(now);
    let is_told = state.is_told;
    if let Some(news) = &news {
        state.record(news.revision, &news.changes);
    }
    drop(state);
    // The store will be asked only for what comes after these changes.
    if let Some(news) = news
        && (is_told || !news.changes.is_empty())
    {
        let lines = entry.backends.change(news.changes, now);
        lines.into_iter().for_each(|line| entry.events.write(line));
    }
    if was_told != is_told {
        let line = Event::new("relay_changed").with("is_told", is_told);
        entry.events.write(line.with_ms("relay_age_ms", told.age));
    }
    if !is_told {
        entry.relay.untold.notify_waiters();
        return;
    }
    // The relay knew it at the time of its answer, which came after the question.
    let known = Time(sent.0.saturating_sub(told.age.as_micros() as u64));
    if told.version == entry.catalog.version() {
        entry.catalog.confirm(known);
    } else if told.version > entry.catalog.version() {
        entry.relay.newer.notify_one();
    }
}
