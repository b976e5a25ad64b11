//! Orders for backend servers under the loss of failure domains.

use std::time::Duration;

use cassialock::core::catalog::Scale;
use cassialock::core::fleet::orders::Load;
use cassialock::core::fleet::orders::Need;
use cassialock::core::fleet::orders::Order;
use cassialock::core::fleet::orders::Planner;
use cassialock::core::fleet::orders::Stock;
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

/// Servers that come some seconds after an order, and go at once.
struct World {
    stocks: Vec<Stock>,
    starting: Vec<(u64, Order)>,
    dry: bool,
    orders: usize,
}

impl World {
    fn new(on_demand: u32) -> Self {
        let stock = |domain: &str| Stock {
            domain: domain.into(),
            on_demand,
            ..Stock::default()
        };
        Self {
            stocks: vec![stock("a"), stock("b"), stock("c")],
            starting: Vec::new(),
            dry: false,
            orders: 0,
        }
    }

    /// Runs the planner over a span with a known need.
    fn run(&mut self, planner: &mut Planner, needed: u32, from: u64, to: u64) {
        let need = Need {
            servers: needed,
            is_learned: true,
        };
        for ms in (from..to).step_by(STEP_MS as usize) {
            self.arrive(ms);
            let now = Time::from_millis(ms);
            for order in planner.orders(&scale(), &self.stocks, need, now) {
                self.orders += 1;
                if order.class == Class::Reclaimable && self.dry {
                    planner.record_refused(&order.domain, now);
                } else {
                    self.starting.push((ms + BOOT_MS, order));
                }
            }
        }
    }

    fn arrive(&mut self, ms: u64) {
        let due: Vec<Order> = self
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
        let count = |stock: &Stock| stock.reclaimable + stock.on_demand;
        self.stocks.iter().map(count).sum()
    }

    /// The platform takes back the reclaimable servers of a domain.
    fn lose(&mut self, at: usize) {
        self.dry = true;
        self.stocks[at].noticed = self.stocks[at].reclaimable;
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
    let mut planner = Planner::new();
    world.run(&mut planner, 6, 0, 20_000);
    assert_eq!(world.on_demand(), 0, "servers on demand are dear");
    let largest = world.stocks.iter().map(|stock| stock.reclaimable).max();
    assert!(world.serving() - largest.unwrap() >= 6);
    assert!(world.orders <= 9, "{} orders", world.orders);
}

#[test]
fn two_domains_lost_while_none_are_to_be_had_are_replaced_on_demand() {
    let mut world = World::new(3);
    let mut planner = Planner::new();
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
    let mut planner = Planner::new();
    world.run(&mut planner, 6, 0, 20_000);
    world.lose(0);
    world.lose(1);
    world.run(&mut planner, 6, 20_000, 34_000);
    assert!(world.on_demand() > 0);
    world.dry = false;
    world.stocks.iter_mut().for_each(|stock| stock.noticed = 0);
    world.run(&mut planner, 6, 34_000, 60_000);
    assert_eq!(world.on_demand(), 0);
    assert!(world.serving() >= 9);
}

#[test]
fn the_fleet_that_is_there_stays_until_the_load_is_known() {
    let mut load = Load::new();
    let early = load.needed(128, Time::from_millis(9_000));
    assert!(!early.is_learned);
    let mut planner = Planner::new();
    let stocks = World::new(3).stocks;
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
        load.record(70.0, Time::from_millis(ms));
    }
    let known = load.needed(128, Time::from_millis(30_000));
    assert!(known.is_learned);
    assert_eq!(known.servers, 6);
}

#[test]
fn a_peak_is_provided_for_after_it_has_passed() {
    let mut load = Load::new();
    for ms in (0..20_000).step_by(500) {
        load.record(100.0, Time::from_millis(ms));
    }
    for ms in (20_000..28_000).step_by(500) {
        load.record(20.0, Time::from_millis(ms));
    }
    assert!(load.needed(128, Time::from_millis(28_000)).servers >= 8);
    for ms in (28_000..60_000).step_by(500) {
        load.record(20.0, Time::from_millis(ms));
    }
    assert!(load.needed(128, Time::from_millis(60_000)).servers <= 3);
}
