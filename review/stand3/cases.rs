//! The cases 11 to 15, and a play of what was seen beyond them (`heads`).

use crate::*;

mod flood;
mod heads;
mod limit;
mod outage;
mod poison;
mod relist;

pub fn run(name: &str) -> ! {
    match name {
        "flood" => flood::run(),
        "heads" => heads::run(),
        "limit" => limit::run(),
        "outage" => outage::run(),
        "poison" => poison::run(),
        "relist" => relist::run(),
        other => cannot_run(&format!("no case {other:?}")),
    }
}

/// Writes a configuration with one service, `portal`, and one route of a kind.
fn write_config(store: &Store, kind: &str) {
    let more = vec![
        ("timeout_ms", J::num(15000)),
        ("target_latency_ms", J::num(8000)),
        ("max_attempts", J::num(2)),
        ("public", J::Bool(true)),
    ];
    let service = J::obj(vec![("name", J::str("portal")), ("health_path", J::str("/health"))]);
    store.set(
        "config",
        "main",
        J::obj(vec![
            ("version", J::num(7)),
            ("routes", J::Arr(vec![route("report", "/report/", kind, "portal", more)])),
            ("services", J::Arr(vec![service])),
            ("limits", limits()),
            ("tenants", J::Arr(vec![])),
        ]),
    );
}

/// Requests to it, each with a time limit of 15 s.
fn plan(path: &'static str, per_s: f64, tag: &'static str) -> Plan {
    Plan { method: "GET", path, per_s, wait_ms: 15000, headers: Arc::new(|_| String::new()), tag }
}
