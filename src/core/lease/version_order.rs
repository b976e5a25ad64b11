//! Version orders to backend servers.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// An order that names the desired version.
///
/// It states the end state instead of a step towards it, so that it is
/// idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionOrder {
    /// Fencing token of the node that sends the order.
    pub fence: u64,
    /// The version that the server should run.
    pub version: Name,
}

/// Returns the order that a server needs, or `None` if it runs the wanted
/// version.
pub fn needed_order(wanted: &Name, running: Option<&Name>, fence: u64) -> Option<VersionOrder> {
    if running == Some(wanted) {
        return None;
    }
    Some(VersionOrder {
        fence,
        version: wanted.clone(),
    })
}
