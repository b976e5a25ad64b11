//! The bounded prefix cache of an engine and its event log.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::core::route::prefix;

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 256;

/// Delay between a cache change and the publication of its event.
const EVENT_DELAY: Duration = Duration::from_millis(200);

/// All blocks in the cache, returned by `GET /cache/snapshot`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Snapshot {
    /// Sequence number of the last event that the snapshot includes.
    pub seq: u64,
    /// Hashes of the cached blocks, in ascending order.
    pub blocks: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    hash: u64,
    last_used: u64,
}

/// A prefix cache that evicts the least recently used block.
///
/// # Invariants
///
/// `blocks` is sorted by hash and holds at most `capacity` blocks.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    clock: u64,
    blocks: Vec<Block>,
    events: Vec<(Instant, prefix::CacheEvent)>,
    next_seq: u64,
}

impl Cache {
    /// Creates an empty cache that holds at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            blocks: Vec::new(),
            events: Vec::new(),
            next_seq: 0,
        }
    }

    /// Returns how many leading blocks of `hashes` are cached, and marks them as used.
    pub fn lookup(&mut self, hashes: &[u64]) -> usize {
        self.clock += 1;
        let mut count = 0;
        for hash in hashes {
            match self.blocks.binary_search_by_key(hash, |block| block.hash) {
                Ok(index) => self.blocks[index].last_used = self.clock,
                Err(_) => break,
            }
            count += 1;
        }
        count
    }

    /// Inserts the blocks of `hashes`, evicts excess blocks and records an event if the
    /// cache changed.
    pub fn insert(&mut self, hashes: &[u64], now: Instant) {
        self.clock += 1;
        let mut event = prefix::CacheEvent {
            seq: self.next_seq,
            stored: Vec::new(),
            removed: Vec::new(),
        };
        for &hash in hashes {
            let last_used = self.clock;
            match self.blocks.binary_search_by_key(&hash, |block| block.hash) {
                Ok(index) => self.blocks[index].last_used = last_used,
                Err(index) => {
                    self.blocks.insert(index, Block { hash, last_used });
                    event.stored.push(hash);
                }
            }
        }
        while self.blocks.len() > self.capacity {
            let least_recent =
                (0..self.blocks.len()).min_by_key(|&index| self.blocks[index].last_used);
            let Some(index) = least_recent else { break };
            event.removed.push(self.blocks.remove(index).hash);
        }
        if event.stored.is_empty() && event.removed.is_empty() {
            return;
        }
        self.next_seq += 1;
        self.events.push((now, event));
        let excess = self.events.len().saturating_sub(MAX_EVENTS);
        self.events.drain(..excess);
    }

    /// Returns the published events with a sequence number of at least `seq`.
    pub fn events_from(&self, seq: u64, now: Instant) -> Vec<prefix::CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.seq >= seq && now - *at >= EVENT_DELAY)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Returns a snapshot of all blocks.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            seq: self.next_seq.saturating_sub(1),
            blocks: self.blocks.iter().map(|block| block.hash).collect(),
        }
    }
}
