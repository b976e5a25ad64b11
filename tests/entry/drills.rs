//! Duties of entries whose store returns from an older copy of itself.

use std::collections::BTreeMap;
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
use cassialock::entry::adapter::Consistency;
use cassialock::entry::adapter::Content;
use cassialock::entry::adapter::LeaseHolder;
use cassialock::entry::adapter::Listing;
use cassialock::entry::adapter::MoveOutcome;
use cassialock::entry::adapter::Object;
use cassialock::entry::adapter::ObjectKind;
use cassialock::entry::adapter::Store;
use cassialock::entry::adapter::StoreError;
use cassialock::entry::adapter::WatchResult;
use cassialock::entry::leader;
use cassialock::entry::settings::Settings;
use cassialock::platform::protocol::HeaderProtocol;
use cassialock::telemetry::events::EventLog;
use futures_util::future::BoxFuture;
use serde_json::Value;
use tokio::task::JoinHandle;

use crate::fakes;
use crate::fakes::ERA_REVISIONS;
use crate::fakes::FakeCloud;

/// Time in which a window ends and is reported.
const REPORT_TIME: Duration = Duration::from_secs(20);

/// Objects by kind and name, with their revisions.
type Objects = BTreeMap<(ObjectKind, String), (u64, Value)>;

/// The state of a store that several entries share.
#[derive(Clone, Default)]
struct State {
    era: u64,
    revision: u64,
    objects: Objects,
}

/// A store that can be restored from a copy.
#[derive(Clone, Default)]
struct Drilled(Arc<Mutex<State>>);

impl Drilled {
    fn copy(&self) -> State {
        self.0.lock().unwrap().clone()
    }

    /// Brings the store back from a copy.
    fn restore(&self, copy: State) {
        let mut state = self.0.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, ..copy };
    }

    fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        position: Option<u64>,
        value: &Value,
    ) -> Result<u64, StoreError> {
        let mut state = self.0.lock().unwrap();
        let (era, revision) = (state.era, state.revision + 1);
        let key = (kind, name.to_string());
        let known = state.objects.get(&key);
        if known.map(|known| era * ERA_REVISIONS + known.0) != position {
            return Err(StoreError::Conflict);
        }
        state.revision = revision;
        state.objects.insert(key, (revision, value.clone()));
        Ok(era * ERA_REVISIONS + revision)
    }
}

impl Store for Drilled {
    fn era(&self) -> u64 {
        self.0.lock().unwrap().era
    }

    fn era_of(&self, revision: u64) -> u64 {
        revision / ERA_REVISIONS
    }

    fn list(
        &self,
        _kind: ObjectKind,
        _consistency: Consistency,
    ) -> BoxFuture<'_, Result<Listing, StoreError>> {
        Box::pin(async { Ok(Listing::default()) })
    }

    fn watch(
        &self,
        _kind: ObjectKind,
        _after: u64,
        _wait: Duration,
    ) -> BoxFuture<'_, Result<WatchResult, StoreError>> {
        Box::pin(std::future::pending())
    }

    fn get(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> BoxFuture<'_, Result<Option<Object>, StoreError>> {
        let state = self.0.lock().unwrap();
        let found = state.objects.get(&(kind, name.to_string()));
        let object = found.map(|(revision, value)| Object {
            name: name.into(),
            revision: state.era * ERA_REVISIONS + revision,
            content: Content::Record(value.clone()),
        });
        Box::pin(async { Ok(object) })
    }

    fn write(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
        value: &Value,
    ) -> BoxFuture<'_, Result<u64, StoreError>> {
        let written = self.put(kind, name, revision, value);
        Box::pin(async { written })
    }

    fn remove(
        &self,
        _kind: ObjectKind,
        _name: &str,
        _revision: u64,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }

    fn report_move(
        &self,
        _name: &str,
        _target: &str,
        _outcome: MoveOutcome,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }
}

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
    fn start(node: &str, store: &Drilled, cloud: &Recorded, clock: Clock) -> Self {
        let adapter = Adapter {
            dialect: Box::new(HeaderProtocol::new()),
            store: Box::new(store.clone()),
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
    let (store, cloud, clock) = (Drilled::default(), Recorded::default(), Clock::new());
    let copies = [
        Duration::ZERO,
        REPORT_TIME,
        REPORT_TIME + Duration::from_millis(300),
    ];
    for (drill, copied) in copies.into_iter().enumerate() {
        let before = Running::start(&format!("before-{drill}"), &store, &cloud, clock);
        tokio::time::sleep(copied).await;
        let copy = store.copy();
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
    assert!(store.0.lock().unwrap().objects.len() > 2);
}

/// Guards against windows that are lost although the holder of the lease knows its claims.
#[tokio::test(start_paused = true)]
async fn a_holder_that_outlives_a_restore_reports_all_windows_once() {
    let (store, cloud, clock) = (Drilled::default(), Recorded::default(), Clock::new());
    let holder = Running::start("holder", &store, &cloud, clock);
    tokio::time::sleep(REPORT_TIME).await;
    let copy = store.copy();
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
