//! At-most-once execution of calls with an idempotency key.
//!
//! A call on a route that is not repeatable is claimed in the object store
//! before it is sent. Claims are stored in a fixed number of shard objects.
//! Every write of a shard is one conditional update that batches all pending
//! changes, so the write rate does not grow with the call rate.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::time::Time;

/// Number of shard objects that store the claims.
pub const SHARD_COUNT: u64 = 32;

/// Retention of a claim and its outcome.
pub const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Maximum size of a response body stored with an outcome, in bytes.
pub const MAX_STORED_BODY: usize = 4_096;

/// Size above which a shard accepts no more claims, in bytes.
const MAX_SHARD_BYTES: usize = 900_000;

/// Serialized size of a claim without its key and body, in bytes.
const CLAIM_OVERHEAD: usize = 160;

/// Returns the index of the shard that stores `key`.
pub fn shard_of(key: &str) -> u64 {
    crate::core::hash(&[key]) % SHARD_COUNT
}

/// Response of a completed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body of the response, unless it is longer than [`MAX_STORED_BODY`].
    pub body: Option<String>,
}

/// Progress of a claimed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claiming node may send the call or may have sent it.
    Claimed,
    /// The call ran and returned this response.
    Done(Outcome),
}

/// Claim of one node to run the call with a given key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Idempotency key of the caller, qualified by workspace and service.
    pub key: Name,
    /// Identifier of the claim, unique for each attempt to claim a key.
    pub id: Name,
    /// Fingerprint of the body, which distinguishes a reused key from a resend.
    pub body: u64,
    /// Time at which the claim was made.
    pub at: Time,
    /// Progress of the call.
    pub state: ClaimState,
}

/// Change to a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Claims a key, unless it is already claimed.
    Claim(Claim),
    /// Stores the outcome of a claimed call.
    Finish {
        /// The claimed key.
        key: Name,
        /// Identifier of the claim that the outcome belongs to.
        id: Name,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// Releases a claim whose call was never sent.
    Release {
        /// The claimed key.
        key: Name,
        /// Identifier of the claim to release.
        id: Name,
    },
}

/// Effect of a change, valid once the changed shard is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Effect {
    /// The claim holds the key; only its claimer may send the call.
    Granted,
    /// Another claim holds the key; its call may have run.
    Held(Claim),
    /// The shard is full and was not changed.
    Full,
    /// The outcome was stored or the claim released.
    Stored,
}

/// Holds the claims of one shard object.
///
/// # Invariants
///
/// `claims` is sorted by key and contains no key twice.
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
        self.search(key).ok().map(|index| &self.claims[index])
    }

    /// Applies a change and returns its effect.
    ///
    /// Changes are idempotent. If it is unknown whether a change was stored, it
    /// can be applied again to the shard as read back from the store.
    pub fn apply(&mut self, change: &Change) -> Effect {
        match change {
            Change::Claim(claim) => self.claim(claim),
            Change::Finish { key, id, outcome } => self.finish(key, id, outcome),
            Change::Release { key, id } => self.release(key, id),
        }
    }

    fn claim(&mut self, claim: &Claim) -> Effect {
        match self.search(&claim.key) {
            Ok(index) if self.claims[index].id == claim.id => Effect::Granted,
            Ok(index) => Effect::Held(self.claims[index].clone()),
            Err(_) if self.size() > MAX_SHARD_BYTES => Effect::Full,
            Err(index) => {
                self.claims.insert(index, claim.clone());
                Effect::Granted
            }
        }
    }

    fn finish(&mut self, key: &str, id: &str, outcome: &Outcome) -> Effect {
        if let Ok(index) = self.search(key)
            && *self.claims[index].id == *id
        {
            self.claims[index].state = ClaimState::Done(outcome.clone());
        }
        Effect::Stored
    }

    fn release(&mut self, key: &str, id: &str) -> Effect {
        if let Ok(index) = self.search(key)
            && *self.claims[index].id == *id
            && self.claims[index].state == ClaimState::Claimed
        {
            self.claims.remove(index);
        }
        Effect::Stored
    }

    /// Drops the claims that are older than [`RETENTION`].
    pub fn expire(&mut self, now: Time) {
        self.claims.retain(|claim| now.since(claim.at) < RETENTION);
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the shard has no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn size(&self) -> usize {
        let body_len = |claim: &Claim| match &claim.state {
            ClaimState::Done(outcome) => outcome.body.as_ref().map_or(0, String::len),
            ClaimState::Claimed => 0,
        };
        self.claims
            .iter()
            .map(|claim| CLAIM_OVERHEAD + claim.key.len() + body_len(claim))
            .sum()
    }
}
