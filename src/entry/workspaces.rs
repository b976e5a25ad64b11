//! Whether the deployment ever declared workspaces, which outlasts its entries.
//!
//! A catalog without workspaces doesn't tell whether the last one was just removed, with
//! its keys, or whether there never was one. Entries that have seen one say so to the
//! others and keep it in the store.

use serde_json::json;

use crate::core::catalog::WorkspaceHistory;
use crate::entry::Entry;
use crate::entry::adapter::ObjectKind;
use crate::entry::adapter::StoreError;
use crate::telemetry::events::Event;

/// Name of the object that exists once the deployment has declared workspaces.
const RECORD_NAME: &str = "declared";

/// Reads whether workspaces were ever declared, or writes that they were, if the catalog in
/// force doesn't tell.
///
/// # Errors
///
/// Returns an error if the store cannot be read or written.
pub async fn sync(entry: &Entry) -> Result<(), StoreError> {
    if entry.catalog.has_lost_workspaces() {
        return store(entry).await;
    }
    if !entry.catalog.needs_history() {
        return Ok(());
    }
    let store = &entry.adapter.store;
    let history = match store.get(ObjectKind::Workspaces, RECORD_NAME).await? {
        Some(_) => WorkspaceHistory::Declared,
        None => WorkspaceHistory::Never,
    };
    record(entry, history, "store");
    Ok(())
}

/// Records what was learned from `source`.
pub fn record(entry: &Entry, history: WorkspaceHistory, source: &'static str) {
    if entry.catalog.record_history(history) {
        entry.events.write(
            Event::new("workspace_history")
                .with("history", format!("{history:?}"))
                .with("source", source)
                .with("catalog_version", entry.catalog.version()),
        );
    }
}

/// Writes to the store that workspaces were declared, unless it is there.
///
/// # Errors
///
/// Returns an error if the store cannot be written.
pub async fn store(entry: &Entry) -> Result<(), StoreError> {
    let is_declared = entry.catalog.history() == WorkspaceHistory::Declared;
    let era = entry.adapter.store.era();
    if !is_declared || entry.catalog.recorded_era() == Some(era) {
        return Ok(());
    }
    let value = json!({"catalog_version": entry.catalog.version()});
    let store = &entry.adapter.store;
    let written = store.write(ObjectKind::Workspaces, RECORD_NAME, None, &value);
    match written.await {
        Ok(_) | Err(StoreError::Conflict) => {
            entry.catalog.set_recorded_era(era);
            Ok(())
        }
        Err(e) => Err(e),
    }
}
