//! Tests of the decision which requests are kept away from backend servers.

use std::time::Duration;

use cassialock::core::fingerprint::Fingerprint;
use cassialock::core::fingerprint::Identity;
use cassialock::core::quarantine::Quarantine;
use cassialock::core::quarantine::bulletin::Block;
use cassialock::core::quarantine::bulletin::Scope;
use cassialock::core::quarantine::features::Feature;
use cassialock::core::quarantine::features::Features;
use cassialock::core::time::Time;

/// A part that crashes servers, and parts that do not.
const DEADLY: u64 = 13;
const COMMON: u64 = 1;
const RARE: u64 = 2;

fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

/// Returns the features of a request with a body of its own.
fn request(body: u64, parts: &[u64]) -> Features {
    let parts = parts.iter().map(|id| Feature::Part(*id));
    let body = Feature::Request(Fingerprint(body));
    Features::from(parts.chain([body]).collect::<Vec<Feature>>())
}

fn crash(node: &mut Quarantine, server: u64, features: &Features, millis: u64) {
    node.record_crash(&format!("i-{server}").into(), features, at(millis));
}

fn succeed(node: &mut Quarantine, features: &Features, millis: u64) {
    node.record_success(features, at(millis), at(millis));
}

fn is_blocked(node: &Quarantine, features: &Features, millis: u64) -> bool {
    node.blocking(features, at(millis)).is_some()
}

#[test]
fn a_part_at_three_crashes_is_blocked_whatever_else_the_requests_hold() {
    let mut node = Quarantine::new();
    for n in 0..3 {
        crash(&mut node, n, &request(n, &[10 + n, DEADLY]), n * 300);
        crash(&mut node, n, &request(50 + n, &[COMMON]), n * 300 + 5);
    }
    succeed(&mut node, &request(99, &[COMMON]), 1_000);
    node.update(at(3_000));
    assert!(is_blocked(&node, &request(7, &[77, DEADLY]), 3_000));
    assert!(!is_blocked(&node, &request(8, &[COMMON]), 3_000));
    assert!(!is_blocked(&node, &request(9, &[10]), 3_000));
}

#[test]
fn two_crashes_and_three_at_the_same_moment_block_nothing() {
    let mut node = Quarantine::new();
    for n in 0..2 {
        crash(&mut node, n, &request(n, &[DEADLY]), n * 300);
    }
    for n in 10..13 {
        crash(&mut node, n, &request(n, &[RARE]), 600 + n);
    }
    assert!(node.update(at(5_000)).is_empty());
}

/// Sound requests share a part that is in every crashing request too.
#[test]
fn a_part_that_is_answered_elsewhere_is_not_blocked() {
    let mut node = Quarantine::new();
    for n in 0..3 {
        crash(&mut node, n, &request(n, &[RARE, DEADLY]), n * 300);
    }
    node.update(at(3_000));
    let sound = request(20, &[RARE]);
    assert!(!is_blocked(&node, &sound, 3_000));
    assert!(is_blocked(&node, &request(21, &[RARE, DEADLY]), 3_000));
    // Since the other part is sound, the rest of the requests is not needed.
    succeed(&mut node, &sound, 3_100);
    assert!(is_blocked(&node, &request(22, &[DEADLY]), 3_200));
}

/// A request and its resends must not hide the part that crashes servers.
#[test]
fn resends_do_not_hide_the_part_that_they_share_with_others() {
    let mut node = Quarantine::new();
    for n in 0..3 {
        crash(&mut node, n, &request(1, &[DEADLY]), n * 300);
    }
    node.update(at(3_000));
    assert!(is_blocked(&node, &request(1, &[DEADLY]), 3_000));
    crash(&mut node, 3, &request(2, &[DEADLY]), 3_100);
    node.update(at(5_000));
    assert!(is_blocked(&node, &request(3, &[DEADLY]), 5_000));
}

/// While no server is left, nothing can be answered and so nothing is cleared.
#[test]
fn a_part_that_was_answered_before_all_servers_crashed_is_not_blocked() {
    let mut node = Quarantine::new();
    succeed(&mut node, &request(90, &[COMMON]), 0);
    for n in 0..6 {
        let at = 100 + n * 100;
        crash(&mut node, n, &request(n, &[DEADLY]), at);
        crash(&mut node, n, &request(50 + n, &[COMMON]), at);
    }
    node.update(at(4_000));
    assert!(is_blocked(&node, &request(91, &[DEADLY]), 4_000));
    assert!(!is_blocked(&node, &request(92, &[COMMON]), 4_000));
}

#[test]
fn a_part_that_turns_deadly_is_blocked_once_others_are_answered() {
    let mut node = Quarantine::new();
    succeed(&mut node, &request(90, &[DEADLY]), 0);
    for n in 0..5 {
        crash(&mut node, n, &request(n, &[DEADLY]), 100 + n * 200);
    }
    node.update(at(4_000));
    assert!(!is_blocked(&node, &request(91, &[DEADLY]), 4_000));
    for n in 0..20 {
        succeed(&mut node, &request(100 + n, &[COMMON]), 4_000 + n);
    }
    node.update(at(4_100));
    assert!(is_blocked(&node, &request(91, &[DEADLY]), 4_100));
}

/// Returns the features of a lookup on one path.
fn lookup(query: &str) -> Features {
    let identity = Identity {
        workspace: "w",
        service: "s",
        host: "h",
        method: "GET",
        path: "/read/job",
        query: Some(query),
        body: b"",
    };
    Features::new(&identity, &[])
}

/// Guards against a query that is cleared by answers to others, and against a block of
/// the sound requests that ran beside it.
#[test]
fn a_query_is_blocked_and_the_others_on_its_path_are_not() {
    let mut node = Quarantine::new();
    succeed(&mut node, &lookup("id=1"), 0);
    for n in 0..3 {
        crash(&mut node, n, &lookup("id=66"), 100 + n * 300);
        crash(&mut node, n, &lookup(&format!("id={n}")), 105 + n * 300);
        succeed(&mut node, &lookup("id=7"), 200 + n * 300);
    }
    node.update(at(3_000));
    assert!(is_blocked(&node, &lookup("id=66"), 3_000));
    for query in ["id=0", "id=1", "id=2", "id=7", "id=67"] {
        assert!(!is_blocked(&node, &lookup(query), 3_000), "{query}");
    }
}

/// Guards against a caller whose sound request is sent again while another one crashes
/// servers.
#[test]
fn a_sound_request_that_ran_beside_each_crash_is_not_blocked() {
    let mut node = Quarantine::new();
    succeed(&mut node, &lookup("id=1"), 0);
    for n in 0..4 {
        crash(&mut node, n, &lookup("id=66"), 100 + n * 300);
        if n < 3 {
            crash(&mut node, n, &lookup("id=9"), 105 + n * 300);
        }
        succeed(&mut node, &lookup("id=7"), 200 + n * 300);
        node.update(at(250 + n * 300));
    }
    node.update(at(4_000));
    assert!(is_blocked(&node, &lookup("id=66"), 4_000));
    assert!(!is_blocked(&node, &lookup("id=9"), 4_000));
}

/// No node sees more than one of the crashes itself.
#[test]
fn nodes_that_see_one_crash_each_block_the_part_together() {
    let mut nodes: Vec<Quarantine> = (0..3).map(|_| Quarantine::new()).collect();
    for (n, node) in (0..).zip(&mut nodes) {
        crash(node, n, &request(n, &[COMMON, 20 + n, DEADLY]), n * 300);
    }
    succeed(&mut nodes[1], &request(99, &[COMMON]), 900);
    let bulletins: Vec<_> = nodes
        .iter()
        .map(|node| node.bulletin(Scope::Own, at(1_000)))
        .collect();
    for (index, node) in nodes.iter_mut().enumerate() {
        for (from, bulletin) in bulletins.iter().enumerate() {
            if from != index {
                node.merge(bulletin.clone(), at(1_100));
            }
        }
        node.update(at(2_500));
        assert!(is_blocked(node, &request(7, &[COMMON, DEADLY]), 2_500));
        assert!(!is_blocked(node, &request(8, &[COMMON, 20]), 2_500));
    }
    // A node that starts later learns it from any other.
    let mut started = Quarantine::new();
    started.merge(nodes[0].bulletin(Scope::Own, at(60_000)), at(60_000));
    assert!(is_blocked(&started, &request(9, &[DEADLY]), 60_000));
}

#[test]
fn a_block_ends_some_time_after_the_last_crash() {
    let mut node = Quarantine::new();
    let block = Block {
        features: request(1, &[]),
        crashed_at: at(0),
    };
    node.add_block(block.clone(), at(1_000));
    assert!(is_blocked(&node, &request(1, &[]), 1_000));
    let end = block.ends_at().since(at(0)).as_millis() as u64;
    assert!(!is_blocked(&node, &request(1, &[]), end));
    assert!(node.bulletin(Scope::All, at(end)).is_empty());
}

#[test]
fn a_bulletin_is_bounded_however_many_requests_a_crash_cuts() {
    let mut node = Quarantine::new();
    for n in 0..500 {
        for body in 0..200 {
            crash(&mut node, n, &request(body, &[n, body + 1_000]), n);
        }
    }
    let bulletin = node.bulletin(Scope::All, at(600));
    let frame = cassialock::frame::encode(&bulletin).unwrap();
    assert!(frame.len() < 60_000, "{} bytes", frame.len());
    assert!(
        node.bulletin(Scope::All, at(600) + Duration::from_secs(10))
            .is_empty()
    );
}
