//! Leases that elect the node which performs the singleton duties.
//!
//! A duty is a task that only one node at a time should perform, such as
//! ordering backend servers. The lease is an object in the platform's object
//! API with a fencing token. It is acquired, renewed and released by
//! conditional updates. The holder relies on it only until a safety margin
//! before its end, by its own clock, and checks it again after every wait.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::config::Fencing;
use crate::core::time::Time;

pub mod fence;
pub mod version_order;

/// Duration of a lease.
pub const TERM: Duration = Duration::from_secs(15);

/// Time between two renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Last part of the term, which the holder does not use.
///
/// It covers differences in clock speed and the time until the reply to a write
/// arrives.
pub const SAFETY_MARGIN: Duration = Duration::from_secs(3);

/// Longest time that an order may take to reach its target.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Fraction of the term after which an unchanged lease is read again. It covers
/// a renewal and the time until other nodes learn of it.
const STALE_FRACTION: f64 = 0.55;

/// The durations of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timings {
    /// Duration of the lease.
    pub term: Duration,
    /// Time between two renewals.
    pub renewal_interval: Duration,
    /// Last part of the term, which the holder does not use.
    pub safety_margin: Duration,
    /// Longest time that an order may take to reach its target.
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
    /// The node that holds the lease.
    pub holder: Name,
    /// Fencing token, which is raised each time the holder changes.
    pub fence: u64,
    /// Counter that is raised at each renewal, so that other nodes see that the
    /// lease is still held.
    pub renewal: u64,
}

impl Lease {
    /// Returns the lease as its holder releases it.
    #[must_use]
    pub fn released(mut self) -> Self {
        self.holder = Name::default();
        self
    }

    /// Returns whether the last holder has released the lease.
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }
}

/// What a node should do next about the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write this lease if the object still has the version that was read last.
    Write(Lease),
    /// Do nothing.
    Wait,
    /// Act as the holder.
    Lead {
        /// The fencing token for orders.
        fence: u64,
        /// When to stop acting as the holder.
        until: Time,
    },
}

/// The last known lease and the time at which it was last seen to change.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Observed {
    lease: Lease,
    changed_at: Time,
}

/// Acquires and renews a lease on behalf of one node.
///
/// Clocks of other nodes do not matter: a lease has expired when it did not
/// change for a whole term by this node's own clock.
#[derive(Clone, Debug)]
pub struct LeaderElector {
    node: Name,
    fencing: Fencing,
    timings: Timings,
    observed: Option<Observed>,
    held_until: Option<Time>,
    lead_from: Time,
    last_write: Option<Time>,
    read_at: Time,
    /// Highest fencing token that is known to have been given out.
    ///
    /// The store may come back from an older copy, in which a used token is free again.
    highest_fence: u64,
    /// Era of the store that the next lease is written in.
    era: u64,
    /// Whether the lease was not read yet in this era.
    must_read: bool,
    /// Time until which no other node can acquire the lease that this node acquired.
    sole_until: Option<Time>,
}

impl LeaderElector {
    /// Creates an elector that has not read the lease yet.
    pub fn new(node: Name, fencing: Fencing) -> Self {
        Self {
            node,
            fencing,
            timings: Timings::default(),
            observed: None,
            held_until: None,
            lead_from: Time::default(),
            last_write: None,
            read_at: Time::default(),
            highest_fence: 0,
            era: 0,
            must_read: false,
            sole_until: None,
        }
    }

    /// Sets the durations of the lease.
    #[must_use]
    pub fn with_timings(mut self, timings: Timings) -> Self {
        self.timings = timings;
        self
    }

    /// Records the lease object as read at `now`.
    pub fn record_read(&mut self, lease: Option<Lease>, now: Time) {
        self.read_at = now;
        self.must_read = false;
        let Some(lease) = lease else {
            // The holder of a lease of an ended era may act until the end of its term.
            let era = self.era;
            let is_earlier = |observed: &Observed| fence::era_of(observed.lease.fence) < era;
            self.observed = self.observed.take().filter(is_earlier);
            return;
        };
        self.highest_fence = self.highest_fence.max(lease.fence);
        if lease.holder != self.node {
            self.held_until = None;
            self.sole_until = None;
        }
        let is_same = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.lease == lease);
        if !is_same {
            self.observed = Some(Observed {
                lease,
                changed_at: now,
            });
        }
    }

    /// Records that a write sent at `sent` succeeded.
    ///
    /// The term starts at the time of sending, because other nodes may have
    /// seen the write long before its reply arrived.
    pub fn record_written(&mut self, lease: Lease, sent: Time) {
        self.highest_fence = self.highest_fence.max(lease.fence);
        let was_held = self.observed.as_ref().is_some_and(|observed| {
            observed.lease.holder == self.node && observed.lease.fence == lease.fence
        });
        if !was_held && self.fencing == Fencing::Ignored {
            // Servers that do not check fencing tokens could still receive an
            // order that the previous holder sent at the end of its term.
            self.lead_from = sent + self.timings.safety_margin + self.timings.order_timeout;
        }
        self.held_until = Some(sent + (self.timings.term - self.timings.safety_margin));
        self.sole_until = Some(sent + (self.timings.term - self.timings.safety_margin / 2));
        self.observed = Some(Observed {
            lease,
            changed_at: sent,
        });
    }

    /// Records that the store is in a later era, in which no lease was read yet, and that
    /// this node no longer holds the lease of the ended one.
    ///
    /// Returns whether only this node can have held the lease until now, since it last
    /// acquired it. Another node may have held it in an era that this one has not seen.
    pub fn record_era(&mut self, era: u64, now: Time) -> bool {
        let is_next = era == self.era + 1;
        self.era = era;
        self.must_read = true;
        self.invalidate();
        let is_sole = |until| now < until;
        self.sole_until.take().is_some_and(is_sole) && is_next
    }

    /// Returns the era of the store that this node knows.
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Records that a write failed or has an unknown outcome, so that the lease
    /// is no longer relied on.
    pub fn invalidate(&mut self) {
        self.read_at = Time::default();
        self.held_until = None;
    }

    /// Returns the next action. `is_candidate` says whether this node should
    /// hold the lease.
    pub fn next_action(&mut self, is_candidate: bool, now: Time) -> Action {
        if let Some(until) = self.held_until {
            return self.next_action_held(is_candidate, until, now);
        }
        if !is_candidate {
            return Action::Wait;
        }
        if !self.is_free(now) {
            return Action::Wait;
        }
        let next = self.next_lease();
        // A write that fails may have taken effect.
        self.highest_fence = next.fence;
        self.write(next, now)
    }

    /// Returns the lease with which this node follows all holders that it knows of.
    fn next_lease(&self) -> Lease {
        Lease {
            holder: self.node.clone(),
            fence: fence::first(self.era).max(self.highest_fence + 1),
            renewal: 0,
        }
    }

    fn next_action_held(&mut self, is_candidate: bool, until: Time, now: Time) -> Action {
        let Some(observed) = &self.observed else {
            return Action::Wait;
        };
        if now >= until {
            // After a long pause or a network partition, another node may hold
            // the lease.
            self.held_until = None;
            return Action::Wait;
        }
        let is_due = self
            .last_write
            .is_none_or(|last| now.since(last) >= self.timings.renewal_interval);
        if is_candidate && is_due {
            let mut next = observed.lease.clone();
            next.renewal += 1;
            return self.write(next, now);
        }
        if now < self.lead_from || !is_candidate {
            return Action::Wait;
        }
        Action::Lead {
            fence: observed.lease.fence,
            until,
        }
    }

    fn write(&mut self, lease: Lease, now: Time) -> Action {
        self.last_write = Some(now);
        Action::Write(lease)
    }

    /// Returns whether an order that takes at most the order timeout may be
    /// sent now.
    ///
    /// This is checked after every wait, directly before an order is sent.
    pub fn may_send_order(&self, now: Time) -> bool {
        let holds = |until| now + self.timings.order_timeout <= until;
        self.held_until.is_some_and(holds) && now >= self.lead_from
    }

    /// Records the lease as another node reported it, possibly late.
    ///
    /// Only a newer lease than the last known one counts as a change.
    pub fn record_reported(&mut self, lease: Lease, now: Time) {
        let is_newer = self.observed.as_ref().is_none_or(|observed| {
            (lease.fence, lease.renewal) > (observed.lease.fence, observed.lease.renewal)
        });
        if is_newer {
            self.record_read(Some(lease), now);
        }
    }

    /// Returns whether this node holds the lease.
    pub fn is_held(&self, now: Time) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Returns whether the lease can be acquired, as far as this node knows.
    pub fn is_free(&self, now: Time) -> bool {
        self.observed.as_ref().is_none_or(|observed| {
            observed.lease.is_released()
                || self.is_own_earlier(&observed.lease)
                || now.since(observed.changed_at) >= self.timings.term
        })
    }

    /// Returns whether this node held the lease when the era of the store ended, so that
    /// no other node can act before it.
    pub fn held_before_era(&self) -> bool {
        let observed = self.observed.as_ref();
        observed.is_some_and(|observed| self.is_own_earlier(&observed.lease))
    }

    /// Returns whether a lease is one of this node in an ended era.
    fn is_own_earlier(&self, lease: &Lease) -> bool {
        lease.holder == self.node && fence::era_of(lease.fence) < self.era
    }

    /// Returns whether the lease did not change for longer than renewals take
    /// to be reported, so that it should be read.
    ///
    /// The last renewal before a holder fails may not have been reported. A
    /// node that finds it only when the lease seems free has to wait for
    /// another term.
    pub fn is_stale(&self, now: Time) -> bool {
        let Some(observed) = &self.observed else {
            return true;
        };
        let last_seen = self.read_at.max(observed.changed_at);
        self.must_read
            || observed.lease.is_released()
            || now.since(last_seen) >= self.timings.term.mul_f64(STALE_FRACTION)
    }

    /// Returns the holder of the last known lease.
    pub fn holder(&self) -> Option<&Name> {
        self.observed
            .as_ref()
            .map(|observed| &observed.lease.holder)
    }

    /// Returns the lease to write in order to release it, if this node holds
    /// it.
    pub fn release(&mut self) -> Option<Lease> {
        self.held_until.take()?;
        self.sole_until = None;
        self.observed
            .as_ref()
            .map(|observed| observed.lease.clone().released())
    }

    /// Returns the fencing token of the last known lease.
    pub fn fence(&self) -> u64 {
        self.observed
            .as_ref()
            .map_or(0, |observed| observed.lease.fence)
    }
}

/// Returns whether the node with `incarnation` is the next to acquire a free
/// lease, among nodes with the incarnations `others`.
///
/// A node that is not registered yet has the incarnation 0 and is never next.
/// The node that has run for the longest time has the most complete state: the
/// load history and the counts of processes that have stopped since.
pub fn is_next_holder(incarnation: u64, mut others: impl Iterator<Item = u64>) -> bool {
    incarnation > 0 && others.all(|other| incarnation < other)
}
