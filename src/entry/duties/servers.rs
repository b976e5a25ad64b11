//! Orders for backend servers.

use futures_util::future;

use crate::core::fleet::load::Need;
use crate::core::fleet::orders::Order;
use crate::core::fleet::orders::Planner;
use crate::core::route::servers::Class;
use crate::entry::Entry;
use crate::entry::duties;
use crate::entry::duties::Duties;
use crate::entry::outside::CloudReply;
use crate::entry::outside::Holder;
use crate::telemetry::events::Event;

/// Fence of the first node of a deployment that holds the duties.
const FIRST_FENCE: u64 = 1;

impl Duties {
    /// Orders backend servers where they are not as they should be.
    pub(super) async fn order(&mut self, entry: &Entry, holder: &Holder) {
        let Some(catalog) = entry.catalog.load() else {
            return;
        };
        let domains = entry.settings.load().domains.clone();
        for (service, declared) in catalog.services.iter() {
            let Some(scale) = &declared.scale else {
                continue;
            };
            let now = entry.clock.now();
            let stocks = entry.backends.stocks(service, &domains);
            let stocks: Vec<_> = stocks
                .into_iter()
                .filter(|stock| scale.domain_prices.get(&stock.domain).is_some())
                .collect();
            let slots = declared.slots.unwrap_or(1);
            let mut need = entry.fleet.needed(service, slots, now);
            // Nodes that held the duty before may have served callers.
            need.is_unused &= holder.fence == FIRST_FENCE;
            let planner = self.planners.get_or_insert_with(service, Planner::new);
            let orders = planner.orders(scale, &stocks, need, now);
            if !self.duty.may_order(entry.clock.now()) {
                orders.iter().for_each(|order| planner.record_lost(order));
                continue;
            }
            // Each is about another domain or class, so none waits for another.
            let cloud = &entry.outside.cloud;
            let calls = orders.iter().map(|order| async move {
                let reply = cloud.order_servers(holder, service, order);
                (order, duties::limited(reply).await)
            });
            for (order, reply) in future::join_all(calls).await {
                let line = order_line(order, need).with("service", &**service);
                let line = line.with("fence", holder.fence);
                entry
                    .events
                    .write(line.with("outcome", format!("{reply:?}")));
                match reply {
                    CloudReply::Done => {}
                    CloudReply::Refused if order.class == Class::Reclaimable => {
                        planner.record_refused(&order.domain, now);
                    }
                    CloudReply::Refused => self.duty.record_lost(),
                    CloudReply::Busy | CloudReply::Lost => planner.record_lost(order),
                }
            }
        }
    }
}

/// Returns the line that says what is ordered and why.
fn order_line(order: &Order, need: Need) -> Event {
    Event::new("servers_ordered")
        .with("domain", &*order.domain)
        .with("reclaimable", order.class == Class::Reclaimable)
        .with("count", order.count)
        .with("needed", need.servers)
        .with("is_learned", need.is_learned)
}
