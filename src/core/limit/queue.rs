//! The queue before the backend servers of one service.

use std::time::Duration;

use crate::core::limit::PendingRequest;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::table::Table;
use crate::core::time::Time;

/// Queued work that a node holds for one service, in tokens.
const MAX_QUEUED_WORK: u64 = 200_000;

/// Part of the queue that one workspace may fill while others wait.
const MAX_WORKSPACE_PART: f64 = 0.5;

/// Smoothing factor of the measured rate of finished work.
const RATE_SMOOTHING: f64 = 0.2;

/// Shortest span over which the rate of finished work is measured.
const RATE_SPAN: Duration = Duration::from_millis(250);

/// What becomes of a request that asks to be started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// Start it now.
    Start,
    /// It waits; [`AdmissionQueue::dequeue`] returns its id later.
    Queued,
    /// It was refused and did not run.
    Refused(Refusal),
}

/// A queued request with its place in the fair order.
#[derive(Clone, Debug)]
struct Waiting {
    ticket: PendingRequest,
    finish_tag: f64,
}

/// The queue before the backend servers of one service.
///
/// Within one priority the workspaces share by weight: each request gets a
/// finish tag, its work divided by the weight and added to the last tag of the
/// workspace, and the lowest tag is served first (start-time fair queueing).
///
/// # Invariants
///
/// `queue` is sorted by priority and finish tag. `queued_work` is the sum of
/// the work of all queued tickets.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    queue: Vec<Waiting>,
    queued_work: u64,
    virtual_time: f64,
    last_tags: Table<f64>,
    done_work: u64,
    done_since: Time,
    rate: f64,
}

impl AdmissionQueue {
    /// Creates a gate with an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a request, given how many more requests the servers can take.
    pub fn submit(&mut self, ticket: PendingRequest, room: u32, now: Time) -> SubmitOutcome {
        if let Some(refusal) = self.check_deadline(&ticket, room, now) {
            return SubmitOutcome::Refused(refusal);
        }
        if room > 0 && self.queue.is_empty() {
            self.advance(&ticket);
            return SubmitOutcome::Start;
        }
        if let Some(refusal) = self.check_size(&ticket) {
            return SubmitOutcome::Refused(refusal);
        }
        self.enqueue(ticket);
        SubmitOutcome::Queued
    }

    /// Returns the ids of the requests to start now, at most `room`.
    pub fn dequeue(&mut self, room: u32) -> Vec<u64> {
        let count = self.queue.len().min(room as usize);
        let started: Vec<Waiting> = self.queue.drain(..count).collect();
        for waiting in &started {
            self.queued_work -= u64::from(waiting.ticket.work);
            self.virtual_time = self.virtual_time.max(waiting.finish_tag);
        }
        if self.queue.is_empty() {
            self.last_tags = Table::new();
            self.virtual_time = 0.0;
        }
        started
            .into_iter()
            .map(|waiting| waiting.ticket.id)
            .collect()
    }

    /// Takes out the requests that can no longer be answered in time.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let late =
            |waiting: &mut Waiting| now + waiting.ticket.service_time > waiting.ticket.deadline;
        let expired: Vec<Waiting> = self.queue.extract_if(.., late).collect();
        for waiting in &expired {
            self.queued_work -= u64::from(waiting.ticket.work);
        }
        expired
            .into_iter()
            .map(|waiting| waiting.ticket.id)
            .collect()
    }

    /// Takes a request out of the queue whose caller has gone.
    pub fn cancel(&mut self, id: u64) {
        if let Some(at) = self.queue.iter().position(|w| w.ticket.id == id) {
            self.queued_work -= u64::from(self.queue[at].ticket.work);
            self.queue.remove(at);
        }
    }

    /// Records finished work, from which the waiting time is predicted.
    pub fn record_completed(&mut self, work: u32, now: Time) {
        self.done_work += u64::from(work);
        let span = now.since(self.done_since);
        if span < RATE_SPAN {
            return;
        }
        let rate = self.done_work as f64 / span.as_secs_f64();
        if self.rate == 0.0 || span > RATE_SPAN * 8 {
            self.rate = rate;
        } else {
            self.rate += RATE_SMOOTHING * (rate - self.rate);
        }
        self.done_work = 0;
        self.done_since = now;
    }

    /// Returns the queued work, in tokens.
    pub fn queued_work(&self) -> u64 {
        self.queued_work
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Predicts how long a new request of this priority waits.
    fn predicted_wait(&self, ticket: &PendingRequest, room: u32) -> Duration {
        if room > 0 && self.queue.is_empty() || self.rate == 0.0 {
            return Duration::ZERO;
        }
        let ahead: u64 = self
            .queue
            .iter()
            .filter(|waiting| waiting.ticket.priority <= ticket.priority)
            .map(|waiting| u64::from(waiting.ticket.work))
            .sum();
        Duration::from_secs_f64((ahead as f64 / self.rate).min(3_600.0))
    }

    fn check_deadline(&self, ticket: &PendingRequest, room: u32, now: Time) -> Option<Refusal> {
        let wait = self.predicted_wait(ticket, room);
        if now + wait + ticket.service_time <= ticket.deadline {
            return None;
        }
        let needed = (wait + ticket.service_time).as_millis();
        let left = ticket.deadline.since(now).as_millis();
        let detail = format!("the answer needs about {needed} ms and the caller waits {left} ms");
        let refusal = Refusal::new(Reason::Deadline, detail);
        Some(if wait.is_zero() {
            refusal
        } else {
            refusal.with_retry_after(wait)
        })
    }

    fn check_size(&self, ticket: &PendingRequest) -> Option<Refusal> {
        let work = u64::from(ticket.work);
        if self.queued_work + work > MAX_QUEUED_WORK {
            return Some(
                Refusal::new(Reason::Overloaded, "the queue before the servers is full")
                    .with_retry_after(Duration::from_secs(1)),
            );
        }
        let own: u64 = self
            .queue
            .iter()
            .filter(|waiting| waiting.ticket.workspace == ticket.workspace)
            .map(|waiting| u64::from(waiting.ticket.work))
            .sum();
        let part = MAX_QUEUED_WORK as f64 * MAX_WORKSPACE_PART;
        if (own + work) as f64 > part {
            return Some(
                Refusal::new(Reason::WorkspaceLimit, "the workspace has filled its queue")
                    .with_retry_after(Duration::from_secs(1)),
            );
        }
        None
    }

    /// Gives the request its finish tag.
    fn advance(&mut self, ticket: &PendingRequest) -> f64 {
        let start = self.virtual_time;
        let last = self.last_tags.get_or_insert_with(&ticket.workspace, || 0.0);
        let cost = f64::from(ticket.work) / f64::from(ticket.weight.max(1));
        *last = last.max(start) + cost;
        *last
    }

    fn enqueue(&mut self, ticket: PendingRequest) {
        let finish_tag = self.advance(&ticket);
        let at = self.queue.partition_point(|other| {
            (other.ticket.priority, other.finish_tag) <= (ticket.priority, finish_tag)
        });
        self.queued_work += u64::from(ticket.work);
        self.queue.insert(at, Waiting { ticket, finish_tag });
    }
}
