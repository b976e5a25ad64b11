//! What requests have in common.

use serde::Deserialize;
use serde::Serialize;

use crate::core::fingerprint::Fingerprint;
use crate::core::fingerprint::Identity;
use crate::core::request::PromptPart;

/// A property of a request that may crash the servers that run it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Feature {
    /// The request as a whole, which only its resends share, or the request without its
    /// query, which all queries on its path share.
    Request(Fingerprint),
    /// Identifier of a prompt part that other requests may share.
    Part(u64),
}

impl std::fmt::Display for Feature {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Feature::Request(fingerprint) => write!(f, "request {:x}", fingerprint.0),
            Feature::Part(id) => write!(f, "part {id:x}"),
        }
    }
}

/// A set of features.
///
/// # Invariants
///
/// The features are sorted, without repeats.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "Vec<Feature>")]
pub struct Features(Vec<Feature>);

impl From<Vec<Feature>> for Features {
    fn from(mut features: Vec<Feature>) -> Self {
        features.sort_unstable();
        features.dedup();
        Self(features)
    }
}

impl std::fmt::Display for Features {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, feature) in self.0.iter().enumerate() {
            let separator = if index > 0 { ", " } else { "" };
            write!(f, "{separator}{feature}")?;
        }
        Ok(())
    }
}

impl Features {
    /// Returns the features of a request whose prompt shares `parts` with others.
    pub fn new(identity: &Identity<'_>, parts: &[PromptPart]) -> Self {
        let parts = parts.iter().map(|part| Feature::Part(part.id));
        let exact = [*identity, identity.without_query()];
        let exact = exact.map(|identity| Feature::Request(identity.fingerprint()));
        Self::from(parts.chain(exact).collect::<Vec<Feature>>())
    }

    /// Iterates over the features in order.
    pub fn iter(&self) -> impl Iterator<Item = Feature> {
        self.0.iter().copied()
    }

    /// Returns whether the set has no features.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether the set has exactly one feature.
    pub fn is_single(&self) -> bool {
        self.0.len() == 1
    }

    /// Returns whether the set has `feature`.
    pub fn contains(&self, feature: Feature) -> bool {
        self.0.binary_search(&feature).is_ok()
    }

    /// Returns whether `other` has all features of this set.
    pub fn is_subset(&self, other: &Features) -> bool {
        self.iter().all(|feature| other.contains(feature))
    }

    /// Returns the features for which `keep` returns true.
    #[must_use]
    pub fn filtered(&self, keep: impl Fn(Feature) -> bool) -> Self {
        Self(self.iter().filter(|feature| keep(*feature)).collect())
    }

    /// Returns the features of either set.
    #[must_use]
    pub fn union(&self, other: &Features) -> Self {
        Self::from(self.iter().chain(other.iter()).collect::<Vec<Feature>>())
    }
}
