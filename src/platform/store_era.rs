//! Eras of the platform's store, which may come back from an older copy of itself.
//!
//! Revisions go back with it and are given out again, so that a revision says something
//! only together with the era in which it was given out. Both are combined to a position,
//! by which everything that the store says can be ordered: a later era is later, whatever
//! its revisions.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use http::HeaderMap;

/// Header of all answers of the store that names its era.
pub const ERA: &str = "store-era";

/// Bits of a position that hold the revision.
const REVISION_BITS: u32 = 48;

/// Highest era that a position can hold.
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// Largest rise of the era between two answers that is believed.
const MAX_RISE: u64 = 64;

/// The era of one answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answered {
    /// The answer is of this era.
    In(u64),
    /// The answer is of an era that has ended.
    Earlier,
}

/// Tracks the era of one store.
#[derive(Debug, Default)]
pub struct StoreEra {
    /// The era, or 0 before the store has named one.
    current: AtomicU64,
}

impl StoreEra {
    /// Creates a tracker that has seen no answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current era.
    pub fn current(&self) -> u64 {
        self.current.load(Ordering::Acquire)
    }

    /// Records the era that an answer names, and returns that of the answer.
    ///
    /// An answer without a valid era counts as one of the current era.
    pub fn record(&self, headers: &HeaderMap) -> Answered {
        let known = self.current();
        let Some(era) = named_era(headers, known) else {
            return Answered::In(known);
        };
        if era < known {
            return Answered::Earlier;
        }
        if era > known {
            self.current.fetch_max(era, Ordering::AcqRel);
            metrics::gauge!("cassialock_store_era").set(era as f64);
        }
        Answered::In(era)
    }
}

/// Returns the era that an answer names, if it is valid.
fn named_era(headers: &HeaderMap, known: u64) -> Option<u64> {
    let mut values = headers.get_all(ERA).iter();
    let first = values.next()?;
    let text = first.to_str().ok().filter(|_| values.next().is_none());
    let era = text.and_then(|text| text.trim().parse::<u64>().ok());
    let is_believed =
        |era: &u64| (1..=MAX_ERA).contains(era) && (known == 0 || *era <= known + MAX_RISE);
    let era = era.filter(is_believed);
    if era.is_none() {
        metrics::counter!("cassialock_store_era_ignored_total").increment(1);
        log::warn!("platform: ignored the era {first:?} of the store, after era {known}");
    }
    era
}

/// Returns the position of a revision.
pub const fn position(era: u64, revision: u64) -> u64 {
    (era << REVISION_BITS) | revision
}

/// Returns the era of a position.
pub const fn era_of(position: u64) -> u64 {
    position >> REVISION_BITS
}

/// Returns the revision of a position, as the store names it.
pub const fn revision_of(position: u64) -> u64 {
    position & !(MAX_ERA << REVISION_BITS)
}
