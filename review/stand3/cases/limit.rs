//! A server names its `Server-Limit`, and its entry lapses and comes back.

use std::collections::HashMap;

use crate::backend::Backend;
use crate::*;

/// Requests a second that the server takes from all machines together.
const LIMIT: f64 = 0.5;

/// Time in which a server works on a request, and in which one in need does.
const WORK: Duration = Duration::from_millis(150);
const SLOW_WORK: Duration = Duration::from_millis(600);

struct Arrival {
    at: Instant,
    id: String,
}

pub fn run() -> ! {
    let world = World::new(9, 0);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let named: Arc<Mutex<Option<Instant>>> = Arc::default();
    let is_in_need = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for (i, zone) in ["za", "zb", "zc"].into_iter().enumerate() {
        let (arrivals, named, need) = (arrivals.clone(), named.clone(), is_in_need.clone());
        let work: backend::Work = Arc::new(move |server: &Arc<Backend>, q, out| {
            let id = q.header("x-cassialock-request-id").to_string();
            let is_first = server.name == "i-0";
            if is_first {
                arrivals.lock().unwrap().push(Arrival { at: Instant::now(), id: id.clone() });
            }
            let is_slow = is_first && need.load(Ordering::SeqCst);
            std::thread::sleep(if is_slow { SLOW_WORK } else { WORK });
            let mut headers = server.signed(&id);
            if is_first && need.load(Ordering::SeqCst) {
                named.lock().unwrap().get_or_insert_with(Instant::now);
                headers.push(("Server-Limit", LIMIT.to_string()));
            }
            http::reply(out, 200, &headers, format!("answer to {id} by {}", server.name).as_bytes())
        });
        let name = format!("i-{i}");
        servers.push(Backend::start(&world.store, &world.ip, &name, "portal", "v1", zone, 6, work));
    }
    let more = || {
        vec![
            ("timeout_ms", J::num(4000)),
            ("target_latency_ms", J::num(300)),
            ("max_attempts", J::num(2)),
            ("public", J::Bool(true)),
        ]
    };
    world.store.set(
        "config",
        "main",
        J::obj(vec![
            ("version", J::num(7)),
            ("routes", J::Arr(vec![route("look", "/look/", "idempotent", "portal", more())])),
            ("services", J::Arr(vec![J::obj(vec![("name", J::str("portal")), ("health_path", J::str("/health"))])])),
            ("limits", limits()),
            ("tenants", J::Arr(vec![])),
        ]),
    );
    world.start();
    let plan = Plan {
        method: "GET",
        path: "/look/",
        per_s: 80.0,
        wait_ms: 4000,
        headers: Arc::new(|_| String::new()),
        tag: "a1",
    };
    let load = Load::start(&world, plan);
    std::thread::sleep(Duration::from_secs(4));
    note(&format!("server i-0 is in need: Server-Limit: {LIMIT}"));
    is_in_need.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(12));
    if has_trouble() {
        note("the path between server i-0 and the store is cut");
        servers[0].reaches_store.store(false, Ordering::SeqCst);
    }
    std::thread::sleep(Duration::from_secs(5));
    if has_trouble() {
        note("the path between server i-0 and the store is sound again");
        servers[0].reaches_store.store(true, Ordering::SeqCst);
    }
    std::thread::sleep(Duration::from_secs(8));
    let seen = load.stop();
    record_attempts(&seen);
    judge(&seen, &arrivals.lock().unwrap(), named.lock().unwrap().unwrap_or_else(|| cannot_run("no answer named the limit")))
}

/// From `contact_ms` after the first answer with the limit, no span of 4 s may have more than
/// one and a half times what it allows, + 5, from machines that had passed on such an answer
/// half a second before the request.
fn judge(seen: &[Attempt], arrivals: &[Arrival], named: Instant) -> ! {
    let sender: HashMap<&str, &Attempt> = seen.iter().map(|a| (&*a.id, a)).collect();
    let mut passed: HashMap<usize, Instant> = HashMap::new();
    for a in seen {
        if !a.seen.header("server-limit").is_empty() {
            let first = passed.entry(a.node).or_insert(a.ended);
            *first = (*first).min(a.ended);
        }
    }
    let counted: Vec<Instant> = arrivals
        .iter()
        .filter(|row| row.at >= named + Duration::from_millis(3000))
        .filter(|row| {
            let node = sender.get(&*row.id).map(|a| a.node);
            let since = node.and_then(|node| passed.get(&node));
            since.is_some_and(|since| *since + Duration::from_millis(500) <= row.at)
        })
        .map(|row| row.at)
        .collect();
    for row in arrivals {
        note(&format!("server i-0 got request {} at {}", row.id, ms(row.at)));
    }
    let allowed = LIMIT * 4.0 * 1.5 + 5.0;
    let mut most = (0, 0);
    for (i, from) in counted.iter().enumerate() {
        let count = counted[i..].iter().take_while(|at| **at < *from + Duration::from_secs(4)).count();
        if count > most.0 {
            most = (count, ms(*from));
        }
    }
    let passed = passed.len();
    note(&format!("{passed} machines had passed on an answer with the limit; named first at {}", ms(named)));
    note(&format!("most requests in 4 s: {} from {} ms on; allowed {allowed}", most.0, most.1));
    println!("most requests in 4 s: {} from {} ms on; allowed {allowed}", most.0, most.1);
    let is_broken = most.0 as f64 > allowed;
    verdict(is_broken.then(|| format!("LIMIT: {} requests in 4 s, {allowed} allowed", most.0)))
}
