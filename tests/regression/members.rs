//! Test members and rosters, shared by two test programs.

use cassialock::core::member::Member;
use cassialock::core::member::State;
use cassialock::core::member::gossip::Fact;
use cassialock::core::member::roster::Roster;
use cassialock::core::time::Time;

/// Returns member number `at`, which is in one of three failure domains.
pub fn member(at: usize) -> Member {
    Member {
        id: format!("n{at}").into(),
        incarnation: 1,
        state: State::Live,
        at: Time::default(),
        address: format!("127.0.0.1:{at}").into(),
        peer: format!("127.0.1.1:{at}").into(),
        domain: format!("d{}", at % 3).into(),
    }
}

/// Returns the roster of member 0 in a cluster of `count` members.
pub fn roster(count: usize) -> Roster {
    let mut roster = Roster::new(member(0));
    for at in 1..count {
        roster.apply(&Fact::Member(member(at)));
    }
    roster
}
