//! Admission control: the request queues of all services.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::core::Name;
use crate::core::config::Service;
use crate::core::config::Workspace;
use crate::core::limit::PendingRequest;
use crate::core::limit::Priority;
use crate::core::limit::queue::AdmissionQueue;
use crate::core::limit::queue::SubmitOutcome;
use crate::core::limit::token_bucket::TokenBucket;
use crate::core::name_map::NameMap;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::time::Time;
use crate::node::Node;

/// Longest interval between two dispatches of the queues.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Burst allowance of a workspace, as a time at its rate limit.
const WORKSPACE_BURST: Duration = Duration::from_secs(2);

/// Interval at which this node recomputes its share of a workspace's rate limit.
const SHARE_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of an entry's share that a node enforces if it is not an entry of the
/// workspace.
const NON_ENTRY_FRACTION: f64 = 0.1;

struct Share {
    bucket: TokenBucket,
    refreshed_at: Time,
}

struct Waiter {
    id: u64,
    start: oneshot::Sender<()>,
}

#[derive(Default)]
struct State {
    queues: NameMap<AdmissionQueue>,
    starting: NameMap<u32>,
    shares: NameMap<Share>,
    waiters: Vec<Waiter>,
    next_id: u64,
}

impl State {
    fn free_slots(&self, node: &Node, name: &str, service: &Service, now: Time) -> u32 {
        let free_slots = node
            .servers
            .lock()
            .unwrap()
            .free_capacity(name, service.slots, now);
        free_slots.saturating_sub(self.starting.get(name).copied().unwrap_or(0))
    }

    fn remove_waiter(&mut self, id: u64) -> Option<Waiter> {
        let index = self.waiters.binary_search_by_key(&id, |w| w.id).ok()?;
        Some(self.waiters.remove(index))
    }
}

/// Admission control for all services.
#[derive(Default)]
pub struct Admission {
    state: Mutex<State>,
    changed: Notify,
}

/// Resources that a request needs from a service.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Service name.
    pub service: Name,
    /// Workspace name.
    pub workspace: Name,
    /// Cost of the request, in tokens.
    pub work: u32,
    /// Shortest time from its start to the end of its response.
    pub service_time: Duration,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Scheduling priority.
    pub priority: Priority,
}

/// Permit to run a request; dropping it counts the request as finished.
pub struct Permit {
    node: Arc<Node>,
    service: Name,
    work: u32,
    is_starting: bool,
}

impl Permit {
    /// Marks the request as started, because a server now counts it.
    pub fn mark_started(&mut self) {
        if std::mem::replace(&mut self.is_starting, false) {
            self.node.admission.decrement_starting(&self.service);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.mark_started();
        let now = self.node.clock.now();
        let mut state = self.node.admission.state.lock().unwrap();
        if let Some(queue) = state.queues.get_mut(&self.service) {
            queue.record_completed(self.work, now);
        }
        drop(state);
        self.node.admission.wake();
    }
}

/// Removes a request from its queue if the caller disconnects.
struct QueueGuard<'a> {
    admission: &'a Admission,
    service: &'a Name,
    id: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.state.lock().unwrap();
        state.remove_waiter(self.id);
        if let Some(queue) = state.queues.get_mut(self.service) {
            queue.cancel(self.id);
        }
    }
}

impl Admission {
    /// Creates admission control without queued requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Triggers a dispatch of the queues, because a server may have a free slot.
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    fn decrement_starting(&self, service: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(count) = state.starting.get_mut(service) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the queued tokens and the number of queued requests of each service.
    pub fn queues(&self) -> Vec<(Name, u64, usize)> {
        let state = self.state.lock().unwrap();
        state
            .queues
            .iter()
            .map(|(name, queue)| (name.clone(), queue.queued_work(), queue.len()))
            .collect()
    }

    /// Returns whether a workspace has used more than its share.
    pub fn is_over_quota(&self, workspace: &str, now: Time) -> bool {
        let mut state = self.state.lock().unwrap();
        let share = state.shares.get_mut(workspace);
        share.is_some_and(|share| share.bucket.take(0.0, now).is_err())
    }

    /// Waits until a request may run and returns its permit.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request cannot be completed before its deadline or
    /// the workspace has used up its share.
    pub async fn enter(
        &self,
        node: &Arc<Node>,
        demand: &Demand,
        service: &Service,
        workspace: &Workspace,
    ) -> Result<Permit, Refusal> {
        let permit = Permit {
            node: Arc::clone(node),
            service: demand.service.clone(),
            work: demand.work,
            is_starting: true,
        };
        let (id, waiting) = match self.try_admit(node, demand, service, workspace)? {
            AdmitOutcome::Started => return Ok(permit),
            AdmitOutcome::Queued(id, waiting) => (id, waiting),
        };
        let mut queued = permit;
        // A queued request counts as starting only after its queue starts it.
        queued.is_starting = false;
        let guard = QueueGuard {
            admission: self,
            service: &demand.service,
            id,
        };
        let started = waiting.await;
        drop(guard);
        match started {
            Ok(()) => {
                queued.is_starting = true;
                Ok(queued)
            }
            Err(_) => {
                // The request never ran, so it must not count as finished work.
                queued.work = 0;
                Err(deadline_refusal(node, &demand.service))
            }
        }
    }

    fn try_admit(
        &self,
        node: &Node,
        demand: &Demand,
        service: &Service,
        workspace: &Workspace,
    ) -> Result<AdmitOutcome, Refusal> {
        let now = node.clock.now();
        let mut state = self.state.lock().unwrap();
        charge_workspace(&mut state, node, demand, workspace, now)?;
        let free_slots = state.free_slots(node, &demand.service, service, now);
        state.next_id += 1;
        let id = state.next_id;
        let pending = PendingRequest {
            id,
            workspace: demand.workspace.clone(),
            weight: workspace.weight,
            work: demand.work,
            deadline: demand.deadline,
            service_time: demand.service_time,
            rank: demand.priority.rank(),
        };
        let queue = state
            .queues
            .get_or_insert_with(&demand.service, AdmissionQueue::new);
        match queue.submit(pending, free_slots, now) {
            SubmitOutcome::Refused(refusal) => Err(refusal),
            SubmitOutcome::Start => {
                *state.starting.get_or_insert_with(&demand.service, || 0) += 1;
                Ok(AdmitOutcome::Started)
            }
            SubmitOutcome::Queued => {
                let (start, waiting) = oneshot::channel();
                state.waiters.push(Waiter { id, start });
                Ok(AdmitOutcome::Queued(id, waiting))
            }
        }
    }

    /// Starts and expires queued requests until the task is aborted.
    pub async fn run(node: Arc<Node>) {
        loop {
            // Whether notified or timed out, the queues are dispatched.
            let changed = node.admission.changed.notified();
            let _ = tokio::time::timeout(DISPATCH_INTERVAL, changed).await;
            node.admission.dispatch(&node);
        }
    }

    fn dispatch(&self, node: &Node) {
        let now = node.clock.now();
        let installed = node.config.load();
        let mut state = self.state.lock().unwrap();
        let names: Vec<Name> = state
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let Some(service) = installed.config.services.get(&name) else {
                continue;
            };
            let free_slots = state.free_slots(node, &name, service, now);
            let Some(queue) = state.queues.get_mut(&name) else {
                continue;
            };
            let expired = queue.expire(now);
            let started = queue.dequeue(free_slots);
            for id in expired {
                // Dropping the sender wakes the waiting request with an error.
                state.remove_waiter(id);
            }
            for id in started {
                let waiter = state.remove_waiter(id);
                if waiter.is_some_and(|waiter| waiter.start.send(()).is_ok()) {
                    *state.starting.get_or_insert_with(&name, || 0) += 1;
                }
            }
        }
    }
}

enum AdmitOutcome {
    Started,
    Queued(u64, oneshot::Receiver<()>),
}

fn deadline_refusal(node: &Node, service: &str) -> Refusal {
    let now = node.clock.now();
    if node.servers.lock().unwrap().has_usable(service, now) {
        Refusal::new(
            Reason::Deadline,
            "no server had a free slot before the deadline",
        )
    } else {
        Refusal::new(
            Reason::NoServer,
            format!("service {service} has no live backend server"),
        )
        .with_retry_after(Duration::from_secs(1))
    }
}

/// Charges the request's cost to this node's share of the workspace's rate limit.
fn charge_workspace(
    state: &mut State,
    node: &Node,
    demand: &Demand,
    workspace: &Workspace,
    now: Time,
) -> Result<(), Refusal> {
    let rate = |node: &Node| {
        let roster = node.roster.lock().unwrap();
        let entries = roster.entry_nodes(&demand.workspace);
        let is_entry = entries.iter().any(|member| member.id == roster.local().id);
        let fraction = if is_entry { 1.0 } else { NON_ENTRY_FRACTION };
        f64::from(workspace.tokens_per_s) * fraction / entries.len().max(1) as f64
    };
    let share = state
        .shares
        .get_or_insert_with(&demand.workspace, || Share {
            bucket: TokenBucket::new(rate(node), WORKSPACE_BURST, now),
            refreshed_at: now,
        });
    if now.since(share.refreshed_at) > SHARE_REFRESH_INTERVAL {
        share.bucket.set_rate(rate(node), now);
        share.refreshed_at = now;
    }
    share
        .bucket
        .take(f64::from(demand.work), now)
        .map_err(|wait| {
            Refusal::new(
                Reason::WorkspaceLimit,
                "the workspace has exceeded its token rate limit",
            )
            .with_retry_after(wait)
        })
}
