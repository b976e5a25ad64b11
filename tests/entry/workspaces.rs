//! Requests while the deployment has no workspaces, or none any more.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cassialock::core::catalog::Catalog;
use cassialock::core::catalog::WorkspaceHistory;
use cassialock::entry::Entry;
use cassialock::entry::adapter::ObjectKind;
use cassialock::entry::settings::Settings;
use cassialock::entry::workspaces;
use serde_json::json;

use crate::fakes::Script;
use crate::harness;
use crate::harness::Harness;
use crate::pathwise;

/// Returns the catalog of the harness without its workspace.
fn without_workspaces(version: u64) -> Catalog {
    let mut catalog = harness::catalog().with_workspaces(Vec::new());
    catalog.version = version;
    catalog
}

/// Starts an entry whose first catalog has no workspaces.
async fn start(script: Arc<Script>, change: impl Fn(&mut Settings)) -> (Harness, Arc<AtomicUsize>) {
    let runs = Arc::new(AtomicUsize::new(0));
    let address = pathwise::backend(Arc::clone(&runs), Arc::default()).await;
    let harness = Harness::with_catalog(address, without_workspaces(1), script, change).await;
    wait_known(&harness.entry).await;
    (harness, runs)
}

/// Waits until an entry knows whether requests need a key.
async fn wait_known(entry: &Entry) {
    while entry.catalog.needs_history() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the statuses of requests with a key that was valid, with one that never was,
/// and without one, on a route of each kind.
async fn statuses(harness: &Harness) -> Vec<u16> {
    let mut statuses = Vec::new();
    for (method, path) in [("GET", "/read/x"), ("POST", "/order/x")] {
        for key in [
            "authorization: Token k-1\r\n",
            "authorization: Token k-9\r\n",
            "",
        ] {
            statuses.push(harness.exchange(method, path, "q-1", key, "").await);
        }
    }
    statuses
}

/// Guards against an entry that admits everybody once the last key is withdrawn.
#[tokio::test]
async fn the_last_workspace_takes_its_keys_with_it() {
    let harness = Harness::start(true).await;
    assert_eq!(harness.call("GET", "/read/x", "q-1", "k-1").await, 200);
    harness.install(without_workspaces(2));
    assert_eq!(statuses(&harness).await, [401; 6]);
    harness.install(without_workspaces(3));
    assert_eq!(statuses(&harness).await, [401; 6]);
    assert_eq!(harness.runs(), 1);
    let mut restored = harness::catalog();
    restored.version = 4;
    harness.install(restored);
    assert_eq!(statuses(&harness).await, [200, 401, 401, 200, 401, 401]);
}

/// Guards against callers of public routes who lose them with the last workspace.
#[tokio::test]
async fn public_routes_are_served_when_the_last_workspace_is_gone() {
    let harness = Harness::start(true).await;
    let mut routes = harness::catalog().routes().to_vec();
    routes.iter_mut().for_each(|route| route.is_public = true);
    harness.install(without_workspaces(2).with_routes(routes));
    assert_eq!(statuses(&harness).await, [200; 6]);
}

/// Guards against an entry that admits everybody because it started after the last key
/// was withdrawn.
#[tokio::test]
async fn an_entry_that_starts_without_workspaces_learns_that_there_were_some() {
    let script = Arc::new(Script::default());
    let record = (ObjectKind::Workspaces, "declared".into());
    let value = (1, json!({"catalog_version": 1}));
    script.records.lock().unwrap().objects.insert(record, value);
    let (harness, runs) = start(script, |_| {}).await;
    assert_eq!(statuses(&harness).await, [401; 6]);
    assert_eq!(runs.load(Ordering::Relaxed), 0);
}

/// Guards against an entry that goes by the store alone, which may have lost the record.
#[tokio::test]
async fn an_entry_learns_from_the_others_that_there_were_workspaces() {
    let (harness, _) = start(Arc::new(Script::default()), |_| {}).await;
    workspaces::record(&harness.entry, WorkspaceHistory::Declared, "peer");
    assert_eq!(statuses(&harness).await, [401; 6]);
}

/// Guards against a deployment without workspaces that is closed to its callers.
#[tokio::test]
async fn a_deployment_that_never_had_workspaces_serves_all_requests() {
    for has_workspaces in [true, false] {
        let change = |settings: &mut Settings| settings.bounds.has_workspaces = has_workspaces;
        let (harness, runs) = start(Arc::new(Script::default()), change).await;
        assert_eq!(statuses(&harness).await, [200; 6]);
        harness.install(without_workspaces(2));
        assert_eq!(statuses(&harness).await, [200; 6]);
        assert_eq!(runs.load(Ordering::Relaxed), 12);
    }
}

/// Guards against requests that run, or are refused for good, before an entry knows whether
/// they need a key.
#[tokio::test]
async fn requests_are_refused_until_an_entry_knows_if_keys_are_needed() {
    let script = Arc::new(Script::default());
    script.is_unreadable.store(true, Ordering::Relaxed);
    let runs = Arc::new(AtomicUsize::new(0));
    let address = pathwise::backend(Arc::clone(&runs), Arc::default()).await;
    let store = Arc::clone(&script);
    let harness = Harness::with_catalog(address, without_workspaces(1), store, |_| {}).await;
    assert_eq!(statuses(&harness).await, [503; 6]);
    assert_eq!(runs.load(Ordering::Relaxed), 0);
    script.is_unreadable.store(false, Ordering::Relaxed);
    wait_known(&harness.entry).await;
    assert_eq!(statuses(&harness).await, [200; 6]);
}

/// Guards against a record that is lost with a copy of the store, and one that is written
/// again and again.
#[tokio::test]
async fn the_record_of_workspaces_is_written_once_in_each_era() {
    let script = Arc::new(Script::default());
    let entry = crate::fakes::entry(&script);
    entry.catalog.install(harness::catalog());
    let before = script.records.lock().unwrap().clone();
    let is_stored = || {
        let records = script.records.lock().unwrap();
        records
            .objects
            .contains_key(&(ObjectKind::Workspaces, "declared".into()))
    };
    workspaces::sync(&entry).await.unwrap();
    assert!(!is_stored(), "only the lease holder writes it meanwhile");
    workspaces::store(&entry).await.unwrap();
    assert!(is_stored());
    script.records.lock().unwrap().objects.clear();
    workspaces::store(&entry).await.unwrap();
    assert!(!is_stored(), "it was written in this era");
    script.restore(before);
    entry.catalog.install(without_workspaces(2));
    workspaces::sync(&entry).await.unwrap();
    assert!(is_stored());
}

/// Guards against a workspace that is lost because another one cannot be read.
#[tokio::test]
async fn a_workspace_that_cannot_be_read_costs_only_its_own_callers() {
    let harness = Harness::start(true).await;
    let mut catalog = harness::catalog().with_unreadable_workspaces();
    catalog.version = 2;
    harness.install(catalog);
    assert_eq!(statuses(&harness).await, [200, 503, 401, 200, 503, 401]);
}
