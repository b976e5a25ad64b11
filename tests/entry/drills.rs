//! Duties of entries whose store returns from an older copy of itself.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cassialock::clock::Clock;
use cassialock::core::catalog::Catalog;
use cassialock::core::usage::WindowCounts;
use cassialock::entry::Entry;
use cassialock::entry::adapter::Adapter;
use cassialock::entry::adapter::Cloud;
use cassialock::entry::adapter::CloudReply;
use cassialock::entry::adapter::LeaseHolder;
use cassialock::entry::leader;
use cassialock::entry::settings::Settings;
use cassialock::platform::protocol::HeaderProtocol;
use cassialock::telemetry::events::EventLog;
use futures_util::future::BoxFuture;
use tokio::task::JoinHandle;

use crate::fakes;
use crate::fakes::FakeCloud;
use crate::fakes::FakeStore;
use crate::fakes::Script;

/// Time in which a window ends and is reported.
const REPORT_TIME: Duration = Duration::from_secs(20);

/// A usage report: the node, its token, the window and its number of requests.
type Report = (String, u64, u64, u64);

/// A cloud that records usage reports.
#[derive(Clone, Default)]
struct Recorded(Arc<Mutex<Vec<Report>>>);

impl Cloud for Recorded {
    fn report_usage<'a>(
        &'a self,
        holder: &'a LeaseHolder,
        counts: &'a WindowCounts,
    ) -> BoxFuture<'a, CloudReply> {
        let requests = counts.requests.iter().map(|(_, count)| *count).sum();
        let report = (
            holder.node.to_string(),
            holder.fence,
            counts.window,
            requests,
        );
        self.0.lock().unwrap().push(report);
        Box::pin(async { CloudReply::Done })
    }

    fn order_servers<'a>(
        &'a self,
        holder: &'a LeaseHolder,
        service: &'a str,
        order: &'a cassialock::core::fleet::scaling::ScaleOrder,
    ) -> BoxFuture<'a, CloudReply> {
        FakeCloud.order_servers(holder, service, order)
    }
}

/// An entry that competes for the lease and starts a request every 100 ms.
struct Running(Vec<JoinHandle<()>>);

impl Running {
    fn start(node: &str, store: &Arc<Script>, cloud: &Recorded, clock: Clock) -> Self {
        let adapter = Adapter {
            dialect: Box::new(HeaderProtocol::new()),
            store: Box::new(FakeStore(Arc::clone(store))),
            cloud: Box::new(cloud.clone()),
        };
        let settings = Settings {
            node: node.into(),
            ..fakes::settings()
        };
        let events = EventLog::with_sender(node.into(), clock, None);
        let entry = Arc::new(Entry::new(settings, adapter, events, clock));
        entry.catalog.install(Catalog::new(1));
        entry.membership.set_incarnation(1);
        let serving = Arc::clone(&entry);
        let requests = async move {
            loop {
                serving.catalog.confirm(serving.clock.now());
                serving
                    .usage
                    .record(&"familias".into(), serving.cluster_time());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        Self(vec![
            tokio::spawn(requests),
            tokio::spawn(leader::run(entry)),
        ])
    }

    /// Ends the process, with all that it remembers.
    fn kill(self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

/// Checks that no token is used by two nodes and that no window has two counts.
fn assert_once(reports: &[Report]) {
    for (index, report) in reports.iter().enumerate() {
        for earlier in &reports[..index] {
            let is_same_holder = report.0 == earlier.0;
            assert!(report.1 != earlier.1 || is_same_holder, "{reports:?}");
            assert!(
                report.2 != earlier.2 || report.3 == earlier.3,
                "{reports:?}"
            );
        }
    }
}

/// Guards against a token of two nodes and a window with two counts after a drill and a loss of
/// power, which nobody remembers anything across.
#[tokio::test(start_paused = true)]
async fn a_restore_that_no_process_outlives_repeats_no_token_and_no_window() {
    let (store, cloud, clock) = (
        Arc::new(Script::default()),
        Recorded::default(),
        Clock::new(),
    );
    let copies = [
        Duration::ZERO,
        REPORT_TIME,
        REPORT_TIME + Duration::from_millis(300),
    ];
    for (drill, copied) in copies.into_iter().enumerate() {
        let before = Running::start(&format!("before-{drill}"), &store, &cloud, clock);
        tokio::time::sleep(copied).await;
        let copy = store.records.lock().unwrap().clone();
        tokio::time::sleep(REPORT_TIME - Duration::from_secs(12)).await;
        // Another process counts the same windows.
        let after = Running::start(&format!("after-{drill}"), &store, &cloud, clock);
        before.kill();
        store.restore(copy);
        tokio::time::sleep(REPORT_TIME).await;
        after.kill();
        assert_once(&cloud.0.lock().unwrap());
    }
    let reports = cloud.0.lock().unwrap();
    assert!(
        reports.iter().any(|report| report.0 == "after-2"),
        "{reports:?}"
    );
    assert!(store.records.lock().unwrap().objects.len() > 2);
}

/// Guards against windows that are lost although the holder of the lease knows its claims.
#[tokio::test(start_paused = true)]
async fn a_holder_that_outlives_a_restore_reports_all_windows_once() {
    let (store, cloud, clock) = (
        Arc::new(Script::default()),
        Recorded::default(),
        Clock::new(),
    );
    let holder = Running::start("holder", &store, &cloud, clock);
    tokio::time::sleep(REPORT_TIME).await;
    let copy = store.records.lock().unwrap().clone();
    tokio::time::sleep(Duration::from_secs(7)).await;
    store.restore(copy);
    tokio::time::sleep(REPORT_TIME).await;
    holder.kill();
    let reports = cloud.0.lock().unwrap();
    assert_once(&reports);
    let windows: Vec<u64> = reports.iter().map(|report| report.2).collect();
    let (first, last) = (windows[0], windows[windows.len() - 1]);
    let missing: Vec<u64> = (first..=last)
        .filter(|window| !windows.contains(window))
        .collect();
    assert!(missing.is_empty(), "{missing:?} of {reports:?}");
    assert!(last > first + 5, "{reports:?}");
}
