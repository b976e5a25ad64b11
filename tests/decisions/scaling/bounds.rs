//! Orders for backend servers under any bounds that an operator sets.

use cassialock::core::catalog::Scale;
use cassialock::core::fleet::load::CapacityEstimate;
use cassialock::core::fleet::scaling::Autoscaler;
use cassialock::core::fleet::scaling::DomainServers;
use cassialock::core::time::Time;
use proptest::prelude::ProptestConfig;
use proptest::proptest;

use crate::scaling::simulation;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    /// Guards against duties that end for good, because bounds of a service end their task.
    #[test]
    fn orders_keep_to_any_bounds_without_a_panic(
        bounds in (0_u32..6, 0_u32..6),
        has_reclaimable: bool,
        counts in proptest::collection::vec((0_u32..5, 0_u32..5, 0_u32..3), 0..4),
        need in (0_u32..20, proptest::bool::ANY, proptest::bool::ANY),
    ) {
        let scale = Scale {
            min: bounds.0,
            max: bounds.1,
            reclaimable_price: has_reclaimable.then_some(0.22),
            ..simulation::scale()
        };
        let servers: Vec<DomainServers> = counts
            .iter()
            .zip(["a", "b", "c", "d"])
            .map(|((on_demand, reclaimable, reclaiming), domain)| DomainServers {
                domain: domain.into(),
                on_demand: *on_demand,
                reclaimable: *reclaimable,
                reclaiming: *reclaiming,
                ..DomainServers::default()
            })
            .collect();
        let need = CapacityEstimate {
            servers: need.0,
            is_learned: need.1,
            is_unused: need.2,
        };
        let mut autoscaler = Autoscaler::new();
        for ms in (0..60_000).step_by(5_000) {
            for order in autoscaler.orders(&scale, &servers, need, Time::from_millis(ms)) {
                let existing = servers.iter().find(|servers| servers.domain == order.domain);
                let existing = existing.map_or(0, |servers| servers.on_demand.max(servers.reclaimable));
                assert!(order.count <= scale.max.max(scale.min).max(existing), "{order:?}");
            }
        }
    }
}
