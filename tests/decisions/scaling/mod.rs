//! Orders for backend servers when failure domains are lost.

use cassialock::core::catalog::Scale;
use cassialock::core::fleet::load::CapacityEstimate;
use cassialock::core::fleet::load::LoadEstimator;
use cassialock::core::fleet::load::Traffic;
use cassialock::core::fleet::scaling::Autoscaler;
use cassialock::core::fleet::scaling::DomainServers;
use cassialock::core::fleet::scaling::ScaleOrder;
use cassialock::core::fleet::scaling::TrialServers;
use cassialock::core::route::servers::Class;
use cassialock::core::time::Time;

use crate::scaling::simulation::STEP_MS;
use crate::scaling::simulation::Simulation;
use crate::scaling::simulation::scale;

mod bounds;
mod simulation;

/// Returns traffic of requests that take 100 ms each.
fn steady(in_flight: f64) -> Traffic {
    Traffic {
        in_flight,
        arrival_rate: in_flight * 10.0,
        completion_rate: in_flight * 10.0,
    }
}

#[test]
fn reclaimable_servers_take_over_and_one_domain_can_be_lost() {
    let mut simulation = Simulation::new(3);
    let mut autoscaler = Autoscaler::new();
    simulation.run(&mut autoscaler, 6, 0, 20_000);
    assert_eq!(simulation.on_demand(), 0, "on-demand servers are expensive");
    let largest = simulation
        .servers
        .iter()
        .map(|domain| domain.reclaimable)
        .max();
    assert!(simulation.serving() - largest.unwrap() >= 6);
    assert!(simulation.orders <= 9, "{} orders", simulation.orders);
}

#[test]
fn two_lost_domains_are_replaced_on_demand_if_none_are_reclaimable() {
    let mut simulation = Simulation::new(3);
    let mut autoscaler = Autoscaler::new();
    simulation.run(&mut autoscaler, 6, 0, 20_000);
    simulation.lose_domain(0);
    simulation.run(&mut autoscaler, 6, 20_000, 26_000);
    assert!(simulation.serving() >= 6, "one domain is lost");
    simulation.lose_domain(1);
    simulation.run(&mut autoscaler, 6, 26_000, 26_500);
    let ordered: u32 = simulation
        .pending
        .iter()
        .map(|(_, order)| order.count)
        .sum();
    assert!(
        simulation.serving() + ordered >= 6,
        "replacements are ordered at the reclaim notice"
    );
    simulation.run(&mut autoscaler, 6, 26_500, 32_000);
    assert!(simulation.serving() >= 6);
}

#[test]
fn on_demand_servers_are_removed_when_reclaimable_ones_return() {
    let mut simulation = Simulation::new(0);
    let mut autoscaler = Autoscaler::new();
    simulation.run(&mut autoscaler, 6, 0, 20_000);
    simulation.lose_domain(0);
    simulation.lose_domain(1);
    simulation.run(&mut autoscaler, 6, 20_000, 34_000);
    assert!(simulation.on_demand() > 0);
    simulation.none_available = false;
    simulation
        .servers
        .iter_mut()
        .for_each(|domain| domain.reclaiming = 0);
    simulation.run(&mut autoscaler, 6, 34_000, 60_000);
    assert_eq!(simulation.on_demand(), 0);
    assert!(simulation.serving() >= 9);
}

#[test]
fn the_existing_fleet_stays_until_the_load_is_known() {
    let mut load = LoadEstimator::new();
    let early = load.estimate(128, Time::from_millis(9_000));
    assert!(!early.is_learned);
    let mut autoscaler = Autoscaler::new();
    let servers = Simulation::new(3).servers;
    let first = autoscaler.orders(&scale(), &servers, early, Time::from_millis(6_000));
    assert_eq!(first, [], "servers may still be registering");
    let orders = autoscaler.orders(&scale(), &servers, early, Time::from_millis(9_000));
    let reclaimable: u32 = orders
        .iter()
        .filter(|order| order.class == Class::Reclaimable)
        .map(|order| order.count)
        .sum();
    assert!(
        reclaimable >= 9,
        "three in each domain, of which one may be lost"
    );
    for ms in (0..30_000).step_by(500) {
        load.record(&steady(70.0), Time::from_millis(ms));
    }
    let known = load.estimate(128, Time::from_millis(30_000));
    assert!(known.is_learned);
    assert_eq!(known.servers, 6);
}

#[test]
fn capacity_for_a_peak_is_kept_after_the_peak() {
    let mut load = LoadEstimator::new();
    for ms in (0..20_000).step_by(500) {
        load.record(&steady(100.0), Time::from_millis(ms));
    }
    for ms in (20_000..28_000).step_by(500) {
        load.record(&steady(20.0), Time::from_millis(ms));
    }
    assert!(load.estimate(128, Time::from_millis(28_000)).servers >= 8);
    for ms in (28_000..60_000).step_by(500) {
        load.record(&steady(20.0), Time::from_millis(ms));
    }
    assert!(load.estimate(128, Time::from_millis(60_000)).servers <= 3);
}

/// The need before the first request, when nothing was measured yet.
const UNUSED: CapacityEstimate = CapacityEstimate {
    servers: 1,
    is_learned: false,
    is_unused: true,
};

/// At the start of a deployment, servers register some time after the first
/// node looks for them. Orders before that would duplicate servers.
#[test]
fn servers_that_have_not_registered_yet_are_waited_for() {
    let mut simulation = Simulation::new(0);
    let mut autoscaler = Autoscaler::new();
    simulation.run_with(&mut autoscaler, UNUSED, 0, 1_000);
    simulation.servers[0].on_demand = 1;
    simulation.run_with(&mut autoscaler, UNUSED, 1_000, 2_000);
    assert_eq!(simulation.orders, 0, "servers may still be registering");
    simulation.servers[0].on_demand = 0;
    simulation.run_with(&mut autoscaler, UNUSED, 2_000, 8_000);
    assert!(simulation.orders > 0, "there may be no servers at all");
}

/// Traffic for the whole declared fleet starts some seconds after the nodes,
/// and the load is not known before.
#[test]
fn a_large_fleet_is_replaced_by_as_many_reclaimable_servers_before_traffic() {
    let mut simulation = Simulation::new(19);
    simulation.scale.max = 40;
    let mut autoscaler = Autoscaler::new();
    for ms in (0..3_500).step_by(500) {
        simulation.run_with(&mut autoscaler, UNUSED, ms, ms + 500);
        assert!(
            simulation.serving() >= 57 * 2 / 5,
            "traffic may start early"
        );
    }
    simulation.run_with(&mut autoscaler, UNUSED, 3_500, 13_000);
    assert!(
        simulation.serving() >= 54,
        "{} are left",
        simulation.serving()
    );
    assert_eq!(simulation.on_demand(), 0, "reclaimable ones have started");
    assert!(simulation.orders <= 12, "{} orders", simulation.orders);
}

/// All nodes restart while the servers are in use.
#[test]
fn servers_on_demand_stay_for_a_while_when_callers_may_be_there() {
    let mut simulation = Simulation::new(4);
    simulation.none_available = true;
    let mut autoscaler = Autoscaler::new();
    let need = CapacityEstimate {
        is_unused: false,
        ..UNUSED
    };
    simulation.run_with(&mut autoscaler, need, 0, 2_500);
    let keeps_servers = |order: &ScaleOrder| order.class != Class::OnDemand || order.count >= 4;
    assert!(
        simulation
            .pending
            .iter()
            .all(|(_, order)| keeps_servers(order))
    );
    assert_eq!(simulation.on_demand(), 12);
}

/// Twice the requests arrive while some servers are lost, so that requests take
/// ten times as long and only half of them complete. The running requests alone
/// would suggest five times the servers that carry the load.
#[test]
fn piled_up_requests_do_not_inflate_the_load() {
    let mut load = LoadEstimator::new();
    for ms in (0..20_000).step_by(500) {
        load.record(&steady(100.0), Time::from_millis(ms));
    }
    for ms in (20_000..26_000).step_by(500) {
        let piled_up = Traffic {
            in_flight: 1_000.0,
            arrival_rate: 2_000.0,
            completion_rate: 1_000.0,
        };
        load.record(&piled_up, Time::from_millis(ms));
    }
    let needed = load.estimate(12, Time::from_millis(26_000)).servers;
    let carries = 200.0 / (12.0 * 0.7);
    assert!(
        f64::from(needed) >= carries,
        "{needed} servers for twice the load"
    );
    assert!(
        f64::from(needed) <= carries * 3.2,
        "{needed} servers for twice the load"
    );
}

/// One domain is lost after the need has doubled since the reclaimable servers
/// were ordered, and a second loss may follow.
#[test]
fn a_second_loss_is_prepared_for_at_the_first() {
    let mut simulation = Simulation::new(3);
    simulation.scale.max = 40;
    let mut autoscaler = Autoscaler::new();
    simulation.run(&mut autoscaler, 20, 0, 20_000);
    simulation.lose_domain(0);
    simulation.run(&mut autoscaler, 40, 20_000, 25_000);
    simulation.lose_domain(1);
    simulation.run(&mut autoscaler, 40, 25_000, 25_250);
    assert!(
        simulation.serving() >= 40 * 8 / 10,
        "{} servers",
        simulation.serving()
    );
}

/// All reclaimable servers are lost within seconds, and their replacements have
/// to process every prompt with a cold cache.
#[test]
fn more_cold_servers_are_ordered_than_were_lost() {
    let mut simulation = Simulation::new(3);
    simulation.scale.max = 40;
    let mut autoscaler = Autoscaler::new();
    simulation.run(&mut autoscaler, 10, 0, 20_000);
    for (index, ms) in [(0, 20_000), (1, 24_000), (2, 26_000)] {
        simulation.lose_domain(index);
        simulation.run(&mut autoscaler, 10, ms, ms + 2_000);
    }
    simulation.run(&mut autoscaler, 10, 28_000, 32_000);
    assert!(
        simulation.serving() >= 15,
        "{} servers",
        simulation.serving()
    );
}

/// On the heaviest day of a fleet of five failure domains, half of the servers were
/// given up before the traffic started, since the fraction that was kept held for
/// three domains.
#[test]
fn a_fleet_of_any_number_of_domains_is_replaced_before_traffic() {
    for domains in 2..=9 {
        let by_domain: Vec<DomainServers> = (0..domains)
            .map(|index| DomainServers {
                domain: format!("d{index}").into(),
                on_demand: 26,
                ..DomainServers::default()
            })
            .collect();
        let scale = Scale {
            max: 52,
            ..Simulation::new(1).scale
        };
        let mut autoscaler = Autoscaler::new();
        let mut ordered = 0;
        for ms in (0..4_000).step_by(500) {
            let now = Time::from_millis(1_000 + ms);
            let orders = autoscaler.orders(&scale, &by_domain, UNUSED, now);
            let reclaimable = orders
                .iter()
                .filter(|order| order.class == Class::Reclaimable);
            ordered += reclaimable.map(|order| order.count).sum::<u32>();
        }
        let existing = 26 * domains;
        assert!(
            (existing..=existing * 11 / 10).contains(&ordered),
            "{domains} domains: {ordered} of {existing}"
        );
    }
}

/// The platform starts the servers of a new version beside the others and counts
/// them in an order.
#[test]
fn the_servers_of_a_version_on_trial_are_kept_and_replace_none() {
    let mut autoscaler = Autoscaler::new();
    let mut simulation = Simulation::new(3);
    simulation.run(&mut autoscaler, 6, 0, 20_000);
    let before = simulation.servers.clone();
    let trial = TrialServers {
        reclaimable: 1,
        on_demand: 2,
        is_arriving: false,
    };
    for domain in &mut simulation.servers {
        domain.trial = trial;
    }
    let need = CapacityEstimate {
        servers: 6,
        is_learned: true,
        is_unused: false,
    };
    for ms in (20_000..40_000).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        for order in autoscaler.orders(&simulation.scale, &simulation.servers, need, now) {
            let mut domains = before.iter();
            let domain = domains.find(|row| row.domain == order.domain).unwrap();
            let expected = match order.class {
                Class::Reclaimable => domain.reclaimable + trial.reclaimable,
                Class::OnDemand => domain.on_demand + trial.on_demand,
            };
            assert_eq!(order.count, expected, "{order:?}");
        }
    }
}

/// Orders as the platform carries them out: the bound holds for both classes and both
/// versions, and servers make room for those that are ordered.
fn carry_out(order: &ScaleOrder, scale: &Scale, servers: &mut DomainServers) {
    let on_demand = servers.on_demand + servers.trial.on_demand;
    match order.class {
        Class::Reclaimable => {
            servers.reclaimable = order.count.min(scale.max.saturating_sub(on_demand));
        }
        Class::OnDemand => {
            let room = scale.max.saturating_sub(servers.reclaimable);
            let count = order.count.min(room.max(on_demand));
            servers.on_demand = count.saturating_sub(servers.trial.on_demand);
        }
    }
}

/// A move starts as many servers as there are, which register some time later.
#[test]
fn no_order_ends_old_servers_during_a_trial() {
    for (arriving_ms, registered) in [(0, 4), (4_000, 0), (4_000, 1), (4_000, 4)] {
        let mut autoscaler = Autoscaler::new();
        let mut simulation = Simulation::new(3);
        simulation.run(&mut autoscaler, 6, 0, 20_000);
        for domain in &mut simulation.servers {
            (domain.reclaimable, domain.on_demand) = (4, 0);
        }
        let mut servers = simulation.servers.clone();
        let need = CapacityEstimate {
            servers: 9,
            is_learned: true,
            is_unused: false,
        };
        for ms in (20_000..34_000).step_by(STEP_MS as usize) {
            let now = Time::from_millis(ms);
            let is_arriving = ms < 20_000 + arriving_ms;
            for domain in &mut servers {
                domain.trial = TrialServers {
                    reclaimable: 0,
                    on_demand: if is_arriving { registered } else { 4 },
                    is_arriving,
                };
            }
            for order in autoscaler.orders(&simulation.scale, &servers, need, now) {
                let mut domains = servers.iter_mut();
                let domain = domains.find(|row| row.domain == order.domain).unwrap();
                domain.trial.on_demand = 4;
                carry_out(&order, &simulation.scale, domain);
                assert!(domain.reclaimable >= 4, "{order:?} at {ms} ms: {domain:?}");
            }
        }
    }
}

/// The bound on both classes is reached while a version is on trial, and the platform
/// ends servers of the trial if more are ordered.
#[test]
fn no_order_ends_the_servers_of_a_version_on_trial() {
    for is_learned in [false, true] {
        let mut autoscaler = Autoscaler::new();
        let mut simulation = Simulation::new(3);
        simulation.run(&mut autoscaler, 6, 0, 20_000);
        let mut servers = simulation.servers.clone();
        for domain in &mut servers {
            (domain.reclaimable, domain.on_demand) = (6, 0);
            domain.trial.on_demand = 6;
        }
        for ms in (20_000..34_000).step_by(STEP_MS as usize) {
            let need = CapacityEstimate {
                servers: 8,
                is_learned: is_learned || ms >= 24_000,
                is_unused: false,
            };
            let now = Time::from_millis(ms);
            let orders = autoscaler.orders(&simulation.scale, &servers, need, now);
            assert!(orders.is_empty(), "{orders:?} at {ms} ms");
        }
    }
}
