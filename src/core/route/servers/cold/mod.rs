//! Servers that are cold, and this node's share of the request rate that they tolerate.
//!
//! A server that has just started is slow, and crashes when it gets far more requests than
//! it tolerates. All nodes together keep to a bound for any one second. No node counts for
//! all: each computes its share from the names of the nodes and from what it knows of the
//! server, and a server that is not known to be warm counts as cold.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::pacer::Pacer;
use crate::core::route::servers::Server;
use crate::core::route::servers::Servers;
use crate::core::route::servers::cold::share::Share;
use crate::core::time::Time;

pub mod news;
mod pacing;
pub mod report;
pub mod share;

/// Longest time for which one statement makes a server count as cold.
pub const MAX_COLD: Duration = Duration::from_secs(60);

/// Age of the last confirmation from the store at which no server is known to be warm any
/// more.
///
/// The store confirms every 2 s while nothing changes, and the news of it pass two other
/// nodes in rounds of 0.5 s, one of which may be lost.
const MAX_CONFIRM_AGE: Duration = Duration::from_secs(4);

/// Time without any activity of this node after which it may have missed changes.
///
/// The node is active at least every 500 ms.
const PAUSE_GAP: Duration = Duration::from_millis(750);

/// Time after a pause for which all servers count as cold, in which the other nodes repeat
/// their news twice.
const PAUSE_TIME: Duration = Duration::from_millis(1_200);

/// Time for which a server whose connection broke counts as cold.
///
/// It may have started again, which the store reports within this time.
const DOUBT_TIME: Duration = Duration::from_secs(2);

/// Time for which a listing cannot end what this node has learned, since it may be read
/// from a cache of the store.
const LISTING_AGE: Duration = Duration::from_secs(2);

/// How the servers of a service behave after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which a server is cold after its start.
    pub time: Duration,
    /// Requests per second that a cold server tolerates from all nodes together.
    pub rate: f64,
}

/// How far the requests at a cold server may exceed the tolerated rate in any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Multiple of the rate that the server may get in a second.
    pub ratio: f64,
    /// Requests that it may get beyond that.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            ratio: 1.5,
            slack: 5.0,
        }
    }
}

/// What a server or its record states about the time for which it stays cold.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Stated {
    /// Nothing.
    #[default]
    Missing,
    /// Something that is no length of time.
    Invalid(Name),
    /// The time; zero if the server is warm.
    For(Duration),
}

/// Where the knowledge about a server comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Only the existence of the server is known.
    Unknown,
    /// A listing of the store.
    Listing,
    /// A change of the server's record in the store.
    Record,
    /// The server's response to a health probe.
    Health,
    /// Another node.
    Peer,
    /// A connection to the server broke.
    Connection,
    /// The store has not confirmed anything recently; concerns all servers.
    Store,
    /// This node was paused; concerns all servers.
    Pause,
}

impl Source {
    /// Returns the label used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Source::Unknown => "unknown",
            Source::Listing => "listing",
            Source::Record => "record",
            Source::Health => "health",
            Source::Peer => "peer",
            Source::Connection => "connection",
            Source::Store => "store_silent",
            Source::Pause => "paused",
        }
    }
}

/// Why a server counts as cold, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Coldness {
    /// Where the knowledge comes from.
    pub source: Source,
    /// Time for which the server still counts as cold, if that is known.
    pub left: Option<Duration>,
    /// Time since this was learned.
    pub age: Duration,
}

/// What this node knows of the temperature of one server.
#[derive(Clone, Debug)]
pub(super) struct Knowledge {
    /// How servers of its service start, if they are cold for some time.
    rule: Option<ColdStart>,
    source: Source,
    /// Time until which the server counts as cold.
    until: Time,
    /// Time at which that was learned.
    learned: Time,
    /// Time that the last listing or change of the record stated.
    record: Stated,
    /// Until when a broken connection makes the server count as cold, and since when.
    doubt: Option<(Time, Time)>,
    share: Share,
    pacer: Option<Pacer>,
    /// Paces the requests that the server gets at least, so that it becomes warm.
    least: Option<Pacer>,
    /// Whether the log says that the server is cold.
    is_logged: bool,
    /// Whether an invalid or bounded statement was logged.
    is_ignored_logged: bool,
}

impl Knowledge {
    /// Creates the knowledge about a server of which nothing is known.
    pub(super) fn new() -> Self {
        Self {
            rule: None,
            source: Source::Unknown,
            until: Time::default(),
            learned: Time::default(),
            record: Stated::Missing,
            doubt: None,
            share: Share::Unknown,
            pacer: None,
            least: None,
            is_logged: false,
            is_ignored_logged: false,
        }
    }

    fn own_coldness(&self, now: Time) -> Option<Coldness> {
        let (source, until, since) = match self.doubt {
            Some((until, since)) if until > now.max(self.until) => {
                (Source::Connection, until, since)
            }
            _ => (self.source, self.until, self.learned),
        };
        let is_new = self.learned == Time::default();
        (is_new || until > now).then(|| Coldness {
            source,
            left: (!is_new).then(|| until.since(now)),
            age: now.since(since),
        })
    }

    /// Sets what is known, and holds back the requests of this node if the server was warm.
    fn learn(&mut self, source: Source, until: Time, learned: Time, now: Time) {
        let was_warm = self.until <= now;
        (self.source, self.until, self.learned) = (source, until, learned);
        if was_warm && until > now {
            // The nodes have sent to it as to a warm server until now.
            self.drain(now);
        }
    }

    /// Returns whether a server that is cold itself has not had its least part of the
    /// requests of this node.
    fn is_use_due(&self, now: Time) -> bool {
        let is_starting = self.rule.is_some() && self.until > now;
        let least = self.least.as_ref();
        is_starting && least.is_some_and(|least| least.wait(now).is_zero())
    }

    fn drain(&mut self, now: Time) {
        if let Some(pacer) = &mut self.pacer {
            pacer.drain(now);
        }
    }
}

/// What this node knows of cold servers in general.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    rules: NameMap<ColdStart>,
    tolerance: Tolerance,
    started_at: Option<Time>,
    /// Time at which the store was last known to have reported all changes.
    confirmed_at: Time,
    /// Time at which this node itself last learned that from the store.
    answered_at: Time,
    /// Time of the last activity of this node.
    active_at: Option<Time>,
    paused_until: Time,
    /// Whether the shares were computed while the others may not have known this node.
    was_joining: bool,
    last_told: Option<Name>,
    reports: report::Reports,
}

impl Fleet {
    fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Returns why all servers count as cold, if they do.
    fn coldness(&self, now: Time) -> Option<Coldness> {
        if self.paused_until > now {
            let left = self.paused_until.since(now);
            return Some(Coldness {
                source: Source::Pause,
                left: Some(left),
                age: PAUSE_TIME.saturating_sub(left),
            });
        }
        let age = now.since(self.confirmed_at);
        (age > MAX_CONFIRM_AGE).then_some(Coldness {
            source: Source::Store,
            left: None,
            age,
        })
    }
}

impl Servers {
    /// Sets how the servers of each service start, and what a cold server may get.
    pub fn set_cold_starts(&mut self, rules: NameMap<ColdStart>, tolerance: Tolerance, now: Time) {
        self.record_activity(now);
        if self.cold.rules == rules && self.cold.tolerance == tolerance {
            return;
        }
        self.cold.rules = rules;
        self.cold.tolerance = tolerance;
        for (_, server) in self.by_id.iter_mut() {
            server.cold.rule = self.cold.rules.get(&server.vm.service).copied();
            if server.cold.source == Source::Unknown
                && let Some(rule) = server.cold.rule
            {
                server.cold.until = server.cold.learned + rule.time.min(MAX_COLD);
            }
        }
        self.share_cold(now);
    }

    /// Returns whether any service has servers that start cold.
    pub fn has_cold_starts(&self) -> bool {
        !self.cold.rules.is_empty()
    }

    /// Records that this node runs, and notices if it was paused.
    ///
    /// What it was told until then may be outdated, so it has to be told again.
    pub fn record_activity(&mut self, now: Time) {
        self.cold.started_at.get_or_insert(now);
        let before = self.cold.active_at.replace(now);
        if before.is_some_and(|before| now.since(before) > PAUSE_GAP) {
            self.cold.paused_until = now + PAUSE_TIME;
            self.cold.confirmed_at = Time::default();
        }
    }

    /// Records that the store has reported all changes to this node up to `at`.
    pub fn confirm_cold(&mut self, at: Time) {
        self.cold.answered_at = self.cold.answered_at.max(at);
        self.cold.confirm(at);
    }

    /// Records since when servers are known that were listed for the first time.
    pub fn note_new(&mut self, now: Time) {
        for (_, server) in self.by_id.iter_mut() {
            let known = &mut server.cold;
            known.rule = self.cold.rules.get(&server.vm.service).copied();
            if known.learned != Time::default() {
                continue;
            }
            known.learned = now;
            if let Some(rule) = known.rule {
                known.until = now + rule.time.min(MAX_COLD);
            }
        }
    }

    /// Records what a server, or its record in the store, states.
    pub fn record_cold(&mut self, id: &str, stated: &Stated, source: Source, now: Time) {
        let Some(server) = self.by_id.get_mut(id) else {
            return;
        };
        let known = &mut server.cold;
        let is_record = matches!(source, Source::Listing | Source::Record);
        if is_record {
            let is_same = known.record == *stated;
            known.record = stated.clone();
            // A listing repeats what was stated before; only a change states it anew.
            let is_repeated = is_same && source == Source::Listing;
            let is_recent = known.source != Source::Unknown
                && source == Source::Listing
                && now.since(known.learned) < LISTING_AGE;
            let is_warm = *stated == Stated::For(Duration::ZERO);
            if (is_repeated && !is_warm) || (is_warm && is_recent) {
                return;
            }
        }
        let time = match stated {
            Stated::Missing => return,
            Stated::Invalid(value) => {
                let is_new = !std::mem::replace(&mut known.is_ignored_logged, true);
                self.cold.reports.ignore(id, value, is_new);
                return;
            }
            Stated::For(time) => *time,
        };
        if time > MAX_COLD {
            let is_new = !std::mem::replace(&mut known.is_ignored_logged, true);
            let value = format!("{} ms", time.as_millis());
            self.cold.reports.ignore(id, &value, is_new);
        }
        known.learn(source, now + time.min(MAX_COLD), now, now);
        if time.is_zero() {
            known.doubt = None;
        }
    }

    /// Records that a connection to a server broke, which may have started again.
    pub fn doubt_warmth(&mut self, id: &str, now: Time) {
        if let Some(server) = self.by_id.get_mut(id)
            && server.cold.rule.is_some()
        {
            server.cold.drain(now);
            server.cold.doubt = Some((now + DOUBT_TIME, now));
        }
    }

    /// Returns why a server counts as cold, or `None` if it is warm or its service has no
    /// cold servers.
    pub fn coldness(&self, id: &str, now: Time) -> Option<Coldness> {
        self.coldness_of(self.by_id.get(id)?, now)
    }

    /// Returns whether a server itself is cold, as far as anything is known of it.
    pub fn is_starting(&self, id: &str, now: Time) -> bool {
        let known = self.by_id.get(id).map(|server| &server.cold);
        known.is_some_and(|known| known.rule.is_some() && known.until > now)
    }

    pub(super) fn coldness_of(&self, server: &Server, now: Time) -> Option<Coldness> {
        server.cold.rule?;
        let own = server.cold.own_coldness(now);
        own.or_else(|| self.cold.coldness(now))
    }
}
