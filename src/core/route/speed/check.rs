//! Changes to report: servers newly classified as slow or normal, and lost contact.

use std::time::Duration;

use crate::core::Name;
use crate::core::route::speed::Kind;
use crate::core::route::speed::Ratio;
use crate::core::route::speed::share;
use crate::core::route::speed::sources;
use crate::core::route::speed::table;
use crate::core::route::speed::table::MIN_SLOW_SAMPLES;
use crate::core::route::speed::table::SpeedTable;
use crate::core::time::Time;

/// Ratio from which on a server counts as slow, and below which it is normal again.
const SLOW_RATIO: f64 = 1.5;
const NORMAL_RATIO: f64 = 1.25;

/// Maximum number of changes that are kept to be reported.
const MAX_CHANGES: usize = 2;

/// Checks between two that drop what has decayed.
const PRUNE_CHECKS: u32 = 32;

/// Time without samples of its own after which a node does not miss those of others.
const IDLE_TIME: Duration = Duration::from_secs(3);

/// A server that is newly classified.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// Incarnation of the server.
    pub server: Name,
    /// What it is slow at.
    pub kind: Kind,
    /// Whether it is slow, or normal again.
    pub is_slow: bool,
    /// The ratio by which it was classified.
    pub ratio: Ratio,
}

/// What has changed since the last check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Checked {
    /// Servers that were newly classified.
    pub changes: Vec<SpeedChange>,
    /// Number of further changes, which are not listed.
    pub omitted: u32,
    /// Whether shares of other nodes arrive, if that has changed, and the age of the last.
    pub contact: Option<(bool, Duration)>,
}

impl SpeedTable {
    /// Classifies a server as slow or normal, and keeps the change to be reported.
    pub(super) fn classify(&mut self, place: usize, kind: Kind, now: Time) {
        let server = &self.servers[place];
        let Some(track) = server.tracks[kind as usize].as_deref() else {
            return;
        };
        let ratio = self.judge(track, now);
        let is_slow = match track.is_slow {
            true => ratio.value >= NORMAL_RATIO,
            false => ratio.value >= SLOW_RATIO && ratio.samples >= MIN_SLOW_SAMPLES,
        };
        if is_slow == track.is_slow {
            return;
        }
        let name = server.name.clone();
        let is_same = |row: &(Name, Kind)| row.0 == name && row.1 == kind;
        self.slow.retain(|row| !is_same(row));
        if is_slow {
            self.slow.push((name.clone(), kind));
        }
        if let Some(track) = self.servers[place].tracks[kind as usize].as_deref_mut() {
            track.is_slow = is_slow;
        }
        if self.changes.len() >= MAX_CHANGES {
            self.omitted += 1;
            return;
        }
        self.changes.push(SpeedChange {
            server: name,
            kind,
            is_slow,
            ratio,
        });
    }

    /// Updates what follows from the time alone, and returns what has changed.
    pub fn check(&mut self, now: Time) -> Checked {
        self.checks = self.checks.wrapping_add(1);
        self.sources.expire(now);
        self.uses_digest = self.sources.prefers_digest(now);
        self.refresh_fits(now);
        for (name, kind) in self.slow.clone() {
            if let Ok(place) = table::find_in(&self.servers, share::name_hash(&name), &name) {
                self.classify(place, kind, now);
            }
        }
        if self.checks.is_multiple_of(PRUNE_CHECKS) {
            for track in self.servers.iter_mut().flat_map(|row| &mut row.tracks) {
                if track.as_ref().is_some_and(|track| track.is_empty(now)) {
                    *track = None;
                }
            }
        }
        Checked {
            changes: std::mem::take(&mut self.changes),
            omitted: std::mem::take(&mut self.omitted),
            contact: self.contact_change(now),
        }
    }

    /// Returns whether other nodes are heard, if that has changed.
    ///
    /// Nodes without requests send nothing, so a node that has none either misses nothing.
    fn contact_change(&mut self, now: Time) -> Option<(bool, Duration)> {
        let age = now.since(self.sources.heard()?);
        let is_heard = age < sources::TIMEOUT;
        let is_active = now.since(self.recorded) < IDLE_TIME;
        if self.is_in_contact == Some(is_heard) || (!is_heard && !is_active) {
            return None;
        }
        let before = self.is_in_contact.replace(is_heard);
        before.map(|_| (is_heard, age))
    }
}
