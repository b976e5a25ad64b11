//! Tests of what a node makes of the statements of servers about themselves.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::route::Request;
use cassialock::core::route::servers::Class;
use cassialock::core::route::servers::Filter;
use cassialock::core::route::servers::LoadReport;
use cassialock::core::route::servers::Servers;
use cassialock::core::route::servers::Vm;
use cassialock::core::route::servers::notice::Change;
use cassialock::core::route::servers::notice::Departure;
use cassialock::core::route::servers::notice::Ignored;
use cassialock::core::route::servers::notice::Notice;
use cassialock::core::route::servers::notice::Origin;
use cassialock::core::route::servers::notice::Receipt;
use cassialock::core::route::servers::notice::Statement;
use cassialock::core::time::Time;
use rustix::time;
use rustix::time::ClockId;

pub const START: Time = Time::from_millis(1_000_000);

/// Size of the largest deployment that is simulated.
pub const NODES: usize = 300;
const SERVERS: usize = 10_000;

pub fn vm(index: usize, started: u64) -> Vm {
    Vm {
        id: format!("i-{index}/{started}").into(),
        service: "llm".into(),
        version: "v1".into(),
        address: format!("10.0.0.1:{index}").into(),
        domain: format!("domain-{}", index % 3).into(),
        class: Class::OnDemand,
        leaving: false,
    }
}

pub fn view(node: usize, list: &[Vm]) -> Servers {
    let mut view = Servers::new(format!("edge-{node}").into(), "domain-0".into());
    view.update(list);
    view
}

pub fn many_servers() -> Vec<Vm> {
    let mut list: Vec<Vm> = (0..SERVERS).map(|index| vm(index, 1)).collect();
    list.sort_by(|a, b| a.id.cmp(&b.id));
    list
}

/// Returns the receipt of a signed answer to the request that was sent.
pub fn receipt(now: Time) -> Receipt {
    Receipt {
        request: "q".into(),
        sent: now,
        is_accepted: true,
        origin: Origin::Own,
        is_signed: true,
        random: 0.5,
        now,
    }
}

pub fn leaving() -> Notice {
    Notice {
        is_leaving: true,
        ..Notice::default()
    }
}

pub fn turned_away(seconds: f64) -> Notice {
    Notice {
        closed_s: Some(seconds),
        ..Notice::default()
    }
}

/// Returns the receipt of an answer to a request that was rejected.
pub fn rejection(now: Time) -> Receipt {
    Receipt {
        is_accepted: false,
        is_signed: false,
        ..receipt(now)
    }
}

pub const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn candidates(view: &Servers, now: Time) -> Vec<Name> {
    let filter = Filter {
        service: "llm",
        version: None,
        slots: 8,
        excluded: &[],
        exclude_suspected: false,
    };
    let candidates = view.candidates(&filter, &Request::default(), now);
    candidates.into_iter().map(|server| server.id).collect()
}

#[test]
fn a_server_that_says_that_it_leaves_is_no_candidate_from_then_on() {
    let list = [vm(0, 1), vm(1, 1)];
    let mut view = view(0, &list);
    let changes = view.record_notice("i-0/1", &leaving(), &receipt(START));
    assert_eq!(changes, [Change::Leaving]);
    assert_eq!(candidates(&view, START), [list[1].id.clone()]);
    // Saying so again changes nothing, nor does an answer that does not say so.
    let changes = view.record_notice("i-0/1", &leaving(), &receipt(START));
    assert_eq!(changes, []);
    view.record_notice("i-0/1", &Notice::default(), &receipt(START));
    // Listings that are older call it ready.
    view.update(&list);
    view.update(&list[1..]);
    view.update(&list);
    let later = START + Duration::from_secs(3_000);
    assert_eq!(candidates(&view, later), [list[1].id.clone()]);
    // The next incarnation, and another server at its address, are others.
    let mut other = vm(7, 1);
    other.address = list[0].address.clone();
    view.update(&[vm(0, 2), other.clone()]);
    let mut ids = candidates(&view, later);
    ids.sort();
    assert_eq!(ids, [vm(0, 2).id, other.id]);
}

#[test]
fn nodes_tell_each_other_for_some_time_which_servers_leave() {
    let list = [vm(0, 1), vm(1, 1)];
    let [mut first, mut second, mut third] = [0, 1, 2].map(|node| view(node, &list));
    first.record_notice("i-0/1", &leaving(), &receipt(START));
    let later = START + Duration::from_secs(9);
    for departure in first.departures(later) {
        assert!(second.record_departure(&departure, later));
        assert!(!second.record_departure(&departure, later));
    }
    assert_eq!(candidates(&second, later), [list[1].id.clone()]);
    second.update(&list);
    assert_eq!(candidates(&second, later), [list[1].id.clone()]);
    // What is told again does not become newer.
    for departure in second.departures(later) {
        assert!(third.record_departure(&departure, later));
    }
    let end = START + Duration::from_secs(10);
    assert_eq!(
        [first, second, third].map(|mut view| view.departures(end)),
        [vec![], vec![], vec![]]
    );
    // A server that is not known yet has to be told of again.
    let mut other = view(3, &[vm(1, 1)]);
    let departure = Departure {
        server: "i-0/1".into(),
        age: Duration::ZERO,
    };
    assert!(!other.record_departure(&departure, START));
    other.update(&list);
    assert!(other.record_departure(&departure, START));
}

#[test]
fn what_nodes_tell_of_an_old_incarnation_does_not_hit_the_next_one() {
    let mut view = view(0, &[vm(0, 2)]);
    let departure = Departure {
        server: "i-0/1".into(),
        age: Duration::ZERO,
    };
    assert!(!view.record_departure(&departure, START));
    assert_eq!(candidates(&view, START), [vm(0, 2).id]);
}

/// One message does not hold all servers of a failure domain.
#[test]
fn nodes_are_told_of_all_servers_of_a_failure_domain_that_leaves() {
    const MESSAGE_INTERVAL: Duration = millis(500);
    let list = many_servers();
    let mut view = view(0, &list);
    let mut left: Vec<Name> = Vec::new();
    for vm in list.iter().filter(|vm| *vm.domain == *"domain-0") {
        view.record_notice(&vm.id, &leaving(), &receipt(START));
        left.push(vm.id.clone());
    }
    let mut told: Vec<Name> = Vec::new();
    for at in 0..20 {
        let departures = view.departures(START + MESSAGE_INTERVAL * at);
        told.extend(departures.into_iter().map(|departure| departure.server));
    }
    told.sort();
    told.dedup();
    assert_eq!(told.len(), left.len());
    assert_eq!(told, left);
}

/// Returns the processor time that this thread has used.
fn processor_time() -> Duration {
    let time = time::clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        u32::try_from(time.tv_nsec).unwrap(),
    )
}

/// All servers of a failure domain leave, and each one says so.
#[test]
fn a_failure_domain_that_leaves_does_not_occupy_a_node_of_a_large_deployment() {
    // A fifth of a processor, over the time in which the servers leave.
    const LEAVING_TIME: Duration = Duration::from_secs(3);
    const MIN_CANDIDATES: usize = 48;
    const MAX_BUSY: Duration = millis(600);
    let list = many_servers();
    let mut view = view(0, &list);
    let began = processor_time();
    for vm in list.iter().filter(|vm| *vm.domain == *"domain-0") {
        view.record_notice(&vm.id, &leaving(), &receipt(START));
    }
    let busy = processor_time().saturating_sub(began);
    assert!(busy <= MAX_BUSY, "busy for {busy:?} of {LEAVING_TIME:?}");
    let left: Vec<Vm> = list
        .into_iter()
        .filter(|vm| *vm.domain != *"domain-0")
        .collect();
    let remaining = candidates(&view, START);
    let is_left = |id: &Name| left.iter().any(|vm| vm.id == *id);
    assert!(remaining.iter().all(is_left), "{remaining:?}");
    assert!(remaining.len() >= MIN_CANDIDATES, "{}", remaining.len());
    let mut fresh = Servers::new("edge-0".into(), "domain-0".into());
    fresh.update(&left);
    view.update(&left);
    assert_eq!(candidates(&view, START), candidates(&fresh, START));
}

#[test]
fn servers_that_left_long_ago_are_forgotten() {
    let list = [vm(0, 1), vm(1, 1), vm(2, 1)];
    let mut view = view(0, &list);
    view.record_notice("i-0/1", &leaving(), &receipt(START));
    view.record_notice("i-1/1", &leaving(), &receipt(START));
    view.update(&list[1..]);
    let later = START + Duration::from_secs(7_200);
    view.record_notice("i-2/1", &leaving(), &receipt(later));
    assert!(!view.has_announced("i-0/1"));
    assert!(view.has_announced("i-1/1"), "it is still listed");
    assert!(view.has_announced("i-2/1"));
}

#[test]
fn an_answer_to_another_request_changes_nothing() {
    let mut view = view(0, &[vm(0, 1)]);
    let notice = Notice {
        load: Some(LoadReport {
            running: 9,
            waiting: 9,
            ..LoadReport::default()
        }),
        rate_limit: Some(0.1),
        ..leaving()
    };
    let ignored = Change::Ignored(Ignored {
        statement: Statement::Leaving,
        value: "1".into(),
    });
    let other = Receipt {
        origin: Origin::Other,
        ..receipt(START)
    };
    let changes = view.record_notice("i-0/1", &notice, &other);
    assert_eq!(changes, std::slice::from_ref(&ignored));
    assert!(view.server_wait("i-0/1", START).is_zero());
    assert_eq!(view.get("i-0/1").unwrap().inflight(START), 0.0);
    // An answer that names no request changes nothing.
    let unnamed = Receipt {
        origin: Origin::Unnamed,
        ..receipt(START)
    };
    let changes = view.record_notice("i-0/1", &notice, &unnamed);
    assert_eq!(changes, [ignored]);
    assert!(view.has_usable("llm", START));
}

/// The server that answers has the address of the one that the node means.
#[test]
fn a_misdirected_answer_says_nothing_about_the_server_that_is_meant() {
    let mut view = view(0, &[vm(0, 1)]);
    let notice = Notice {
        is_misdirected: true,
        rate_limit: Some(0.1),
        ..leaving()
    };
    let changes = view.record_notice("i-0/1", &notice, &receipt(START));
    assert!(matches!(changes[..], [Change::Ignored(_)]), "{changes:?}");
    assert!(!view.has_announced("i-0/1"));
    assert!(!view.has_usable("llm", START), "its address is another's");
}

#[test]
fn nodes_of_a_large_deployment_leave_alone_what_told_them_that_it_leaves() {
    let list = many_servers();
    for node in 0..NODES {
        let mut view = view(node, &list);
        let told = candidates(&view, START)[node % 3].clone();
        view.record_notice(&told, &leaving(), &receipt(START));
        let left = candidates(&view, START);
        assert!(!left.contains(&told), "node {node}");
        assert!(!left.is_empty());
    }
}
