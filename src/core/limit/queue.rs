//! The admission queue of one service.

use std::time::Duration;

use crate::core::limit::PendingRequest;
use crate::core::name_map::NameMap;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::time::Time;

/// Largest amount of work that is queued for one service unless set, in tokens.
const MAX_QUEUED_WORK: u64 = 200_000;

/// Largest fraction of the queue that one workspace may use.
const MAX_WORKSPACE_FRACTION: f64 = 0.5;

/// Smoothing factor for the measured completion rate.
const RATE_SMOOTHING: f64 = 0.2;

/// Shortest window over which the completion rate is measured.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(250);

/// The outcome of submitting a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The request can start now.
    Start,
    /// The request was queued; [`AdmissionQueue::dequeue`] returns its id
    /// later.
    Queued,
    /// The request was refused and did not run.
    Refused(Refusal),
}

/// A queued request with its fair-queueing finish tag.
#[derive(Clone, Debug)]
struct QueuedRequest {
    request: PendingRequest,
    finish_tag: f64,
}

/// The admission queue of one service.
///
/// Within one rank, workspaces share by weight: the finish tag of a request
/// is its work divided by the weight, added to the last tag of the workspace,
/// and the lowest tag is served first (self-clocked fair queueing).
///
/// # Invariants
///
/// `queue` is sorted by rank, finish tag and deadline. `queued_work` is the sum of
/// the work of all queued requests.
#[derive(Debug)]
pub struct AdmissionQueue {
    max_work: u64,
    queue: Vec<QueuedRequest>,
    queued_work: u64,
    virtual_time: f64,
    last_tags: NameMap<f64>,
    completed_work: u64,
    window_start: Time,
    completion_rate: f64,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self {
            max_work: MAX_QUEUED_WORK,
            queue: Vec::new(),
            queued_work: 0,
            virtual_time: 0.0,
            last_tags: NameMap::new(),
            completed_work: 0,
            window_start: Time::default(),
            completion_rate: 0.0,
        }
    }
}

impl AdmissionQueue {
    /// Creates an empty queue for up to 200,000 units of work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the largest amount of work that is queued.
    #[must_use]
    pub fn with_max_work(mut self, max_work: u64) -> Self {
        self.max_work = max_work;
        self
    }

    /// Starts, queues or refuses a request, given the number of free slots.
    pub fn submit(&mut self, request: PendingRequest, free_slots: u32, now: Time) -> SubmitOutcome {
        if let Some(refusal) = self.check_deadline(&request, free_slots, now) {
            return SubmitOutcome::Refused(refusal);
        }
        if free_slots > 0 && self.queue.is_empty() {
            self.assign_finish_tag(&request);
            return SubmitOutcome::Start;
        }
        if let Some(refusal) = self.check_capacity(&request) {
            return SubmitOutcome::Refused(refusal);
        }
        self.enqueue(request);
        SubmitOutcome::Queued
    }

    /// Removes and returns the ids of the requests to start now, at most
    /// `free_slots`.
    pub fn dequeue(&mut self, free_slots: u32) -> Vec<u64> {
        let count = self.queue.len().min(free_slots as usize);
        let started: Vec<QueuedRequest> = self.queue.drain(..count).collect();
        for queued in &started {
            self.queued_work -= u64::from(queued.request.work);
            self.virtual_time = self.virtual_time.max(queued.finish_tag);
        }
        if self.queue.is_empty() {
            self.last_tags = NameMap::new();
            self.virtual_time = 0.0;
        }
        started
            .into_iter()
            .map(|queued| queued.request.id)
            .collect()
    }

    /// Removes and returns the requests that can no longer meet their deadline.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let is_late = |queued: &mut QueuedRequest| {
            now + queued.request.service_time > queued.request.deadline
        };
        let expired: Vec<QueuedRequest> = self.queue.extract_if(.., is_late).collect();
        for queued in &expired {
            self.queued_work -= u64::from(queued.request.work);
        }
        expired
            .into_iter()
            .map(|queued| queued.request.id)
            .collect()
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, id: u64) {
        if let Some(index) = self.queue.iter().position(|queued| queued.request.id == id) {
            self.queued_work -= u64::from(self.queue[index].request.work);
            self.queue.remove(index);
        }
    }

    /// Records completed work, from which the waiting time is predicted.
    pub fn record_completed(&mut self, work: u32, now: Time) {
        self.completed_work += u64::from(work);
        let span = now.since(self.window_start);
        if span < MIN_RATE_WINDOW {
            return;
        }
        let rate = self.completed_work as f64 / span.as_secs_f64();
        if self.completion_rate == 0.0 || span > MIN_RATE_WINDOW * 8 {
            self.completion_rate = rate;
        } else {
            self.completion_rate += RATE_SMOOTHING * (rate - self.completion_rate);
        }
        self.completed_work = 0;
        self.window_start = now;
    }

    /// Returns the queued work, in tokens or requests.
    pub fn queued_work(&self) -> u64 {
        self.queued_work
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Predicts the waiting time of a new request.
    fn predicted_wait(&self, request: &PendingRequest, free_slots: u32) -> Duration {
        if free_slots > 0 && self.queue.is_empty() || self.completion_rate == 0.0 {
            return Duration::ZERO;
        }
        let ahead: u64 = self
            .queue
            .iter()
            .filter(|queued| queued.request.rank <= request.rank)
            .map(|queued| u64::from(queued.request.work))
            .sum();
        Duration::from_secs_f64((ahead as f64 / self.completion_rate).min(3_600.0))
    }

    fn check_deadline(
        &self,
        request: &PendingRequest,
        free_slots: u32,
        now: Time,
    ) -> Option<Refusal> {
        let wait = self.predicted_wait(request, free_slots);
        if now + wait + request.service_time <= request.deadline {
            return None;
        }
        let needed = (wait + request.service_time).as_millis();
        let left = request.deadline.since(now).as_millis();
        let detail =
            format!("the response needs about {needed} ms but the deadline is in {left} ms");
        let refusal = Refusal::new(Reason::Deadline, detail);
        Some(if wait.is_zero() {
            refusal
        } else {
            refusal.with_retry_after(wait)
        })
    }

    fn check_capacity(&self, request: &PendingRequest) -> Option<Refusal> {
        let work = u64::from(request.work);
        if self.queued_work + work > self.max_work {
            return Some(
                Refusal::new(
                    Reason::Overloaded,
                    "the request queue of the service is full",
                )
                .with_retry_after(Duration::from_secs(1)),
            );
        }
        let workspace_work: u64 = self
            .queue
            .iter()
            .filter(|queued| queued.request.workspace == request.workspace)
            .map(|queued| u64::from(queued.request.work))
            .sum();
        let limit = self.max_work as f64 * MAX_WORKSPACE_FRACTION;
        if (workspace_work + work) as f64 > limit {
            return Some(
                Refusal::new(
                    Reason::WorkspaceLimit,
                    "the workspace has used its share of the request queue",
                )
                .with_retry_after(Duration::from_secs(1)),
            );
        }
        None
    }

    /// Computes the finish tag of a request and advances its workspace's last
    /// tag.
    fn assign_finish_tag(&mut self, request: &PendingRequest) -> f64 {
        let start = self.virtual_time;
        let last = self
            .last_tags
            .get_or_insert_with(&request.workspace, || 0.0);
        let cost = f64::from(request.work) / f64::from(request.weight.max(1));
        *last = last.max(start) + cost;
        *last
    }

    fn enqueue(&mut self, request: PendingRequest) {
        let finish_tag = self.assign_finish_tag(&request);
        let place = (request.rank, finish_tag, request.deadline);
        let index = self.queue.partition_point(|other| {
            (other.request.rank, other.finish_tag, other.request.deadline) <= place
        });
        self.queued_work += u64::from(request.work);
        self.queue.insert(
            index,
            QueuedRequest {
                request,
                finish_tag,
            },
        );
    }
}
