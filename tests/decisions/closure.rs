//! Servers that turn requests away for some time.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::route::servers::closure::MAX_CLOSURE;
use cassialock::core::route::servers::notice::Change;
use cassialock::core::route::servers::notice::Notice;
use cassialock::core::route::servers::notice::Origin;
use cassialock::core::route::servers::notice::Receipt;
use cassialock::core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::notice::NODES;
use crate::notice::START;
use crate::notice::candidates;
use crate::notice::leaving;
use crate::notice::many_servers;
use crate::notice::millis;
use crate::notice::receipt;
use crate::notice::rejection;
use crate::notice::turned_away;
use crate::notice::view;
use crate::notice::vm;

#[test]
fn a_server_that_turns_requests_away_is_closed_for_the_stated_time() {
    let list = [vm(0, 1), vm(1, 1)];
    let mut view = view(0, &list);
    let changes = view.record_notice("i-0/1", &turned_away(0.8), &rejection(START));
    let [Change::Closed(closure)] = &changes[..] else {
        panic!("{changes:?}");
    };
    assert_eq!(closure.until, START + millis(800));
    let open = [list[1].id.clone()];
    assert_eq!(candidates(&view, START), open);
    assert_eq!(candidates(&view, START + millis(799)), open);
    // A listing does not open it, nor does the answer to an earlier request.
    view.update(&list);
    let earlier = Receipt {
        sent: START,
        ..receipt(START + millis(900))
    };
    view.record_notice("i-0/1", &Notice::default(), &earlier);
    assert_eq!(candidates(&view, START + millis(799)), open);
    // A later rejection replaces the time, also by a shorter one.
    let now = START + millis(100);
    assert_eq!(
        view.record_notice("i-0/1", &turned_away(0.2), &rejection(now)),
        []
    );
    assert_eq!(candidates(&view, now + millis(199)), open);
    assert_eq!(candidates(&view, now + millis(200)).len(), 2);
}

#[test]
fn one_request_at_a_time_is_tried_when_the_time_is_over() {
    let mut view = view(0, &[vm(0, 1)]);
    view.record_notice("i-0/1", &turned_away(0.8), &rejection(START));
    let opening = view.first_opening("llm", None, START).unwrap();
    assert_eq!((&*opening.server, opening.wait), ("i-0/1", millis(800)));
    let now = START + millis(800);
    let began = view.begin_trial("i-0/1", now);
    assert_eq!(began, Some(now));
    assert!(candidates(&view, now).is_empty());
    assert!(!view.first_opening("llm", None, now).unwrap().wait.is_zero());
    // A trial that ends without an answer makes room for another one.
    view.end_trial("i-0/1", now);
    assert_eq!(candidates(&view, now).len(), 1);
    // So does one whose answer is late; its end does not end the next trial.
    view.begin_trial("i-0/1", now);
    let late = now + Duration::from_secs(2);
    assert_eq!(candidates(&view, late).len(), 1);
    view.begin_trial("i-0/1", late);
    view.end_trial("i-0/1", now);
    assert!(candidates(&view, late).is_empty());
    // A rejection that states no time does not open the server.
    view.record_notice("i-0/1", &Notice::default(), &rejection(late));
    view.end_trial("i-0/1", late);
    assert_eq!(view.begin_trial("i-0/1", late), Some(late));
    let changes = view.record_notice("i-0/1", &Notice::default(), &receipt(late));
    assert!(matches!(changes[..], [Change::Opened(_)]), "{changes:?}");
    assert_eq!(view.begin_trial("i-0/1", late), None);
    assert_eq!(candidates(&view, late).len(), 1);
}

/// A connection takes time to open, and one that was kept may have closed.
#[test]
fn a_request_is_not_sent_to_a_server_that_has_closed_since_it_was_chosen() {
    let list = [vm(0, 1), vm(1, 1)];
    let mut view = view(0, &list);
    assert!(view.accepts("i-0/1", None));
    view.record_notice("i-0/1", &turned_away(0.8), &rejection(START));
    assert!(!view.accepts("i-0/1", None));
    // After the time only the trial is sent, unless the server rejects it meanwhile.
    let now = START + millis(800);
    let trial = view.begin_trial("i-0/1", now);
    assert!(view.accepts("i-0/1", trial));
    assert!(!view.accepts("i-0/1", None));
    view.record_notice("i-0/1", &turned_away(0.8), &rejection(now));
    assert!(!view.accepts("i-0/1", trial));
    view.record_notice("i-1/1", &leaving(), &receipt(START));
    assert!(!view.accepts("i-1/1", None));
    assert!(!view.accepts("i-2/1", None), "it is not known");
}

/// Guards against requests to a server that has asked for more than a minute without any.
#[test]
fn a_server_that_stays_away_for_minutes_is_left_alone_for_as_long() {
    for seconds in [61_u32, 90, 900, 3_600] {
        let mut view = view(0, &[vm(0, 1)]);
        view.record_notice("i-0/1", &turned_away(f64::from(seconds)), &rejection(START));
        let end = START + Duration::from_secs(u64::from(seconds));
        assert!(
            candidates(&view, end.before(millis(1))).is_empty(),
            "{seconds}"
        );
        assert_eq!(candidates(&view, end).len(), 1, "{seconds}");
    }
}

#[test]
fn times_that_make_no_sense_are_bounded() {
    for seconds in [f64::INFINITY, 1e300, 1e9, f64::MAX] {
        let mut view = view(0, &[vm(0, 1)]);
        let changes = view.record_notice("i-0/1", &turned_away(seconds), &rejection(START));
        assert!(matches!(changes[..], [Change::Closed(_)]), "{changes:?}");
        assert!(candidates(&view, START + (MAX_CLOSURE - millis(1))).is_empty());
        assert_eq!(candidates(&view, START + MAX_CLOSURE).len(), 1);
    }
    for seconds in [f64::NAN, -1.0, f64::NEG_INFINITY] {
        let mut view = view(0, &[vm(0, 1)]);
        let changes = view.record_notice("i-0/1", &turned_away(seconds), &rejection(START));
        assert!(matches!(changes[..], [Change::Ignored(_)]), "{changes:?}");
        assert_eq!(candidates(&view, START).len(), 1);
    }
}

#[test]
fn only_an_answer_to_the_request_closes_a_server() {
    for origin in [Origin::Unnamed, Origin::Other] {
        let mut view = view(0, &[vm(0, 1)]);
        let receipt = Receipt {
            origin,
            ..rejection(START)
        };
        let changes = view.record_notice("i-0/1", &turned_away(5.0), &receipt);
        assert!(matches!(changes[..], [Change::Ignored(_)]), "{changes:?}");
        assert_eq!(candidates(&view, START).len(), 1, "{origin:?}");
    }
}

#[test]
fn the_next_incarnation_of_a_closed_server_is_open() {
    let mut view = view(0, &[vm(0, 1)]);
    view.record_notice("i-0/1", &turned_away(30.0), &rejection(START));
    view.update(&[vm(0, 2)]);
    assert_eq!(candidates(&view, START), [vm(0, 2).id]);
}

#[test]
fn an_ejected_server_is_better_than_a_closed_one() {
    let list = [vm(0, 1), vm(1, 1)];
    let mut view = view(0, &list);
    view.record_failure("i-1/1", START);
    view.record_notice("i-0/1", &turned_away(5.0), &rejection(START));
    assert_eq!(candidates(&view, START), [list[1].id.clone()]);
}

/// Answers on different connections arrive in any order.
#[test]
fn a_rejection_of_an_earlier_request_does_not_shorten_the_time() {
    let mut view = view(0, &[vm(0, 1)]);
    view.record_notice("i-0/1", &turned_away(5.0), &rejection(START));
    let crossed = |sent_ms: u64, now_ms| Receipt {
        sent: Time::from_millis(1_000_000 - sent_ms),
        ..rejection(START + millis(now_ms))
    };
    let changes = view.record_notice("i-0/1", &turned_away(0.2), &crossed(10, 50));
    assert_eq!(changes, []);
    assert!(candidates(&view, START + millis(4_999)).is_empty());
    // It may make the time longer.
    view.record_notice("i-0/1", &turned_away(6.0), &crossed(10, 50));
    assert!(candidates(&view, START + millis(6_049)).is_empty());
    // The answer to a request that was sent later is the later one.
    let now = START + millis(60);
    view.record_notice("i-0/1", &turned_away(0.2), &rejection(now));
    assert_eq!(candidates(&view, now + millis(200)).len(), 1);
}

#[test]
fn a_listing_without_a_closed_server_does_not_open_it() {
    let list = [vm(0, 1), vm(1, 1)];
    let mut view = view(0, &list);
    view.record_notice("i-0/1", &turned_away(5.0), &rejection(START));
    view.update(&list[1..]);
    view.update(&list);
    let open = [list[1].id.clone()];
    assert_eq!(candidates(&view, START + millis(4_999)), open);
    let now = START + millis(5_000);
    assert_eq!(candidates(&view, now).len(), 2);
    assert_eq!(view.begin_trial("i-0/1", now), Some(now));
}

/// Servers of a large deployment turn requests away until a time that nodes do not
/// know, and state less than that.
#[test]
fn nodes_of_a_large_deployment_try_closed_servers_one_request_at_a_time() {
    const OPEN_AFTER: Duration = Duration::from_millis(2_600);
    const STATED_S: f64 = 0.8;
    let list = many_servers();
    let mut rng = SmallRng::seed_from_u64(28);
    for node in 0..NODES {
        let mut view = view(node, &list);
        let mut rejected: Vec<(Name, Time)> = Vec::new();
        let mut accepted = 0;
        let mut now = START;
        while now < START + OPEN_AFTER + millis(900) {
            // Several callers ask at once; the answers come after all of them.
            let mut sent = Vec::new();
            for _ in 0..5 {
                let ids = candidates(&view, now);
                if ids.is_empty() {
                    assert!(view.first_opening("llm", None, now).is_some());
                    continue;
                }
                let id = ids[rng.random_range(0..ids.len())].clone();
                let trial = view.begin_trial(&id, now);
                sent.push((id, trial));
            }
            for (id, trial) in sent {
                if now < START + OPEN_AFTER {
                    view.record_notice(&id, &turned_away(STATED_S), &rejection(now));
                    rejected.push((id.clone(), now));
                } else {
                    view.record_notice(&id, &Notice::default(), &receipt(now));
                    accepted += 1;
                }
                if let Some(began) = trial {
                    view.end_trial(&id, began);
                }
            }
            now = now + millis(20);
        }
        rejected.sort();
        for pair in rejected.windows(2) {
            let [(id, first), (next_id, next)] = pair else {
                continue;
            };
            let is_closed = id == next_id && next.since(*first) > Duration::ZERO;
            let wait = Duration::from_secs_f64(STATED_S);
            assert!(
                !is_closed || next.since(*first) >= wait,
                "node {node}: {id}"
            );
        }
        assert!(accepted > 0, "node {node} serves when the servers open");
    }
}
