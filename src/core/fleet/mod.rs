//! How many VMs of which class each service should have in each failure domain.
//!
//! The plan is the cheapest one that still holds the target when any one
//! failure domain is lost, counting that some reclaimable VMs are away at any
//! time.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::route::servers::Class;

pub mod load;
pub mod reconcile;
pub mod scaling;

/// Load at which servers still meet the latency target, as a part of their slots.
const TARGET_LOAD: f64 = 0.75;

/// Price and reliability of one class in one failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// Failure domain.
    pub domain: Name,
    /// Class of the VM.
    pub class: Class,
    /// Price of a VM-hour, in cents.
    pub price: f64,
    /// Part of the time for which a VM of this offer is there.
    pub availability: f64,
}

/// What a service needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Requests that run at the same time, at the peak.
    pub concurrency: f64,
    /// Requests that one server runs at the same time.
    pub slots: u32,
    /// Part of the servers that must be on demand, from 0 to 1.
    ///
    /// Operators for whom late answers weigh more than cost set it higher.
    pub on_demand_fraction: f64,
}

/// VMs of one offer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Allocation {
    /// Failure domain.
    pub domain: Name,
    /// Class of the VMs.
    pub class: Class,
    /// Number of VMs.
    pub count: u32,
}

/// Returns the cheapest plan for `demand`, sorted as `offers`.
///
/// Each failure domain gets an equal part of what the others must carry when
/// it is lost; within a domain the VMs that are cheapest for what they carry
/// come first. A domain without an offer gets nothing.
pub fn plan(demand: &Demand, offers: &[Offer]) -> Vec<Allocation> {
    let mut domains: Vec<&Name> = offers.iter().map(|offer| &offer.domain).collect();
    domains.sort();
    domains.dedup();
    let carried = demand.concurrency / (f64::from(demand.slots.max(1)) * TARGET_LOAD);
    let others = domains.len().saturating_sub(1).max(1) as f64;
    let needed = carried / others;
    offers
        .iter()
        .map(|offer| Allocation {
            domain: offer.domain.clone(),
            class: offer.class,
            count: count_of(offer, offers, demand, needed),
        })
        .collect()
}

/// Returns the VMs of one offer in a domain that must carry `needed` servers' work.
fn count_of(offer: &Offer, offers: &[Offer], demand: &Demand, needed: f64) -> u32 {
    let in_domain: Vec<&Offer> = offers
        .iter()
        .filter(|other| other.domain == offer.domain)
        .collect();
    let best = in_domain
        .iter()
        .min_by(|a, b| unit_price(a).total_cmp(&unit_price(b)));
    let on_demand = in_domain.iter().find(|o| o.class == Class::OnDemand);
    let firm = match on_demand {
        Some(_) => (needed * demand.on_demand_fraction).ceil(),
        None => 0.0,
    };
    let is_best = best.is_some_and(|best| best.class == offer.class);
    let rest = (needed - firm).max(0.0);
    let mut count = 0.0;
    if offer.class == Class::OnDemand {
        count += firm;
    }
    if is_best {
        count += (rest / offer.availability.clamp(0.05, 1.0)).ceil();
    }
    count as u32
}

/// Returns the price of what one VM carries in the mean.
fn unit_price(offer: &Offer) -> f64 {
    offer.price / offer.availability.clamp(0.05, 1.0)
}

/// Returns the price of a plan for an hour, in cents.
pub fn hourly_cost(shares: &[Allocation], offers: &[Offer]) -> f64 {
    shares
        .iter()
        .zip(offers)
        .map(|(share, offer)| f64::from(share.count) * offer.price)
        .sum()
}

/// Returns the servers of a plan that are there in the mean when `lost` is lost.
pub fn capacity_without(shares: &[Allocation], offers: &[Offer], lost: Option<&Name>) -> f64 {
    shares
        .iter()
        .zip(offers)
        .filter(|(share, _)| Some(&share.domain) != lost)
        .map(|(share, offer)| f64::from(share.count) * offer.availability)
        .sum()
}
