//! Counter of the work in flight, which a node waits for when it stops.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts the requests in flight and the writes that must complete.
#[derive(Clone, Debug)]
pub struct InFlight {
    count: Arc<watch::Sender<usize>>,
}

/// Counts one work item as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard(InFlight);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.end();
    }
}

impl Default for InFlight {
    fn default() -> Self {
        Self::new()
    }
}

impl InFlight {
    /// Creates a counter at zero.
    pub fn new() -> Self {
        Self {
            count: Arc::new(watch::channel(0).0),
        }
    }

    /// Counts one work item as started.
    pub fn begin(&self) {
        self.count.send_modify(|count| *count += 1);
    }

    /// Counts one work item as finished.
    pub fn end(&self) {
        self.count
            .send_modify(|count| *count = count.saturating_sub(1));
    }

    /// Counts one work item as in flight until the guard is dropped.
    pub fn guard(&self) -> Guard {
        self.begin();
        Guard(self.clone())
    }

    /// Returns the number of work items in flight.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no work is in flight.
    pub async fn wait_idle(&self) {
        let mut count = self.count.subscribe();
        // `self` holds the sender, so the wait cannot fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}
