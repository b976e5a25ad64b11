//! Plans how many VMs of which class each service has in each failure domain.
//!
//! The plan is the cheapest one that still meets the latency target when any
//! one failure domain is lost. It accounts for the fraction of time in which
//! reclaimable VMs are unavailable.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::route::servers::Class;

pub mod load;
pub mod reconcile;
pub mod scaling;
pub mod work;

/// Slot utilization up to which servers meet the latency target.
const TARGET_UTILIZATION: f64 = 0.75;

/// Price and availability of one VM class in one failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// Failure domain.
    pub domain: Name,
    /// Class of the VM.
    pub class: Class,
    /// Price of a VM-hour, in cents.
    pub price: f64,
    /// Fraction of the time in which a VM of this offer is available.
    pub availability: f64,
}

/// The capacity that a service needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Concurrent requests at the peak.
    pub concurrency: f64,
    /// Concurrent requests per server.
    pub slots: u32,
    /// Fraction of the servers that must be on demand, from 0 to 1.
    ///
    /// Operators who weigh latency higher than cost set it higher.
    pub on_demand_fraction: f64,
}

/// Number of VMs to run of one offer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Allocation {
    /// Failure domain.
    pub domain: Name,
    /// Class of the VMs.
    pub class: Class,
    /// Number of VMs.
    pub count: u32,
}

/// Returns the cheapest plan for `demand`, in the order of `offers`.
///
/// The failure domains share the load equally, so that the others carry all of
/// it when one is lost. Within a domain, the class with the lowest price per
/// available VM is preferred. A domain without an offer gets no VMs.
pub fn plan(demand: &Demand, offers: &[Offer]) -> Vec<Allocation> {
    let mut domains: Vec<&Name> = offers.iter().map(|offer| &offer.domain).collect();
    domains.sort();
    domains.dedup();
    let servers = demand.concurrency / (f64::from(demand.slots.max(1)) * TARGET_UTILIZATION);
    let others = domains.len().saturating_sub(1).max(1) as f64;
    let needed = servers / others;
    offers
        .iter()
        .map(|offer| Allocation {
            domain: offer.domain.clone(),
            class: offer.class,
            count: vm_count(offer, offers, demand, needed),
        })
        .collect()
}

/// Returns the number of VMs of one offer in a domain that must carry the load
/// of `needed` servers.
fn vm_count(offer: &Offer, offers: &[Offer], demand: &Demand, needed: f64) -> u32 {
    let in_domain: Vec<&Offer> = offers
        .iter()
        .filter(|other| other.domain == offer.domain)
        .collect();
    let best = in_domain
        .iter()
        .min_by(|a, b| effective_price(a).total_cmp(&effective_price(b)));
    let on_demand = in_domain.iter().find(|o| o.class == Class::OnDemand);
    let reserved = match on_demand {
        Some(_) => (needed * demand.on_demand_fraction).ceil(),
        None => 0.0,
    };
    let is_best = best.is_some_and(|best| best.class == offer.class);
    let rest = (needed - reserved).max(0.0);
    let mut count = 0.0;
    if offer.class == Class::OnDemand {
        count += reserved;
    }
    if is_best {
        count += (rest / offer.availability.clamp(0.05, 1.0)).ceil();
    }
    count as u32
}

/// Returns the price per available VM.
fn effective_price(offer: &Offer) -> f64 {
    offer.price / offer.availability.clamp(0.05, 1.0)
}

/// Returns the hourly cost of a plan, in cents.
pub fn hourly_cost(allocations: &[Allocation], offers: &[Offer]) -> f64 {
    allocations
        .iter()
        .zip(offers)
        .map(|(allocation, offer)| f64::from(allocation.count) * offer.price)
        .sum()
}

/// Returns the expected number of available servers of a plan when the domain
/// `lost` is lost.
pub fn capacity_without(allocations: &[Allocation], offers: &[Offer], lost: Option<&Name>) -> f64 {
    allocations
        .iter()
        .zip(offers)
        .filter(|(allocation, _)| Some(&allocation.domain) != lost)
        .map(|(allocation, offer)| f64::from(allocation.count) * offer.availability)
        .sum()
}
