//! A key that was taken away.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::cluster;
use crate::cluster::Record;
use crate::cluster::Server;
use crate::cluster::Site;
use crate::http;
use crate::json::Json;

/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Time before the change at which the copy is made.
const COPY_BEFORE: Duration = Duration::from_millis(500);

/// Time after the change at which one machine is stopped.
const STOP_AT: Duration = Duration::from_millis(2_000);

/// Time after the change at which the store goes away.
const AWAY_FROM: Duration = Duration::from_millis(4_000);

/// Time after the change at which the store is back.
const AWAY_UNTIL: Duration = Duration::from_millis(5_500);

/// Time after its return in which the operator writes again what is gone.
const REWRITE: Duration = Duration::from_millis(1_000);

pub fn play(record: &Arc<Record>, tmp: &str, has_trouble: bool) -> Verdict {
    let site = Site::start();
    let store = &site.store;
    let spec = |version: i64, keys: &[&str]| -> Json {
        let routes = vec![cluster::route("/status/", "idempotent", "desk", 2_000, 2)];
        let tenants: &[(&str, &[&str])] = &[("one", &["k-one"]), ("two", keys)];
        cluster::config(version, routes, &["desk"], tenants)
    };
    store.set("config", "main", spec(3, &["k-two"]));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for index in 0..2 {
        let runs = Arc::clone(&runs);
        let run = move |server: &Server, request: &http::Message, channel: &mut http::Channel| {
            let id = request
                .header("x-cassialock-request-id")
                .unwrap_or_default();
            runs.lock().unwrap().push(id.to_string());
            cluster::answer_at_once(server, request, channel)
        };
        site.start_server(record, index, "desk", run);
    }
    let Some(entries) = site.start_entries(tmp, &["a", "b", "c"]) else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(4));
    let restarted = Arc::clone(&entries[2]);
    let send = |key: &str| -> (Instant, String, Option<u16>) {
        let (sent, id) = (Instant::now(), cluster::next_id());
        let answer = cluster::call(restarted.front, &id, "GET", "/status/7", key, 2_000, "");
        let status = answer.map(|answer| answer.status());
        record.line(format!("client sent {id} with {key}, got {status:?}"));
        (sent, id, status)
    };
    for key in ["k-one", "k-two"] {
        if send(key).2 != Some(200) {
            return Verdict::NotRun;
        }
    }
    let copy = store.copy();
    record.line("a copy of the store is made");
    thread::sleep(COPY_BEFORE);
    store.set("config", "main", spec(5, &[]));
    let acknowledged = Instant::now();
    record.line("the store acknowledges version 5, which takes k-two away");
    let sleep_until = |after: Duration| {
        thread::sleep((acknowledged + after).saturating_duration_since(Instant::now()));
    };
    sleep_until(STOP_AT);
    restarted.signal("TERM");
    record.line(format!("SIGTERM to {}", restarted.name));
    sleep_until(AWAY_FROM);
    restarted.wait_end(Duration::from_secs(8));
    if has_trouble {
        store.leave();
        record.line("the store is away");
    }
    restarted.kill();
    restarted.spawn(false);
    record.line(format!("{} starts again", restarted.name));
    let mut late = Vec::new();
    let mut is_rewritten = false;
    let mut is_back = false;
    let mut served = 0;
    while acknowledged.elapsed() < AWAY_UNTIL + Duration::from_secs(5) {
        if has_trouble && !is_back && acknowledged.elapsed() >= AWAY_UNTIL {
            is_back = true;
            store.restore(&copy);
            let age = copy.at.elapsed();
            record.line(format!("the store is back from a copy {age:?} old"));
        }
        if is_back && !is_rewritten && acknowledged.elapsed() >= AWAY_UNTIL + REWRITE {
            is_rewritten = true;
            store.set("config", "main", spec(5, &[]));
            record.line("the operator has written version 5 again");
        }
        let (sent, id, _) = send("k-two");
        if sent > acknowledged + REVOKE {
            late.push(id);
        }
        served += usize::from(send("k-one").2 == Some(200));
        thread::sleep(Duration::from_millis(50));
    }
    entries.iter().for_each(|entry| entry.kill());
    let runs = runs.lock().unwrap();
    let broken: Vec<&String> = late.iter().filter(|id| runs.contains(id)).collect();
    record.line(format!(
        "{} requests with k-two were sent later than {REVOKE:?} after the ack; a server ran {}",
        late.len(),
        broken.len()
    ));
    if served == 0 || late.is_empty() {
        Verdict::NotRun
    } else if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
