//! A key is taken away; then the store comes back from an older copy, and a machine starts.

use std::collections::HashMap;

use crate::backend::Backend;
use crate::*;

/// `revoke_ms`, as in the settings of the machines.
const REVOKE: Duration = Duration::from_millis(5000);

/// Time from the copy to the ack of the configuration without the key, and from that to the
/// return of the store.
const COPIED: Duration = Duration::from_millis(1000);
const RETURN: Duration = Duration::from_millis(4600);

/// Time for which the store is away, and from its return until the operator has written again.
const AWAY: Duration = Duration::from_millis(500);
const WRITTEN: Duration = Duration::from_millis(1500);

pub fn run() -> ! {
    let world = World::new(6, 1);
    let runs: Arc<Mutex<HashMap<String, (Instant, String)>>> = Arc::default();
    for (i, zone) in node::ZONES.into_iter().enumerate() {
        let runs = runs.clone();
        let work: backend::Work = Arc::new(move |server: &Arc<Backend>, q, out| {
            let id = q.header("x-cassialock-request-id").to_string();
            runs.lock().unwrap().insert(id.clone(), (Instant::now(), server.name.clone()));
            std::thread::sleep(Duration::from_millis(40));
            http::reply(out, 200, &server.signed(&id), b"found")
        });
        Backend::start(&world.store, &world.ip, &format!("i-{i}"), "portal", "v1", zone, 24, work);
    }
    write_config(&world.store, 7, &["ka", "kb"]);
    world.start();
    let sound = Load::start(&world, plan(20.0, "a1", "ka"));
    let taken = Load::start(&world, plan(60.0, "b1", "kb"));
    std::thread::sleep(Duration::from_secs(3));
    let copy = world.store.copy();
    std::thread::sleep(COPIED);
    write_config(&world.store, 9, &["ka"]);
    let acked = Instant::now();
    note("the operator's version 9, without key kb, has been accepted");
    std::thread::sleep((acked + RETURN - AWAY).saturating_duration_since(Instant::now()));
    if has_trouble() {
        note("a drill begins: the store is away");
        for mode in &world.store.modes {
            mode.store(2, Ordering::SeqCst);
        }
        world.nodes[0].kill();
        std::thread::sleep(AWAY);
        world.store.restore(copy);
        for mode in &world.store.modes {
            mode.store(0, Ordering::SeqCst);
        }
        note("the store is back, from a copy of the time before version 9");
        world.spawn(0);
        std::thread::sleep(WRITTEN);
        write_config(&world.store, 9, &["ka"]);
        note("the operator has written version 9 again");
    }
    std::thread::sleep(Duration::from_secs(4));
    let seen = taken.stop();
    let others = sound.stop();
    record_attempts(&others);
    record_attempts(&seen);
    let runs = runs.lock().unwrap();
    let mut late = 0;
    for a in seen.iter().filter(|a| a.sent > acked + REVOKE) {
        if let Some((at, server)) = runs.get(&a.id) {
            late += 1;
            note(&format!("COUNTS: {} sent at {} to machine {} runs at {server} at {}", a.id, ms(a.sent), a.node, ms(*at)));
        }
    }
    let served = others.iter().filter(|a| a.seen.status() == 200).count();
    let text = format!("{late} requests with the key, sent later than revoke_ms after the ack, ran; {served} of {} others served", others.len());
    println!("{text}");
    verdict((late > 0).then(|| format!("CONFIG: {text}")))
}

fn plan(per_s: f64, tag: &'static str, key: &'static str) -> Plan {
    Plan {
        method: "GET",
        path: "/look/",
        per_s,
        wait_ms: 3000,
        headers: Arc::new(move |_| format!("Authorization: Token {key}\r\n")),
        tag,
    }
}

fn write_config(store: &Store, version: u64, keys: &[&str]) {
    let more = vec![
        ("timeout_ms", J::num(4000)),
        ("target_latency_ms", J::num(300)),
        ("max_attempts", J::num(2)),
        ("public", J::Bool(false)),
    ];
    let service = J::obj(vec![("name", J::str("portal")), ("health_path", J::str("/health"))]);
    let tenants = keys.iter().enumerate().map(|(i, key)| {
        J::obj(vec![
            ("name", J::str(&format!("t{i}"))),
            ("api_keys", J::Arr(vec![J::str(key)])),
            ("rate_per_s", J::num(0)),
            ("burst", J::num(0)),
            ("billing_unit", J::str("request")),
        ])
    });
    store.set(
        "config",
        "main",
        J::obj(vec![
            ("version", J::num(version)),
            ("routes", J::Arr(vec![route("look", "/look/", "idempotent", "portal", more)])),
            ("services", J::Arr(vec![service])),
            ("limits", limits()),
            ("tenants", J::Arr(tenants.collect())),
        ]),
    );
}
