//! Decides how many backend servers to order in each failure domain.
//!
//! The orders prepare for the simultaneous loss of all reclaimable servers of
//! one failure domain, with no replacements available there for a while. The
//! other domains together carry the load, and on-demand servers are ordered at
//! the reclaim notice, not after the loss.

use std::time::Duration;

use crate::core::Name;
use crate::core::catalog::Scale;
use crate::core::fleet::load::CapacityEstimate;
use crate::core::route::servers::Class;
use crate::core::time::Time;

/// Fraction of the load that is still carried while two failure domains are
/// lost.
const TWO_LOST_FRACTION: f64 = 0.8;

/// Number of newly started servers that replace one server with a warm cache.
const COLD_FACTOR: f64 = 1.6;

/// Time for which the autoscaler orders nothing while it sees no server at all
/// or no request has arrived, since servers register over several seconds after
/// they and the nodes have started.
const STARTUP_DELAY: Duration = Duration::from_secs(3);

/// Time after a refused order until reclaimable servers are ordered again.
const REFUSAL_COOLDOWN: Duration = Duration::from_secs(4);

/// Time added to the boot time before an order without effect is sent again.
const RESEND_DELAY: Duration = Duration::from_secs(3);

/// Time for which there must be a surplus before fewer servers are ordered.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(3);

/// The servers of a service in one failure domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainServers {
    /// The failure domain.
    pub domain: Name,
    /// Reclaimable servers that are serving and were not told to leave.
    pub reclaimable: u32,
    /// On-demand servers that are serving and were not told to leave.
    pub on_demand: u32,
    /// Reclaimable servers that have received a reclaim notice.
    pub reclaiming: u32,
    /// Servers that are cold and do not take their part of the load yet.
    pub cold: u32,
    /// Servers of a version that is on trial beside the others, which orders include.
    pub trial: TrialServers,
}

/// The serving servers of a version that is on trial in one failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TrialServers {
    /// Reclaimable servers.
    pub reclaimable: u32,
    /// On-demand servers.
    pub on_demand: u32,
    /// Whether more of them may be running than have registered.
    pub is_arriving: bool,
}

impl TrialServers {
    /// Returns whether there are any.
    const fn is_running(self) -> bool {
        self.reclaimable + self.on_demand > 0
    }
}

impl DomainServers {
    /// Returns the serving servers of both classes and all versions.
    const fn running(&self) -> u32 {
        let trial = self.trial.reclaimable + self.trial.on_demand;
        self.reclaimable + self.on_demand + trial
    }

    /// Returns whether there are no servers, including those with a reclaim
    /// notice.
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
    /// Number of servers that should run.
    pub count: u32,
}

#[derive(Clone, Debug, Default)]
struct DomainState {
    domain: Name,
    reclaimable: LastOrder,
    on_demand: LastOrder,
    /// Time until which no reclaimable servers are available.
    unavailable_until: Time,
    surplus_since: Option<Time>,
}

/// The last order for one class.
#[derive(Clone, Copy, Debug, Default)]
struct LastOrder {
    count: Option<u32>,
    at: Time,
}

/// Decides which servers to order for one service.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler {
    domains: Vec<DomainState>,
    started_at: Option<Time>,
    /// Highest number of servers of one class seen before the load was known.
    peak_servers: u32,
}

impl Autoscaler {
    /// Creates an autoscaler that has ordered nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that no reclaimable servers are available in a domain.
    pub fn record_refused(&mut self, domain: &Name, now: Time) {
        let state = self.domain_state(domain);
        state.unavailable_until = now + REFUSAL_COOLDOWN;
        state.reclaimable.count = None;
    }

    /// Records that an order got no reply, so that it is sent again.
    pub fn record_unanswered(&mut self, order: &ScaleOrder) {
        self.domain_state(&order.domain)
            .last_order(order.class)
            .count = None;
    }

    fn domain_state(&mut self, domain: &Name) -> &mut DomainState {
        let index = match self
            .domains
            .binary_search_by(|state| state.domain.cmp(domain))
        {
            Ok(index) => index,
            Err(index) => {
                let state = DomainState {
                    domain: domain.clone(),
                    ..DomainState::default()
                };
                self.domains.insert(index, state);
                index
            }
        };
        &mut self.domains[index]
    }

    /// Returns the orders to send now.
    pub fn orders(
        &mut self,
        scale: &Scale,
        by_domain: &[DomainServers],
        need: CapacityEstimate,
        now: Time,
    ) -> Vec<ScaleOrder> {
        let since = *self.started_at.get_or_insert(now);
        let is_starting = need.is_unused || by_domain.iter().all(DomainServers::is_empty);
        if is_starting && now.since(since) < STARTUP_DELAY {
            return Vec::new();
        }
        self.record_notices(by_domain, now);
        // An order made without the servers that are about to register would end some.
        let is_arriving = by_domain.iter().any(|servers| servers.trial.is_arriving);
        if is_arriving && by_domain.iter().all(|servers| servers.reclaiming == 0) {
            return Vec::new();
        }
        let needed = self.needed_servers(need, by_domain);
        let has_reclaimable = scale.reclaimable_price.is_some();
        let target = if has_reclaimable {
            reclaimable_target(needed, by_domain.len())
        } else {
            needed.div_ceil(by_domain.len().max(1) as u32)
        };
        // An operator may allow no servers at all.
        let target = target.max(scale.min).max(1).min(scale.max);
        let on_demand = if has_reclaimable {
            let is_lost = self
                .domains
                .iter()
                .any(|state| state.unavailable_until > now);
            on_demand_counts(scale, by_domain, shortage(needed, by_domain, is_lost))
        } else {
            vec![target; by_domain.len()]
        };
        let mut orders = Vec::new();
        for (servers, wanted) in by_domain.iter().zip(on_demand) {
            let wanted = wanted.max(scale.min.saturating_sub(servers.reclaimable));
            // The bounds apply to both classes together.
            let taken = servers.on_demand.max(wanted);
            if has_reclaimable && self.domain_state(&servers.domain).unavailable_until <= now {
                let room = scale.max.saturating_sub(taken + servers.trial.on_demand);
                let count = target.min(room);
                self.push(&mut orders, scale, servers, Class::Reclaimable, count, now);
            }
            let is_cold = by_domain.iter().any(|servers| servers.cold > 0);
            if is_cold {
                // What replaces them is needed until they are warm.
                self.domain_state(&servers.domain).surplus_since = None;
            }
            let count = if need.is_unused {
                wanted
            } else if is_cold {
                wanted.max(servers.on_demand)
            } else {
                self.on_demand_to_order(scale, servers, wanted, now)
            };
            self.push(&mut orders, scale, servers, Class::OnDemand, count, now);
        }
        orders
    }

    /// Returns the number of servers to plan for.
    fn needed_servers(&mut self, need: CapacityEstimate, by_domain: &[DomainServers]) -> u32 {
        if need.is_learned {
            return need.servers;
        }
        // The existing servers were enough for whoever ordered them.
        let on_demand: u32 = by_domain.iter().map(|servers| servers.on_demand).sum();
        let reclaimable: u32 = by_domain.iter().map(|servers| servers.reclaimable).sum();
        self.peak_servers = self.peak_servers.max(on_demand).max(reclaimable);
        need.servers
            .max(carried_load(self.peak_servers, by_domain.len()))
    }

    /// Marks reclaimable servers as unavailable in the domains where some have
    /// a reclaim notice.
    fn record_notices(&mut self, by_domain: &[DomainServers], now: Time) {
        for servers in by_domain.iter().filter(|servers| servers.reclaiming > 0) {
            let state = self.domain_state(&servers.domain);
            state.unavailable_until = state.unavailable_until.max(now + REFUSAL_COOLDOWN);
            state.reclaimable.count = None;
        }
    }

    /// Returns the on-demand servers to order, which drop only after a surplus
    /// has lasted.
    fn on_demand_to_order(
        &mut self,
        scale: &Scale,
        servers: &DomainServers,
        wanted: u32,
        now: Time,
    ) -> u32 {
        let state = self.domain_state(&servers.domain);
        if wanted >= servers.on_demand {
            state.surplus_since = None;
            return wanted;
        }
        let last = state.reclaimable;
        let is_pending = now.since(last.at) < scale.boot_time + RESEND_DELAY;
        if is_pending && last.count.is_some_and(|count| count > servers.reclaimable) {
            // The reclaimable servers that replace them have not started yet.
            state.surplus_since = None;
            return servers.on_demand;
        }
        let since = *state.surplus_since.get_or_insert(now);
        if now.since(since) >= SCALE_DOWN_DELAY {
            wanted
        } else {
            servers.on_demand
        }
    }

    /// Adds an order unless the same one was sent recently or is already in
    /// effect, or would end servers of a version on trial.
    fn push(
        &mut self,
        orders: &mut Vec<ScaleOrder>,
        scale: &Scale,
        servers: &DomainServers,
        class: Class,
        count: u32,
        now: Time,
    ) {
        let (current, trial) = match class {
            Class::Reclaimable => (servers.reclaimable, servers.trial.reclaimable),
            Class::OnDemand => (servers.on_demand, servers.trial.on_demand),
        };
        let (current, count) = (current + trial, count + trial);
        if servers.trial.is_running() {
            // The platform counts both versions and ends servers with little work, which
            // are those on trial, if an order asks for fewer or exceeds the bound on both
            // classes.
            let others = servers.running() - current;
            if count <= current || count + others > scale.max {
                return;
            }
        }
        let last = self.domain_state(&servers.domain).last_order(class);
        let is_repeat = last.count == Some(count);
        let is_pending = now.since(last.at) < scale.boot_time + RESEND_DELAY;
        if (is_repeat && is_pending)
            || (last.count.is_none_or(|previous| previous == count) && current == count)
        {
            return;
        }
        *last = LastOrder {
            count: Some(count),
            at: now,
        };
        orders.push(ScaleOrder {
            domain: servers.domain.clone(),
            class,
            count,
        });
    }
}

impl DomainState {
    fn last_order(&mut self, class: Class) -> &mut LastOrder {
        match class {
            Class::Reclaimable => &mut self.reclaimable,
            Class::OnDemand => &mut self.on_demand,
        }
    }
}

/// Returns the number of reclaimable servers for each of `domains`.
///
/// When one domain is lost, the others carry the load. When two are lost, the
/// rest carry most of it until on-demand servers have started.
fn reclaimable_target(needed: u32, domains: usize) -> u32 {
    let without = |lost: usize| domains.saturating_sub(lost).max(1) as u32;
    let reduced = (f64::from(needed) * TWO_LOST_FRACTION).ceil() as u32;
    needed
        .div_ceil(without(1))
        .max(reduced.div_ceil(without(2)))
}

/// Returns the load, in servers, for which [`reclaimable_target`] orders `servers`
/// in total.
fn carried_load(servers: u32, domains: usize) -> u32 {
    let without = |lost: usize| domains.saturating_sub(lost).max(1) as f64;
    let by_domain = f64::from(servers) / domains.max(1) as f64;
    let carried = without(1).min(without(2) / TWO_LOST_FRACTION);
    (by_domain * carried).ceil().max(1.0) as u32
}

/// Returns how many on-demand servers are needed beside the reclaimable ones.
///
/// After the loss of one domain, another may follow before the servers ordered
/// then have started. New servers start with cold caches and need longer for
/// each request than the lost ones.
fn shortage(needed: u32, by_domain: &[DomainServers], is_lost: bool) -> u32 {
    let carried: u32 = by_domain.iter().map(|servers| servers.reclaimable).sum();
    let uncovered = needed.saturating_sub(carried);
    if !is_lost {
        return uncovered;
    }
    let largest = by_domain.iter().map(|servers| servers.reclaimable).max();
    let reduced = (f64::from(needed) * TWO_LOST_FRACTION).ceil() as u32;
    let missing = uncovered.max(reduced.saturating_sub(carried - largest.unwrap_or_default()));
    (f64::from(missing) * COLD_FACTOR).ceil() as u32
}

/// Returns the number of on-demand servers for each domain, in the order of
/// `by_domain`, with `shortage` servers in total.
///
/// Existing servers are kept before new ones are ordered in the cheapest
/// domains.
fn on_demand_counts(scale: &Scale, by_domain: &[DomainServers], mut shortage: u32) -> Vec<u32> {
    let mut by_price: Vec<usize> = (0..by_domain.len()).collect();
    let price_at = |index: &usize| price(scale, &by_domain[*index].domain);
    by_price.sort_by(|a, b| price_at(a).total_cmp(&price_at(b)));
    let mut counts = vec![0; by_domain.len()];
    let headroom = |index: usize| scale.max.saturating_sub(by_domain[index].reclaimable);
    let limits: [&dyn Fn(usize) -> u32; 2] = [
        &|index| by_domain[index].on_demand.min(headroom(index)),
        &headroom,
    ];
    for limit in limits {
        for &index in &by_price {
            let more = limit(index).saturating_sub(counts[index]).min(shortage);
            counts[index] += more;
            shortage -= more;
        }
    }
    counts
}

/// Returns the price of an on-demand server-second in a failure domain.
fn price(scale: &Scale, domain: &str) -> f64 {
    scale.domain_prices.get(domain).copied().unwrap_or(1.0)
}
