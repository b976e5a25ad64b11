//! Placement by predicted time: rings, prompt parts, probes, costs, and simulations.

mod fleet;
mod rules;

use fleet::Fleet;
use fleet::Kind;
use fleet::Report;

/// Length of a simulation, and of its beginning that is not judged, in seconds.
const SPAN_S: (f64, f64) = (12.0, 4.0);

fn run(kind: Kind, entries: usize) -> Report {
    let report = Fleet::new(kind, entries, 1).run(SPAN_S);
    println!("{entries:3} entries, {kind:?}: {report}");
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
        run(Kind::Learned, entries);
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
        assert!(
            predicted.probes <= 3.0,
            "{} probes a request",
            predicted.probes
        );
    }
}
