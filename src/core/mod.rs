//! Deterministic decision logic without I/O.
//!
//! Nothing in this module opens a socket, reads a clock, spawns a task or draws
//! its own random numbers. Observations and the current time are passed as
//! arguments, and decisions are returned as typed values. The same inputs
//! always give the same decisions, so tests can drive every part step by step
//! on one thread.

pub mod aggregate;
pub mod answer;
pub mod catalog;
pub mod completion;
pub mod config;
pub mod fingerprint;
pub mod fleet;
pub mod lease;
pub mod limit;
pub mod member;
pub mod moves;
pub mod name_map;
pub mod once;
pub mod peer;
pub mod quarantine;
pub mod refusal;
pub mod relay;
pub mod request;
pub mod retry;
pub mod route;
pub mod sse;
pub mod store_contact;
pub mod time;
pub mod usage;
pub mod verdict;

/// Reference-counted string for names that are shared between threads.
pub type Name = std::sync::Arc<str>;

/// Returns the 64-bit hash that all stable placement decisions use.
///
/// The parts are hashed with a separator, so that `["ab", "c"]` and
/// `["a", "bc"]` have different hashes.
pub fn hash(parts: &[&str]) -> u64 {
    let mut state = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        state.update(part.as_bytes());
        state.update(&[0xff]);
    }
    state.digest()
}
