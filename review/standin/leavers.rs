//! Servers that leave without reporting that they drain, and watches that are cut off.

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
use crate::http::Channel;
use crate::http::Message;

/// Number of servers.
const SERVERS: usize = 18;

/// Number of servers that are replaced, one after the other.
const LEAVERS: usize = 8;

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which a leaving server goes on beyond that.
const LINGER: Duration = Duration::from_millis(1_150);

/// Time after `drain_ms` at which many orders come at once, which is more than `contact_ms`
/// after the cut.
const LATE: Duration = Duration::from_millis(1_050);

/// Number of these orders.
const ORDERS: usize = 60;

/// Time from the cut to the removal of the entry.
const CUT_BEFORE: Duration = Duration::from_millis(100);

/// Time that an order takes.
const WORK: Duration = Duration::from_millis(150);

/// A request that reached a server.
#[derive(Clone, Debug)]
struct Arrival {
    server: String,
    request: String,
    at: Instant,
}

pub fn play(record: &Arc<Record>, tmp: &str, has_trouble: bool) -> Verdict {
    let site = Site::start();
    let store = &site.store;
    let route = cluster::route("/order/", "non_idempotent", "desk", 2_000, 1);
    site.publish(route, "desk");
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let start = |index: usize| {
        let arrivals = Arc::clone(&arrivals);
        let run = move |server: &Server, request: &Message, channel: &mut Channel| {
            let id = request
                .header("x-cassialock-request-id")
                .unwrap_or_default();
            arrivals.lock().unwrap().push(Arrival {
                server: server.name.clone(),
                request: id.into(),
                at: Instant::now(),
            });
            thread::sleep(WORK);
            if !server.is_up() {
                return false;
            }
            let leaving = if server.is_leaving() {
                "Server-Leaving: 1\r\n"
            } else {
                ""
            };
            let head = cluster::stamp(&server.name, id) + leaving;
            channel.send(&http::answer("200 OK", &head, "placed"))
        };
        site.start_server(record, index, "desk", run)
    };
    let old: Vec<Arc<Server>> = (0..SERVERS).map(start).collect();
    let Some(entries) = site.start_entries(tmp, &["a", "b", "c"]) else {
        return Verdict::NotRun;
    };
    // Longer than `contact_ms`, so that all machines are in touch.
    thread::sleep(Duration::from_secs(5));
    let unanswered: Arc<Mutex<Vec<(String, Option<u16>)>>> = Arc::default();
    // Many users come at once.
    let send_orders = || {
        let clients = (0..ORDERS).map(|index| {
            let front = entries[index % entries.len()].front;
            let (record, unanswered) = (Arc::clone(record), Arc::clone(&unanswered));
            thread::spawn(move || {
                let id = cluster::next_id();
                let got = cluster::call(front, &id, "POST", "/order/1", "k-one", 2_000, "beam");
                let status = got.map(|answer| answer.status());
                record.line(format!("client sent {id} to {front}, got {status:?}"));
                if status != Some(200) {
                    unanswered.lock().unwrap().push((id, status));
                }
            })
        });
        clients.collect::<Vec<_>>()
    };
    let mut acks = Vec::new();
    let mut clients = Vec::new();
    for (turn, leaver) in old.iter().take(LEAVERS).enumerate() {
        start(SERVERS + turn);
        thread::sleep(Duration::from_millis(1_500));
        clients.extend(send_orders());
        thread::sleep(Duration::from_millis(700));
        if has_trouble {
            store.cut_watches();
            record.line("the store cuts off the watches of the servers");
        }
        thread::sleep(CUT_BEFORE);
        leaver.leave(store);
        let at = Instant::now();
        record.line(format!(
            "the store has removed the entry of {}",
            leaver.name
        ));
        acks.push((leaver.name.clone(), at));
        thread::sleep(DRAIN + LATE);
        clients.extend(send_orders());
        thread::sleep(LINGER - LATE);
        leaver.crash();
        record.line(format!("{} exits", leaver.name));
        thread::sleep(Duration::from_millis(1_500));
    }
    for client in clients {
        let _ = client.join();
    }
    entries.iter().for_each(|entry| entry.kill());
    let (arrivals, unanswered) = (arrivals.lock().unwrap(), unanswered.lock().unwrap());
    let mut late = 0;
    for (name, at) in &acks {
        let rows = arrivals
            .iter()
            .filter(|row| row.server == *name && row.at > *at + DRAIN);
        let last = rows.clone().map(|row| row.at - *at).max();
        let count = rows.count();
        late += count;
        record.line(format!(
            "{count} orders reached {name} later than {DRAIN:?} after the ack, the last {last:?}"
        ));
    }
    let lost: Vec<_> = unanswered
        .iter()
        .filter(|row| arrivals.iter().any(|known| known.request == row.0))
        .collect();
    record.line(format!(
        "{} orders that reached a server had no good answer: {lost:?}; {} had one",
        lost.len(),
        arrivals.len() - lost.len()
    ));
    if arrivals.len() < 100 {
        Verdict::NotRun
    } else if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
