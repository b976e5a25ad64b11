//! Seeded simulation of a fleet under reclaims, price changes and refused starts.
//!
//! It compares the planner of the core with two baselines.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::core::Name;
use crate::core::fleet;
use crate::core::fleet::Allocation;
use crate::core::fleet::Demand;
use crate::core::fleet::Offer;
use crate::core::fleet::reconcile::Action;
use crate::core::fleet::reconcile::Reconciler;
use crate::core::route::servers::Class;
use crate::core::route::servers::Vm;
use crate::core::time::Time;

/// Simulated time of one step.
const STEP: Duration = Duration::from_secs(60);

/// Steps in one day.
const STEPS_PER_DAY: u64 = 24 * 60;

/// Steps from the start of a VM until it serves requests.
const START_STEPS: u64 = 4;

/// Probability that a reclaimable VM is reclaimed in one step.
const RECLAIM_PROBABILITY: f64 = 0.002;

/// Probability that all reclaimable VMs of one domain are reclaimed in one step.
const DOMAIN_RECLAIM_PROBABILITY: f64 = 0.001;

/// Steps for which a domain refuses starts after such a reclaim.
const REFUSED_STEPS: u64 = 20;

/// Concurrent requests at the daily peak.
const PEAK_REQUESTS: f64 = 60.0;

/// Concurrent requests that one server runs.
const SLOTS: u32 = 8;

/// Fraction of a server's slots that can be busy while responses meet the latency target.
const TARGET_UTILIZATION: f64 = 0.85;

/// Responses that one busy slot completes in an hour.
const RESPONSES_PER_HOUR: f64 = 1_200.0;

/// How the VMs of the fleet are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// The planner without a minimum share of on-demand VMs, for low cost.
    PlanForCost,
    /// The planner with a share of on-demand VMs, for fewer interrupted responses.
    PlanForSafety,
    /// On-demand VMs only, sized for the loss of a failure domain.
    AllOnDemand,
    /// Reclaimable VMs only, sized for the mean load.
    AllReclaimable,
}

/// All strategies.
pub const STRATEGIES: [Strategy; 4] = [
    Strategy::AllOnDemand,
    Strategy::AllReclaimable,
    Strategy::PlanForCost,
    Strategy::PlanForSafety,
];

/// Results of a strategy over all simulated days.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetReport {
    /// Strategy of the simulation.
    pub strategy: Strategy,
    /// Number of simulated days.
    pub days: u64,
    /// Percentage of the responses that met the latency target.
    pub in_target: f64,
    /// Cost of a thousand responses within the target, in cents.
    pub cost: f64,
    /// Number of reclaimed VMs.
    pub reclaimed: u64,
    /// Number of refused starts.
    pub refused: u64,
}

/// State of one simulated day.
struct FleetSimulation {
    rng: SmallRng,
    strategy: Strategy,
    offers: Vec<Offer>,
    base_prices: Vec<f64>,
    /// VMs and the step from which each serves requests.
    vms: Vec<(Vm, u64)>,
    reconciler: Reconciler,
    refused_until: Vec<(Name, u64)>,
    next_id: u64,
    cents: f64,
    in_target_responses: f64,
    requested: f64,
    reclaimed: u64,
    refused: u64,
}

fn offers() -> Vec<Offer> {
    let prices = [
        ("seoul-a", 80.0, 240.0),
        ("seoul-b", 74.0, 235.0),
        ("seoul-c", 90.0, 250.0),
    ];
    let mut offers = Vec::new();
    for (domain, reclaimable, on_demand) in prices {
        offers.push(Offer {
            domain: domain.into(),
            class: Class::Reclaimable,
            price: reclaimable,
            availability: 0.97,
        });
        offers.push(Offer {
            domain: domain.into(),
            class: Class::OnDemand,
            price: on_demand,
            availability: 0.999,
        });
    }
    offers
}

/// Simulates `days` seeded days with one strategy.
pub fn simulate(strategy: Strategy, days: u64) -> FleetReport {
    let mut total = FleetReport {
        strategy,
        days,
        in_target: 0.0,
        cost: 0.0,
        reclaimed: 0,
        refused: 0,
    };
    let (mut in_target_responses, mut requested, mut cents) = (0.0, 0.0, 0.0);
    for seed in 0..days {
        let mut day = FleetSimulation::new(strategy, seed);
        for step in 0..STEPS_PER_DAY {
            day.step(step);
        }
        in_target_responses += day.in_target_responses;
        requested += day.requested;
        cents += day.cents;
        total.reclaimed += day.reclaimed;
        total.refused += day.refused;
    }
    total.in_target = in_target_responses / requested * 100.0;
    total.cost = cents / (in_target_responses / 1_000.0);
    total
}

impl FleetSimulation {
    fn new(strategy: Strategy, seed: u64) -> Self {
        let offers = offers();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            strategy,
            base_prices: offers.iter().map(|offer| offer.price).collect(),
            offers,
            vms: Vec::new(),
            reconciler: Reconciler::new(0.1, Time::default()),
            refused_until: Vec::new(),
            next_id: 0,
            cents: 0.0,
            in_target_responses: 0.0,
            requested: 0.0,
            reclaimed: 0,
            refused: 0,
        }
    }

    /// Returns the number of concurrent requests, which peaks once a day.
    fn concurrent_requests(step: u64) -> f64 {
        let fraction = step as f64 / STEPS_PER_DAY as f64;
        let phase = (fraction * std::f64::consts::TAU - std::f64::consts::FRAC_PI_2).sin();
        PEAK_REQUESTS * (0.6 + 0.4 * phase)
    }

    fn step(&mut self, step: u64) {
        if step.is_multiple_of(60) {
            self.change_prices();
        }
        self.reclaim(step);
        let running = Self::concurrent_requests(step);
        self.apply_plan(step, running);
        self.account(step, running);
    }

    fn change_prices(&mut self) {
        for (offer, base) in self.offers.iter_mut().zip(&self.base_prices) {
            if offer.class == Class::Reclaimable {
                offer.price = base * self.rng.random_range(0.7..1.6);
            }
        }
    }

    fn reclaim(&mut self, step: u64) {
        let domains: Vec<Name> = self.offers.iter().map(|o| o.domain.clone()).collect();
        let reclaimed_domain = self
            .rng
            .random_bool(DOMAIN_RECLAIM_PROBABILITY)
            .then(|| domains[self.rng.random_range(0..domains.len())].clone());
        if let Some(domain) = &reclaimed_domain {
            self.refused_until
                .push((domain.clone(), step + REFUSED_STEPS));
        }
        let rng = &mut self.rng;
        let before = self.vms.len();
        self.vms.retain(|(vm, _)| {
            let is_reclaimed = reclaimed_domain.as_ref() == Some(&vm.domain)
                || rng.random_bool(RECLAIM_PROBABILITY);
            vm.class == Class::OnDemand || !is_reclaimed
        });
        self.reclaimed += (before - self.vms.len()) as u64;
    }

    fn plan(&self, running: f64) -> Vec<Allocation> {
        let demand = |on_demand_fraction| Demand {
            // Leaves headroom for load that grows while VMs start.
            concurrency: running * 1.1,
            slots: SLOTS,
            on_demand_fraction,
        };
        let single_class = |class: Class, factor: f64| {
            let servers = running * 1.1 * factor / (f64::from(SLOTS) * 0.75);
            self.offers
                .iter()
                .map(|offer| Allocation {
                    domain: offer.domain.clone(),
                    class: offer.class,
                    count: if offer.class == class {
                        (servers / 3.0).ceil() as u32
                    } else {
                        0
                    },
                })
                .collect()
        };
        match self.strategy {
            Strategy::PlanForCost => fleet::plan(&demand(0.0), &self.offers),
            Strategy::PlanForSafety => fleet::plan(&demand(0.35), &self.offers),
            Strategy::AllOnDemand => single_class(Class::OnDemand, 1.5),
            Strategy::AllReclaimable => single_class(Class::Reclaimable, 1.0),
        }
    }

    fn apply_plan(&mut self, step: u64, running: f64) {
        let plan = self.plan(running);
        let vms: Vec<Vm> = self.vms.iter().map(|(vm, _)| vm.clone()).collect();
        let now = Time::default() + STEP * step as u32;
        for action in self.reconciler.actions(&plan, &vms, now) {
            match action {
                Action::Start { domain, class } => self.start(domain, class, step, now),
                Action::Remove { vm } => self.vms.retain(|(own, _)| own.id != vm),
            }
        }
    }

    fn start(&mut self, domain: Name, class: Class, step: u64, now: Time) {
        let is_refused = class == Class::Reclaimable
            && self
                .refused_until
                .iter()
                .any(|(refused, until)| *refused == domain && step < *until);
        if is_refused {
            self.refused += 1;
            self.reconciler.record_refused(&domain, class, now);
            return;
        }
        self.next_id += 1;
        let vm = Vm {
            id: format!("vm-{}", self.next_id).into(),
            service: "s".into(),
            version: "v1".into(),
            address: "127.0.0.1:1".into(),
            domain,
            class,
            leaving: false,
        };
        let ready = if step == 0 { 0 } else { step + START_STEPS };
        self.vms.push((vm, ready));
    }

    fn account(&mut self, step: u64, running: f64) {
        let hours = STEP.as_secs_f64() / 3_600.0;
        for (vm, _) in &self.vms {
            let offer = self
                .offers
                .iter()
                .find(|offer| offer.domain == vm.domain && offer.class == vm.class);
            self.cents += offer.map_or(0.0, |offer| offer.price) * hours;
        }
        let ready = self.vms.iter().filter(|(_, at)| *at <= step).count();
        let capacity = ready as f64 * f64::from(SLOTS) * TARGET_UTILIZATION;
        self.requested += running * RESPONSES_PER_HOUR * hours;
        self.in_target_responses += running.min(capacity) * RESPONSES_PER_HOUR * hours;
    }
}
