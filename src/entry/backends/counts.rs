//! Counts of the backend servers and of the requests in flight at them.

use std::time::Duration;

use crate::core::Name;
use crate::core::fleet::scaling::DomainServers;
use crate::core::name_map::NameMap;
use crate::core::route::servers::Class;
use crate::core::time::Time;
use crate::entry::adapter::BackendServer;
use crate::entry::backends::Backends;

/// Capacity of the servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Number of servers that are to get requests and are usable.
    pub servers: u32,
    /// Requests that they run concurrently; 0 if they state none.
    pub slots: f64,
    /// Requests per slot in the recent load reports of this entry's candidates, if any.
    pub occupancy: Option<f64>,
    /// Age of the oldest of these reports.
    pub report_age: Duration,
}

impl Backends {
    /// Returns the number of this entry's requests in flight, by service.
    pub fn in_flight(&self) -> NameMap<f64> {
        let state = self.state.lock().unwrap();
        let mut in_flight: NameMap<f64> = NameMap::new();
        for server in state.servers.iter() {
            *in_flight.get_or_insert_with(&server.vm.service, || 0.0) +=
                f64::from(server.own_requests);
        }
        in_flight
    }

    /// Returns the capacity of the servers of each service that are to get requests.
    pub fn capacities(&self, now: Time) -> NameMap<Capacity> {
        let state = self.state.lock().unwrap();
        let mut capacities: NameMap<Capacity> = NameMap::new();
        let eligible = state.registered.iter().filter(|(_, server)| {
            !server.is_leaving && !state.servers.is_evacuated(&server.domain)
        });
        for (_, server) in eligible {
            let capacity = capacities.get_or_insert_with(&server.service, Capacity::default);
            capacity.servers += 1;
            capacity.slots += f64::from(server.slots);
        }
        for (service, capacity) in capacities.iter_mut() {
            let sample = state.servers.sample(service, now);
            capacity.servers = (f64::from(capacity.servers) * sample.usable).ceil() as u32;
            capacity.slots *= sample.usable;
            capacity.occupancy = sample.occupancy;
            capacity.report_age = sample.report_age;
        }
        capacities
    }

    /// Returns the number of servers of a service in each failure domain.
    ///
    /// `trial` is the version that is on trial, if any.
    pub fn servers_by_domain(
        &self,
        service: &str,
        domains: &[Name],
        trial: Option<&Name>,
        now: Time,
    ) -> Vec<DomainServers> {
        let state = self.state.lock().unwrap();
        let is_other = |server: &BackendServer| Some(&server.version) != trial;
        let mut present = state.registered.iter();
        // A version without others beside it carries the load.
        let has_others = present.any(|(_, row)| *row.service == *service && is_other(row));
        let mut domain_servers: Vec<DomainServers> = domains
            .iter()
            .map(|domain| DomainServers {
                domain: domain.clone(),
                ..DomainServers::default()
            })
            .collect();
        for (_, server) in state.registered.iter() {
            let counts = domain_servers
                .iter_mut()
                .find(|counts| counts.domain == server.domain && *server.service == *service);
            let Some(counts) = counts else { continue };
            let is_trial = has_others && !is_other(server);
            counts.cold += u32::from(state.is_starting(server, now));
            match (server.class, server.is_leaving) {
                (Class::Reclaimable, false) if is_trial => counts.trial.reclaimable += 1,
                (Class::OnDemand, false) if is_trial => counts.trial.on_demand += 1,
                (Class::Reclaimable, true) if is_trial => {}
                (Class::Reclaimable, false) => counts.reclaimable += 1,
                (Class::Reclaimable, true) => counts.reclaiming += 1,
                (Class::OnDemand, false) => counts.on_demand += 1,
                (Class::OnDemand, true) => {}
            }
        }
        domain_servers
    }

    /// Returns the sorted versions of a service's servers that are to get requests.
    pub fn versions(&self, service: &str) -> Vec<Name> {
        let state = self.state.lock().unwrap();
        let mut versions: Vec<Name> = state
            .registered
            .iter()
            .filter(|(_, server)| *server.service == *service && !server.is_leaving)
            .filter(|(_, server)| !state.servers.is_evacuated(&server.domain))
            .map(|(_, server)| server.version.clone())
            .collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns the number of a service's servers that run other versions than `version`
    /// and are not leaving.
    pub fn count_others(&self, service: &str, version: &str) -> usize {
        self.count(service, |server| *server.version != *version)
    }

    /// Returns the number of a service's servers that run `version` and are not leaving.
    pub fn count_version(&self, service: &str, version: &str) -> usize {
        self.count(service, |server| *server.version == *version)
    }

    fn count(&self, service: &str, is_counted: impl Fn(&BackendServer) -> bool) -> usize {
        let state = self.state.lock().unwrap();
        let rows = state.registered.iter().filter(|(_, server)| {
            *server.service == *service && !server.is_leaving && is_counted(server)
        });
        rows.count()
    }

    /// Returns the number of requests that the servers of a service run at the same time,
    /// apart from those that leave.
    pub fn total_slots(&self, service: &str) -> f64 {
        let state = self.state.lock().unwrap();
        let servers = state.registered.iter().map(|(_, server)| server);
        let present = servers.filter(|server| *server.service == *service && !server.is_leaving);
        present.map(|server| f64::from(server.slots)).sum()
    }
}
