//! Leases: no two holders act at once, despite pauses, lost replies and races.

use std::time::Duration;

use cassialock::core::config::Fencing;
use cassialock::core::lease;
use cassialock::core::lease::Action;
use cassialock::core::lease::LeaderElector;
use cassialock::core::lease::Lease;
use cassialock::core::lease::version_order;
use cassialock::core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn time_at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn take(elector: &mut LeaderElector, now: Time) -> Lease {
    elector.record_read(None, now);
    match elector.next_action(true, now) {
        Action::Write(lease) => {
            elector.record_written(lease.clone(), now);
            lease
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_holder_stops_before_its_term_ends() {
    let mut elector = LeaderElector::new("a".into(), Fencing::Refused);
    take(&mut elector, time_at(0));
    assert!(matches!(
        elector.next_action(true, time_at(100)),
        Action::Lead { fence: 1, .. }
    ));
    assert!(elector.may_send_order(time_at(9_900)));
    let end = (lease::TERM - lease::SAFETY_MARGIN).as_millis() as u64;
    assert!(
        !elector.may_send_order(time_at(end - 1_000)),
        "an order would outlast the lease"
    );
    assert_eq!(elector.next_action(true, time_at(end)), Action::Wait);
    assert!(!elector.may_send_order(time_at(end)));
}

#[test]
fn a_new_node_waits_a_whole_term_by_its_own_clock() {
    let mut old = LeaderElector::new("a".into(), Fencing::Refused);
    let lease = take(&mut old, time_at(0));
    let mut new = LeaderElector::new("b".into(), Fencing::Refused);
    new.record_read(Some(lease.clone()), time_at(5_000));
    assert_eq!(new.next_action(true, time_at(19_999)), Action::Wait);
    let Action::Write(next) = new.next_action(true, time_at(20_000)) else {
        panic!("the lease was not taken");
    };
    assert_eq!((next.fence, &*next.holder), (2, "b"));
}

#[test]
fn with_servers_that_ignore_fencing_a_new_holder_waits_out_old_orders() {
    let mut elector = LeaderElector::new("b".into(), Fencing::Ignored);
    take(&mut elector, time_at(0));
    assert_eq!(elector.next_action(true, time_at(100)), Action::Wait);
    let wait = (lease::SAFETY_MARGIN + lease::ORDER_TIMEOUT).as_millis() as u64;
    assert!(!elector.may_send_order(time_at(wait - 1)));
    assert!(elector.may_send_order(time_at(wait)));
}

#[test]
fn a_write_with_an_unknown_outcome_ends_the_hold() {
    let mut elector = LeaderElector::new("a".into(), Fencing::Refused);
    take(&mut elector, time_at(0));
    elector.invalidate();
    assert!(!elector.may_send_order(time_at(10)));
}

#[test]
fn version_orders_name_the_wanted_version() {
    let wanted = "v2".into();
    assert_eq!(version_order::needed_order(&wanted, Some(&wanted), 3), None);
    let order = version_order::needed_order(&wanted, Some(&"v1".into()), 3).unwrap();
    assert_eq!((order.fence, &*order.version), (3, "v2"));
}

/// Three nodes, one store and one server, with pauses, lost replies and slow
/// orders.
struct Simulation {
    rng: SmallRng,
    stored: Option<(u64, Lease)>,
    electors: Vec<LeaderElector>,
    versions: Vec<Option<u64>>,
    paused_until: Vec<u64>,
    in_flight: Vec<(u64, usize, u64)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let elector =
            |index: usize| LeaderElector::new(format!("n{index}").into(), Fencing::Ignored);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            stored: None,
            electors: (0..3).map(elector).collect(),
            versions: vec![None; 3],
            paused_until: vec![0; 3],
            in_flight: Vec::new(),
        }
    }

    fn read(&mut self, node: usize, now: u64) {
        let stored = self.stored.clone();
        self.versions[node] = stored.as_ref().map(|(version, _)| *version);
        self.electors[node].record_read(stored.map(|(_, lease)| lease), time_at(now));
    }

    fn write(&mut self, node: usize, lease: Lease, now: u64) {
        let current = self.stored.as_ref().map(|(version, _)| *version);
        if current != self.versions[node] {
            self.electors[node].invalidate();
            self.read(node, now);
            return;
        }
        let version = current.unwrap_or(0) + 1;
        self.stored = Some((version, lease.clone()));
        if self.rng.random_bool(0.2) {
            self.electors[node].invalidate();
            self.read(node, now);
            return;
        }
        self.versions[node] = Some(version);
        self.electors[node].record_written(lease, time_at(now));
    }

    /// Runs one step of a node; returns false if two orders overlap.
    fn step(&mut self, node: usize, now: u64) -> bool {
        if now < self.paused_until[node] {
            return true;
        }
        if self.rng.random_bool(0.01) {
            self.paused_until[node] = now + self.rng.random_range(500..40_000);
            return true;
        }
        if self.rng.random_bool(0.5) {
            self.read(node, now);
        }
        match self.electors[node].next_action(true, time_at(now)) {
            Action::Write(lease) => self.write(node, lease, now),
            Action::Lead { .. } if self.electors[node].may_send_order(time_at(now)) => {
                let length = self
                    .rng
                    .random_range(1..=lease::ORDER_TIMEOUT.as_millis() as u64);
                let overlaps = self
                    .in_flight
                    .iter()
                    .any(|(until, other, _)| *other != node && *until > now);
                self.in_flight.retain(|(until, _, _)| *until > now);
                self.in_flight.push((now + length, node, now));
                return !overlaps;
            }
            _ => {}
        }
        true
    }
}

#[test]
fn no_two_holders_have_orders_in_flight() {
    let mut fences = Vec::new();
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed);
        for step in 0..1_200 {
            for node in 0..3 {
                assert!(
                    simulation.step(node, step * 100),
                    "seed {seed} at {} ms",
                    step * 100
                );
            }
        }
        fences.push(simulation.stored.map_or(0, |(_, lease)| lease.fence));
    }
    let changes: u64 = fences.iter().sum();
    assert!(
        changes > 600,
        "only {changes} changes of the holder, too few for the test to be meaningful"
    );
}

#[test]
fn a_node_that_is_no_candidate_takes_no_lease() {
    let mut elector = LeaderElector::new("a".into(), Fencing::Refused);
    elector.record_read(None, time_at(0));
    assert_eq!(elector.next_action(false, time_at(0)), Action::Wait);
    assert_eq!(elector.fence(), 0);
    assert!(!elector.may_send_order(time_at(0) + Duration::from_secs(1)));
}

/// Guards against a second wait for a term when a holder fails after it has
/// written a renewal that it did not report.
#[test]
fn an_unreported_renewal_does_not_cost_a_second_term() {
    let mut old = LeaderElector::new("a".into(), Fencing::Refused);
    let reported = take(&mut old, time_at(0));
    let mut written = reported.clone();
    written.renewal += 1;
    let mut new = LeaderElector::new("b".into(), Fencing::Refused);
    new.record_reported(reported, time_at(0));
    let term = lease::TERM.as_millis() as u64;
    let taken = (0..3 * term)
        .step_by(250)
        .find(|ms| {
            let now = time_at(*ms);
            if new.is_stale(now) {
                new.record_read(Some(written.clone()), now);
            }
            new.is_free(now) && matches!(new.next_action(true, now), Action::Write(_))
        })
        .unwrap();
    assert!(taken >= term, "the old holder may still act");
    assert!(taken <= term * 8 / 5, "taken after {taken} ms");
}

#[test]
fn a_lease_that_is_reported_in_time_is_not_read() {
    let mut old = LeaderElector::new("a".into(), Fencing::Refused);
    let mut lease = take(&mut old, time_at(0));
    let mut new = LeaderElector::new("b".into(), Fencing::Refused);
    for ms in (0..120_000).step_by(250) {
        if ms % 5_000 == 0 {
            lease.renewal += 1;
        }
        // Reported by heartbeats, some of which are lost.
        if ms % 5_000 == 1_500 {
            new.record_reported(lease.clone(), time_at(ms));
        }
        assert!(
            ms < 1_500 || !new.is_stale(time_at(ms)),
            "read after {ms} ms"
        );
    }
}

#[test]
fn an_unregistered_node_is_never_the_next_holder() {
    assert!(!lease::is_next_holder(0, [1, 2].into_iter()));
    assert!(!lease::is_next_holder(0, [].into_iter()));
    assert!(lease::is_next_holder(1, [].into_iter()));
}

/// All nodes are restarted in turn, and each takes over from another.
#[test]
fn the_longest_running_node_takes_over() {
    let mut nodes: Vec<u64> = (1..=9).collect();
    for started in 10..30 {
        let stopped = (started as usize * 7) % nodes.len();
        nodes[stopped] = started;
        let next: Vec<u64> = nodes
            .iter()
            .copied()
            .filter(|incarnation| {
                let others = nodes.iter().copied().filter(|other| other != incarnation);
                lease::is_next_holder(*incarnation, others)
            })
            .collect();
        assert_eq!(next, [*nodes.iter().min().unwrap()]);
    }
}

/// Returns the lease that an elector is about to write.
fn next_write(elector: &mut LeaderElector, now: Time) -> Lease {
    let Action::Write(lease) = elector.next_action(true, now) else {
        panic!("the lease was not taken");
    };
    lease
}

/// Returns a lease as one node released it, and the elector of the next node that took it,
/// with its lease.
fn succession() -> (Lease, LeaderElector, Lease) {
    let mut first = LeaderElector::new("a".into(), Fencing::Refused);
    let released = take(&mut first, time_at(0)).released();
    let mut second = LeaderElector::new("b".into(), Fencing::Refused);
    second.record_read(Some(released.clone()), time_at(1_000));
    let lease = next_write(&mut second, time_at(1_000));
    second.record_written(lease.clone(), time_at(1_000));
    (released, second, lease)
}

/// The store comes back from a copy that is older than the last lease.
#[test]
fn a_fencing_token_is_not_given_out_again_after_a_restore() {
    let (old, mut second, lease) = succession();
    let mut third = LeaderElector::new("c".into(), Fencing::Refused);
    third.record_reported(lease.clone(), time_at(1_500));
    for copy in [None, Some(old)] {
        for elector in [&mut second, &mut third] {
            elector.invalidate();
            elector.record_read(copy.clone(), time_at(2_000));
            let next = next_write(elector, time_at(2_000));
            assert!(next.fence > lease.fence, "{next:?} after {lease:?}");
        }
    }
}

/// Guards against a token that two nodes use, because the copy that the store returned from
/// lacks it and nobody remembers it.
#[test]
fn a_token_is_not_given_out_again_if_nobody_remembers_it() {
    let (old, _, lost) = succession();
    for copy in [None, Some(old)] {
        let mut third = LeaderElector::new("c".into(), Fencing::Refused);
        third.record_era(1, time_at(2_000));
        third.record_read(copy, time_at(2_000));
        let next = next_write(&mut third, time_at(2_000));
        assert!(next.fence > lost.fence, "{next:?} after {lost:?}");
    }
}

/// Guards against a holder that waits for its own term after a restore, in which nobody does
/// its duties.
#[test]
fn the_holder_takes_the_lease_of_a_new_era_at_once_and_others_wait() {
    let mut holder = LeaderElector::new("a".into(), Fencing::Refused);
    let lease = take(&mut holder, time_at(0));
    let mut other = LeaderElector::new("b".into(), Fencing::Refused);
    other.record_reported(lease, time_at(100));
    for elector in [&mut holder, &mut other] {
        elector.record_era(1, time_at(1_000));
        assert!(!elector.is_held(time_at(1_000)));
        assert!(elector.is_stale(time_at(1_000)));
        elector.record_read(None, time_at(1_000));
    }
    assert_eq!(other.next_action(true, time_at(1_000)), Action::Wait);
    let next = holder.next_action(true, time_at(1_000));
    assert!(matches!(next, Action::Write(_)), "{next:?}");
}
