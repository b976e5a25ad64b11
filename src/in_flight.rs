//! The count of work that is open when the node stops.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts open requests and writes that must get through.
#[derive(Clone, Debug)]
pub struct InFlight {
    count: Arc<watch::Sender<usize>>,
}

/// Counts one piece of work until it is dropped.
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
    /// Creates a count of zero.
    pub fn new() -> Self {
        Self {
            count: Arc::new(watch::channel(0).0),
        }
    }

    /// Counts one piece of work.
    pub fn begin(&self) {
        self.count.send_modify(|count| *count += 1);
    }

    /// Counts one piece of work as done.
    pub fn end(&self) {
        self.count
            .send_modify(|count| *count = count.saturating_sub(1));
    }

    /// Counts one piece of work until the guard is dropped.
    pub fn guard(&self) -> Guard {
        self.begin();
        Guard(self.clone())
    }

    /// Returns the pieces of work that are open.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no work is open.
    pub async fn wait_idle(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}
