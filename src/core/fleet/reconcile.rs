//! Starts and stops that bring the VMs there are to the plan.

use std::time::Duration;

use crate::core::Name;
use crate::core::fleet::Allocation;
use crate::core::limit::token_bucket::TokenBucket;
use crate::core::route::servers::Class;
use crate::core::route::servers::Vm;
use crate::core::time::Time;

/// Time for which an offer is left alone after a start was refused.
const REFUSED_REST: Duration = Duration::from_secs(30);

/// One step towards the plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start a VM.
    Start {
        /// Failure domain.
        domain: Name,
        /// Class of the VM.
        class: Class,
    },
    /// Take a VM out of service and then delete it.
    Remove {
        /// Name of the VM.
        vm: Name,
    },
}

#[derive(Clone, Debug)]
struct Rest {
    domain: Name,
    class: Class,
    until: Time,
}

/// Paces starts by the weight store and remembers refused ones.
#[derive(Clone, Debug)]
pub struct Reconciler {
    weights: TokenBucket,
    rests: Vec<Rest>,
}

impl Reconciler {
    /// Creates a pacer for a weight store that serves `rate` starts a second.
    pub fn new(rate: f64, now: Time) -> Self {
        Self {
            weights: TokenBucket::new(rate, Duration::from_secs(1), now),
            rests: Vec::new(),
        }
    }

    /// Records that a start was refused.
    pub fn record_refused(&mut self, domain: &Name, class: Class, now: Time) {
        self.rests.push(Rest {
            domain: domain.clone(),
            class,
            until: now + REFUSED_REST,
        });
    }

    fn rests(&self, domain: &Name, class: Class) -> bool {
        self.rests
            .iter()
            .any(|rest| rest.domain == *domain && rest.class == class)
    }

    /// Returns the next steps from the VMs there are towards the plan.
    ///
    /// A VM that an offer refuses is started as the other class of the same
    /// domain, else in another domain. Surplus VMs are removed only when no
    /// start is open, so that capacity does not fall first.
    pub fn actions(&mut self, plan: &[Allocation], vms: &[Vm], now: Time) -> Vec<Action> {
        self.rests.retain(|rest| rest.until > now);
        let live = |share: &Allocation| {
            vms.iter()
                .filter(|vm| !vm.leaving && vm.domain == share.domain && vm.class == share.class)
                .count() as u32
        };
        let mut steps = Vec::new();
        for share in plan {
            for _ in live(share)..share.count {
                let Some((domain, class)) = self.offer_for(share, plan) else {
                    break;
                };
                if self.weights.take(1.0, now).is_err() {
                    return steps;
                }
                steps.push(Action::Start { domain, class });
            }
        }
        if steps.is_empty() {
            steps.extend(surplus(plan, vms));
        }
        steps
    }

    /// Returns where to start a VM for `share`, given what was refused lately.
    fn offer_for(&self, share: &Allocation, plan: &[Allocation]) -> Option<(Name, Class)> {
        let other = match share.class {
            Class::Reclaimable => Class::OnDemand,
            Class::OnDemand => Class::Reclaimable,
        };
        let here = [share.class, other].map(|class| (share.domain.clone(), class));
        let elsewhere = plan
            .iter()
            .filter(|s| s.domain != share.domain)
            .map(|s| (s.domain.clone(), s.class));
        here.into_iter()
            .chain(elsewhere)
            .find(|(domain, class)| !self.rests(domain, *class))
    }
}

/// Returns the removal of VMs beyond the plan, if the plan is met in total.
fn surplus(plan: &[Allocation], vms: &[Vm]) -> Vec<Action> {
    let mut steps = Vec::new();
    let wanted: u32 = plan.iter().map(|share| share.count).sum();
    let live: Vec<&Vm> = vms.iter().filter(|vm| !vm.leaving).collect();
    let mut over = (live.len() as u32).saturating_sub(wanted);
    for share in plan {
        let own: Vec<&&Vm> = live
            .iter()
            .filter(|vm| vm.domain == share.domain && vm.class == share.class)
            .collect();
        let extra = (own.len() as u32).saturating_sub(share.count).min(over);
        over -= extra;
        let removed = own.iter().rev().take(extra as usize);
        steps.extend(removed.map(|vm| Action::Remove { vm: vm.id.clone() }));
    }
    steps
}
