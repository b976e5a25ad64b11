//! Facts that nodes disseminate by flooding.
//!
//! Facts are soft state: losing all of them loses no durable data, because
//! durable data is kept in the platform's object API.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::member::Member;
use crate::core::member::State;
use crate::core::moves;
use crate::core::retry::crash::Crash;
use crate::core::time::Time;

/// Retention of most facts that expire.
const RETENTION: Duration = Duration::from_secs(600);

/// Retention of the facts about a move, counted from its start.
const MOVE_RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Maximum number of facts in the store.
const MAX_FACTS: usize = 4_096;

/// Piece of information that is flooded to every node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Fact {
    /// State of a node, as announced by the node itself.
    Member(Member),
    /// A node no longer receives heartbeats from a neighbour.
    Suspect {
        /// The suspected neighbour.
        subject: Name,
        /// The incarnation that is suspected.
        incarnation: u64,
        /// The node that suspects it.
        observer: Name,
        /// Failure domain of the observer.
        domain: Name,
        /// Time at which the suspicion began.
        at: Time,
    },
    /// Facts about a version move.
    Move {
        /// Name of the move.
        name: Name,
        /// Start of the move, which distinguishes moves of the same name.
        start_ms: u64,
        /// Facts known about the move.
        facts: moves::Facts,
    },
    /// A request crashed a backend server.
    Crash(Crash),
    /// A backend server is leaving.
    Notice {
        /// Name of the VM.
        server: Name,
        /// Time at which the platform reclaims the VM.
        until: Time,
    },
    /// The platform's list of VMs has changed.
    List {
        /// Revision of the list.
        revision: u64,
    },
    /// A configuration has taken effect at the sender.
    Config {
        /// Number of the configuration.
        number: u64,
    },
}

/// Identifies the subject of a fact; a newer fact replaces an older one of the same key.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum FactKey {
    Member(Name),
    Suspect(Name, Name),
    Move(Name, u64),
    Crash(u64, Name),
    Notice(Name),
    Config,
    List,
}

impl Fact {
    fn key(&self) -> FactKey {
        match self {
            Fact::Member(member) => FactKey::Member(member.id.clone()),
            Fact::Suspect {
                subject, observer, ..
            } => FactKey::Suspect(subject.clone(), observer.clone()),
            Fact::Move { name, start_ms, .. } => FactKey::Move(name.clone(), *start_ms),
            Fact::Crash(crash) => FactKey::Crash(crash.fingerprint.0, crash.server.clone()),
            Fact::Notice { server, .. } => FactKey::Notice(server.clone()),
            Fact::Config { .. } => FactKey::Config,
            Fact::List { .. } => FactKey::List,
        }
    }

    /// Returns the time at which the fact expires, or `None` if it never does.
    ///
    /// The time is derived from the fact alone, so that every node drops it at
    /// the same time and no node sends it back to another.
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

    /// Merges `other`, a fact of the same key, and returns whether it changed this one.
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
struct StoredFact {
    key: FactKey,
    fact: Fact,
    hash: u64,
}

impl StoredFact {
    fn new(key: FactKey, fact: Fact) -> Self {
        let hash = hash_of(&fact);
        Self { key, fact, hash }
    }
}

fn hash_of(fact: &Fact) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{fact:?}").as_bytes())
}

/// Stores the facts that a node knows.
///
/// # Invariants
///
/// `rows` is sorted by key and contains no key twice. `digest` is the exclusive
/// or of the hashes of all rows, so that updating it for one change takes one
/// hash computation.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    rows: Vec<StoredFact>,
    digest: u64,
}

impl Gossip {
    /// Creates a store without facts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a fact and returns it, as now stored, if it must be forwarded.
    pub fn merge(&mut self, fact: &Fact, now: Time) -> Option<Fact> {
        if fact.is_expired(now) {
            return None;
        }
        let key = fact.key();
        // INVARIANT: the digest is updated with the hash of the changed row.
        match self.rows.binary_search_by(|row| row.key.cmp(&key)) {
            Ok(index) => {
                let row = &mut self.rows[index];
                if !row.fact.merge(fact) {
                    return None;
                }
                self.digest ^= row.hash;
                row.hash = hash_of(&row.fact);
                self.digest ^= row.hash;
                Some(row.fact.clone())
            }
            Err(_) if self.rows.len() >= MAX_FACTS => None,
            Err(index) => {
                let row = StoredFact::new(key, fact.clone());
                self.digest ^= row.hash;
                self.rows.insert(index, row);
                Some(fact.clone())
            }
        }
    }

    /// Drops the expired facts.
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

    /// Returns a digest that is equal on nodes that store the same facts.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of facts.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the store has no facts.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
