//! Store of idempotency-key claims in the platform's object API, with group commit.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::core::Name;
use crate::core::member::Member;
use crate::core::once::Change;
use crate::core::once::ClaimState;
use crate::core::once::Effect;
use crate::core::once::SHARD_COUNT;
use crate::core::once::Shard;
use crate::core::once::shard_of;
use crate::core::route::subset;
use crate::node::Node;
use crate::node::peers::Answer;
use crate::node::peers::Call;
use crate::node::peers::ClaimChange;
use crate::node::platform_api::Condition;
use crate::node::platform_api::WriteError;

/// Shortest interval between two writes of a shard by one node.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of attempts to store a batch.
const MAX_COMMIT_ATTEMPTS: usize = 4;

/// Largest number of changes in a batch.
const MAX_BATCH_SIZE: usize = 512;

/// Capacity of the queue of a shard, in changes.
const QUEUE_CAPACITY: usize = 4_096;

/// Delay before the retry of a change that must be stored.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time for which a change that must be stored is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(600);

struct PendingChange {
    change: Change,
    reply: oneshot::Sender<Option<Effect>>,
}

/// Access to the stored claims, with one queue of changes for each shard.
pub struct ClaimStore {
    senders: Vec<mpsc::Sender<PendingChange>>,
}

/// Receivers of the shard queues, to be passed to [`run`].
pub struct ShardQueues(Vec<mpsc::Receiver<PendingChange>>);

impl ClaimStore {
    /// Creates the store and the receivers of its queues.
    pub fn new() -> (Self, ShardQueues) {
        let (senders, receivers) = (0..SHARD_COUNT)
            .map(|_| mpsc::channel(QUEUE_CAPACITY))
            .unzip();
        (Self { senders }, ShardQueues(receivers))
    }

    /// Applies a change through this node's queue.
    ///
    /// Returns `None` if the effect is unknown.
    async fn apply_locally(&self, shard: u64, change: Change) -> Option<Effect> {
        let (reply, received) = oneshot::channel();
        let queue = self.senders.get(shard as usize)?;
        queue.try_send(PendingChange { change, reply }).ok()?;
        received.await.ok().flatten()
    }

    /// Applies changes that another node sent to this node as the shard's owner.
    ///
    /// Returns `None` if the node is draining or an effect is unknown.
    pub async fn apply_all(&self, node: &Node, changes: Vec<ClaimChange>) -> Option<Vec<Effect>> {
        if node.is_draining() {
            return None;
        }
        let applied = changes
            .into_iter()
            .map(|item| self.apply_locally(item.shard, item.change));
        futures_util::future::join_all(applied)
            .await
            .into_iter()
            .collect()
    }

    /// Applies a change through the node that owns its shard, or through this node
    /// if the owner does not answer.
    ///
    /// Returns `None` if the effect is unknown. The owner only batches the changes
    /// of all nodes into one write. The nodes need not agree on the owner, because
    /// conditional writes detect a second one.
    pub async fn apply(&self, node: &Arc<Node>, key: &str, change: Change) -> Option<Effect> {
        let shard = shard_of(key);
        if let Some(owner) = shard_owner(node, shard) {
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
        self.apply_locally(shard, change).await
    }

    /// Applies a change in the background, with retries for up to `RETRY_TIMEOUT`.
    pub fn apply_until_stored(node: &Arc<Node>, key: &Name, change: Change) {
        let node = Arc::clone(node);
        let key = key.clone();
        node.in_flight.begin();
        tokio::spawn(async move {
            let until = Instant::now() + RETRY_TIMEOUT;
            while node
                .claims
                .apply(&node, &key, change.clone())
                .await
                .is_none()
            {
                if Instant::now() > until {
                    log::warn!("once: could not store the outcome of a call");
                    break;
                }
                tokio::time::sleep(RETRY_DELAY + node.jitter(RETRY_DELAY)).await;
            }
            node.in_flight.end();
        });
    }
}

/// Returns the peer address of a shard's owner, or `None` if this node owns it.
fn shard_owner(node: &Node, shard: u64) -> Option<Name> {
    let roster = node.roster.lock().unwrap();
    let live = roster.live_members();
    let items: Vec<subset::SubsetItem> = live.iter().map(Member::placed).collect();
    let owner = subset::pick(&format!("once/{shard}"), &items, 1);
    let member = live
        .iter()
        .find(|member| Some(&member.id) == owner.first())?;
    (member.id != roster.local().id).then(|| member.peer.clone())
}

/// Commits the queued changes of all shards until the node stops.
pub async fn run(node: Arc<Node>, queues: ShardQueues) {
    let tasks = queues
        .0
        .into_iter()
        .enumerate()
        .map(|(shard, queue)| tokio::spawn(run_shard(Arc::clone(&node), shard as u64, queue)));
    futures_util::future::join_all(tasks).await;
}

/// Last known content of a shard.
#[derive(Default)]
struct CachedShard {
    version: Option<u64>,
    shard: Shard,
    is_current: bool,
}

async fn run_shard(node: Arc<Node>, shard: u64, mut queue: mpsc::Receiver<PendingChange>) {
    let mut cached = CachedShard::default();
    let mut last_commit = None;
    while let Some(first) = queue.recv().await {
        if let Some(last) = last_commit {
            tokio::time::sleep_until(last + MIN_COMMIT_INTERVAL).await;
        }
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_SIZE
            && let Ok(pending) = queue.try_recv()
        {
            batch.push(pending);
        }
        let changes: Vec<Change> = batch.iter().map(|pending| pending.change.clone()).collect();
        let effects = commit(&node, shard, &mut cached, &changes).await;
        last_commit = Some(Instant::now());
        for (index, pending) in batch.into_iter().enumerate() {
            let effect = effects.as_ref().map(|effects| effects[index].clone());
            // The result is ignored: the requester may have stopped waiting.
            let _ = pending.reply.send(effect);
        }
    }
}

/// Stores a batch of changes and returns their effects, or `None` if unknown.
async fn commit(
    node: &Node,
    shard: u64,
    cached: &mut CachedShard,
    changes: &[Change],
) -> Option<Vec<Effect>> {
    let key = format!("once/{shard}");
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        let was_reloaded = !cached.is_current;
        if was_reloaded && !reload(node, &key, cached).await {
            node.count_store_failure("claim");
            tokio::time::sleep(node.jitter(MIN_COMMIT_INTERVAL)).await;
            continue;
        }
        let mut next = cached.shard.clone();
        next.expire(node.clock.now());
        let effects: Vec<Effect> = changes.iter().map(|change| next.apply(change)).collect();
        let may_be_stale = effects.iter().any(
            |effect| matches!(effect, Effect::Held(claim) if claim.state == ClaimState::Claimed),
        );
        if may_be_stale && !was_reloaded {
            cached.is_current = false;
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
            Err(WriteError::Conflict) => cached.is_current = false,
            Err(WriteError::Unavailable) => {
                cached.is_current = false;
                node.count_store_failure("claim");
            }
        }
    }
    None
}

async fn reload(node: &Node, key: &str, cached: &mut CachedShard) -> bool {
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
    cached.is_current = true;
    true
}
