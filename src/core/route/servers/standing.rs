//! What is known of one server when a request is placed by predicted time.

use crate::core::Name;
use crate::core::route::servers::Class;
use crate::core::route::servers::LoadReport;
use crate::core::route::servers::Server;
use crate::core::route::servers::Servers;
use crate::core::route::servers::notice::Change;
use crate::core::route::servers::notice::Notice;
use crate::core::time::Time;

/// What is known of a server that accepts requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Last load report and its time, if there is one.
    pub load: Option<(LoadReport, Time)>,
    /// Whether the server is in the failure domain of this node.
    pub same_domain: bool,
    /// Whether the platform can reclaim the VM.
    pub reclaimable: bool,
    /// Whether its load may be probed: it neither limits its rate nor is closed.
    pub can_probe: bool,
}

impl Servers {
    /// Returns what is known of a server, or `None` if it is to get no request now.
    ///
    /// Any node may send to any server, except that the shares of a rate limit assume that
    /// a node only uses its own subset.
    pub fn standing(&self, id: &str, now: Time) -> Option<Standing> {
        let server = self.by_id.get(id)?;
        let is_eligible = server.is_choosable(&self.evacuated) && server.is_usable(now);
        if !is_eligible || !self.allows_rate(server, now) {
            return None;
        }
        Some(Standing {
            load: server.last_load(),
            same_domain: server.vm.domain == self.domain,
            reclaimable: server.vm.class == Class::Reclaimable,
            can_probe: !self.is_paced_server(server, now) && server.closure.is_none(),
        })
    }

    fn allows_rate(&self, server: &Server, now: Time) -> bool {
        if !self.is_paced_server(server, now) {
            return true;
        }
        let versions = self.subsets.get(&server.vm.service);
        let subset = versions.and_then(|versions| versions.get(&server.vm.version));
        let is_picked = |ids: &Vec<Name>| ids.contains(&server.vm.id);
        self.pacing_of(server, now).is_zero() && subset.is_some_and(is_picked)
    }

    /// Records what a server states in its answer to a probe sent at `sent`, and returns
    /// the changes.
    ///
    /// The load counts from `sent` on, so that requests which this node sends meanwhile
    /// are not taken for included; a newer report is kept. Unlike an answer to a request,
    /// the answer neither ends a silence nor opens or closes the server.
    pub fn record_probe_notice(
        &mut self,
        id: &str,
        notice: &Notice,
        sent: Time,
        random: f64,
        now: Time,
    ) -> Vec<Change> {
        let ignored = notice.invalid.iter().cloned();
        let mut changes: Vec<Change> = ignored.map(Change::Ignored).collect();
        let Some(server) = self.by_id.get(id) else {
            return changes;
        };
        if let Some(load) = notice.load
            && server.reported_at <= sent
        {
            self.record_load(id, load, sent);
        }
        let limit = notice.rate_limit;
        if limit.is_some() && self.record_rate_limit(id, limit, random, now) {
            changes.push(Change::RateLimit(limit));
        }
        if notice.is_leaving && self.announce_leaving(id, now, now) {
            changes.push(Change::Leaving);
        }
        changes
    }
}
