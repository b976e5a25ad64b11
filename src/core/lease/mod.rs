//! Leases: which node has a duty, by an object with a fencing number.
//!
//! A duty is one of the jobs that only one node at a time should do for a
//! service, such as giving orders to its backend servers. The lease lies in the
//! platform's object API and is taken, renewed and given back by conditional
//! updates. The holder trusts it only until its own clock says that a margin
//! is left, and asks again after every wait.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::config::Fencing;
use crate::core::time::Time;

pub mod version_order;

/// Time for which a lease is given.
pub const TERM: Duration = Duration::from_secs(15);

/// Time between two renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Part of the term that the holder does not use.
///
/// It covers clocks that run at different speeds and the time that a write
/// takes to come back.
pub const SAFETY_MARGIN: Duration = Duration::from_secs(3);

/// Longest time for which an order may be on its way.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Part of the term after which a lease that was not seen to move is read: a
/// renewal, and the time until others are told of it.
const OVERDUE_PART: f64 = 0.55;

/// The times of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timings {
    /// Time for which the lease is given.
    pub term: Duration,
    /// Time between two renewals.
    pub renewal_interval: Duration,
    /// Part of the term that the holder does not use.
    pub safety_margin: Duration,
    /// Longest time for which an order may be on its way.
    pub order_timeout: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            term: TERM,
            renewal_interval: RENEWAL_INTERVAL,
            safety_margin: SAFETY_MARGIN,
            order_timeout: ORDER_TIMEOUT,
        }
    }
}

/// The content of a lease object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// The node that has the duty.
    pub holder: Name,
    /// Raised each time the duty changes hands.
    pub fence: u64,
    /// Raised at each renewal, so that others see the lease move.
    pub renewal: u64,
}

impl Lease {
    /// Returns the lease as its holder gives it back.
    #[must_use]
    pub fn released(mut self) -> Self {
        self.holder = Name::default();
        self
    }

    /// Returns whether the last holder has given the lease back.
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }
}

/// What a node should do about a duty now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write this lease, if the object still has the version last read.
    Write(Lease),
    /// Nothing.
    Wait,
    /// Act as the holder: the lease is held until this time.
    Lead {
        /// The fencing number that orders carry.
        fence: u64,
        /// When to stop acting.
        until: Time,
    },
}

/// A lease as last read, with the time since it was last seen to move.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Seen {
    lease: Lease,
    moved_at: Time,
}

/// One node's view of one duty.
///
/// Other nodes' clocks do not matter: a lease is over when it was not seen to
/// move for a whole term by this node's own clock.
#[derive(Clone, Debug)]
pub struct LeaderElector {
    me: Name,
    fencing: Fencing,
    timings: Timings,
    seen: Option<Seen>,
    held_until: Option<Time>,
    acts_from: Time,
    last_write: Option<Time>,
    looked_at: Time,
}

impl LeaderElector {
    /// Creates the view of a duty of which nothing is known.
    pub fn new(me: Name, fencing: Fencing) -> Self {
        Self {
            me,
            fencing,
            timings: Timings::default(),
            seen: None,
            held_until: None,
            acts_from: Time::default(),
            last_write: None,
            looked_at: Time::default(),
        }
    }

    /// Sets the times of the lease.
    #[must_use]
    pub fn with_timings(mut self, timings: Timings) -> Self {
        self.timings = timings;
        self
    }

    /// Takes over the lease object as read at `now`.
    pub fn record_read(&mut self, lease: Option<Lease>, now: Time) {
        self.looked_at = now;
        let Some(lease) = lease else {
            self.seen = None;
            return;
        };
        if lease.holder != self.me {
            self.held_until = None;
        }
        let is_same = self.seen.as_ref().is_some_and(|seen| seen.lease == lease);
        if !is_same {
            self.seen = Some(Seen {
                lease,
                moved_at: now,
            });
        }
    }

    /// Takes over that a write was confirmed which was sent at `sent`.
    ///
    /// The term counts from the sending, because others may have seen the
    /// write long before its reply came.
    pub fn record_written(&mut self, lease: Lease, sent: Time) {
        let was_held = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.lease.holder == self.me && seen.lease.fence == lease.fence);
        if !was_held && self.fencing == Fencing::Ignored {
            // Servers that do not check could still get an order of the holder
            // before, sent at the end of its term.
            self.acts_from = sent + self.timings.safety_margin + self.timings.order_timeout;
        }
        self.held_until = Some(sent + (self.timings.term - self.timings.safety_margin));
        self.seen = Some(Seen {
            lease,
            moved_at: sent,
        });
    }

    /// Takes over that a write failed or that its outcome is not known.
    pub fn invalidate(&mut self) {
        self.looked_at = Time::default();
        self.held_until = None;
    }

    /// Returns what to do now; `wanted` says whether this node should have the duty.
    pub fn next_action(&mut self, wanted: bool, now: Time) -> Action {
        if let Some(until) = self.held_until {
            return self.step_held(wanted, until, now);
        }
        if !wanted {
            return Action::Wait;
        }
        let next = match &self.seen {
            None => Lease {
                holder: self.me.clone(),
                fence: 1,
                renewal: 0,
            },
            Some(seen)
                if !seen.lease.is_released() && now.since(seen.moved_at) < self.timings.term =>
            {
                return Action::Wait;
            }
            Some(seen) => Lease {
                holder: self.me.clone(),
                fence: seen.lease.fence + 1,
                renewal: 0,
            },
        };
        self.write(next, now)
    }

    fn step_held(&mut self, wanted: bool, until: Time, now: Time) -> Action {
        let Some(seen) = &self.seen else {
            return Action::Wait;
        };
        if now >= until {
            // Paused or cut off for too long: the duty may be someone else's.
            self.held_until = None;
            return Action::Wait;
        }
        let is_due = self
            .last_write
            .is_none_or(|last| now.since(last) >= self.timings.renewal_interval);
        if wanted && is_due {
            let mut next = seen.lease.clone();
            next.renewal += 1;
            return self.write(next, now);
        }
        if now < self.acts_from || !wanted {
            return Action::Wait;
        }
        Action::Lead {
            fence: seen.lease.fence,
            until,
        }
    }

    fn write(&mut self, lease: Lease, now: Time) -> Action {
        self.last_write = Some(now);
        Action::Write(lease)
    }

    /// Returns whether an order that takes [`ORDER_TIMEOUT`] may be sent now.
    ///
    /// Asked again after every wait, just before the order goes out.
    pub fn may_send_order(&self, now: Time) -> bool {
        let holds = |until| now + self.timings.order_timeout <= until;
        self.held_until.is_some_and(holds) && now >= self.acts_from
    }

    /// Takes over the lease as another node tells it, which may be late.
    ///
    /// Only what is newer than what is known counts as a move of the lease.
    pub fn record_reported(&mut self, lease: Lease, now: Time) {
        let is_newer = self.seen.as_ref().is_none_or(|seen| {
            (lease.fence, lease.renewal) > (seen.lease.fence, seen.lease.renewal)
        });
        if is_newer {
            self.record_read(Some(lease), now);
        }
    }

    /// Returns whether this node holds the lease.
    pub fn is_held(&self, now: Time) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Returns whether the lease could be taken, as far as is known.
    pub fn is_free(&self, now: Time) -> bool {
        self.seen.as_ref().is_none_or(|seen| {
            seen.lease.is_released() || now.since(seen.moved_at) >= self.timings.term
        })
    }

    /// Returns whether the lease was not seen to move for longer than renewals
    /// take to be told, so that it should be read.
    ///
    /// The last renewal before a holder fails may not have been told. A node that
    /// finds it only when the lease seems free has to wait for a term once more.
    pub fn is_stale(&self, now: Time) -> bool {
        let Some(seen) = &self.seen else { return true };
        let looked = self.looked_at.max(seen.moved_at);
        seen.lease.is_released() || now.since(looked) >= self.timings.term.mul_f64(OVERDUE_PART)
    }

    /// Returns the node that held the lease when it was last seen.
    pub fn holder(&self) -> Option<&Name> {
        self.seen.as_ref().map(|seen| &seen.lease.holder)
    }

    /// Returns the lease to write in order to give it back, if it is held.
    pub fn release(&mut self) -> Option<Lease> {
        self.held_until.take()?;
        self.seen.as_ref().map(|seen| seen.lease.clone().released())
    }

    /// Returns the fencing number of the lease last seen.
    pub fn fence(&self) -> u64 {
        self.seen.as_ref().map_or(0, |seen| seen.lease.fence)
    }
}

/// Returns whether the node with the incarnation `me` is the next to take a
/// lease that is free, beside nodes with the incarnations `others`.
///
/// A node that is not registered yet has the incarnation 0 and is never next.
/// The node that has run for longest has heard the most: what processes counted
/// that have stopped since, and how the load was.
pub fn is_next_holder(me: u64, mut others: impl Iterator<Item = u64>) -> bool {
    me > 0 && others.all(|other| me < other)
}
