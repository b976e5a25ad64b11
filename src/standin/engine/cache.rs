//! The bounded prefix cache of an engine and the events it publishes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::core::route::prefix;

/// Events kept for readers.
const MAX_EVENTS: usize = 256;

/// Time by which events are published late.
const EVENT_LAG: Duration = Duration::from_millis(200);

/// All blocks in the cache, in the answer to `GET /cache/snapshot`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Snapshot {
    /// The last event that the snapshot includes.
    pub seq: u64,
    /// The blocks.
    pub blocks: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    hash: u64,
    used: u64,
}

/// A prefix cache that evicts the least recently used block.
///
/// # Invariants
///
/// `blocks` is sorted by hash and holds at most `limit` blocks.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    clock: u64,
    blocks: Vec<Block>,
    events: Vec<(Instant, prefix::CacheEvent)>,
    next_seq: u64,
}

impl Cache {
    /// Creates an empty cache of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            clock: 0,
            blocks: Vec::new(),
            events: Vec::new(),
            next_seq: 0,
        }
    }

    /// Returns the leading blocks of `chain` that are cached, and marks them as used.
    pub fn hits(&mut self, chain: &[u64]) -> usize {
        self.clock += 1;
        let mut count = 0;
        for hash in chain {
            match self.blocks.binary_search_by_key(hash, |block| block.hash) {
                Ok(at) => self.blocks[at].used = self.clock,
                Err(_) => break,
            }
            count += 1;
        }
        count
    }

    /// Stores the blocks of `chain`.
    pub fn store(&mut self, chain: &[u64], now: Instant) {
        self.clock += 1;
        let mut event = prefix::CacheEvent {
            seq: self.next_seq,
            stored: Vec::new(),
            removed: Vec::new(),
        };
        for &hash in chain {
            let used = self.clock;
            match self.blocks.binary_search_by_key(&hash, |block| block.hash) {
                Ok(at) => self.blocks[at].used = used,
                Err(at) => {
                    self.blocks.insert(at, Block { hash, used });
                    event.stored.push(hash);
                }
            }
        }
        while self.blocks.len() > self.limit {
            let oldest = (0..self.blocks.len()).min_by_key(|&at| self.blocks[at].used);
            let Some(at) = oldest else { break };
            event.removed.push(self.blocks.remove(at).hash);
        }
        if event.stored.is_empty() && event.removed.is_empty() {
            return;
        }
        self.next_seq += 1;
        self.events.push((now, event));
        let excess = self.events.len().saturating_sub(MAX_EVENTS);
        self.events.drain(..excess);
    }

    /// Returns the published events from `seq` on.
    pub fn events_from(&self, seq: u64, now: Instant) -> Vec<prefix::CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.seq >= seq && now - *at >= EVENT_LAG)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Returns all blocks.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            seq: self.next_seq.saturating_sub(1),
            blocks: self.blocks.iter().map(|block| block.hash).collect(),
        }
    }
}
