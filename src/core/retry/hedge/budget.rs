//! Limit of the extra work of hedges to a percentage of the work of a service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::time::Time;

/// Length of the sliding window.
pub const WINDOW: Duration = Duration::from_secs(10);

/// Resolution of the window.
const BUCKET: Duration = Duration::from_millis(250);

/// Work in one part of the window, in tokens, or calls of services without tokens.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    began: Time,
    own: f64,
    extra: f64,
}

/// Work of a service at this node and the extra work of its hedges.
///
/// Both are rounded so that the limit holds in the exact window that ends with each
/// hedge: a part of which less than all is in the window counts for the extra work and
/// not for the work of the service.
#[derive(Clone, Debug, Default)]
pub struct WorkWindow {
    buckets: VecDeque<Bucket>,
}

impl WorkWindow {
    /// Creates an empty window.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the work of a request without that of its hedge.
    pub fn count(&mut self, work: f64, now: Time) {
        self.bucket(now).own += work;
    }

    /// Returns whether a hedge of `work` keeps within `percent` of the work.
    pub fn fits(&self, work: f64, percent: f64, now: Time) -> bool {
        let (own, extra) = self.totals(now);
        extra + work <= own * percent / 100.0
    }

    /// Counts a hedge of `work` if it keeps within `percent` of the work.
    pub fn spend(&mut self, work: f64, percent: f64, now: Time) -> bool {
        let fits = self.fits(work, percent, now);
        if fits {
            self.bucket(now).extra += work;
        }
        fits
    }

    /// Returns the work and the extra work in the window.
    pub fn totals(&self, now: Time) -> (f64, f64) {
        let in_window = |at: Time| now.since(at) < WINDOW;
        let own = self.buckets.iter().filter(|row| in_window(row.began));
        let extra = self.buckets.iter();
        let extra = extra.filter(|row| in_window(row.began + BUCKET));
        (
            own.map(|row| row.own).sum(),
            extra.map(|row| row.extra).sum(),
        )
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let is_expired = |row: &Bucket| now.since(row.began) >= WINDOW + BUCKET;
        while self.buckets.front().is_some_and(is_expired) {
            self.buckets.pop_front();
        }
        let last = self.buckets.back();
        if last.is_none_or(|last| now.since(last.began) >= BUCKET) {
            self.buckets.push_back(Bucket {
                began: now,
                own: 0.0,
                extra: 0.0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
