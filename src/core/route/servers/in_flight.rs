//! Counts of this node's requests in flight at servers.

use crate::core::route::servers::Servers;

impl Servers {
    /// Counts a request as in flight at a server, and its prompt blocks as cached there.
    pub fn begin_request(&mut self, id: &str, block_hashes: &[u64]) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.own_requests += 1;
            server.index.add(block_hashes);
        }
    }

    /// Counts a request at a server as ended.
    pub fn end_request(&mut self, id: &str) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.own_requests = server.own_requests.saturating_sub(1);
        }
    }

    /// Counts a request at a server that is suspected of having crashed another server.
    pub fn add_suspect(&mut self, id: &str) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.suspect_requests += 1;
        }
    }

    /// Counts a suspected request at a server as ended.
    pub fn remove_suspect(&mut self, id: &str) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.suspect_requests = server.suspect_requests.saturating_sub(1);
        }
    }
}
