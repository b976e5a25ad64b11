//! Admission of requests: the gates of all services and who waits at them.

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

/// Longest wait between two looks at the queues.
const PUMP_STEP: Duration = Duration::from_millis(20);

/// Burst that a workspace may use beyond its rate.
const WORKSPACE_BURST: Duration = Duration::from_secs(2);

/// Time for which the share of a workspace at this node is kept.
const SHARE_AGE: Duration = Duration::from_secs(1);

/// Part of an entry's share that a node gets that is not an entry of the workspace.
const OUTSIDER_PART: f64 = 0.1;

struct Share {
    bucket: TokenBucket,
    at: Time,
}

struct Waiter {
    id: u64,
    start: oneshot::Sender<()>,
}

#[derive(Default)]
struct State {
    gates: NameMap<AdmissionQueue>,
    starting: NameMap<u32>,
    shares: NameMap<Share>,
    waiters: Vec<Waiter>,
    next_id: u64,
}

impl State {
    fn room(&self, node: &Node, name: &str, service: &Service, now: Time) -> u32 {
        let room = node
            .servers
            .lock()
            .unwrap()
            .free_capacity(name, service.slots, now);
        room.saturating_sub(self.starting.get(name).copied().unwrap_or(0))
    }

    fn take_waiter(&mut self, id: u64) -> Option<Waiter> {
        let at = self.waiters.binary_search_by_key(&id, |w| w.id).ok()?;
        Some(self.waiters.remove(at))
    }
}

/// The gates of all services.
#[derive(Default)]
pub struct Admission {
    state: Mutex<State>,
    changed: Notify,
}

/// What a request asks of a service.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The service.
    pub service: Name,
    /// The workspace.
    pub workspace: Name,
    /// Work that the request brings, in tokens.
    pub work: u32,
    /// Shortest time in which it can be answered once started.
    pub service_time: Duration,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Kind of work.
    pub priority: Priority,
}

/// The right to run a request; dropping it counts the request as finished.
pub struct Permit {
    node: Arc<Node>,
    service: Name,
    work: u32,
    is_starting: bool,
}

impl Permit {
    /// Says that the request is now counted at a server.
    pub fn begin(&mut self) {
        if std::mem::replace(&mut self.is_starting, false) {
            self.node.admission.end_start(&self.service);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.begin();
        let now = self.node.clock.now();
        let mut state = self.node.admission.state.lock().unwrap();
        if let Some(gate) = state.gates.get_mut(&self.service) {
            gate.record_completed(self.work, now);
        }
        drop(state);
        self.node.admission.wake();
    }
}

/// Takes a queued request out of its gate if its caller goes.
struct QueueGuard<'a> {
    admission: &'a Admission,
    service: &'a Name,
    id: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.state.lock().unwrap();
        state.take_waiter(self.id);
        if let Some(gate) = state.gates.get_mut(self.service) {
            gate.cancel(self.id);
        }
    }
}

impl Admission {
    /// Creates gates without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks for a look at the queues, because a server may have room.
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    fn end_start(&self, service: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(count) = state.starting.get_mut(service) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the queued work and requests of each service.
    pub fn queues(&self) -> Vec<(Name, u64, usize)> {
        let state = self.state.lock().unwrap();
        state
            .gates
            .iter()
            .map(|(name, gate)| (name.clone(), gate.queued_work(), gate.len()))
            .collect()
    }

    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request cannot be answered in time or the
    /// workspace has used up its share.
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
        let (id, waiting) = match self.offer(node, demand, service, workspace)? {
            Offered::Started => return Ok(permit),
            Offered::Queued(id, waiting) => (id, waiting),
        };
        let mut queued = permit;
        // It is counted as starting only once the gate lets it through.
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
                // It never ran, so it must not count as finished work.
                queued.work = 0;
                Err(expired(node, &demand.service))
            }
        }
    }

    fn offer(
        &self,
        node: &Node,
        demand: &Demand,
        service: &Service,
        workspace: &Workspace,
    ) -> Result<Offered, Refusal> {
        let now = node.clock.now();
        let mut state = self.state.lock().unwrap();
        check_share(&mut state, node, demand, workspace, now)?;
        let room = state.room(node, &demand.service, service, now);
        state.next_id += 1;
        let id = state.next_id;
        let ticket = PendingRequest {
            id,
            workspace: demand.workspace.clone(),
            weight: workspace.weight,
            work: demand.work,
            deadline: demand.deadline,
            service_time: demand.service_time,
            priority: demand.priority,
        };
        let gate = state
            .gates
            .get_or_insert_with(&demand.service, AdmissionQueue::new);
        match gate.submit(ticket, room, now) {
            SubmitOutcome::Refused(refusal) => Err(refusal),
            SubmitOutcome::Start => {
                *state.starting.get_or_insert_with(&demand.service, || 0) += 1;
                Ok(Offered::Started)
            }
            SubmitOutcome::Queued => {
                let (start, waiting) = oneshot::channel();
                state.waiters.push(Waiter { id, start });
                Ok(Offered::Queued(id, waiting))
            }
        }
    }

    /// Starts and expires queued requests until the node stops.
    pub async fn run(node: Arc<Node>) {
        loop {
            // Either end of the wait leads to the same look.
            let changed = node.admission.changed.notified();
            let _ = tokio::time::timeout(PUMP_STEP, changed).await;
            node.admission.pump(&node);
        }
    }

    fn pump(&self, node: &Node) {
        let now = node.clock.now();
        let installed = node.config.load();
        let mut state = self.state.lock().unwrap();
        let names: Vec<Name> = state
            .gates
            .iter()
            .filter(|(_, gate)| !gate.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let Some(service) = installed.config.services.get(&name) else {
                continue;
            };
            let room = state.room(node, &name, service, now);
            let Some(gate) = state.gates.get_mut(&name) else {
                continue;
            };
            let expired = gate.expire(now);
            let started = gate.dequeue(room);
            for id in expired {
                // Dropping the sender tells the waiting request.
                state.take_waiter(id);
            }
            for id in started {
                let waiter = state.take_waiter(id);
                if waiter.is_some_and(|waiter| waiter.start.send(()).is_ok()) {
                    *state.starting.get_or_insert_with(&name, || 0) += 1;
                }
            }
        }
    }
}

enum Offered {
    Started,
    Queued(u64, oneshot::Receiver<()>),
}

fn expired(node: &Node, service: &str) -> Refusal {
    let now = node.clock.now();
    if node.servers.lock().unwrap().has_usable(service, now) {
        Refusal::new(Reason::Deadline, "no server had room before the deadline")
    } else {
        Refusal::new(
            Reason::NoServer,
            format!("{service} has no live backend server"),
        )
        .with_retry_after(Duration::from_secs(1))
    }
}

/// Takes the work out of the workspace's share at this node.
fn check_share(
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
        let part = if is_entry { 1.0 } else { OUTSIDER_PART };
        f64::from(workspace.tokens_per_s) * part / entries.len().max(1) as f64
    };
    let share = state
        .shares
        .get_or_insert_with(&demand.workspace, || Share {
            bucket: TokenBucket::new(rate(node), WORKSPACE_BURST, now),
            at: now,
        });
    if now.since(share.at) > SHARE_AGE {
        share.bucket.set_rate(rate(node), now);
        share.at = now;
    }
    share
        .bucket
        .take(f64::from(demand.work), now)
        .map_err(|wait| {
            Refusal::new(
                Reason::WorkspaceLimit,
                "the workspace has used up its tokens",
            )
            .with_retry_after(wait)
        })
}
