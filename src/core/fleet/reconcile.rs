//! Starts and removes VMs until the running VMs match the plan.

use std::time::Duration;

use crate::core::Name;
use crate::core::fleet::Allocation;
use crate::core::limit::token_bucket::TokenBucket;
use crate::core::route::servers::Class;
use crate::core::route::servers::Vm;
use crate::core::time::Time;

/// Time after a refused start in which the offer is not tried again.
const REFUSAL_COOLDOWN: Duration = Duration::from_secs(30);

/// One action that brings the VMs closer to the plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Starts a VM.
    Start {
        /// Failure domain.
        domain: Name,
        /// Class of the VM.
        class: Class,
    },
    /// Drains a VM and then deletes it.
    Remove {
        /// Name of the VM.
        vm: Name,
    },
}

#[derive(Clone, Debug)]
struct Cooldown {
    domain: Name,
    class: Class,
    until: Time,
}

/// Computes the actions that bring the VMs to the plan.
///
/// Starts are limited to the rate of the model weight store, and offers that
/// refused a start are avoided for a while.
#[derive(Clone, Debug)]
pub struct Reconciler {
    start_limit: TokenBucket,
    cooldowns: Vec<Cooldown>,
}

impl Reconciler {
    /// Creates a reconciler for a weight store that serves `rate` starts a
    /// second.
    pub fn new(rate: f64, now: Time) -> Self {
        Self {
            start_limit: TokenBucket::new(rate, Duration::from_secs(1), now),
            cooldowns: Vec::new(),
        }
    }

    /// Records that an offer refused a start.
    pub fn record_refused(&mut self, domain: &Name, class: Class, now: Time) {
        self.cooldowns.push(Cooldown {
            domain: domain.clone(),
            class,
            until: now + REFUSAL_COOLDOWN,
        });
    }

    fn is_cooling_down(&self, domain: &Name, class: Class) -> bool {
        self.cooldowns
            .iter()
            .any(|cooldown| cooldown.domain == *domain && cooldown.class == class)
    }

    /// Returns the next actions from the current VMs towards the plan.
    ///
    /// If an offer has refused a start, the VM is started as the other class in
    /// the same domain, or else in another domain. Surplus VMs are removed only
    /// when no start is needed, so that capacity does not drop first.
    pub fn actions(&mut self, plan: &[Allocation], vms: &[Vm], now: Time) -> Vec<Action> {
        self.cooldowns.retain(|cooldown| cooldown.until > now);
        let live = |allocation: &Allocation| {
            vms.iter()
                .filter(|vm| {
                    !vm.leaving && vm.domain == allocation.domain && vm.class == allocation.class
                })
                .count() as u32
        };
        let mut actions = Vec::new();
        for allocation in plan {
            for _ in live(allocation)..allocation.count {
                let Some((domain, class)) = self.offer_for(allocation, plan) else {
                    break;
                };
                if self.start_limit.take(1.0, now).is_err() {
                    return actions;
                }
                actions.push(Action::Start { domain, class });
            }
        }
        if actions.is_empty() {
            actions.extend(surplus_removals(plan, vms));
        }
        actions
    }

    /// Returns the offer from which to start a VM for `allocation`, without
    /// those that refused a start recently.
    fn offer_for(&self, allocation: &Allocation, plan: &[Allocation]) -> Option<(Name, Class)> {
        let other_class = match allocation.class {
            Class::Reclaimable => Class::OnDemand,
            Class::OnDemand => Class::Reclaimable,
        };
        let here = [allocation.class, other_class].map(|class| (allocation.domain.clone(), class));
        let elsewhere = plan
            .iter()
            .filter(|other| other.domain != allocation.domain)
            .map(|other| (other.domain.clone(), other.class));
        here.into_iter()
            .chain(elsewhere)
            .find(|(domain, class)| !self.is_cooling_down(domain, *class))
    }
}

/// Returns the removals of VMs beyond the plan, if there are more VMs than
/// planned in total.
fn surplus_removals(plan: &[Allocation], vms: &[Vm]) -> Vec<Action> {
    let mut actions = Vec::new();
    let wanted: u32 = plan.iter().map(|allocation| allocation.count).sum();
    let live: Vec<&Vm> = vms.iter().filter(|vm| !vm.leaving).collect();
    let mut excess = (live.len() as u32).saturating_sub(wanted);
    for allocation in plan {
        let own: Vec<&&Vm> = live
            .iter()
            .filter(|vm| vm.domain == allocation.domain && vm.class == allocation.class)
            .collect();
        let extra = (own.len() as u32)
            .saturating_sub(allocation.count)
            .min(excess);
        excess -= extra;
        let removed = own.iter().rev().take(extra as usize);
        actions.extend(removed.map(|vm| Action::Remove { vm: vm.id.clone() }));
    }
    actions
}
