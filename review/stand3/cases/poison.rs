//! One part of a prompt crashes servers, and all machines are killed after the fifth crash.

use std::collections::HashMap;

use crate::backend::Backend;
use crate::*;

/// The part that crashes servers.
const POISON: &str = "badbad01";

/// Servers of the service, and time until one that crashed is back.
const SERVERS: usize = 9;
const BACK: Duration = Duration::from_millis(4000);

/// Time from the fifth crash until all machines are killed, and until they start again.
const KILLED: Duration = Duration::from_millis(1000);
const DOWN: Duration = Duration::from_millis(1000);

/// `contact_ms`, as in the settings of the machines.
const CONTACT: Duration = Duration::from_millis(3000);

#[derive(Default)]
struct Fleet {
    /// Requests with the part that reached a server: time, id, server.
    arrivals: Vec<(Instant, String, String)>,
}

pub fn run() -> ! {
    let world = World::new(9, 0);
    let fleet: Arc<Mutex<Fleet>> = Arc::default();
    for i in 0..SERVERS {
        let fleet = fleet.clone();
        let work: backend::Work = Arc::new(move |server: &Arc<Backend>, q, out| {
            let id = q.header("x-cassialock-request-id").to_string();
            if q.header("x-cassialock-prompt-prefix").contains(POISON) {
                let mut fleet = fleet.lock().unwrap();
                fleet.arrivals.push((Instant::now(), id.clone(), server.name.clone()));
                drop(fleet);
                note(&format!("server {} gets {id} with the part", server.name));
                std::thread::sleep(Duration::from_millis(60));
                crash(server, &id);
                return false;
            }
            std::thread::sleep(Duration::from_millis(80));
            if !server.is_up.load(Ordering::SeqCst) {
                return false;
            }
            let mut headers = server.signed(&id);
            headers.push(("Content-Type", "text/event-stream".into()));
            http::reply(out, 200, &headers, b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
        });
        let zone = node::ZONES[i % 3];
        Backend::start(&world.store, &world.ip, &format!("i-{i}"), "llm", "v1", zone, 64, work);
    }
    let more = vec![
        ("timeout_ms", J::num(3000)),
        ("target_latency_ms", J::num(300)),
        ("gap_aim_ms", J::num(300)),
        ("resumable", J::Bool(true)),
        ("max_attempts", J::num(2)),
        ("public", J::Bool(true)),
    ];
    let service = J::obj(vec![("name", J::str("llm")), ("health_path", J::str("/health"))]);
    world.store.set(
        "config",
        "main",
        J::obj(vec![
            ("version", J::num(7)),
            ("routes", J::Arr(vec![route("query", "/query/", "streaming", "llm", more)])),
            ("services", J::Arr(vec![service])),
            ("limits", limits()),
            ("tenants", J::Arr(vec![])),
        ]),
    );
    world.start();
    let load = Load::start(&world, plan(30.0, "a1", false));
    std::thread::sleep(Duration::from_secs(4));
    note("requests with the part begin");
    let bad = Load::start(&world, plan(40.0, "b1", true));
    let fifth = loop {
        if let Some(at) = CRASHES.lock().unwrap().get(4) {
            break *at;
        }
        if ms(Instant::now()) > 40_000 {
            cannot_run("fewer than five crashes");
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    note(&format!("fifth crash at {}", ms(fifth)));
    bad.stop.store(true, Ordering::SeqCst);
    std::thread::sleep((fifth + KILLED).saturating_duration_since(Instant::now()));
    let mut started = vec![fifth; world.nodes.len()];
    if has_trouble() {
        note(&format!("blocks in the store: {}", world.store.count("cassialock-quarantine")));
        for node in &world.nodes {
            node.kill();
        }
        std::thread::sleep(DOWN);
        for i in 0..world.nodes.len() {
            world.spawn(i);
            started[i] = Instant::now();
        }
    }
    let from = started.iter().max().unwrap().max(&(fifth + CONTACT)).to_owned() + CONTACT + Duration::from_millis(300);
    std::thread::sleep(from.saturating_duration_since(Instant::now()));
    note("requests with the part come again");
    let again = Load::start(&world, plan(20.0, "c1", true));
    std::thread::sleep(Duration::from_secs(9));
    let again = again.stop();
    std::thread::sleep(Duration::from_secs(2));
    let seen = load.stop();
    record_attempts(&bad.stop());
    record_attempts(&again);
    record_attempts(&seen);
    let sound = seen.iter().filter(|a| a.seen.status() == 200).count();
    note(&format!("{sound} of {} sound requests were served", seen.len()));
    let sent: HashMap<&str, &Attempt> = again.iter().map(|a| (&*a.id, a)).collect();
    let fleet = fleet.lock().unwrap();
    let late: Vec<_> = fleet.arrivals.iter().filter(|row| sent.contains_key(&*row.1)).collect();
    for (at, id, server) in &late {
        note(&format!("COUNTS: {id} reaches {server} at {}", ms(*at)));
    }
    let text = format!("{} requests with the part reached servers later than contact_ms after the fifth crash", late.len());
    println!("{text}; {sound} of {} sound ones served", seen.len());
    verdict((late.len() > 3).then(|| format!("BUDGET: {text}")))
}

static CRASHES: Mutex<Vec<Instant>> = Mutex::new(Vec::new());

/// Crashes a server that has begun to write an answer, and starts it again later.
fn crash(server: &Arc<Backend>, id: &str) {
    if !server.crash() {
        return;
    }
    note(&format!("{id} has crashed server {}", server.name));
    CRASHES.lock().unwrap().push(Instant::now());
    let server = Arc::clone(server);
    std::thread::spawn(move || {
        std::thread::sleep(BACK);
        server.restart();
    });
}

fn plan(per_s: f64, tag: &'static str, is_bad: bool) -> Plan {
    Plan {
        method: "POST",
        path: "/query/",
        per_s,
        wait_ms: 3000,
        headers: Arc::new(move |n| {
            let part = if is_bad { POISON } else { "cafe0001" };
            format!("X-Cassialock-Prompt-Prefix: 5c1e07a2:800,{part}:410,{n:06x}{}:250\r\n", &tag[..2])
        }),
        tag,
    }
}
