//! Decisions, without input or output.
//!
//! Nothing in this module opens a socket, reads a clock, starts a task or draws
//! a random number of its own. Observations and the time come in as arguments;
//! decisions go out as typed values. The same inputs give the same decisions,
//! so a test can drive any part step by step from one thread.

pub mod catalog;
pub mod completion;
pub mod config;
pub mod fleet;
pub mod lease;
pub mod limit;
pub mod member;
pub mod moves;
pub mod once;
pub mod peer;
pub mod refusal;
pub mod relay;
pub mod request;
pub mod retry;
pub mod route;
pub mod stream;
pub mod table;
pub mod time;
pub mod usage;
pub mod verdict;

/// A name shared between threads without copying.
pub type Name = std::sync::Arc<str>;

/// Returns the 64-bit hash used for every stable placement decision.
///
/// The parts are separated, so that `["ab", "c"]` and `["a", "bc"]` differ.
pub fn hash(parts: &[&str]) -> u64 {
    let mut state = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        state.update(part.as_bytes());
        state.update(&[0xff]);
    }
    state.digest()
}
