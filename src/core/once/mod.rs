//! Keyed calls that run at most once.
//!
//! A call on a route that is not repeatable is claimed in the object store
//! before it is sent. Claims are kept in a fixed number of shard objects; every
//! change of a shard is one conditional update that carries all claims waiting
//! for it, so the writes a second do not grow with the calls.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::time::Time;

/// Shard objects that hold the claims.
pub const SHARD_COUNT: u64 = 32;

/// Time for which a claim and its outcome are kept.
pub const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Largest answer body kept with an outcome, in bytes.
pub const MAX_STORED_BODY: usize = 4_096;

/// Size at which a shard takes no more claims, in bytes.
const MAX_SHARD_BYTES: usize = 900_000;

/// Bytes that a claim takes besides its key and body.
const ROW_OVERHEAD: usize = 160;

/// Returns the shard that holds `key`.
pub fn shard_of(key: &str) -> u64 {
    crate::core::hash(&[key]) % SHARD_COUNT
}

/// The answer of a call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// The body, unless it is longer than [`MAX_STORED_BODY`].
    pub body: Option<String>,
}

/// How far a claimed call has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// A node may send it or may have sent it.
    Claimed,
    /// It ran and this was the answer.
    Done(Outcome),
}

/// One claimed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The caller's key, with workspace and service.
    pub key: Name,
    /// Identifies the claim: no two attempts to claim share it.
    pub id: Name,
    /// Fingerprint of the body, to tell a reused key from a resend.
    pub body: u64,
    /// When the claim was made.
    pub at: Time,
    /// How far the call has come.
    pub state: ClaimState,
}

/// A change to a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Claims a key, unless it is taken.
    Claim(Claim),
    /// Stores the outcome of a claimed call.
    Finish {
        /// The key.
        key: Name,
        /// The claim that the outcome belongs to.
        id: Name,
        /// The outcome.
        outcome: Outcome,
    },
    /// Gives a claim back whose call was never sent.
    Release {
        /// The key.
        key: Name,
        /// The claim to give back.
        id: Name,
    },
}

/// The result of a change, once the shard that holds it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Effect {
    /// The key belongs to this claim: the call may be sent, by its claimer only.
    Granted,
    /// The key was claimed before; its call may have run.
    Held(Claim),
    /// The shard is full; nothing was changed.
    Full,
    /// The outcome is stored or the claim given back.
    Stored,
}

/// The content of one shard object.
///
/// # Invariants
///
/// `claims` is sorted by key, and no key stands twice.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shard {
    claims: Vec<Claim>,
}

impl Shard {
    /// Creates a shard without claims.
    pub fn new() -> Self {
        Self::default()
    }

    fn search(&self, key: &str) -> Result<usize, usize> {
        self.claims.binary_search_by(|claim| (*claim.key).cmp(key))
    }

    /// Returns the claim for `key`.
    pub fn get(&self, key: &str) -> Option<&Claim> {
        self.search(key).ok().map(|at| &self.claims[at])
    }

    /// Applies a change and returns its effect.
    ///
    /// Applying the same change again has the same effect, so a change whose
    /// stored result is not known can be applied to the shard as read back.
    pub fn apply(&mut self, change: &Change) -> Effect {
        match change {
            Change::Claim(claim) => self.claim(claim),
            Change::Finish { key, id, outcome } => self.finish(key, id, outcome),
            Change::Release { key, id } => self.release(key, id),
        }
    }

    fn claim(&mut self, claim: &Claim) -> Effect {
        match self.search(&claim.key) {
            Ok(at) if self.claims[at].id == claim.id => Effect::Granted,
            Ok(at) => Effect::Held(self.claims[at].clone()),
            Err(_) if self.size() > MAX_SHARD_BYTES => Effect::Full,
            Err(at) => {
                self.claims.insert(at, claim.clone());
                Effect::Granted
            }
        }
    }

    fn finish(&mut self, key: &str, id: &str, outcome: &Outcome) -> Effect {
        if let Ok(at) = self.search(key)
            && *self.claims[at].id == *id
        {
            self.claims[at].state = ClaimState::Done(outcome.clone());
        }
        Effect::Stored
    }

    fn release(&mut self, key: &str, id: &str) -> Effect {
        if let Ok(at) = self.search(key)
            && *self.claims[at].id == *id
            && self.claims[at].state == ClaimState::Claimed
        {
            self.claims.remove(at);
        }
        Effect::Stored
    }

    /// Drops the claims older than the retention.
    pub fn expire(&mut self, now: Time) {
        self.claims.retain(|claim| now.since(claim.at) < RETENTION);
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the shard has no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn size(&self) -> usize {
        let body = |claim: &Claim| match &claim.state {
            ClaimState::Done(outcome) => outcome.body.as_ref().map_or(0, String::len),
            ClaimState::Claimed => 0,
        };
        self.claims
            .iter()
            .map(|claim| ROW_OVERHEAD + claim.key.len() + body(claim))
            .sum()
    }
}
