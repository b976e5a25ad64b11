//! Guards against never suspecting a node that froze before its first heartbeat.

use std::time::Duration;

use cassialock::core::time::Time;

use crate::members::roster;

#[test]
fn a_member_that_stops_before_its_first_heartbeat_is_suspected() {
    let mut now = Time::from_millis(1_000);
    let mut roster = roster(3);
    let mut suspected = Vec::new();
    for _ in 0..10 {
        now = now + Duration::from_millis(500);
        suspected.extend(roster.run_round(now).facts);
    }
    assert_eq!(
        suspected.len(),
        2,
        "neither of the other members sent a heartbeat"
    );
}
