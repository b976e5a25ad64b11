//! Servers that follow the orders of an autoscaler.

use std::time::Duration;

use cassialock::core::catalog::Scale;
use cassialock::core::fleet::load::CapacityEstimate;
use cassialock::core::fleet::scaling::Autoscaler;
use cassialock::core::fleet::scaling::DomainServers;
use cassialock::core::fleet::scaling::ScaleOrder;
use cassialock::core::route::servers::Class;
use cassialock::core::time::Time;

pub const STEP_MS: u64 = 250;
pub const BOOT_MS: u64 = 4_000;

pub fn scale() -> Scale {
    Scale {
        min: 1,
        max: 6,
        boot_time: Duration::from_millis(BOOT_MS),
        reclaimable_price: Some(0.22),
        domain_prices: [("a".into(), 0.85), ("b".into(), 1.2), ("c".into(), 1.0)]
            .into_iter()
            .collect(),
    }
}

/// Servers that start some seconds after an order and stop at once.
pub struct Simulation {
    pub scale: Scale,
    pub servers: Vec<DomainServers>,
    pub pending: Vec<(u64, ScaleOrder)>,
    pub none_available: bool,
    pub orders: usize,
}

impl Simulation {
    pub fn new(on_demand: u32) -> Self {
        let domain = |domain: &str| DomainServers {
            domain: domain.into(),
            on_demand,
            ..DomainServers::default()
        };
        Self {
            scale: scale(),
            servers: vec![domain("a"), domain("b"), domain("c")],
            pending: Vec::new(),
            none_available: false,
            orders: 0,
        }
    }

    /// Runs the autoscaler over a time span with a known need.
    pub fn run(&mut self, autoscaler: &mut Autoscaler, needed: u32, from: u64, to: u64) {
        let need = CapacityEstimate {
            servers: needed,
            is_learned: true,
            is_unused: false,
        };
        self.run_with(autoscaler, need, from, to);
    }

    pub fn run_with(
        &mut self,
        autoscaler: &mut Autoscaler,
        need: CapacityEstimate,
        from: u64,
        to: u64,
    ) {
        for ms in (from..to).step_by(STEP_MS as usize) {
            self.apply_due_orders(ms);
            let now = Time::from_millis(ms);
            for order in autoscaler.orders(&self.scale, &self.servers, need, now) {
                self.orders += 1;
                if order.class == Class::Reclaimable && self.none_available {
                    autoscaler.record_refused(&order.domain, now);
                } else if self.is_removal(&order) {
                    self.pending.push((ms, order));
                } else {
                    self.pending.push((ms + BOOT_MS, order));
                }
            }
        }
    }

    /// Returns whether an order removes servers, which takes effect at once.
    pub fn is_removal(&self, order: &ScaleOrder) -> bool {
        let mut servers = self.servers.iter();
        let domain = servers
            .find(|domain| domain.domain == order.domain)
            .unwrap();
        match order.class {
            Class::Reclaimable => order.count < domain.reclaimable,
            Class::OnDemand => order.count < domain.on_demand,
        }
    }

    pub fn apply_due_orders(&mut self, ms: u64) {
        let due: Vec<ScaleOrder> = self
            .pending
            .extract_if(.., |(due_ms, _)| *due_ms <= ms)
            .map(|(_, order)| order)
            .collect();
        for order in due {
            let domain = self
                .servers
                .iter_mut()
                .find(|domain| domain.domain == order.domain)
                .unwrap();
            match order.class {
                Class::Reclaimable => domain.reclaimable = order.count,
                Class::OnDemand => domain.on_demand = order.count,
            }
        }
    }

    pub fn serving(&self) -> u32 {
        let count = |domain: &DomainServers| domain.reclaimable + domain.on_demand;
        self.servers.iter().map(count).sum()
    }

    /// Reclaims all reclaimable servers of a domain.
    pub fn lose_domain(&mut self, index: usize) {
        self.none_available = true;
        self.servers[index].reclaiming = self.servers[index].reclaimable;
        self.servers[index].reclaimable = 0;
        let domain = self.servers[index].domain.clone();
        self.pending
            .retain(|(_, order)| order.domain != domain || order.class == Class::OnDemand);
    }

    pub fn on_demand(&self) -> u32 {
        self.servers.iter().map(|domain| domain.on_demand).sum()
    }
}
