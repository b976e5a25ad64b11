//! Orders backend servers, so that each service has as many as it needs.

use futures_util::future;

use crate::core::Name;
use crate::core::fleet::load::CapacityEstimate;
use crate::core::fleet::scaling::Autoscaler;
use crate::core::fleet::scaling::ScaleOrder;
use crate::core::route::servers::Class;
use crate::entry::Entry;
use crate::entry::adapter::CloudReply;
use crate::entry::adapter::LeaseHolder;
use crate::entry::leader;
use crate::entry::leader::Leadership;
use crate::telemetry::events::Event;

/// Fencing token of the first lease holder of a deployment.
const FIRST_FENCE: u64 = 1;

impl Leadership {
    /// Orders backend servers for each service whose number of servers should change.
    pub(super) async fn order_servers(&mut self, entry: &Entry, holder: &LeaseHolder) {
        let Some(catalog) = entry.catalog.load() else {
            return;
        };
        // Orders for the other domains make up for those that are evacuated.
        let all_domains = &entry.settings.load().domains;
        let domains: Vec<Name> = entry.backends.with_servers(|servers| {
            let domains = all_domains.iter();
            let open = domains.filter(|domain| !servers.is_evacuated(domain));
            open.cloned().collect()
        });
        for (service, spec) in catalog.services.iter() {
            let Some(scale) = &spec.scale else {
                continue;
            };
            let now = entry.clock.now();
            let trial = entry.moves.trial_version(service, now);
            let backends = &entry.backends;
            let domain_servers = backends.servers_by_domain(service, &domains, trial.as_ref(), now);
            let is_arriving = entry
                .moves
                .is_declared_within(service, scale.boot_time, now);
            let domain_servers: Vec<_> = domain_servers
                .into_iter()
                .filter(|counts| scale.domain_prices.get(&counts.domain).is_some())
                .map(|mut counts| {
                    counts.trial.is_arriving = is_arriving;
                    counts
                })
                .collect();
            let slots = spec.slots.unwrap_or(1);
            let mut estimate = entry.service_load.needed_servers(service, slots, now);
            // Requests may have come while earlier holders held the lease, so only
            // the first holder can know that a service is unused.
            estimate.is_unused &= holder.fence == FIRST_FENCE;
            let autoscaler = self
                .autoscalers
                .get_or_insert_with(service, Autoscaler::new);
            let orders = autoscaler.orders(scale, &domain_servers, estimate, now);
            if !self.lease_state.may_send_order(entry.clock.now()) {
                orders
                    .iter()
                    .for_each(|order| autoscaler.record_unanswered(order));
                continue;
            }
            // Each order is for a different domain or class, so they are sent
            // concurrently.
            let cloud = &entry.adapter.cloud;
            let calls = orders.iter().map(|order| async move {
                let call = cloud.order_servers(holder, service, order);
                (order, leader::with_timeout(call).await)
            });
            for (order, reply) in future::join_all(calls).await {
                let event = order_event(order, estimate).with("service", &**service);
                let event = event.with("fence", holder.fence);
                entry
                    .events
                    .write(event.with("outcome", format!("{reply:?}")));
                match reply {
                    CloudReply::Done => {}
                    CloudReply::Refused if order.class == Class::Reclaimable => {
                        autoscaler.record_refused(&order.domain, now);
                    }
                    CloudReply::Refused => self.lease_state.invalidate(),
                    CloudReply::Busy | CloudReply::Lost => autoscaler.record_unanswered(order),
                }
            }
        }
    }
}

/// Returns the event of an order, with the capacity estimate that caused it.
fn order_event(order: &ScaleOrder, estimate: CapacityEstimate) -> Event {
    Event::new("servers_ordered")
        .with("domain", &*order.domain)
        .with("reclaimable", order.class == Class::Reclaimable)
        .with("count", order.count)
        .with("needed", estimate.servers)
        .with("is_learned", estimate.is_learned)
}
