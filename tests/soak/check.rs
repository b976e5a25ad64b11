//! What must hold, judged from what callers, servers and the platform saw.

use std::time::Duration;

use cassialock::core::name_map::NameMap;

use crate::callers::Call;
use crate::callers::End;
use crate::servers::Arrival;
use crate::world::CONTACT;
use crate::world::World;

/// Time after which a server that leaves gets no more requests.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time after which a configuration is in force.
const CONFIG: Duration = Duration::from_millis(2_000);

/// Time after which a key that was taken away is refused by every node.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Time that a request takes on its way, which the callers' clocks include.
const ON_THE_WAY: Duration = Duration::from_millis(200);

/// Returns what was broken.
pub fn broken(world: &World, calls: &[Call]) -> Vec<String> {
    let arrivals = world.log.lock().unwrap().clone();
    let mut by_id: NameMap<Vec<Arrival>> = NameMap::new();
    for arrival in arrivals {
        let id = arrival.id.as_str().into();
        by_id.get_or_insert_with(&id, Vec::new).push(arrival);
    }
    let mut broken = Vec::new();
    for call in calls {
        let seen = by_id.remove(&call.id).unwrap_or_default();
        answers(call, &seen, &mut broken);
        keys(world, call, &seen, &mut broken);
        routes(world, call, &mut broken);
        leaving(world, call, &seen, &mut broken);
        lost(world, call, &seen, &mut broken);
    }
    if let Some((id, _)) = by_id.iter().next() {
        broken.push(format!("no caller sent {id}"));
    }
    duties(world, &mut broken);
    broken
}

fn answers(call: &Call, seen: &[Arrival], broken: &mut Vec<String>) {
    if let End::Wrong(what) = &call.end {
        broken.push(format!("a wrong answer ({what}): {call:?}"));
    }
    let runs = seen.iter().filter(|arrival| arrival.ran).count();
    if call.is_once() && runs > 1 {
        broken.push(format!("{runs} runs: {call:?} {seen:?}"));
    }
    if call.is_once() && runs > 0 && matches!(call.end, End::Answer(429 | 503)) {
        broken.push(format!("said not to have run: {call:?} {seen:?}"));
    }
}

fn keys(world: &World, call: &Call, seen: &[Arrival], broken: &mut Vec<String>) {
    let owner = if call.key == "k-1" { "one" } else { "two" };
    let is_wrong = |arrival: &Arrival| arrival.has_key || arrival.workspace != owner;
    if seen.iter().any(is_wrong) {
        broken.push(format!("the key or workspace is wrong: {call:?} {seen:?}"));
    }
    let revoked = *world.revoked.lock().unwrap();
    let is_late = |at| call.sent > at + REVOKE;
    if call.key == "k-2" && revoked.is_some_and(is_late) && seen.iter().any(|seen| seen.ran) {
        broken.push(format!("a key that was taken away: {call:?}"));
    }
}

/// Returns whether the node of a call, and the store, were calm for long enough.
fn is_in_touch(world: &World, call: &Call, from: tokio::time::Instant) -> bool {
    let node = &world.nodes[call.node];
    let start = from - CONTACT;
    [&node.unplanned, &node.planned, &world.disturbed]
        .iter()
        .all(|spans| spans.is_calm(start, call.ended))
}

fn routes(world: &World, call: &Call, broken: &mut Vec<String>) {
    let at = call.prefix.strip_prefix("/new-");
    let at = at.and_then(|rest| rest.trim_end_matches('/').parse::<usize>().ok());
    let Some(added) = at.map(|at| world.routes.lock().unwrap()[at]) else {
        return;
    };
    let is_due = call.sent > added + CONFIG && is_in_touch(world, call, added);
    if is_due && call.end == End::Answer(404) {
        broken.push(format!("a route that is there: {call:?}"));
    }
}

fn leaving(world: &World, call: &Call, seen: &[Arrival], broken: &mut Vec<String>) {
    let leaving = world.leaving.lock().unwrap();
    for arrival in seen {
        let left = leaving.iter().find(|(name, _)| *name == arrival.server);
        let is_late = |at| arrival.at > at + DRAIN + ON_THE_WAY && is_in_touch(world, call, at);
        if left.is_some_and(|(_, at)| is_late(*at)) {
            broken.push(format!("sent to a server that left: {call:?} {arrival:?}"));
        }
    }
}

/// A request that a node has read and passed on is answered, also while the
/// node stops as planned.
fn lost(world: &World, call: &Call, seen: &[Arrival], broken: &mut Vec<String>) {
    let node = &world.nodes[call.node];
    let is_disturbed = !node.unplanned.is_calm(call.sent - CONTACT, call.ended);
    let servers = world.servers.lock().unwrap();
    let is_harmed = servers
        .iter()
        .any(|(_, spans)| !spans.is_calm(call.sent, call.ended));
    let is_lost = matches!(call.end, End::Cut | End::Silence);
    if is_lost && !seen.is_empty() && !is_disturbed && !is_harmed {
        broken.push(format!("no answer: {call:?} {seen:?}"));
    }
}

fn duties(world: &World, broken: &mut Vec<String>) {
    let calls = world.store.calls();
    for (at, call) in calls.iter().enumerate() {
        for other in &calls[at + 1..] {
            if call.fence == other.fence && call.holder != other.holder {
                broken.push(format!("two holders with one fence: {call:?} {other:?}"));
            }
            let is_same = call.subject == other.subject
                && call.subject == "/usage"
                && call.body["window_id"] == other.body["window_id"];
            if is_same && call.body != other.body {
                broken.push(format!("two counts of a window: {call:?} {other:?}"));
            }
        }
    }
}
