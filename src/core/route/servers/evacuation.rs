//! Failure domains whose servers get no more requests, by order of an operator.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::route::servers::Servers;
use crate::core::time::Time;

/// Time for which nodes tell each other that nothing is evacuated any more.
const NEWS_TIME: Duration = Duration::from_secs(30);

/// The evacuated failure domains at one revision of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuations {
    /// Revision of the store that is reflected.
    pub revision: u64,
    /// The sorted evacuated domains.
    pub domains: Vec<Name>,
}

/// What a node knows of evacuations, and for how long it tells other nodes.
#[derive(Clone, Debug, Default)]
pub struct Evacuated {
    known: Evacuations,
    changed_at: Option<Time>,
}

/// The failure domains that a change affects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Difference {
    /// Domains that are evacuated from now on.
    pub begun: Vec<Name>,
    /// Domains whose servers get requests again.
    pub ended: Vec<Name>,
}

impl Evacuated {
    /// Creates a state without evacuations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what is known.
    pub const fn known(&self) -> &Evacuations {
        &self.known
    }

    /// Applies a listing, unless a newer one is known, and returns the difference.
    pub fn apply(&mut self, mut listing: Evacuations, now: Time) -> Difference {
        if listing.revision < self.known.revision {
            // Its sender has missed a change, so it has to be told again.
            if listing.domains != self.known.domains {
                self.changed_at = Some(now);
            }
            return Difference::default();
        }
        listing.domains.sort_unstable();
        listing.domains.dedup();
        let added = |domains: &[Name], before: &[Name]| -> Vec<Name> {
            let is_new = |domain: &&Name| before.binary_search(domain).is_err();
            domains.iter().filter(is_new).cloned().collect()
        };
        let difference = Difference {
            begun: added(&listing.domains, &self.known.domains),
            ended: added(&self.known.domains, &listing.domains),
        };
        if difference != Difference::default() {
            self.changed_at = Some(now);
        }
        self.known = listing;
        difference
    }

    /// Returns whether a domain is evacuated.
    pub fn contains(&self, domain: &Name) -> bool {
        self.known.domains.binary_search(domain).is_ok()
    }

    /// Returns what to tell other nodes, if anything.
    ///
    /// The end of all evacuations is told for a limited time, and again to a node that
    /// has missed it.
    pub fn news(&self, now: Time) -> Option<&Evacuations> {
        let is_recent = self.changed_at.is_some_and(|at| now.since(at) < NEWS_TIME);
        (is_recent || !self.known.domains.is_empty()).then_some(&self.known)
    }
}

impl Servers {
    /// Applies a listing of the evacuated failure domains, unless a newer one is known,
    /// and returns the difference.
    pub fn record_evacuations(&mut self, listing: Evacuations, now: Time) -> Difference {
        let difference = self.evacuated.apply(listing, now);
        if difference != Difference::default() {
            self.rebuild_subsets();
        }
        difference
    }

    /// Applies the changes of single domains up to `revision`, each with whether it is
    /// evacuated, and returns the difference.
    pub fn record_evacuation_changes(
        &mut self,
        revision: u64,
        changes: &[(Name, bool)],
        now: Time,
    ) -> Difference {
        let mut domains = self.evacuated.known.domains.clone();
        for (domain, is_evacuated) in changes {
            domains.retain(|known| known != domain);
            if *is_evacuated {
                domains.push(domain.clone());
            }
        }
        self.record_evacuations(Evacuations { revision, domains }, now)
    }

    /// Returns what is known of evacuations.
    pub const fn evacuated(&self) -> &Evacuated {
        &self.evacuated
    }

    /// Returns whether the servers of a failure domain get no requests.
    pub fn is_evacuated(&self, domain: &Name) -> bool {
        self.evacuated.contains(domain)
    }
}
