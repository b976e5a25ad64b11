//! Facts that nodes flood to each other.
//!
//! A fact is soft state: losing all of them loses nothing that must last,
//! because what must last is kept in the platform's object API.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::member::Member;
use crate::core::member::State;
use crate::core::moves;
use crate::core::retry::crash::Crash;
use crate::core::time::Time;

/// Time for which most facts are kept.
const RETENTION: Duration = Duration::from_secs(600);

/// Time after the start of a move for which its facts are kept.
const MOVE_RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Facts kept at the same time.
const MAX_FACTS: usize = 4_096;

/// One thing that every node should know soon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Fact {
    /// A node's own account of itself.
    Member(Member),
    /// A node does not hear a neighbour any more.
    Suspect {
        /// The neighbour.
        subject: Name,
        /// The incarnation that is not heard.
        incarnation: u64,
        /// The node that does not hear it.
        observer: Name,
        /// Failure domain of the observer.
        domain: Name,
        /// When the observer began to suspect it.
        at: Time,
    },
    /// What is known about a version move.
    Move {
        /// Name of the move.
        name: Name,
        /// Start of the move, which tells apart moves of the same name.
        start_ms: u64,
        /// The facts.
        facts: moves::Facts,
    },
    /// A request took down a backend server.
    Crash(Crash),
    /// A backend server is leaving.
    Notice {
        /// Name of the VM.
        server: Name,
        /// When the platform takes it.
        until: Time,
    },
    /// The platform's list of VMs has changed.
    List {
        /// Revision of the list.
        revision: u64,
    },
    /// A configuration is in force at the node that sent this.
    Config {
        /// The configuration number.
        number: u64,
    },
}

/// Identifies what a fact is about; a newer fact replaces an older one.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Key {
    Member(Name),
    Suspect(Name, Name),
    Move(Name, u64),
    Crash(u64, Name),
    Notice(Name),
    Config,
    List,
}

impl Fact {
    fn key(&self) -> Key {
        match self {
            Fact::Member(member) => Key::Member(member.id.clone()),
            Fact::Suspect {
                subject, observer, ..
            } => Key::Suspect(subject.clone(), observer.clone()),
            Fact::Move { name, start_ms, .. } => Key::Move(name.clone(), *start_ms),
            Fact::Crash(crash) => Key::Crash(crash.fingerprint.0, crash.server.clone()),
            Fact::Notice { server, .. } => Key::Notice(server.clone()),
            Fact::Config { .. } => Key::Config,
            Fact::List { .. } => Key::List,
        }
    }

    /// Returns until when the fact is kept; `None` means for good.
    ///
    /// The time is part of the fact, so that every node drops it at the same
    /// time and none gives it back to another.
    fn expiry(&self) -> Option<Time> {
        match self {
            Fact::Member(member) if member.state == State::Gone => Some(member.at + RETENTION),
            Fact::Suspect { at, .. } => Some(*at + RETENTION),
            Fact::Crash(crash) => Some(crash.at + RETENTION),
            Fact::Notice { until, .. } => Some(*until + RETENTION),
            Fact::Move { start_ms, .. } => Some(Time::from_millis(*start_ms) + MOVE_RETENTION),
            Fact::Member(_) | Fact::List { .. } | Fact::Config { .. } => None,
        }
    }

    fn is_expired(&self, now: Time) -> bool {
        self.expiry().is_some_and(|expiry| now >= expiry)
    }

    /// Merges `other`, a fact of the same key, and returns whether it was news.
    fn merge(&mut self, other: &Fact) -> bool {
        let is_newer = match (&mut *self, other) {
            (Fact::Member(own), Fact::Member(new)) => {
                (new.incarnation, new.state) > (own.incarnation, own.state)
            }
            (
                Fact::Suspect { incarnation, .. },
                Fact::Suspect {
                    incarnation: new, ..
                },
            ) => new > incarnation,
            (Fact::Move { facts, .. }, Fact::Move { facts: new, .. }) => {
                return facts.merge(new);
            }
            (Fact::Crash(own), Fact::Crash(new)) => new.at < own.at,
            (Fact::Notice { until, .. }, Fact::Notice { until: new, .. }) => new < until,
            (Fact::Config { number }, Fact::Config { number: new }) => new > number,
            (Fact::List { revision }, Fact::List { revision: new }) => new > revision,
            _ => false,
        };
        if is_newer {
            *self = other.clone();
        }
        is_newer
    }
}

#[derive(Clone, Debug)]
struct Row {
    key: Key,
    fact: Fact,
    hash: u64,
}

impl Row {
    fn new(key: Key, fact: Fact) -> Self {
        let hash = hash_of(&fact);
        Self { key, fact, hash }
    }
}

fn hash_of(fact: &Fact) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{fact:?}").as_bytes())
}

/// The facts that a node holds.
///
/// # Invariants
///
/// `rows` is sorted by key, and no key stands twice. `digest` is the exclusive
/// or of the hashes of all rows, so that one change costs one hash.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    rows: Vec<Row>,
    digest: u64,
}

impl Gossip {
    /// Creates a store without facts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a fact and returns it, as now held, if it must be passed on.
    pub fn merge(&mut self, fact: &Fact, now: Time) -> Option<Fact> {
        if fact.is_expired(now) {
            return None;
        }
        let key = fact.key();
        // INVARIANT: the digest changes with the hash of the row.
        match self.rows.binary_search_by(|row| row.key.cmp(&key)) {
            Ok(at) => {
                let row = &mut self.rows[at];
                if !row.fact.merge(fact) {
                    return None;
                }
                self.digest ^= row.hash;
                row.hash = hash_of(&row.fact);
                self.digest ^= row.hash;
                Some(row.fact.clone())
            }
            Err(_) if self.rows.len() >= MAX_FACTS => None,
            Err(at) => {
                let row = Row::new(key, fact.clone());
                self.digest ^= row.hash;
                self.rows.insert(at, row);
                Some(fact.clone())
            }
        }
    }

    /// Drops the facts whose time is over.
    pub fn expire(&mut self, now: Time) {
        let digest = &mut self.digest;
        self.rows.retain(|row| {
            let is_expired = row.fact.is_expired(now);
            if is_expired {
                *digest ^= row.hash;
            }
            !is_expired
        });
    }

    /// Returns all facts.
    pub fn facts(&self) -> Vec<Fact> {
        self.rows.iter().map(|row| row.fact.clone()).collect()
    }

    /// Returns a digest that is equal at two nodes that hold the same facts.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of facts.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no fact is held.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
