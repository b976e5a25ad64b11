//! Orders to backend servers.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// An order, which names the wanted end state and not a step towards it, so
/// that carrying it out twice does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionOrder {
    /// Fencing number of the node that gives it.
    pub fence: u64,
    /// The version that the server is to run.
    pub version: Name,
}

/// Returns the order that a server needs, if it does not run what it should.
pub fn needed_order(wanted: &Name, running: Option<&Name>, fence: u64) -> Option<VersionOrder> {
    if running == Some(wanted) {
        return None;
    }
    Some(VersionOrder {
        fence,
        version: wanted.clone(),
    })
}
