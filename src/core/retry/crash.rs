//! Tracking of requests that crash the backend servers that run them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::fingerprint::Fingerprint;
use crate::core::hash;
use crate::core::time::Time;

/// Number of servers in the whole system that a request may crash before it is blocked.
pub const MAX_CRASHED_SERVERS: usize = 2;

/// Time for which a crash is remembered.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Time after a crash for which the requests that ran on the server are isolated.
const ISOLATION_TIME: Duration = Duration::from_secs(15);

/// Time for which a crash is published to other nodes.
const PUBLISH_TIME: Duration = Duration::from_secs(5);

/// Maximum number of crashes published to other nodes at a time.
const MAX_PUBLISHED: usize = 16;

/// Maximum number of crashes remembered.
const MAX_CRASHES: usize = 1_024;

/// Crash of one server while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Name of the server.
    pub server: Name,
    /// Time at which the crash was detected.
    pub at: Time,
}

/// Remembers the recent crashes known at a node.
///
/// # Invariants
///
/// `rows` is sorted by fingerprint and server, without repeats.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    rows: Vec<Crash>,
}

impl CrashHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a crash and returns whether it was new.
    pub fn record(&mut self, crash: Crash) -> bool {
        self.expire(crash.at);
        let key = |row: &Crash| (row.fingerprint, row.server.clone());
        match self.rows.binary_search_by_key(&key(&crash), key) {
            Ok(_) => false,
            Err(index) => {
                self.rows.insert(index, crash);
                true
            }
        }
    }

    /// Returns the crashes that are recent enough to be published.
    pub fn recent(&self, now: Time) -> Vec<Crash> {
        let is_recent = |row: &&Crash| now.since(row.at) < PUBLISH_TIME;
        self.rows
            .iter()
            .filter(is_recent)
            .take(MAX_PUBLISHED)
            .cloned()
            .collect()
    }

    /// Returns the servers that crashed while running the request.
    pub fn crashed_servers(&self, fingerprint: Fingerprint) -> Vec<Name> {
        let from = self
            .rows
            .partition_point(|row| row.fingerprint < fingerprint);
        self.rows[from..]
            .iter()
            .take_while(|row| row.fingerprint == fingerprint)
            .map(|row| row.server.clone())
            .collect()
    }

    /// Returns the requests that may have crashed a server recently, sorted.
    pub fn suspected(&self, now: Time) -> Vec<Fingerprint> {
        let mut suspects: Vec<Fingerprint> = self
            .rows
            .iter()
            .filter(|row| now.since(row.at) < ISOLATION_TIME)
            .map(|row| row.fingerprint)
            .collect();
        suspects.dedup();
        suspects
    }

    /// Returns the index in `servers` of the server for the suspected request `fingerprint`.
    ///
    /// Suspected requests are isolated from each other: nodes that know the
    /// same crashes and servers assign each of them to a different server
    /// without coordination. If there are more suspected requests than servers,
    /// some of them share a server.
    pub fn assign(&self, fingerprint: Fingerprint, servers: &[Name], now: Time) -> Option<usize> {
        let mut free: Vec<usize> = (0..servers.len()).collect();
        for suspect in self.suspected(now) {
            let used = self.crashed_servers(suspect);
            let rank = |index: &usize| hash(&[&suspect.0.to_string(), &servers[*index]]);
            let best = free
                .iter()
                .copied()
                .filter(|index| !used.contains(&servers[*index]))
                .max_by_key(rank);
            if suspect == fingerprint {
                break;
            }
            if let Some(best) = best {
                free.retain(|index| *index != best);
            }
        }
        if free.is_empty() {
            free = (0..servers.len()).collect();
        }
        free.into_iter()
            .max_by_key(|index| hash(&[&fingerprint.0.to_string(), &servers[*index]]))
    }

    /// Returns whether the request must not run on another server.
    pub fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.crashed_servers(fingerprint).len() >= MAX_CRASHED_SERVERS
    }

    fn expire(&mut self, now: Time) {
        self.rows.retain(|row| now.since(row.at) < RETENTION);
        if self.rows.len() >= MAX_CRASHES {
            let oldest = (0..self.rows.len()).min_by_key(|&index| self.rows[index].at);
            if let Some(index) = oldest {
                self.rows.remove(index);
            }
        }
    }
}
