//! Tests of membership: heartbeats, suspicions, gossip and neighbour selection.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::member::Member;
use cassialock::core::member::State;
use cassialock::core::member::gossip::Fact;
use cassialock::core::member::gossip::Gossip;
use cassialock::core::member::neighbours;
use cassialock::core::member::roster::Roster;
use cassialock::core::moves;
use cassialock::core::moves::Veto;
use cassialock::core::time::Time;

use crate::members::member;
use crate::members::roster;

fn suspect(subject: &str, observer: &str, domain: &str) -> Fact {
    Fact::Suspect {
        subject: subject.into(),
        incarnation: 1,
        observer: observer.into(),
        domain: domain.into(),
        at: Time::default(),
    }
}

#[test]
fn suspicion_needs_observers_of_two_domains() {
    let mut roster = roster(9);
    roster.apply(&suspect("n1", "n3", "d0"));
    roster.apply(&suspect("n1", "n6", "d0"));
    assert!(roster.is_live("n1"));
    roster.apply(&suspect("n1", "n2", "d2"));
    assert!(!roster.is_live("n1"));
}

#[test]
fn a_member_refutes_a_suspicion_by_a_higher_incarnation() {
    let mut suspected = Roster::new(member(1));
    let refutation = suspected.apply(&suspect("n1", "n2", "d2")).unwrap();
    let Fact::Member(local) = &refutation else {
        panic!("not a member fact");
    };
    assert_eq!(local.incarnation, 2);

    let mut other = roster(9);
    other.apply(&suspect("n1", "n3", "d0"));
    other.apply(&suspect("n1", "n2", "d2"));
    other.apply(&refutation);
    assert!(other.is_live("n1"));
    other.apply(&suspect("n1", "n4", "d1"));
    assert!(
        other.is_live("n1"),
        "a suspicion of an older incarnation is ignored"
    );
}

#[test]
fn a_paused_node_suspects_no_member() {
    let mut roster = roster(3);
    let mut now = Time::from_millis(1_000);
    for index in [1, 2] {
        roster.record_heartbeat(&member(index), now);
    }
    roster.run_round(now);
    now = now + Duration::from_secs(60);
    let round = roster.run_round(now);
    assert!(round.was_paused);
    assert!(round.facts.is_empty());
    now = now + Duration::from_millis(500);
    assert!(!roster.run_round(now).was_paused);
}

#[test]
fn a_silent_neighbour_is_suspected_once() {
    let mut roster = roster(3);
    let mut now = Time::from_millis(1_000);
    roster.record_heartbeat(&member(1), now);
    let mut subjects = Vec::new();
    for _ in 0..20 {
        now = now + Duration::from_millis(500);
        for fact in roster.run_round(now).facts {
            if let Fact::Suspect { subject, .. } = fact {
                subjects.push(subject.to_string());
            }
        }
    }
    subjects.sort();
    assert_eq!(
        subjects,
        ["n1", "n2"],
        "each is suspected once, including the one that never sent a heartbeat"
    );
}

#[test]
fn a_leaving_member_is_not_an_entry_node() {
    let mut roster = roster(3);
    let leaving = Member {
        state: State::Leaving,
        ..member(1)
    };
    roster.apply(&Fact::Member(leaving));
    assert!(roster.entry_nodes("w").iter().all(|m| &*m.id != "n1"));
    // An earlier state of the same incarnation does not replace a later one.
    roster.apply(&Fact::Member(member(1)));
    assert!(!roster.is_live("n1"));
}

#[test]
fn neighbours_are_bounded_and_reach_every_member() {
    let members: Vec<Member> = (0..1_300).map(member).collect();
    let mut reached = vec![false; members.len()];
    let mut frontier = vec![0_usize];
    reached[0] = true;
    let mut hops = 0;
    while !frontier.is_empty() {
        let mut next = Vec::new();
        for index in frontier {
            let neighbours = neighbours::neighbours_of(&members[index].id, &members);
            assert!(neighbours.len() <= neighbours::MAX_NEIGHBOURS);
            for neighbour in neighbours {
                let target: usize = neighbour[1..].parse().unwrap();
                if !std::mem::replace(&mut reached[target], true) {
                    next.push(target);
                }
            }
        }
        frontier = next;
        hops += 1;
    }
    assert!(reached.iter().all(|is_reached| *is_reached));
    assert!(hops <= 24, "dissemination takes {hops} hops");
}

#[test]
fn every_member_is_monitored_from_two_domains() {
    let members: Vec<Member> = (0..120).map(member).collect();
    for subject in &members {
        let mut domains: Vec<&Name> = neighbours::neighbours_of(&subject.id, &members)
            .iter()
            .filter_map(|id| members.iter().find(|m| m.id == *id))
            .map(|m| &m.domain)
            .collect();
        domains.sort();
        domains.dedup();
        assert!(
            domains.len() >= 2,
            "{} is monitored from {domains:?}",
            subject.id
        );
    }
}

fn veto(millis: u64) -> Fact {
    Fact::Move {
        name: "m".into(),
        start_ms: 5,
        facts: moves::Facts {
            veto: Some(Veto {
                reason: "it fails".into(),
                node: "n1".into(),
                at: Time::from_millis(millis),
            }),
            passed: None,
        },
    }
}

fn pass(millis: u64) -> Fact {
    Fact::Move {
        name: "m".into(),
        start_ms: 5,
        facts: moves::Facts {
            veto: None,
            passed: Some(Time::from_millis(millis)),
        },
    }
}

#[test]
fn facts_merged_in_any_order_give_the_same_digest() {
    let facts = [
        veto(20),
        veto(10),
        pass(30),
        Fact::Member(member(3)),
        Fact::Member(Member {
            state: State::Leaving,
            ..member(3)
        }),
        suspect("n4", "n5", "d2"),
        Fact::Config { number: 4 },
        Fact::Config { number: 7 },
    ];
    let now = Time::from_millis(50);
    let digest = |order: &[usize]| {
        let mut gossip = Gossip::new();
        for index in order {
            gossip.merge(&facts[*index], now);
        }
        gossip.digest()
    };
    let forward: Vec<usize> = (0..facts.len()).collect();
    let backward: Vec<usize> = forward.iter().rev().copied().collect();
    let doubled: Vec<usize> = [forward.clone(), backward.clone()].concat();
    assert_eq!(digest(&forward), digest(&backward));
    assert_eq!(digest(&forward), digest(&doubled));
    assert_ne!(digest(&forward), digest(&forward[..7]));
}

#[test]
fn a_fact_is_forwarded_once() {
    let mut gossip = Gossip::new();
    let now = Time::from_millis(50);
    assert!(gossip.merge(&veto(10), now).is_some());
    assert!(gossip.merge(&veto(10), now).is_none());
    assert!(
        gossip.merge(&veto(20), now).is_none(),
        "a later veto does not replace an earlier one"
    );
    assert!(gossip.merge(&pass(5), now).is_some());
}

#[test]
fn expired_facts_do_not_come_back() {
    let mut gossip = Gossip::new();
    let fact = Fact::Notice {
        server: "s".into(),
        until: Time::from_millis(1_000),
    };
    assert!(gossip.merge(&fact, Time::from_millis(500)).is_some());
    let late = Time::from_millis(1_000) + Duration::from_secs(600);
    gossip.expire(late);
    assert!(gossip.is_empty());
    assert!(gossip.merge(&fact, late).is_none());
}
