//! Placement by predicted time: rings, prompt parts, probes, costs, and simulations.

mod fleet;
mod rules;

use fleet::Fleet;
use fleet::Kind;
use fleet::Report;

use cassialock::core::Name;
use cassialock::core::route::placement::Prompt;
use cassialock::core::route::placement::Query;
use cassialock::core::route::servers::Class;
use cassialock::core::route::servers::Filter;
use cassialock::core::route::servers::LoadReport;
use cassialock::core::route::servers::Servers;
use cassialock::core::route::servers::Vm;
use cassialock::core::route::servers::notice::Notice;
use cassialock::core::route::speed::Unlearned;
use cassialock::core::time::Time;

/// Length of a simulation, and of its beginning that is not judged, in seconds.
const SPAN_S: (f64, f64) = (12.0, 4.0);

/// Returns the sorted ids of some servers.
fn names(count: usize) -> Vec<Name> {
    (0..count).map(|at| format!("s{at:05}/1").into()).collect()
}

/// Returns some servers, spread over failure domains.
fn list(count: usize, domains: usize) -> Vec<Vm> {
    let vm = |(at, id)| Vm {
        id,
        service: "m".into(),
        version: "v1".into(),
        address: "a".into(),
        domain: format!("d{}", at % domains).into(),
        class: Class::OnDemand,
        leaving: false,
    };
    names(count).into_iter().enumerate().map(vm).collect()
}

const FILTER: Filter<'static> = Filter {
    service: "m",
    version: None,
    slots: 16,
    excluded: &[],
    exclude_suspected: false,
};

fn query<'a>(servers: &'a Servers, prompt: Prompt<'a>, now: Time) -> Query<'a> {
    Query {
        servers,
        estimates: &Unlearned,
        filter: FILTER,
        prompt,
        now,
    }
}

fn load_notice(load: LoadReport) -> Notice {
    Notice {
        load: Some(load),
        ..Notice::default()
    }
}

fn run(kind: Kind, entries: usize) -> Report {
    let report = Fleet::new(kind, entries, 1.0, false).run(SPAN_S);
    println!("{entries:3} entries, {kind:?}: {report:?}");
    report
}

/// Guards against placement that falls behind a scheduler which knows everything, and
/// against entries that send to the same server at the same moment.
#[test]
fn requests_begin_nearly_as_often_in_time_as_with_full_knowledge() {
    let central = run(Kind::Central, 1);
    for entries in [2, 61, 300] {
        let predicted = run(Kind::Predicted, entries);
        let affinity = run(Kind::Affinity, entries);
        let ratio = predicted.in_time / central.in_time;
        assert!(ratio >= 0.93, "{entries} entries: {ratio:.3}");
        for other in [Kind::RoundRobin, Kind::LeastLoaded] {
            let other = run(other, entries);
            assert!(predicted.in_time >= other.in_time);
        }
        assert!(predicted.in_time >= affinity.in_time);
        let again = predicted.again_share / affinity.again_share;
        assert!(
            again <= 0.5,
            "{entries} entries: {again:.2} of the prompt work again"
        );
        assert!(predicted.probes <= 2.0, "{predicted:?}");
    }
}

/// Guards against a popular session that stays at the few servers of its order, and against
/// placement that fails when servers are busy.
#[test]
fn a_hot_session_spreads_and_a_high_load_is_carried() {
    for (is_hot, load) in [(true, 1.0), (false, 2.4)] {
        let run = |kind| {
            let report = Fleet::new(kind, 61, load, is_hot).run(SPAN_S);
            println!("hot {is_hot}, load {load}, {kind:?}: {report:?}");
            report.in_time
        };
        let (central, affinity) = (run(Kind::Central), run(Kind::Affinity));
        let in_time = run(Kind::Predicted);
        assert!(in_time >= 0.93 * central && in_time > affinity);
    }
}
