//! Features that may be blocked, and the crashes that speak against them.

use std::time::Duration;

use crate::core::Name;
use crate::core::quarantine::bulletin::Crash;
use crate::core::quarantine::features::Feature;
use crate::core::quarantine::features::Features;
use crate::core::time::Time;

/// Number of crashes after which features are blocked that no answered request had.
const MIN_CRASHES: usize = 3;

/// Number of crashes after which features are blocked that requests had which were
/// answered before, and after which crashes at the same moment count each.
pub const CERTAIN_CRASHES: usize = 5;

/// Time between two crashes that have different causes.
///
/// Servers that fail together, as of one rack, are no evidence against the requests.
const EPISODE_GAP: Duration = Duration::from_millis(50);

/// A set of features that may be blocked, with the crashes that count against it.
pub struct Candidate {
    /// The features.
    pub features: Features,
    /// Names of the servers that crashed, sorted.
    pub servers: Vec<Name>,
    /// Time of the last of these crashes.
    pub crashed_at: Time,
}

impl Candidate {
    /// Returns what the crashes at which `feature` was present have in common.
    pub fn new(feature: Feature, crashes: &[Crash]) -> Self {
        let mut features: Option<Features> = None;
        let mut servers = Vec::new();
        let mut crashed_at = Time::default();
        for crash in crashes {
            let having = crash.suspects.iter();
            let having = having.filter(|suspect| suspect.contains(feature));
            let Some(present) = having.cloned().reduce(|a, b| a.union(&b)) else {
                continue;
            };
            features = Some(match features {
                Some(common) => common.filtered(|feature| present.contains(feature)),
                None => present,
            });
            servers.push(crash.server.clone());
            crashed_at = crashed_at.max(crash.at);
        }
        Self {
            features: features.unwrap_or_default(),
            servers,
            crashed_at,
        }
    }

    /// Returns whether the crashes suffice to block the features.
    pub fn is_sufficient(&self, is_unproven: bool, crashes: &[Crash]) -> bool {
        if self.servers.len() >= CERTAIN_CRASHES {
            return true;
        }
        let mut times: Vec<Time> = crashes
            .iter()
            .filter(|crash| self.servers.binary_search(&crash.server).is_ok())
            .map(|crash| crash.at)
            .collect();
        times.sort_unstable();
        let mut episodes = 0;
        let mut began = None;
        for at in times {
            if began.is_none_or(|began| at.since(began) >= EPISODE_GAP) {
                began = Some(at);
                episodes += 1;
            }
        }
        is_unproven && episodes >= MIN_CRASHES
    }
}
