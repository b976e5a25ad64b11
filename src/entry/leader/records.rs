//! Records of the lease holder that must not outlive an era of the store.
//!
//! The store may return from an older copy, in which what was acknowledged since is lost
//! and revisions are given out again. Each era therefore has records of its own, and a call
//! that an era ends in the middle of says nothing about the next one.

use serde_json::Value;

use crate::core::Name;
use crate::entry::Entry;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::adapter::StoreError;
use crate::entry::leader::Leadership;
use crate::telemetry::events::Event;

impl Leadership {
    /// Reads the record that takes the place of `name` in the current era.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Lost`] if the era has ended.
    pub(super) async fn read_record(
        &mut self,
        entry: &Entry,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<Object>, StoreError> {
        let name = self.record_name(name);
        let read = entry.adapter.store.get(kind, &name).await;
        self.check_era(entry)?;
        read
    }

    /// Writes the record that takes the place of `name` in the current era, and returns its
    /// revision.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Lost`] if the era has ended.
    pub(super) async fn write_record(
        &mut self,
        entry: &Entry,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
        value: &Value,
    ) -> Result<u64, StoreError> {
        let name = self.record_name(name);
        let store = &entry.adapter.store;
        let written = store.write(kind, &name, revision, value).await;
        self.check_era(entry)?;
        written
    }

    /// Returns the name of the record that takes the place of `name` in the current era.
    ///
    /// A write that the store carries out late cannot affect a record of a later era.
    fn record_name(&self, name: &str) -> Name {
        match self.lease_state.era() {
            0 => name.into(),
            era => format!("{name}-{era}").into(),
        }
    }

    fn check_era(&mut self, entry: &Entry) -> Result<(), StoreError> {
        if self.note_era(entry) {
            return Err(StoreError::Lost("the era ended during the call".into()));
        }
        Ok(())
    }

    /// Notes a new era of the store and returns whether one has begun.
    pub(super) fn note_era(&mut self, entry: &Entry) -> bool {
        let (era, before) = (entry.adapter.store.era(), self.lease_state.era());
        if era == before {
            return false;
        }
        let is_sole = self.lease_state.record_era(era, entry.clock.now());
        self.claim_history.record_era(is_sole);
        entry.events.write(
            Event::new("store_era_began")
                .with("era", era)
                .with("era_before", before)
                .with("claims_known", is_sole),
        );
        self.revision = None;
        self.pending = None;
        self.claim = None;
        entry.membership.set_lease(None);
        true
    }
}
