//! Guards against suspecting a member that stopped sending heartbeats to this node
//! because the ring, and so its neighbours, changed.

use std::time::Duration;

use cassialock::core::member::Member;
use cassialock::core::member::gossip::Fact;
use cassialock::core::member::neighbours;
use cassialock::core::time::Time;

use crate::members::member;
use crate::members::roster;

#[test]
fn a_member_that_no_longer_sends_to_this_node_is_not_suspected() {
    let members: Vec<Member> = (0..60).map(member).collect();
    let local = &members[0];
    let unmonitored = members[1..]
        .iter()
        .find(|other| !neighbours::neighbours_of(&other.id, &members).contains(&local.id))
        .unwrap();
    let mut roster = roster(60);
    let mut now = Time::from_millis(1_000);
    // The member sent a heartbeat before the ring changed.
    roster.record_heartbeat(unmonitored, now);
    for _ in 0..20 {
        now = now + Duration::from_millis(500);
        let facts = roster.run_round(now).facts;
        let is_suspicion = |fact: &Fact| matches!(fact, Fact::Suspect { subject, .. } if *subject == unmonitored.id);
        assert!(!facts.iter().any(is_suspicion));
    }
}
