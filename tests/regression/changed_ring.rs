//! A member whose links changed would have been suspected by the old ones.

use std::time::Duration;

use cassialock::core::member::Member;
use cassialock::core::member::gossip::Fact;
use cassialock::core::member::neighbours;
use cassialock::core::time::Time;

use crate::members::member;
use crate::members::roster;

#[test]
fn a_member_that_sends_to_others_now_is_not_suspected() {
    let members: Vec<Member> = (0..60).map(member).collect();
    let me = &members[0];
    let stranger = members[1..]
        .iter()
        .find(|other| !neighbours::neighbours_of(&other.id, &members).contains(&me.id))
        .unwrap();
    let mut roster = roster(60);
    let mut now = Time::from_millis(1_000);
    // It sent a heartbeat when the ring was another one.
    roster.record_heartbeat(stranger, now);
    for _ in 0..20 {
        now = now + Duration::from_millis(500);
        let facts = roster.run_round(now).facts;
        let is_it =
            |fact: &Fact| matches!(fact, Fact::Suspect { subject, .. } if *subject == stranger.id);
        assert!(!facts.iter().any(is_it));
    }
}
