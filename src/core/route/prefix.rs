//! Index of the prompt prefixes that a backend server has cached.

/// Number of words in a block of a prompt.
pub const BLOCK_WORDS: usize = 16;

/// Maximum number of blocks in the index of a backend server.
const MAX_BLOCKS: usize = 4_096;

/// Factor on the expected cache hits after missed events, until the next snapshot.
const GAP_FACTOR: f64 = 0.5;

/// Returns the prefix hash of each block of `text`.
///
/// Each hash covers the text from its start to the end of the block, so equal
/// hashes mean equal prefixes. An incomplete last block is omitted.
pub fn block_hashes(text: &str) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut state = xxhash_rust::xxh3::Xxh3::new();
    for (index, word) in text.split_whitespace().enumerate() {
        state.update(word.as_bytes());
        state.update(b" ");
        if (index + 1) % BLOCK_WORDS == 0 {
            hashes.push(state.digest());
        }
    }
    hashes
}

/// The blocks that a backend server is expected to have cached.
///
/// # Invariants
///
/// `hashes` is sorted and holds at most `MAX_BLOCKS` hashes.
#[derive(Clone, Debug, Default)]
pub struct Index {
    hashes: Vec<u64>,
    next_seq: u64,
    has_gap: bool,
}

/// A cache event published by an engine.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEvent {
    /// Sequence number of the event; the engine assigns the numbers without gaps.
    pub seq: u64,
    /// Hashes of the blocks that were stored.
    pub stored: Vec<u64>,
    /// Hashes of the blocks that were removed.
    pub removed: Vec<u64>,
}

impl Index {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the sequence number of the next expected event.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns whether events have been missed since the last snapshot.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Applies an event; an event with an earlier sequence number than expected is ignored.
    pub fn apply(&mut self, event: &CacheEvent) {
        if event.seq < self.next_seq {
            return;
        }
        if event.seq > self.next_seq {
            self.has_gap = true;
        }
        self.next_seq = event.seq + 1;
        for hash in &event.removed {
            if let Ok(index) = self.hashes.binary_search(hash) {
                self.hashes.remove(index);
            }
        }
        self.add(&event.stored);
    }

    /// Replaces the contents with a snapshot taken after event `seq`.
    pub fn replace(&mut self, seq: u64, blocks: &[u64]) {
        self.hashes.clear();
        self.add(blocks);
        self.next_seq = seq + 1;
        self.has_gap = false;
    }

    /// Adds blocks, for example those of a prompt that this node has sent to the server.
    ///
    /// Blocks beyond the capacity of the index are ignored.
    pub fn add(&mut self, blocks: &[u64]) {
        for &hash in blocks {
            if self.hashes.len() >= MAX_BLOCKS {
                return;
            }
            if let Err(index) = self.hashes.binary_search(&hash) {
                self.hashes.insert(index, hash);
            }
        }
    }

    /// Returns the expected number of cached tokens of a prompt with these block hashes.
    pub fn expected_tokens(&self, block_hashes: &[u64]) -> f64 {
        let hits = block_hashes
            .iter()
            .take_while(|hash| self.hashes.binary_search(hash).is_ok())
            .count();
        let factor = if self.has_gap { GAP_FACTOR } else { 1.0 };
        (hits * BLOCK_WORDS) as f64 * factor
    }
}
