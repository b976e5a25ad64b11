//! Tasks of an entry that panic.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cassialock::entry;

use crate::fakes;
use crate::fakes::Script;

/// Guards against duties that end for good with the task that panicked.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let entry = fakes::entry(&Arc::new(Script::default()));
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);
    let task = entry::spawn(&entry, "leader", move |_| {
        let count = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(count >= 2, "the task fails twice");
            std::future::pending::<()>().await;
        }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 1, "a pause comes first");
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
    task.abort();
}
