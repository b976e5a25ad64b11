//! The store is silent for some seconds, and the entries of the servers lapse meanwhile.

use crate::backend::Backend;
use crate::*;

/// Machines; the site has 9, and 3 spare ones.
const MACHINES: usize = 16;

/// Time in which a server works on a request.
const WORK: Duration = Duration::from_millis(6000);

/// Length of an outage.
const OUTAGE: Duration = Duration::from_millis(4500);

/// Time after the return of the store in which the entries of the servers are back.
const BACK: Duration = Duration::from_millis(1900);

/// Time from the moment at which most machines began to wait for changes of the roll-outs, for
/// 15 s, to an outage.
///
/// The store's answers to these fall into the last second of the outage.
const PHASE: Duration = Duration::from_millis(11_470);

/// Outages at most; none follows one that broke the rule.
const OUTAGES: usize = 3;

/// `recover_s`, as in the settings of the machines.
const RECOVER: Duration = Duration::from_secs(12);

/// Time after that in which requests count.
const COUNTED: Duration = Duration::from_secs(6);

pub fn run() -> ! {
    let world = World::new(MACHINES, 0);
    let mut servers = Vec::new();
    for (i, zone) in node::ZONES.into_iter().enumerate() {
        let work: backend::Work = Arc::new(|server: &Arc<Backend>, q, out| {
            let id = q.header("x-cassialock-request-id").to_string();
            note(&format!("server {} runs {id}", server.name));
            std::thread::sleep(WORK);
            let body = format!("answer to {id} by {}", server.name);
            http::reply(out, 200, &server.signed(&id), body.as_bytes())
        });
        let name = format!("i-{i}");
        servers.push(Backend::start(&world.store, &world.ip, &name, "portal", "v1", zone, 128, work));
    }
    super::write_config(&world.store, "idempotent");
    world.start();
    let load = Load::start(&world, super::plan("/report/", 20.0, "a1"));
    let mut broken = None;
    for outage in 1..=OUTAGES {
        let at = next_outage(&world, outage == 1);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let before = served(&load, at - WORK * 2, at - WORK);
        let trouble = has_trouble();
        if trouble {
            note(&format!("outage {outage} of the store begins"));
            set_mode(&world, &servers, store::SILENT);
        }
        std::thread::sleep(OUTAGE);
        let back = Instant::now();
        if trouble {
            for mode in &world.store.modes {
                mode.store(0, Ordering::SeqCst);
            }
            note(&format!("outage {outage} of the store has ended"));
        }
        std::thread::sleep(BACK);
        for server in &servers {
            server.reaches_store.store(true, Ordering::SeqCst);
        }
        std::thread::sleep((back + RECOVER).saturating_duration_since(Instant::now()));
        if servers.iter().any(|server| !world.store.has("servers", &server.name)) {
            cannot_run("a server isn't in the store");
        }
        // Then all requests that count have been answered.
        let until = back + RECOVER + COUNTED;
        std::thread::sleep((until + WORK + Duration::from_millis(500)).saturating_duration_since(Instant::now()));
        let after = served(&load, back + RECOVER, until);
        let text = format!("outage {outage}: {} of {} served before it, {} of {} later than recover_s after it", before.0, before.1, after.0, after.1);
        note(&text);
        println!("{text}");
        if after.0 * 4 < after.1 && before.0 * 4 >= before.1 {
            broken = Some(format!("RECOVER: {} of {} requests served", after.0, after.1));
            break;
        }
    }
    let seen = load.stop();
    record_attempts(&seen);
    verdict(broken)
}

/// Returns when the next outage begins.
fn next_outage(world: &World, is_first: bool) -> Instant {
    loop {
        let mut waits: Vec<Instant> = world.store.waits.lock().unwrap().iter().flatten().copied().collect();
        waits.sort();
        let at = waits[waits.len() / 2] + PHASE;
        // Before an outage, requests are served for some seconds.
        let time = if is_first { 3 } else { 0 };
        if at > Instant::now() + Duration::from_secs(time) {
            return at;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}

/// Makes the store silent to all machines and to the servers.
fn set_mode(world: &World, servers: &[Arc<Backend>], mode: u8) {
    for server in servers {
        server.reaches_store.store(false, Ordering::SeqCst);
    }
    for row in &world.store.modes {
        row.store(mode, Ordering::SeqCst);
    }
}

/// Returns how many of the requests sent in a span were served, and how many were sent.
///
/// All of them have been answered.
fn served(load: &Load, from: Instant, to: Instant) -> (usize, usize) {
    let seen = load.seen.lock().unwrap();
    let all: Vec<&Attempt> = seen.iter().filter(|a| a.sent > from && a.sent <= to).collect();
    let served = all.iter().filter(|a| a.seen.status() == 200).count();
    (served, all.len())
}
