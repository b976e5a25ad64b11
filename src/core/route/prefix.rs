//! Knowledge of which prompt prefixes a backend server has cached.

/// Words in one block of a prompt.
pub const BLOCK_WORDS: usize = 16;

/// Blocks remembered for each backend server.
const MAX_BLOCKS: usize = 4_096;

/// Trust in an index after events were missed, until a snapshot repairs it.
const GAP_TRUST: f64 = 0.5;

/// Returns the chain of block hashes of `text`.
///
/// Each hash covers the text from its beginning to the end of the block, so
/// equal hashes mean an equal prefix. A last block that is not full is left out.
pub fn block_hashes(text: &str) -> Vec<u64> {
    let mut chain = Vec::new();
    let mut state = xxhash_rust::xxh3::Xxh3::new();
    for (at, word) in text.split_whitespace().enumerate() {
        state.update(word.as_bytes());
        state.update(b" ");
        if (at + 1) % BLOCK_WORDS == 0 {
            chain.push(state.digest());
        }
    }
    chain
}

/// What one backend server is believed to have cached.
///
/// # Invariants
///
/// `known` is sorted and holds at most `MAX_BLOCKS` hashes.
#[derive(Clone, Debug, Default)]
pub struct Index {
    known: Vec<u64>,
    next_seq: u64,
    has_gap: bool,
}

/// One cache event published by an engine.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEvent {
    /// Position in the engine's sequence of events, without holes at the source.
    pub seq: u64,
    /// Blocks that were stored.
    pub stored: Vec<u64>,
    /// Blocks that were removed.
    pub removed: Vec<u64>,
}

impl Index {
    /// Creates an index that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of the event that is expected next.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns whether events were missed since the last snapshot.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Applies an event; one that was applied before changes nothing.
    pub fn apply(&mut self, event: &CacheEvent) {
        if event.seq < self.next_seq {
            return;
        }
        if event.seq > self.next_seq {
            self.has_gap = true;
        }
        self.next_seq = event.seq + 1;
        for hash in &event.removed {
            if let Ok(at) = self.known.binary_search(hash) {
                self.known.remove(at);
            }
        }
        self.add(&event.stored);
    }

    /// Replaces everything known by a snapshot taken after event `seq`.
    pub fn replace(&mut self, seq: u64, blocks: &[u64]) {
        self.known.clear();
        self.add(blocks);
        self.next_seq = seq + 1;
        self.has_gap = false;
    }

    /// Adds blocks that this node sent to the server itself.
    pub fn add(&mut self, blocks: &[u64]) {
        for &hash in blocks {
            if self.known.len() >= MAX_BLOCKS {
                return;
            }
            if let Err(at) = self.known.binary_search(&hash) {
                self.known.insert(at, hash);
            }
        }
    }

    /// Returns the expected number of cached tokens of a prompt.
    pub fn expected_tokens(&self, chain: &[u64]) -> f64 {
        let hits = chain
            .iter()
            .take_while(|hash| self.known.binary_search(hash).is_ok())
            .count();
        let trust = if self.has_gap { GAP_TRUST } else { 1.0 };
        (hits * BLOCK_WORDS) as f64 * trust
    }
}
