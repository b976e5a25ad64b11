//! Two usage reports for one window.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::cluster;
use crate::cluster::Entry;
use crate::cluster::Record;
use crate::cluster::Site;
use crate::store::CloudCall;
use crate::store::Store;

const WINDOW_MS: i64 = 5_000;

/// Time in a window at which the copy is made. The report of the window before is due
/// 4 s after its end at the earliest.
const COPY_AT_MS: i64 = 3_000;

/// Time after a report at which the machines are restarted in turn.
const RESTART_AFTER: Duration = Duration::from_millis(300);

/// Time between two machines.
const GAP: Duration = Duration::from_millis(1_300);

/// Time after the report at which the store goes away.
const AWAY_FROM: Duration = Duration::from_millis(1_000);

/// Time after the report at which the store is back.
const AWAY_UNTIL: Duration = Duration::from_millis(3_000);

pub fn play(record: &Arc<Record>, tmp: &str, has_trouble: bool) -> Verdict {
    let site = Site::start();
    let store = &site.store;
    let publish = || {
        let route = cluster::route("/status/", "idempotent", "desk", 2_000, 2);
        site.publish(route, "desk")
    };
    publish();
    for index in 0..2 {
        site.start_server(record, index, "desk", cluster::answer_at_once);
    }
    let Some(entries) = site.start_entries(tmp, &["a", "b", "c"]) else {
        return Verdict::NotRun;
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = entries
        .iter()
        .map(|entry| {
            let front = entry.front;
            let (ending, noting) = (Arc::clone(&is_over), Arc::clone(record));
            thread::spawn(move || {
                while !ending.load(Ordering::SeqCst) {
                    let id = cluster::next_id();
                    let got = cluster::call(front, &id, "GET", "/status/7", "k-one", 2_000, "");
                    let status = got.map(|answer| answer.status());
                    noting.line(format!("client sent {id} to {front}, got {status:?}"));
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    let verdict = run(record, store, &entries, &publish, has_trouble);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    entries.iter().for_each(|entry| entry.kill());
    verdict
}

fn run(
    record: &Arc<Record>,
    store: &Arc<Store>,
    entries: &[Arc<Entry>],
    publish: &dyn Fn() -> bool,
    has_trouble: bool,
) -> Verdict {
    let accepted = || -> Vec<CloudCall> {
        let calls = store.calls().into_iter();
        let is_accepted = |call: &CloudCall| call.status == 200 && call.subject == "/usage";
        calls.filter(is_accepted).collect()
    };
    let window = |call: &CloudCall| call.body.get("window_id").as_int().unwrap_or(0);
    if !cluster::wait_until(Duration::from_secs(25), || !accepted().is_empty()) {
        record.line("no usage was reported");
        return Verdict::NotRun;
    }
    cluster::wait_until(Duration::from_secs(6), || {
        let phase = cluster::unix_ms() % WINDOW_MS;
        (COPY_AT_MS..COPY_AT_MS + 100).contains(&phase)
    });
    let copy = store.copy();
    record.line("a copy of the store is made");
    let known = accepted().len();
    if !cluster::wait_until(Duration::from_secs(8), || accepted().len() > known) {
        record.line("no further usage was reported");
        return Verdict::NotRun;
    }
    let last = accepted()[known].clone();
    let reported = Instant::now();
    record.line(format!(
        "{} has reported window {}",
        last.holder,
        window(&last)
    ));
    let sleep_until = |after: Duration| {
        thread::sleep((reported + after).saturating_duration_since(Instant::now()));
    };
    // The machines get SIGTERM in turn, that of the holder first, and start again.
    let (first, others): (Vec<Arc<Entry>>, Vec<Arc<Entry>>) = entries
        .iter()
        .cloned()
        .partition(|entry| entry.name == last.holder);
    let turns = first.into_iter().chain(others);
    let restarts: Vec<_> = turns
        .zip(0..)
        .map(|(entry, turn)| {
            let record = Arc::clone(record);
            let at = reported + RESTART_AFTER + GAP * turn;
            thread::spawn(move || {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                entry.signal("TERM");
                record.line(format!("SIGTERM to {}", entry.name));
                let has_ended = entry.wait_end(Duration::from_secs(8));
                entry.kill();
                entry.spawn(false);
                record.line(format!(
                    "{} starts again (ended by itself: {has_ended})",
                    entry.name
                ));
            })
        })
        .collect();
    sleep_until(AWAY_FROM);
    if has_trouble {
        store.leave();
        record.line("the store is away");
    }
    sleep_until(AWAY_UNTIL);
    if has_trouble {
        store.restore(&copy);
        let age = copy.at.elapsed();
        record.line(format!("the store is back from a copy {age:?} old"));
        publish();
    }
    for restart in restarts {
        let _ = restart.join();
    }
    // Until later windows are reported too.
    let is_done = || {
        accepted()
            .iter()
            .any(|call| window(call) >= window(&last) + 3)
    };
    if !cluster::wait_until(Duration::from_secs(40), is_done) {
        record.line("no later usage was reported");
        return Verdict::NotRun;
    }
    let mut reports: BTreeMap<i64, Vec<String>> = BTreeMap::new();
    for call in accepted() {
        let counts = call.body.get("request_counts").write();
        record.line(format!(
            "cloud accepted at {:.3}: window {} with {counts} from {} with generation number {}",
            record.at(call.at),
            window(&call),
            call.holder,
            call.fence
        ));
        let known = reports.entry(window(&call)).or_default();
        if !known.contains(&counts) {
            known.push(counts);
        }
    }
    let mut is_broken = false;
    for (window, counts) in reports.iter().filter(|row| row.1.len() > 1) {
        is_broken = true;
        record.line(format!(
            "window {window} has different counts: {}",
            counts.join(", ")
        ));
    }
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
