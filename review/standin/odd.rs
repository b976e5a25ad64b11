//! An entry of another writer among those of the servers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::cluster;
use crate::cluster::Record;
use crate::cluster::Server;
use crate::cluster::Site;
use crate::http::Channel;
use crate::http::Message;
use crate::json::Json;
use crate::json::map;
use crate::json::text;
use crate::store::ODD;

/// `recover_s` of the settings.
const RECOVER: Duration = Duration::from_secs(12);

/// Time for which all processes are gone.
const DOWN: Duration = Duration::from_secs(1);

/// Time in which requests are counted after that.
const COUNTED: Duration = Duration::from_secs(10);

/// A request of the client: when it was sent, and the status of its answer.
type Sent = (Instant, Option<u16>);

pub fn play(record: &Arc<Record>, tmp: &str, has_trouble: bool) -> Verdict {
    let site = Site::start();
    let store = &site.store;
    let route = cluster::route("/status/", "idempotent", "desk", 2_000, 2);
    site.publish(route, "desk");
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let start = |index: usize| {
        let ran = Arc::clone(&ran);
        let run = move |server: &Server, request: &Message, channel: &mut Channel| {
            ran.lock().unwrap().push(server.name.clone());
            cluster::answer_at_once(server, request, channel)
        };
        site.start_server(record, index, "desk", run)
    };
    (0..3).for_each(|index| drop(start(index)));
    let Some(entries) = site.start_entries(tmp, &["a", "b", "c"]) else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = entries
        .iter()
        .map(|entry| {
            let front = entry.front;
            let (is_over, record) = (Arc::clone(&is_over), Arc::clone(record));
            let sent = Arc::clone(&sent);
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let (id, at) = (cluster::next_id(), Instant::now());
                    let got = cluster::call(front, &id, "GET", "/status/7", "k-one", 2_000, "");
                    let status = got.map(|answer| answer.status());
                    record.line(format!("client sent {id} to {front}, got {status:?}"));
                    sent.lock().unwrap().push((at, status));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        let spec = map([
            ("service", text("desk")),
            ("address", text(format!("{}.9:9", site.net))),
            ("zone", text("a")),
            ("version", text(format!("v{ODD}"))),
            ("slots", Json::Int(128)),
            ("state", text("ready")),
        ]);
        store.set("servers", "of-another-writer", spec);
        record.line("another writer has written an entry with a byte that cannot be read");
    }
    thread::sleep(Duration::from_secs(3));
    let added = start(3);
    record.line(format!("{} has registered", added.name));
    thread::sleep(Duration::from_secs(4));
    let gets = ran
        .lock()
        .unwrap()
        .iter()
        .filter(|name| **name == added.name)
        .count();
    record.line(format!("{} has got {gets} requests since", added.name));
    let killed = Instant::now();
    entries.iter().for_each(|entry| entry.kill());
    record.line("all processes are killed");
    thread::sleep(DOWN);
    entries.iter().for_each(|entry| entry.spawn(false));
    let is_back = entries.iter().all(|entry| entry.wait_front());
    let back = Instant::now();
    record.line(format!("all processes are back: {is_back}"));
    thread::sleep(RECOVER + COUNTED);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    entries.iter().for_each(|entry| entry.kill());
    let sent = sent.lock().unwrap();
    let count = |is_counted: &dyn Fn(Instant) -> bool| {
        let counted: Vec<_> = sent.iter().filter(|row| is_counted(row.0)).collect();
        let served = counted.iter().filter(|row| row.1 == Some(200)).count();
        (served, counted.len())
    };
    let (before, before_all) = count(&|at| at < killed);
    let (after, after_all) = count(&|at| at > back + RECOVER);
    record.line(format!(
        "served before the final fault: {before} of {before_all}; of those sent later than \
         {RECOVER:?} after all were back: {after} of {after_all}"
    ));
    if !is_back || before * 4 < before_all || after_all < 20 {
        Verdict::NotRun
    } else if after * 4 < after_all {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
