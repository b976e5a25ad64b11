//! Fleet plans and the actions that reach them.

use std::time::Duration;

use cassialock::core::fleet;
use cassialock::core::fleet::Allocation;
use cassialock::core::fleet::Demand;
use cassialock::core::fleet::Offer;
use cassialock::core::fleet::reconcile::Action;
use cassialock::core::fleet::reconcile::Reconciler;
use cassialock::core::route::servers::Class;
use cassialock::core::route::servers::Vm;
use cassialock::core::time::Time;

fn offers(reclaimable_price: f64) -> Vec<Offer> {
    let mut offers = Vec::new();
    for domain in ["a", "b", "c"] {
        for (class, price, availability) in [
            (Class::Reclaimable, reclaimable_price, 0.9),
            (Class::OnDemand, 200.0, 1.0),
        ] {
            offers.push(Offer {
                domain: domain.into(),
                class,
                price,
                availability,
            });
        }
    }
    offers
}

fn demand(on_demand_fraction: f64) -> Demand {
    Demand {
        concurrency: 60.0,
        slots: 8,
        on_demand_fraction,
    }
}

#[test]
fn any_domain_can_be_lost() {
    for fraction in [0.0, 0.3, 1.0] {
        for price in [50.0, 190.0, 300.0] {
            let offers = offers(price);
            let plan = fleet::plan(&demand(fraction), &offers);
            let needed = 60.0 / (8.0 * 0.75);
            for lost in ["a", "b", "c"] {
                let left = fleet::capacity_without(&plan, &offers, Some(&lost.into()));
                assert!(
                    left >= needed,
                    "on-demand fraction {fraction}, price {price}: {left} of {needed} servers without {lost}"
                );
            }
        }
    }
}

#[test]
fn the_cheaper_class_is_taken() {
    let count = |price: f64, class: Class| -> u32 {
        let offers = offers(price);
        let plan = fleet::plan(&demand(0.0), &offers);
        plan.iter()
            .filter(|allocation| allocation.class == class)
            .map(|allocation| allocation.count)
            .sum()
    };
    assert_eq!(count(50.0, Class::OnDemand), 0);
    assert_eq!(count(300.0, Class::Reclaimable), 0);
}

#[test]
fn the_on_demand_fraction_sets_the_on_demand_minimum() {
    let offers = offers(50.0);
    let cheap = fleet::plan(&demand(0.0), &offers);
    let safe = fleet::plan(&demand(0.5), &offers);
    assert!(fleet::hourly_cost(&cheap, &offers) < fleet::hourly_cost(&safe, &offers));
    let on_demand: u32 = safe
        .iter()
        .filter(|allocation| allocation.class == Class::OnDemand)
        .map(|allocation| allocation.count)
        .sum();
    assert!(on_demand >= 8);
}

fn allocation(domain: &str, class: Class, count: u32) -> Allocation {
    Allocation {
        domain: domain.into(),
        class,
        count,
    }
}

fn vm(id: &str, domain: &str, class: Class) -> Vm {
    Vm {
        id: id.into(),
        service: "s".into(),
        version: "v1".into(),
        address: "127.0.0.1:1".into(),
        domain: domain.into(),
        class,
        leaving: false,
    }
}

#[test]
fn starts_are_limited_to_the_rate_of_the_weight_store() {
    let plan = [allocation("a", Class::Reclaimable, 10)];
    let mut reconciler = Reconciler::new(2.0, Time::default());
    assert_eq!(reconciler.actions(&plan, &[], Time::default()).len(), 2);
    let later = Time::default() + Duration::from_millis(500);
    assert_eq!(reconciler.actions(&plan, &[], later).len(), 1);
}

#[test]
fn a_refused_start_is_made_elsewhere() {
    let plan = [
        allocation("a", Class::Reclaimable, 1),
        allocation("b", Class::Reclaimable, 0),
    ];
    let now = Time::from_millis(1_000);
    let mut reconciler = Reconciler::new(10.0, now);
    let start = |domain: &str, class| {
        vec![Action::Start {
            domain: domain.into(),
            class,
        }]
    };
    reconciler.record_refused(&"a".into(), Class::Reclaimable, now);
    assert_eq!(
        reconciler.actions(&plan, &[], now),
        start("a", Class::OnDemand)
    );
    reconciler.record_refused(&"a".into(), Class::OnDemand, now);
    assert_eq!(
        reconciler.actions(&plan, &[], now),
        start("b", Class::Reclaimable)
    );
    let later = now + Duration::from_secs(31);
    assert_eq!(
        reconciler.actions(&plan, &[], later),
        start("a", Class::Reclaimable)
    );
}

#[test]
fn capacity_does_not_drop_before_its_replacement_runs() {
    let plan = [
        allocation("a", Class::Reclaimable, 1),
        allocation("a", Class::OnDemand, 0),
    ];
    let old = vm("old", "a", Class::OnDemand);
    let new = vm("new", "a", Class::Reclaimable);
    let now = Time::from_millis(1_000);
    let mut reconciler = Reconciler::new(10.0, now);
    let actions = reconciler.actions(&plan, std::slice::from_ref(&old), now);
    assert!(matches!(actions[..], [Action::Start { .. }]));
    let actions = reconciler.actions(&plan, &[old, new], now);
    assert_eq!(actions, [Action::Remove { vm: "old".into() }]);
}

#[test]
fn a_leaving_vm_is_replaced_at_once() {
    let plan = [allocation("a", Class::Reclaimable, 1)];
    let now = Time::from_millis(1_000);
    let leaving = Vm {
        leaving: true,
        ..vm("x", "a", Class::Reclaimable)
    };
    let actions = Reconciler::new(10.0, now).actions(&plan, &[leaving], now);
    assert!(matches!(actions[..], [Action::Start { .. }]));
}
