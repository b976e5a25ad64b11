//! Orders for backend servers under the loss of failure domains.

use std::time::Duration;

use cassialock::core::catalog::Scale;
use cassialock::core::fleet::load::CapacityEstimate;
use cassialock::core::fleet::load::LoadEstimator;
use cassialock::core::fleet::load::Traffic;
use cassialock::core::fleet::scaling::Autoscaler;
use cassialock::core::fleet::scaling::DomainServers;
use cassialock::core::fleet::scaling::ScaleOrder;
use cassialock::core::route::servers::Class;
use cassialock::core::time::Time;

const STEP_MS: u64 = 250;
const BOOT_MS: u64 = 4_000;

fn scale() -> Scale {
    Scale {
        min: 1,
        max: 6,
        boot: Duration::from_millis(BOOT_MS),
        reclaimable_price: Some(0.22),
        domain_prices: [("a".into(), 0.85), ("b".into(), 1.2), ("c".into(), 1.0)]
            .into_iter()
            .collect(),
    }
}

/// Requests that take a tenth of a second.
fn steady(running: f64) -> Traffic {
    Traffic {
        in_flight: running,
        arrival_rate: running * 10.0,
        completion_rate: running * 10.0,
    }
}

/// Servers that come some seconds after an order, and go at once.
struct World {
    scale: Scale,
    stocks: Vec<DomainServers>,
    starting: Vec<(u64, ScaleOrder)>,
    dry: bool,
    orders: usize,
}

impl World {
    fn new(on_demand: u32) -> Self {
        let stock = |domain: &str| DomainServers {
            domain: domain.into(),
            on_demand,
            ..DomainServers::default()
        };
        Self {
            scale: scale(),
            stocks: vec![stock("a"), stock("b"), stock("c")],
            starting: Vec::new(),
            dry: false,
            orders: 0,
        }
    }

    /// Runs the planner over a span with a known need.
    fn run(&mut self, planner: &mut Autoscaler, needed: u32, from: u64, to: u64) {
        let need = CapacityEstimate {
            servers: needed,
            is_learned: true,
            is_unused: false,
        };
        self.run_with(planner, need, from, to);
    }

    fn run_with(&mut self, planner: &mut Autoscaler, need: CapacityEstimate, from: u64, to: u64) {
        for ms in (from..to).step_by(STEP_MS as usize) {
            self.arrive(ms);
            let now = Time::from_millis(ms);
            for order in planner.orders(&self.scale, &self.stocks, need, now) {
                self.orders += 1;
                if order.class == Class::Reclaimable && self.dry {
                    planner.record_refused(&order.domain, now);
                } else if self.is_fewer(&order) {
                    self.starting.push((ms, order));
                } else {
                    self.starting.push((ms + BOOT_MS, order));
                }
            }
        }
    }

    /// Servers that are not wanted any more leave at once.
    fn is_fewer(&self, order: &ScaleOrder) -> bool {
        let mut stocks = self.stocks.iter();
        let stock = stocks.find(|stock| stock.domain == order.domain).unwrap();
        match order.class {
            Class::Reclaimable => order.count < stock.reclaimable,
            Class::OnDemand => order.count < stock.on_demand,
        }
    }

    fn arrive(&mut self, ms: u64) {
        let due: Vec<ScaleOrder> = self
            .starting
            .extract_if(.., |(at, _)| *at <= ms)
            .map(|(_, order)| order)
            .collect();
        for order in due {
            let stock = self
                .stocks
                .iter_mut()
                .find(|stock| stock.domain == order.domain)
                .unwrap();
            match order.class {
                Class::Reclaimable => stock.reclaimable = order.count,
                Class::OnDemand => stock.on_demand = order.count,
            }
        }
    }

    fn serving(&self) -> u32 {
        let count = |stock: &DomainServers| stock.reclaimable + stock.on_demand;
        self.stocks.iter().map(count).sum()
    }

    /// The platform takes back the reclaimable servers of a domain.
    fn lose(&mut self, at: usize) {
        self.dry = true;
        self.stocks[at].reclaiming = self.stocks[at].reclaimable;
        self.stocks[at].reclaimable = 0;
        let domain = self.stocks[at].domain.clone();
        self.starting
            .retain(|(_, o)| o.domain != domain || o.class == Class::OnDemand);
    }

    fn on_demand(&self) -> u32 {
        self.stocks.iter().map(|stock| stock.on_demand).sum()
    }
}

#[test]
fn reclaimable_servers_take_over_and_one_domain_can_be_lost() {
    let mut world = World::new(3);
    let mut planner = Autoscaler::new();
    world.run(&mut planner, 6, 0, 20_000);
    assert_eq!(world.on_demand(), 0, "servers on demand are dear");
    let largest = world.stocks.iter().map(|stock| stock.reclaimable).max();
    assert!(world.serving() - largest.unwrap() >= 6);
    assert!(world.orders <= 9, "{} orders", world.orders);
}

#[test]
fn two_domains_lost_while_none_are_to_be_had_are_replaced_on_demand() {
    let mut world = World::new(3);
    let mut planner = Autoscaler::new();
    world.run(&mut planner, 6, 0, 20_000);
    world.lose(0);
    world.run(&mut planner, 6, 20_000, 26_000);
    assert!(world.serving() >= 6, "one domain is lost");
    world.lose(1);
    world.run(&mut planner, 6, 26_000, 26_500);
    let ordered: u32 = world.starting.iter().map(|(_, order)| order.count).sum();
    assert!(world.serving() + ordered >= 6, "ordered at the notice");
    world.run(&mut planner, 6, 26_500, 32_000);
    assert!(world.serving() >= 6);
}

#[test]
fn servers_on_demand_go_when_reclaimable_ones_are_back() {
    let mut world = World::new(0);
    let mut planner = Autoscaler::new();
    world.run(&mut planner, 6, 0, 20_000);
    world.lose(0);
    world.lose(1);
    world.run(&mut planner, 6, 20_000, 34_000);
    assert!(world.on_demand() > 0);
    world.dry = false;
    world
        .stocks
        .iter_mut()
        .for_each(|stock| stock.reclaiming = 0);
    world.run(&mut planner, 6, 34_000, 60_000);
    assert_eq!(world.on_demand(), 0);
    assert!(world.serving() >= 9);
}

#[test]
fn the_fleet_that_is_there_stays_until_the_load_is_known() {
    let mut load = LoadEstimator::new();
    let early = load.estimate(128, Time::from_millis(9_000));
    assert!(!early.is_learned);
    let mut planner = Autoscaler::new();
    let stocks = World::new(3).stocks;
    let first = planner.orders(&scale(), &stocks, early, Time::from_millis(6_000));
    assert_eq!(first, [], "not all servers may be known");
    let orders = planner.orders(&scale(), &stocks, early, Time::from_millis(9_000));
    let reclaimable: u32 = orders
        .iter()
        .filter(|order| order.class == Class::Reclaimable)
        .map(|order| order.count)
        .sum();
    assert!(
        reclaimable >= 9,
        "three in each domain, one of which may go"
    );
    for ms in (0..30_000).step_by(500) {
        load.record(&steady(70.0), Time::from_millis(ms));
    }
    let known = load.estimate(128, Time::from_millis(30_000));
    assert!(known.is_learned);
    assert_eq!(known.servers, 6);
}

#[test]
fn a_peak_is_provided_for_after_it_has_passed() {
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

/// A need of which nothing was measured, before the first request.
const UNUSED: CapacityEstimate = CapacityEstimate {
    servers: 1,
    is_learned: false,
    is_unused: true,
};

/// The load: the start of a deployment, whose servers register some time after
/// the first node looks for them.
#[test]
fn servers_that_have_not_registered_yet_are_waited_for() {
    let mut world = World::new(0);
    let mut planner = Autoscaler::new();
    world.run_with(&mut planner, UNUSED, 0, 1_000);
    world.stocks[0].on_demand = 1;
    world.run_with(&mut planner, UNUSED, 1_000, 2_000);
    assert_eq!(world.orders, 0, "not all servers are known");
    world.stocks[0].on_demand = 0;
    world.run_with(&mut planner, UNUSED, 2_000, 8_000);
    assert!(world.orders > 0, "there may really be none");
}

/// The load: traffic for all of the declared fleet begins some seconds after
/// the nodes do, and nothing of it is known before.
#[test]
fn a_large_fleet_is_replaced_by_as_many_reclaimable_servers_before_traffic() {
    let mut world = World::new(19);
    world.scale.max = 40;
    let mut planner = Autoscaler::new();
    for ms in (0..3_500).step_by(500) {
        world.run_with(&mut planner, UNUSED, ms, ms + 500);
        assert!(world.serving() >= 57 * 2 / 5, "a caller may come early");
    }
    world.run_with(&mut planner, UNUSED, 3_500, 13_000);
    assert!(world.serving() >= 54, "{} are left", world.serving());
    assert_eq!(world.on_demand(), 0, "reclaimable ones have started");
    assert!(world.orders <= 12, "{} orders", world.orders);
}

/// The load: all nodes start again beside servers that are in use.
#[test]
fn servers_on_demand_stay_for_a_while_when_callers_may_be_there() {
    let mut world = World::new(4);
    world.dry = true;
    let mut planner = Autoscaler::new();
    let need = CapacityEstimate {
        is_unused: false,
        ..UNUSED
    };
    world.run_with(&mut planner, need, 0, 2_500);
    let kept = |order: &ScaleOrder| order.class != Class::OnDemand || order.count >= 4;
    assert!(world.starting.iter().all(|(_, order)| kept(order)));
    assert_eq!(world.on_demand(), 12);
}

/// The load: twice the requests while some servers are lost, so that requests
/// run for ten times as long and half of them are not answered. What runs would
/// take five times the servers that carry the load.
#[test]
fn requests_that_pile_up_do_not_look_like_many_times_the_load() {
    let mut load = LoadEstimator::new();
    for ms in (0..20_000).step_by(500) {
        load.record(&steady(100.0), Time::from_millis(ms));
    }
    for ms in (20_000..26_000).step_by(500) {
        let piled = Traffic {
            in_flight: 1_000.0,
            arrival_rate: 2_000.0,
            completion_rate: 1_000.0,
        };
        load.record(&piled, Time::from_millis(ms));
    }
    let needed = load.estimate(12, Time::from_millis(26_000)).servers;
    let carries = 200.0 / (12.0 * 0.7);
    assert!(f64::from(needed) >= carries, "{needed} for twice the load");
    assert!(
        f64::from(needed) <= carries * 3.2,
        "{needed} for twice the load"
    );
}

/// The load: one domain is lost while the need has doubled since the
/// reclaimable servers were ordered, and a second loss may follow.
#[test]
fn a_second_loss_is_provided_for_at_the_first() {
    let mut world = World::new(3);
    world.scale.max = 40;
    let mut planner = Autoscaler::new();
    world.run(&mut planner, 20, 0, 20_000);
    world.lose(0);
    world.run(&mut planner, 40, 20_000, 25_000);
    world.lose(1);
    world.run(&mut planner, 40, 25_000, 25_250);
    assert!(world.serving() >= 40 * 8 / 10, "{} serve", world.serving());
}

/// The load: all reclaimable servers are lost within seconds, and those that
/// replace them have to read every prompt anew.
#[test]
fn servers_that_start_cold_are_more_than_those_that_are_lost() {
    let mut world = World::new(3);
    world.scale.max = 40;
    let mut planner = Autoscaler::new();
    world.run(&mut planner, 10, 0, 20_000);
    for (at, ms) in [(0, 20_000), (1, 24_000), (2, 26_000)] {
        world.lose(at);
        world.run(&mut planner, 10, ms, ms + 2_000);
    }
    world.run(&mut planner, 10, 28_000, 32_000);
    assert!(world.serving() >= 15, "{} serve", world.serving());
}
