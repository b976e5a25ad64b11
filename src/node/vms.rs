//! The platform's list of VMs as a node holds it and passes it on.

use crate::core::Name;
use crate::core::route::servers::Vm;
use crate::core::table::Table;
use crate::node::peers::VmDelta;

/// Removed VMs that are remembered to tell other nodes.
const MAX_REMOVED: usize = 4_096;

#[derive(Clone, Debug)]
struct Row {
    revision: u64,
    vm: Option<Vm>,
}

/// The list of VMs at one revision.
///
/// # Invariants
///
/// The list holds every VM that the platform showed at `revision`.
#[derive(Clone, Debug, Default)]
pub struct VmList {
    revision: u64,
    rows: Table<Row>,
}

impl VmList {
    /// Creates a list that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes over changes that were asked for from revision `after` on.
    ///
    /// Returns false, and takes nothing, if the changes are not newer or if
    /// they do not reach back to what is held.
    pub fn apply(&mut self, after: u64, news: VmDelta) -> bool {
        if news.revision <= self.revision || after > self.revision {
            return false;
        }
        let revision = news.revision;
        for vm in news.vms {
            let id = vm.id.clone();
            self.rows.insert(
                id,
                Row {
                    revision,
                    vm: Some(vm),
                },
            );
        }
        for id in news.removed {
            self.rows.insert(id, Row { revision, vm: None });
        }
        self.revision = revision;
        self.forget_removed();
        true
    }

    fn forget_removed(&mut self) {
        let removed = self.rows.iter().filter(|(_, row)| row.vm.is_none()).count();
        if removed <= MAX_REMOVED {
            return;
        }
        let mut revisions: Vec<u64> = self
            .rows
            .iter()
            .filter(|(_, row)| row.vm.is_none())
            .map(|(_, row)| row.revision)
            .collect();
        revisions.sort_unstable();
        let horizon = revisions[removed - MAX_REMOVED];
        self.rows
            .retain(|_, row| row.vm.is_some() || row.revision > horizon);
    }

    /// Returns the changes after a revision, for another node.
    pub fn changes_since(&self, after: u64) -> VmDelta {
        let mut news = VmDelta {
            revision: self.revision,
            ..VmDelta::default()
        };
        for (id, row) in self.rows.iter().filter(|(_, row)| row.revision > after) {
            match &row.vm {
                Some(vm) => news.vms.push(vm.clone()),
                None => news.removed.push(id.clone()),
            }
        }
        news
    }

    /// Returns all VMs.
    pub fn all(&self) -> Vec<Vm> {
        self.rows
            .iter()
            .filter_map(|(_, row)| row.vm.clone())
            .collect()
    }

    /// Returns the VMs of one service.
    pub fn of_service(&self, service: &Name) -> Vec<Vm> {
        self.rows
            .iter()
            .filter_map(|(_, row)| row.vm.as_ref())
            .filter(|vm| vm.service == *service)
            .cloned()
            .collect()
    }
}
