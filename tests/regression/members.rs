//! Test members and rosters, shared by two test programs.

use cassialock::core::member::Member;
use cassialock::core::member::State;
use cassialock::core::member::gossip::Fact;
use cassialock::core::member::roster::Roster;
use cassialock::core::time::Time;

/// Returns member number `index`, which is in one of three failure domains.
pub fn member(index: usize) -> Member {
    Member {
        id: format!("n{index}").into(),
        incarnation: 1,
        state: State::Live,
        at: Time::default(),
        address: format!("127.0.0.1:{index}").into(),
        peer: format!("127.0.1.1:{index}").into(),
        domain: format!("d{}", index % 3).into(),
    }
}

/// Returns the roster of member 0 in a cluster of `count` members.
pub fn roster(count: usize) -> Roster {
    let mut roster = Roster::new(member(0));
    for index in 1..count {
        roster.apply(&Fact::Member(member(index)));
    }
    roster
}
