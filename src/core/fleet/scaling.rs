//! How many backend servers to order in each failure domain.
//!
//! The orders answer the loss of all reclaimable servers of one failure domain
//! at once, with none to be had there for a while: the other domains together
//! hold the load, and servers on demand are ordered when the notice comes, not
//! after the loss.

use std::time::Duration;

use crate::core::Name;
use crate::core::catalog::Scale;
use crate::core::fleet::load::CapacityEstimate;
use crate::core::route::servers::Class;
use crate::core::time::Time;

/// Part of the load that is carried while two failure domains are lost.
const TWO_LOST_PART: f64 = 0.8;

/// Servers that have just started and carry what one does that has run for long.
const COLD_FACTOR: f64 = 1.6;

/// Part of the servers that are there that is provided for until the load is
/// known.
///
/// With three failure domains, two of which may be lost, this leads to about as
/// many reclaimable servers as there were servers.
const UNLEARNED_PART: f64 = 0.4;

/// Time for which a planner orders nothing while it sees no server at all or no
/// request has come, since servers register over some seconds after they and
/// the nodes have started.
const FIRST_LOOK: Duration = Duration::from_secs(3);

/// Time after a refused order until reclaimable servers are asked for again.
const REFUSED_REST: Duration = Duration::from_secs(4);

/// Time added to the start-up time before an order that shows no effect is
/// sent again.
const REPEAT_SLACK: Duration = Duration::from_secs(3);

/// Time for which servers must have been too many before fewer are ordered.
const SHRINK_AFTER: Duration = Duration::from_secs(3);

/// The servers of a service in one failure domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainServers {
    /// The failure domain.
    pub domain: Name,
    /// Reclaimable servers that serve and were not told to leave.
    pub reclaimable: u32,
    /// Servers on demand that serve and were not told to leave.
    pub on_demand: u32,
    /// Reclaimable servers that are under notice.
    pub reclaiming: u32,
}

impl DomainServers {
    /// Returns whether there is no server, not even one under notice.
    const fn is_empty(&self) -> bool {
        self.reclaimable + self.on_demand + self.reclaiming == 0
    }
}

/// An order for a number of servers of one class in one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScaleOrder {
    /// The failure domain.
    pub domain: Name,
    /// Class of the servers.
    pub class: Class,
    /// How many there shall be.
    pub count: u32,
}

#[derive(Clone, Debug, Default)]
struct Row {
    domain: Name,
    reclaimable: Asked,
    on_demand: Asked,
    /// Until when reclaimable servers are not to be had.
    dry_until: Time,
    surplus_since: Option<Time>,
}

/// What was asked for last.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    count: Option<u32>,
    at: Time,
}

/// Decides on the orders for one service.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler {
    rows: Vec<Row>,
    since: Option<Time>,
    /// Most servers of one class that were there before the load was known.
    most: u32,
}

impl Autoscaler {
    /// Creates a planner that has ordered nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that reclaimable servers are not to be had in a domain.
    pub fn record_refused(&mut self, domain: &Name, now: Time) {
        let row = self.row(domain);
        row.dry_until = now + REFUSED_REST;
        row.reclaimable.count = None;
    }

    /// Records that an order got no answer, so that it is sent again.
    pub fn record_unanswered(&mut self, order: &ScaleOrder) {
        self.row(&order.domain).asked(order.class).count = None;
    }

    fn row(&mut self, domain: &Name) -> &mut Row {
        let at = match self.rows.binary_search_by(|row| row.domain.cmp(domain)) {
            Ok(at) => at,
            Err(at) => {
                let row = Row {
                    domain: domain.clone(),
                    ..Row::default()
                };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }

    /// Returns the orders to send now.
    pub fn orders(
        &mut self,
        scale: &Scale,
        stocks: &[DomainServers],
        need: CapacityEstimate,
        now: Time,
    ) -> Vec<ScaleOrder> {
        let since = *self.since.get_or_insert(now);
        let is_first = need.is_unused || stocks.iter().all(DomainServers::is_empty);
        if is_first && now.since(since) < FIRST_LOOK {
            return Vec::new();
        }
        self.note_notices(stocks, now);
        let needed = self.provided(need, stocks);
        let has_reclaimable = scale.reclaimable_price.is_some();
        let target = if has_reclaimable {
            reclaimable_target(needed, stocks.len())
        } else {
            needed.div_ceil(stocks.len().max(1) as u32)
        };
        let target = target.clamp(scale.min.max(1), scale.max);
        let on_demand = if has_reclaimable {
            let is_lost = self.rows.iter().any(|row| row.dry_until > now);
            on_demand_counts(scale, stocks, shortage(needed, stocks, is_lost))
        } else {
            vec![target; stocks.len()]
        };
        let mut orders = Vec::new();
        for (stock, wanted) in stocks.iter().zip(on_demand) {
            let wanted = wanted.max(scale.min.saturating_sub(stock.reclaimable));
            // The bounds hold for both classes together.
            let taken = stock.on_demand.max(wanted);
            if has_reclaimable && self.row(&stock.domain).dry_until <= now {
                let count = target.min(scale.max.saturating_sub(taken));
                self.push(&mut orders, scale, stock, Class::Reclaimable, count, now);
            }
            let count = if need.is_unused {
                wanted
            } else {
                self.keep_surplus(scale, stock, wanted, now)
            };
            self.push(&mut orders, scale, stock, Class::OnDemand, count, now);
        }
        orders
    }

    /// Returns the servers to provide for.
    fn provided(&mut self, need: CapacityEstimate, stocks: &[DomainServers]) -> u32 {
        if need.is_learned {
            return need.servers;
        }
        // Those that are there were enough for whoever ordered them.
        let on_demand: u32 = stocks.iter().map(|stock| stock.on_demand).sum();
        let reclaimable: u32 = stocks.iter().map(|stock| stock.reclaimable).sum();
        self.most = self.most.max(on_demand).max(reclaimable);
        let kept = f64::from(self.most) * UNLEARNED_PART;
        need.servers.max(kept.ceil() as u32)
    }

    /// Records that no reclaimable servers are to be had where some are under
    /// notice.
    fn note_notices(&mut self, stocks: &[DomainServers], now: Time) {
        for stock in stocks.iter().filter(|stock| stock.reclaiming > 0) {
            let row = self.row(&stock.domain);
            row.dry_until = row.dry_until.max(now + REFUSED_REST);
            row.reclaimable.count = None;
        }
    }

    /// Returns the servers on demand to order, which fall only after a while.
    fn keep_surplus(
        &mut self,
        scale: &Scale,
        stock: &DomainServers,
        wanted: u32,
        now: Time,
    ) -> u32 {
        let row = self.row(&stock.domain);
        if wanted >= stock.on_demand {
            row.surplus_since = None;
            return wanted;
        }
        let asked = row.reclaimable;
        let is_pending = now.since(asked.at) < scale.boot + REPEAT_SLACK;
        if is_pending && asked.count.is_some_and(|count| count > stock.reclaimable) {
            // Those that are to replace them have not started yet.
            row.surplus_since = None;
            return stock.on_demand;
        }
        let since = *row.surplus_since.get_or_insert(now);
        if now.since(since) >= SHRINK_AFTER {
            wanted
        } else {
            stock.on_demand
        }
    }

    /// Adds an order unless the same was sent lately or is in effect.
    fn push(
        &mut self,
        orders: &mut Vec<ScaleOrder>,
        scale: &Scale,
        stock: &DomainServers,
        class: Class,
        count: u32,
        now: Time,
    ) {
        let there = match class {
            Class::Reclaimable => stock.reclaimable,
            Class::OnDemand => stock.on_demand,
        };
        let asked = self.row(&stock.domain).asked(class);
        let is_repeat = asked.count == Some(count);
        let is_pending = now.since(asked.at) < scale.boot + REPEAT_SLACK;
        if (is_repeat && is_pending)
            || (asked.count.is_none_or(|last| last == count) && there == count)
        {
            return;
        }
        *asked = Asked {
            count: Some(count),
            at: now,
        };
        orders.push(ScaleOrder {
            domain: stock.domain.clone(),
            class,
            count,
        });
    }
}

impl Row {
    fn asked(&mut self, class: Class) -> &mut Asked {
        match class {
            Class::Reclaimable => &mut self.reclaimable,
            Class::OnDemand => &mut self.on_demand,
        }
    }
}

/// Returns the reclaimable servers to have in each of `domains`.
///
/// When one domain is lost, the others carry the load. When two are, those left
/// carry most of it until servers on demand have started.
fn reclaimable_target(needed: u32, domains: usize) -> u32 {
    let without = |lost: usize| domains.saturating_sub(lost).max(1) as u32;
    let most = (f64::from(needed) * TWO_LOST_PART).ceil() as u32;
    needed.div_ceil(without(1)).max(most.div_ceil(without(2)))
}

/// Returns how many servers on demand are needed beside the reclaimable ones.
///
/// When a domain is lost, another one may follow before servers that are ordered
/// then have started. Those that start have read nothing yet, and take longer for
/// each request than those that are lost.
fn shortage(needed: u32, stocks: &[DomainServers], is_lost: bool) -> u32 {
    let carried: u32 = stocks.iter().map(|stock| stock.reclaimable).sum();
    let now = needed.saturating_sub(carried);
    if !is_lost {
        return now;
    }
    let largest = stocks.iter().map(|stock| stock.reclaimable).max();
    let most = (f64::from(needed) * TWO_LOST_PART).ceil() as u32;
    let missing = now.max(most.saturating_sub(carried - largest.unwrap_or_default()));
    (f64::from(missing) * COLD_FACTOR).ceil() as u32
}

/// Returns the servers on demand to have in each domain, in the order of
/// `stocks`, so that there are `shortage` of them.
///
/// Those that are there stay before new ones are ordered where they are cheapest.
fn on_demand_counts(scale: &Scale, stocks: &[DomainServers], mut shortage: u32) -> Vec<u32> {
    let mut by_price: Vec<usize> = (0..stocks.len()).collect();
    let price_at = |at: &usize| price(scale, &stocks[*at].domain);
    by_price.sort_by(|a, b| price_at(a).total_cmp(&price_at(b)));
    let mut counts = vec![0; stocks.len()];
    let room = |at: usize| scale.max.saturating_sub(stocks[at].reclaimable);
    let limits: [&dyn Fn(usize) -> u32; 2] = [&|at| stocks[at].on_demand.min(room(at)), &room];
    for limit in limits {
        for &at in &by_price {
            let more = limit(at).saturating_sub(counts[at]).min(shortage);
            counts[at] += more;
            shortage -= more;
        }
    }
    counts
}

/// Returns the price of a server-second on demand in a failure domain.
fn price(scale: &Scale, domain: &str) -> f64 {
    scale.domain_prices.get(domain).copied().unwrap_or(1.0)
}
