//! Which windows may still be reported.
//!
//! Two reports of a window with different counts must never be sent, so a window is
//! claimed in the store before it is reported. If the store returns from an older copy,
//! claims are lost. Each era of the store has a claim record of its own; the first one of
//! an era closes all windows that may have been reported before it, unless its writer
//! knows which were.

/// What the holder of the lease may report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// The windows after this one.
    After(u64),
    /// Nothing, before all windows that have ended were closed by a claim without counts.
    Close,
}

/// What one node knows of claims.
#[derive(Clone, Debug, Default)]
pub struct ClaimHistory {
    /// Newest claim known to the holder of the lease since it took it.
    newest: Option<u64>,
    /// Newest claim of all eras before the current one, if it is certain.
    before_era: Option<u64>,
}

impl ClaimHistory {
    /// Creates a history that knows of no claim.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that this node took the lease.
    pub fn record_taken(&mut self) {
        self.newest = None;
    }

    /// Records a claim that the holder of the lease read, or that was acknowledged.
    pub fn record_claim(&mut self, window: u64) {
        self.newest = self.newest.max(Some(window));
    }

    /// Records that an era followed another.
    ///
    /// `is_sole` says that no other node can have held the lease since this one took it,
    /// until the era ended; all claims of the ended era are then known.
    pub fn record_era(&mut self, is_sole: bool) {
        self.before_era = self.newest.take().filter(|_| is_sole);
    }

    /// Returns what may be reported next; `recorded` is the newest window in the record of
    /// the current era, or `None` if there is no record that can be read.
    pub fn next(&self, recorded: Option<u64>) -> Next {
        recorded
            .or(self.before_era)
            .map_or(Next::Close, Next::After)
    }
}
