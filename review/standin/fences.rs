//! Two holders of one generation number.

use std::collections::BTreeMap;
use std::net::SocketAddr;
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

/// Time in a usage window at which the holder is restarted. The next report is due 4 s
/// after the end of a window at the earliest.
const RESTART_AT_MS: i64 = 2_800;

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1_500);

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
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();
    let (ending, noting) = (Arc::clone(&is_over), Arc::clone(record));
    let client = thread::spawn(move || {
        for count in 0.. {
            if ending.load(Ordering::SeqCst) {
                return;
            }
            let id = cluster::next_id();
            let front = fronts[count % fronts.len()];
            let answer = cluster::call(front, &id, "GET", "/status/7", "k-one", 2_000, "");
            let status = answer.map(|answer| answer.status());
            noting.line(format!("client sent {id} to {front}, got {status:?}"));
            thread::sleep(Duration::from_millis(150));
        }
    });
    let verdict = run(record, store, &entries, &publish, has_trouble);
    is_over.store(true, Ordering::SeqCst);
    let _ = client.join();
    entries.iter().for_each(|entry| entry.kill());
    for call in store.calls() {
        record.line(format!(
            "cloud at {:.3}: {} {} from {} with generation number {}: {}",
            record.at(call.at),
            call.subject,
            call.body.write(),
            call.holder,
            call.fence,
            call.status
        ));
    }
    verdict
}

fn run(
    record: &Record,
    store: &Store,
    entries: &[Arc<Entry>],
    publish: &dyn Fn() -> bool,
    has_trouble: bool,
) -> Verdict {
    let accepted = || -> Vec<CloudCall> {
        let calls = store.calls().into_iter();
        calls.filter(|call| call.status == 200).collect()
    };
    let wait_call = |timeout: u64, is_wanted: &dyn Fn(&CloudCall) -> bool| {
        let mut found = None;
        cluster::wait_until(Duration::from_secs(timeout), || {
            found = accepted().into_iter().rfind(|call| is_wanted(call));
            found.is_some()
        });
        found
    };
    let Some(first) = wait_call(25, &|_| true) else {
        record.line("no holder called the cloud");
        return Verdict::NotRun;
    };
    cluster::wait_until(Duration::from_secs(6), || {
        let phase = cluster::unix_ms() % WINDOW_MS;
        (RESTART_AT_MS..RESTART_AT_MS + 100).contains(&phase)
    });
    let Some(holder) = entries.iter().find(|entry| entry.name == first.holder) else {
        return Verdict::NotRun;
    };
    let copy = store.copy();
    record.line("a copy of the store is made");
    holder.signal("TERM");
    record.line(format!(
        "SIGTERM to {}, the holder of {}",
        holder.name, first.fence
    ));
    let Some(second) = wait_call(12, &|call| call.holder != first.holder) else {
        record.line("no other holder called the cloud");
        return Verdict::NotRun;
    };
    record.line(format!(
        "{} has called with {}",
        second.holder, second.fence
    ));
    if has_trouble {
        store.leave();
        entries.iter().for_each(|entry| entry.kill());
        record.line("all machines lose power, and the store is away");
        thread::sleep(AWAY);
        store.restore(&copy);
        let age = copy.at.elapsed();
        record.line(format!("the store is back from a copy {age:?} old"));
        publish();
        let (last, others): (Vec<_>, Vec<_>) = entries
            .iter()
            .partition(|entry| entry.name == second.holder);
        others.iter().for_each(|entry| entry.spawn(false));
        record.line("the other machines start again");
        thread::sleep(Duration::from_millis(1_000));
        last.iter().for_each(|entry| entry.spawn(false));
        record.line(format!("{} starts again", second.holder));
    } else {
        holder.wait_end(Duration::from_secs(9));
        holder.kill();
        holder.spawn(false);
        record.line(format!("{} starts again", holder.name));
    }
    let since = Instant::now();
    let count = || accepted().iter().filter(|call| call.at > since).count();
    if !cluster::wait_until(Duration::from_secs(45), || count() >= 3) {
        record.line("no holder called the cloud again");
        return Verdict::NotRun;
    }
    let mut holders: BTreeMap<(String, i64), Vec<String>> = BTreeMap::new();
    for call in store.calls() {
        let known = holders.entry((call.subject, call.fence)).or_default();
        if !known.contains(&call.holder) {
            known.push(call.holder);
        }
    }
    for ((subject, fence), names) in &holders {
        record.line(format!("{subject} with {fence}: {}", names.join(", ")));
    }
    if holders.values().any(|names| names.len() > 1) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
