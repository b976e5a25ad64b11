//! Claims of keyed calls in the platform's object API, with group commit.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::core::Name;
use crate::core::member::Member;
use crate::core::once::Change;
use crate::core::once::Effect;
use crate::core::once::SHARDS;
use crate::core::once::Shard;
use crate::core::once::State;
use crate::core::once::shard_of;
use crate::core::route::subset;
use crate::node::Node;
use crate::node::peers::Answer;
use crate::node::peers::Call;
use crate::node::peers::ClaimChange;
use crate::node::platform::Condition;
use crate::node::platform::WriteError;

/// Shortest time between two writes of one shard by one node.
const COMMIT_GAP: Duration = Duration::from_millis(100);

/// Tries to store one group of changes.
const COMMIT_TRIES: usize = 4;

/// Changes in one group.
const MAX_GROUP: usize = 512;

/// Changes that may wait for one shard.
const MAX_QUEUED: usize = 4_096;

/// Wait before a change that must get through is tried again.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// Time for which a change that must get through is tried.
const RETRY_TIME: Duration = Duration::from_secs(600);

struct Job {
    change: Change,
    reply: oneshot::Sender<Option<Effect>>,
}

/// The claims, through one queue for each shard.
pub struct Once {
    shards: Vec<mpsc::Sender<Job>>,
}

/// The receiving ends of the queues, to be served by [`run`].
pub struct Queues(Vec<mpsc::Receiver<Job>>);

impl Once {
    /// Creates the queues and their receiving ends.
    pub fn new() -> (Self, Queues) {
        let (shards, queues) = (0..SHARDS).map(|_| mpsc::channel(MAX_QUEUED)).unzip();
        (Self { shards }, Queues(queues))
    }

    /// Applies a change at this node; `None` means that its effect is not known.
    async fn apply(&self, shard: u64, change: Change) -> Option<Effect> {
        let (reply, received) = oneshot::channel();
        let queue = self.shards.get(shard as usize)?;
        queue.try_send(Job { change, reply }).ok()?;
        received.await.ok().flatten()
    }

    /// Applies changes that another node sent to the owner of their shard.
    pub async fn apply_all(&self, node: &Node, changes: Vec<ClaimChange>) -> Option<Vec<Effect>> {
        if node.is_draining() {
            return None;
        }
        let applied = changes
            .into_iter()
            .map(|item| self.apply(item.shard, item.change));
        futures_util::future::join_all(applied)
            .await
            .into_iter()
            .collect()
    }

    /// Applies a change by way of the node that owns its shard.
    ///
    /// The owner only gathers the changes of all nodes into one write. It need
    /// not be agreed on: two owners are told apart by the conditional update.
    pub async fn change(&self, node: &Arc<Node>, key: &str, change: Change) -> Option<Effect> {
        let shard = shard_of(key);
        if let Some(owner) = owner_of(node, shard) {
            let item = ClaimChange {
                shard,
                change: change.clone(),
            };
            let answer = node
                .peers
                .call(&owner, &Call::ChangeClaims(vec![item]))
                .await;
            if let Ok(Answer::ClaimEffects(effects)) = answer {
                return effects.into_iter().next();
            }
        }
        self.apply(shard, change).await
    }

    /// Applies a change that must get through, however long the store is away.
    pub fn change_later(node: &Arc<Node>, key: &Name, change: Change) {
        let node = Arc::clone(node);
        let key = key.clone();
        node.open_work.begin();
        tokio::spawn(async move {
            let until = Instant::now() + RETRY_TIME;
            while node
                .claims
                .change(&node, &key, change.clone())
                .await
                .is_none()
            {
                if Instant::now() > until {
                    log::warn!("once: the outcome of a call was not stored");
                    break;
                }
                tokio::time::sleep(RETRY_WAIT + node.jitter(RETRY_WAIT)).await;
            }
            node.open_work.end();
        });
    }
}

/// Returns the peer address of the owner of a shard, unless it is this node.
fn owner_of(node: &Node, shard: u64) -> Option<Name> {
    let roster = node.roster.lock().unwrap();
    let live = roster.live();
    let items: Vec<subset::Placed> = live.iter().map(Member::placed).collect();
    let owner = subset::pick(&format!("once/{shard}"), &items, 1);
    let member = live
        .iter()
        .find(|member| Some(&member.id) == owner.first())?;
    (member.id != roster.me().id).then(|| member.peer.clone())
}

/// Serves the queues until the node stops.
pub async fn run(node: Arc<Node>, queues: Queues) {
    let served = queues
        .0
        .into_iter()
        .enumerate()
        .map(|(shard, queue)| tokio::spawn(serve(Arc::clone(&node), shard as u64, queue)));
    futures_util::future::join_all(served).await;
}

/// What a node last saw of a shard.
#[derive(Default)]
struct Cached {
    version: Option<u64>,
    shard: Shard,
    is_read: bool,
}

async fn serve(node: Arc<Node>, shard: u64, mut queue: mpsc::Receiver<Job>) {
    let mut cached = Cached::default();
    let mut last_commit = None;
    while let Some(first) = queue.recv().await {
        if let Some(last) = last_commit {
            tokio::time::sleep_until(last + COMMIT_GAP).await;
        }
        let mut jobs = vec![first];
        while jobs.len() < MAX_GROUP
            && let Ok(job) = queue.try_recv()
        {
            jobs.push(job);
        }
        let changes: Vec<Change> = jobs.iter().map(|job| job.change.clone()).collect();
        let effects = commit(&node, shard, &mut cached, &changes).await;
        last_commit = Some(Instant::now());
        for (at, job) in jobs.into_iter().enumerate() {
            let effect = effects.as_ref().map(|effects| effects[at].clone());
            // The asker may have stopped waiting.
            let _ = job.reply.send(effect);
        }
    }
}

/// Stores a group of changes and returns their effects, or `None` if unknown.
async fn commit(
    node: &Node,
    shard: u64,
    cached: &mut Cached,
    changes: &[Change],
) -> Option<Vec<Effect>> {
    let key = format!("once/{shard}");
    for _ in 0..COMMIT_TRIES {
        let is_fresh = !cached.is_read;
        if is_fresh && !read(node, &key, cached).await {
            node.count_store_failure("claim");
            tokio::time::sleep(node.jitter(COMMIT_GAP)).await;
            continue;
        }
        let mut next = cached.shard.clone();
        next.expire(node.clock.now());
        let effects: Vec<Effect> = changes.iter().map(|change| next.apply(change)).collect();
        let may_be_old = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Held(claim) if claim.state == State::Claimed));
        if may_be_old && !is_fresh {
            cached.is_read = false;
            continue;
        }
        if next == cached.shard {
            return Some(effects);
        }
        let content = serde_json::to_vec(&next).ok()?;
        let condition = cached.version.map_or(Condition::Absent, Condition::Version);
        metrics::counter!("cassialock_claim_writes_total", "node" => node.label()).increment(1);
        match node.platform.put(&key, content.into(), condition).await {
            Ok(version) => {
                cached.version = Some(version);
                cached.shard = next;
                return Some(effects);
            }
            Err(WriteError::Conflict) => cached.is_read = false,
            Err(WriteError::Unavailable) => {
                cached.is_read = false;
                node.count_store_failure("claim");
            }
        }
    }
    None
}

async fn read(node: &Node, key: &str, cached: &mut Cached) -> bool {
    let Ok(object) = node.platform.get(key).await else {
        return false;
    };
    let (version, shard) = match object {
        None => (None, Shard::new()),
        Some(object) => match serde_json::from_slice(&object.value) {
            Ok(shard) => (Some(object.version), shard),
            Err(_) => return false,
        },
    };
    cached.version = version;
    cached.shard = shard;
    cached.is_read = true;
    true
}
