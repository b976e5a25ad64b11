//! What the nodes of a deployment know of each other.
//!
//! Each node says a few things of itself in a [`Status`], several times a
//! second. A status only replaces an older one of the same node, so the order
//! in which statuses arrive does not matter, and any node may pass on those of
//! others.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::fleet::load::Traffic;
use crate::core::lease::Lease;
use crate::core::moves::detector::Evidence;
use crate::core::retry::crash::Crash;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::core::usage::Counts;

/// Silence after which a node is taken to be away: five heartbeats.
pub const AWAY_AFTER: Duration = Duration::from_millis(2_500);

/// Silence after which a node no longer has a share of the limits.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Time for which the counts of a node that has stopped are kept.
const KEEP_COUNTS: Duration = Duration::from_secs(30);

/// What a node can do at the moment.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Phase {
    /// It cannot serve yet.
    #[default]
    Starting,
    /// It serves, but has not heard from the platform's store for a while.
    Stale,
    /// It serves.
    Ready,
    /// It is stopping.
    Leaving,
}

/// How a workspace used its quota at one node.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Used {
    /// Units asked for lately, a second.
    pub demand: f64,
    /// Units admitted since the node started.
    pub admitted: f64,
}

/// What a node says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Name of the node.
    pub node: Name,
    /// Grows with each start of the node.
    pub incarnation: u64,
    /// Grows with each status of an incarnation.
    pub seq: u64,
    /// Failure domain.
    pub domain: Name,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// What the node can do.
    pub phase: Phase,
    /// Time of day at the node.
    pub time: Time,
    /// The lease of the duties, if the node holds it.
    pub lease: Option<Lease>,
    /// Use of quotas, by workspace.
    pub used: Table<Used>,
    /// What the node is asked for, by service.
    pub traffic: Table<Traffic>,
    /// Requests that began to run, by window and workspace.
    pub usage: Vec<Counts>,
    /// Backend servers that went down lately under a request.
    pub crashes: Vec<Crash>,
    /// Judged answers of new versions, by service.
    pub judged: Table<Evidence>,
    /// Faults of new versions that were found, by service and version.
    pub vetoes: Table<Name>,
}

/// Statuses in one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Beat {
    /// The status of the sender.
    pub own: Status,
    /// Statuses of others, passed on.
    pub others: Vec<Status>,
}

#[derive(Clone, Debug)]
struct Row {
    status: Status,
    heard: Time,
    /// Time of day there less that here, in microseconds.
    offset: Option<i64>,
}

/// The counts of a process that has stopped.
#[derive(Clone, Debug)]
struct Past {
    counts: Vec<Counts>,
    until: Time,
}

/// The other nodes as seen from one of them.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    rows: Table<Row>,
    past: Vec<Past>,
    /// Units admitted elsewhere that were not taken out yet, by workspace.
    gained: Table<f64>,
}

impl Peers {
    /// Creates a view without other nodes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over a status and returns whether it was newer than the one known.
    pub fn merge(&mut self, status: Status, now: Time) -> bool {
        let Some(row) = self.rows.get_mut(&status.node) else {
            let row = Row {
                heard: now,
                offset: None,
                status: status.clone(),
            };
            self.rows.insert(status.node.clone(), row);
            return true;
        };
        let known = (row.status.incarnation, row.status.seq);
        if (status.incarnation, status.seq) <= known {
            return false;
        }
        let is_same = status.incarnation == known.0;
        for (workspace, used) in status.used.iter() {
            let before = row.status.used.get(workspace).filter(|_| is_same);
            let before = before.map_or(0.0, |used| used.admitted);
            *self.gained.get_or_insert_with(workspace, || 0.0) += used.admitted - before;
        }
        if !is_same {
            self.past.push(Past {
                counts: std::mem::take(&mut row.status.usage),
                until: now + KEEP_COUNTS,
            });
            row.offset = None;
        }
        row.status = status;
        row.heard = now;
        self.past.retain(|past| past.until > now);
        true
    }

    /// Records the time of day of a node from which a status came directly.
    pub fn record_time(&mut self, node: &str, theirs: Time, mine: Time) {
        if let Some(row) = self.rows.get_mut(node) {
            row.offset = Some(theirs.0 as i64 - mine.0 as i64);
        }
    }

    /// Forgets a node that was removed for good.
    pub fn remove(&mut self, node: &str, now: Time) {
        if let Some(row) = self.rows.remove(node) {
            self.past.push(Past {
                counts: row.status.usage,
                until: now + KEEP_COUNTS,
            });
        }
    }

    /// Returns the middle of all clocks less the clock here, in microseconds.
    ///
    /// A clock that has jumped is outvoted by the others.
    pub fn clock_offset(&self, now: Time) -> i64 {
        let mut offsets: Vec<i64> = self
            .rows
            .iter()
            .filter(|(_, row)| is_live(row, now))
            .filter_map(|(_, row)| row.offset)
            .collect();
        offsets.push(0);
        offsets.sort_unstable();
        offsets[offsets.len() / 2]
    }

    /// Iterates over the nodes that were heard lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Status> {
        self.rows
            .iter()
            .filter(move |(_, row)| is_live(row, now))
            .map(|(_, row)| &row.status)
    }

    /// Iterates over the nodes that have a share of the limits.
    ///
    /// A node that hears fewer than half of the others may be cut off itself.
    /// It then goes on counting all of them.
    pub fn sharing(&self, now: Time) -> impl Iterator<Item = &Status> {
        let is_heard = move |row: &Row| now.since(row.heard) < FORGET_AFTER;
        let heard = self.rows.iter().filter(|(_, row)| is_heard(row)).count();
        let is_cut = heard * 2 < self.rows.len();
        self.rows
            .iter()
            .filter(move |(_, row)| is_cut || is_heard(row))
            .map(|(_, row)| &row.status)
    }

    /// Returns the lease of the duties as its holder last told it.
    pub fn lease(&self) -> Option<&Lease> {
        let leases = self
            .rows
            .iter()
            .filter_map(|(_, row)| row.status.lease.as_ref());
        leases.max_by_key(|lease| (lease.fence, lease.renewal))
    }

    /// Returns how many other nodes share the limits, and how they use the
    /// quotas: their demand, and what they admitted since the last call.
    pub fn take_used(&mut self, now: Time) -> (usize, Table<Used>) {
        let mut sum: Table<Used> = Table::new();
        let mut nodes = 0;
        for status in self.sharing(now) {
            nodes += 1;
            for (workspace, used) in status.used.iter() {
                sum.get_or_insert_with(workspace, Used::default).demand += used.demand;
            }
        }
        for (workspace, gained) in std::mem::take(&mut self.gained).iter() {
            sum.get_or_insert_with(workspace, Used::default).admitted = *gained;
        }
        (nodes, sum)
    }

    /// Returns the statuses that were heard last, to pass them on.
    pub fn freshest(&self, count: usize, now: Time) -> Vec<Status> {
        let mut rows: Vec<&Row> = self
            .rows
            .iter()
            .map(|(_, row)| row)
            .filter(|row| is_live(row, now))
            .collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.heard));
        rows.truncate(count);
        rows.into_iter().map(|row| row.status.clone()).collect()
    }

    /// Iterates over the counts of all other nodes, those that stopped included.
    pub fn counts(&self) -> impl Iterator<Item = &Counts> {
        let present = self.rows.iter().flat_map(|(_, row)| &row.status.usage);
        let past = self.past.iter().flat_map(|past| &past.counts);
        present.chain(past)
    }

    /// Returns the phase of a node that was heard lately.
    pub fn phase(&self, node: &str, now: Time) -> Option<Phase> {
        let row = self.rows.get(node).filter(|row| is_live(row, now))?;
        Some(row.status.phase)
    }

    /// Returns the sorted names of the nodes that were heard within `span`.
    pub fn heard(&self, now: Time, span: Duration) -> Vec<Name> {
        self.rows
            .iter()
            .filter(|(_, row)| now.since(row.heard) < span)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the names of all known nodes.
    pub fn names(&self) -> Vec<Name> {
        self.rows.iter().map(|(name, _)| name.clone()).collect()
    }
}

fn is_live(row: &Row, now: Time) -> bool {
    now.since(row.heard) < AWAY_AFTER
}
