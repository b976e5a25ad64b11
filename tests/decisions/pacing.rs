//! Tests of how nodes share the request rate that a server accepts.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::route::pacer::Pacer;
use cassialock::core::route::servers::Servers;
use cassialock::core::route::servers::Vm;
use cassialock::core::route::servers::limit::LimitEnd;
use cassialock::core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixtures;

const STEP: Duration = Duration::from_millis(10);
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the most requests that one server gets in a window while `nodes` nodes
/// with `demand` requests per second each for it share a limit of `limit`.
fn most_in_window(nodes: usize, servers: usize, demand: f64, limit: f64) -> (usize, f64) {
    let mut rng = SmallRng::seed_from_u64(nodes as u64);
    let list: Vec<Vm> = (0..servers).map(|index| fixtures::vm(index, 1)).collect();
    let id: Name = list[0].id.clone();
    let start = Time::from_millis(1_000_000);
    let mut views = limited_views(nodes, &list, limit, start);
    let mut sent = Vec::new();
    let mut now = start;
    while now < start + WINDOW * 5 {
        for view in &mut views {
            let asks = rng.random::<f64>() < demand * STEP.as_secs_f64();
            let wait = view.server_wait(&id, now);
            if asks && wait.is_zero() {
                view.spend_rate(&id, now);
                sent.push(now);
            }
        }
        now = now + STEP;
    }
    let mean = sent.len() as f64 / now.since(start).as_secs_f64();
    (most_within(&sent), mean)
}

/// Returns the views of the nodes that have the first server of `list` among their
/// candidates, which have just learned that it names `limit`.
fn limited_views(nodes: usize, list: &[Vm], limit: f64, now: Time) -> Vec<Servers> {
    let mut rng = SmallRng::seed_from_u64(nodes as u64);
    let id = &list[0].id;
    let mut views = Vec::new();
    let mut names: Vec<Name> = (0..nodes).map(|at| format!("edge-{at}").into()).collect();
    names.sort_unstable();
    for name in &names {
        let mut view = Servers::new(name.clone(), "domain-0".into());
        view.update(list);
        view.set_nodes(&names, now);
        if view.subset("llm", None).any(|server| server.vm.id == *id) {
            view.record_rate_limit(id, Some(limit), rng.random(), now);
            views.push(view);
        }
    }
    views
}

/// Returns the most of some sorted times that lie within a window.
fn most_within(sent: &[Time]) -> usize {
    let count = |(index, from): (usize, &Time)| {
        let later = sent[index..].iter();
        later.take_while(|at| at.since(*from) < WINDOW).count()
    };
    sent.iter().enumerate().map(count).max().unwrap_or(0)
}

#[test]
fn all_nodes_together_keep_the_limit_of_a_server() {
    for (nodes, servers, demand, limit) in [
        (1, 1, 40.0, 4.0),
        (9, 9, 2.0, 5.5),
        (9, 9, 20.0, 60.0),
        (9, 9, 20.0, 2.1),
        (75, 60, 0.3, 5.0),
        (300, 320, 0.3, 5.0),
        (300, 320, 2.0, 2.0),
    ] {
        let (most, mean) = most_in_window(nodes, servers, demand, limit);
        let allowed = limit * 1.5 * WINDOW.as_secs_f64() + 5.0;
        assert!(most as f64 <= allowed, "{nodes} nodes: {most} at {limit}/s");
        assert!(mean >= 0.5 * limit, "{nodes} nodes: {mean:.1} of {limit}/s");
    }
}

#[test]
fn a_pacer_allows_a_request_when_its_wait_is_over() {
    let start = Time::from_millis(1_000);
    let mut pacer = Pacer::new(2.0, 0.0, start);
    let wait = pacer.wait(start);
    assert_eq!(wait, Duration::from_millis(500));
    assert!(pacer.wait(start + wait).is_zero());
    pacer.spend(start + wait);
    assert!(!pacer.wait(start + wait).is_zero());
    // A long pause does not allow a burst.
    let later = start + Duration::from_secs(60);
    pacer.spend(later);
    assert!(!pacer.wait(later).is_zero());
    pacer.set_rate(0.0, later);
    assert!(!pacer.wait(later + Duration::from_secs(3_600)).is_zero());
}

#[test]
fn a_limit_that_is_no_longer_named_ends() {
    let now = Time::from_millis(1_000);
    let mut view = Servers::new("edge-1".into(), "domain-0".into());
    view.update(&[fixtures::vm(0, 1)]);
    let id = fixtures::vm(0, 1).id;
    assert!(view.record_rate_limit(&id, Some(1.0), 0.0, now));
    assert!(!view.record_rate_limit(&id, Some(1.0), 0.0, now));
    assert!(!view.server_wait(&id, now).is_zero());
    assert_eq!(
        view.pacing_wait("llm", None, now),
        Some(Duration::from_secs(1))
    );
    assert!(view.record_rate_limit(&id, None, 0.0, now));
    assert!(view.server_wait(&id, now).is_zero());
    assert_eq!(view.pacing_wait("llm", None, now), None);
}

/// Returns the most requests that a server gets in a window after all nodes have known
/// its limit for a while without sending to it, and then turn to it together.
fn most_after_rest(nodes: usize, servers: usize, limit: f64) -> usize {
    let mut rng = SmallRng::seed_from_u64(nodes as u64);
    let list: Vec<Vm> = (0..servers).map(|index| fixtures::vm(index, 1)).collect();
    let id: Name = list[0].id.clone();
    let start = Time::from_millis(1_000_000);
    let mut views = limited_views(nodes, &list, limit, start);
    let mut sent = Vec::new();
    let mut now = start + Duration::from_secs(120);
    while now < start + Duration::from_secs(140) {
        for view in &mut views {
            let asks = rng.random::<f64>() < 2.0 * STEP.as_secs_f64();
            if asks && view.server_wait(&id, now).is_zero() {
                view.spend_rate(&id, now);
                sent.push(now);
            }
        }
        now = now + STEP;
    }
    most_within(&sent)
}

#[test]
fn nodes_that_turn_to_a_limited_server_together_keep_its_limit() {
    for (nodes, servers) in [
        (9, 9),
        (39, 39),
        (86, 60),
        (300, 60),
        (300, 320),
        (1_300, 64),
    ] {
        for limit in [0.2, 1.3, 2.3, 5.0, 10.0, 40.0] {
            let most = most_after_rest(nodes, servers, limit);
            let allowed = limit * 1.5 * WINDOW.as_secs_f64() + 5.0;
            assert!(most as f64 <= allowed, "{nodes} nodes: {most} at {limit}/s");
        }
    }
}

fn two_nodes(limit: f64, now: Time) -> (Vec<Name>, Servers) {
    let names: Vec<Name> = vec!["edge-0".into(), "edge-1".into()];
    let mut view = Servers::new(names[0].clone(), "domain-0".into());
    view.update(&[fixtures::vm(0, 1)]);
    view.set_nodes(&names, now);
    view.record_rate_limit(&fixtures::vm(0, 1).id, Some(limit), 1.0, now);
    (names, view)
}

/// Returns how many of `nodes` may ever send to a server with a low limit.
fn senders(nodes: usize, now: Time) -> Vec<Servers> {
    let mut views = limited_views(nodes, &[fixtures::vm(0, 1)], 0.2, now);
    let later = now + Duration::from_secs(60);
    views.retain(|view| view.server_wait(&fixtures::vm(0, 1).id, later).is_zero());
    views
}

#[test]
fn a_node_that_leaves_hands_its_share_on() {
    let now = Time::from_millis(1_000_000);
    let sharing = senders(86, now);
    assert_eq!(sharing.len(), 5);
    let mut views = limited_views(86, &[fixtures::vm(0, 1)], 0.2, now);
    let later = now + Duration::from_secs(60);
    let is_sharing = |view: &Servers| view.server_wait(&fixtures::vm(0, 1).id, later).is_zero();
    let left = views.iter().position(is_sharing).unwrap();
    let mut names: Vec<Name> = (0..86).map(|at| format!("edge-{at}").into()).collect();
    names.sort_unstable();
    names.remove(left);
    views.remove(left);
    for view in &mut views {
        view.set_nodes(&names, now);
    }
    assert_eq!(views.iter().filter(|view| is_sharing(view)).count(), 5);
}

#[test]
fn nodes_without_a_share_learn_from_others_that_a_limit_has_ended() {
    let now = Time::from_millis(1_000_000);
    let (_, mut told) = two_nodes(1.0, now);
    let later = now + Duration::from_secs(5);
    let (_, mut teller) = two_nodes(1.0, now);
    teller.record_rate_limit(&fixtures::vm(0, 1).id, None, 0.0, later);
    let ends = teller.limit_ends(later);
    assert_eq!(ends.len(), 1);
    assert!(told.record_limit_end(&ends[0], later));
    assert!(!told.record_limit_end(&ends[0], later));
    assert!(told.server_wait(&fixtures::vm(0, 1).id, later).is_zero());
    assert_eq!(told.limit_ends(later), ends, "the news is passed on");
}

#[test]
fn a_limit_that_was_named_again_does_not_end_by_old_news() {
    let now = Time::from_millis(1_000_000);
    let (_, mut view) = two_nodes(1.0, now);
    view.spend_rate(&fixtures::vm(0, 1).id, now);
    let end = LimitEnd {
        server: fixtures::vm(0, 1).id,
        age: Duration::from_secs(2),
    };
    assert!(!view.record_limit_end(&end, now + Duration::from_secs(1)));
    assert!(!view.server_wait(&fixtures::vm(0, 1).id, now).is_zero());
}
