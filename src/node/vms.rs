//! A node's copy of the platform's list of VMs, which it also serves to other nodes.

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::servers::Vm;
use crate::node::peers::VmDelta;

/// Maximum number of removed VMs kept, so that other nodes learn of the removals.
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
/// The list contains every VM that the platform listed at `revision`.
#[derive(Clone, Debug, Default)]
pub struct VmList {
    revision: u64,
    rows: NameMap<Row>,
}

impl VmList {
    /// Creates an empty list at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies the changes since revision `after`.
    ///
    /// Returns false and changes nothing if the changes are not newer than the list
    /// or start after its revision.
    pub fn apply(&mut self, after: u64, delta: VmDelta) -> bool {
        if delta.revision <= self.revision || after > self.revision {
            return false;
        }
        let revision = delta.revision;
        for vm in delta.vms {
            let id = vm.id.clone();
            self.rows.insert(
                id,
                Row {
                    revision,
                    vm: Some(vm),
                },
            );
        }
        for id in delta.removed {
            self.rows.insert(id, Row { revision, vm: None });
        }
        self.revision = revision;
        self.prune_removed();
        true
    }

    fn prune_removed(&mut self) {
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
        let last_pruned = revisions[removed - MAX_REMOVED];
        self.rows
            .retain(|_, row| row.vm.is_some() || row.revision > last_pruned);
    }

    /// Returns the changes after a revision, to be sent to another node.
    pub fn changes_since(&self, after: u64) -> VmDelta {
        let mut delta = VmDelta {
            revision: self.revision,
            ..VmDelta::default()
        };
        for (id, row) in self.rows.iter().filter(|(_, row)| row.revision > after) {
            match &row.vm {
                Some(vm) => delta.vms.push(vm.clone()),
                None => delta.removed.push(id.clone()),
            }
        }
        delta
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
