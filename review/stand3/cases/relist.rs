//! The servers of a service lose their path to the store, one after the other, for some seconds.

use crate::backend::Backend;
use crate::*;

/// Time in which a server works on a request.
const WORK: Duration = Duration::from_millis(6000);

/// Length of each cut, and time from one to the next.
const CUT: Duration = Duration::from_millis(5000);
const EVERY: Duration = Duration::from_millis(8000);

/// `recover_s`, as in the settings of the machines.
const RECOVER: Duration = Duration::from_secs(12);

/// Time for which requests are sent after `recover_s`.
const AFTER: Duration = Duration::from_secs(16);

pub fn run() -> ! {
    let world = World::new(6, 0);
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
    std::thread::sleep(Duration::from_secs(8));
    let first = Instant::now();
    let mut back = first;
    for (i, server) in servers.iter().enumerate() {
        let at = first + EVERY * i as u32;
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        if has_trouble() {
            note(&format!("the path between server {} and the store is cut", server.name));
            server.reaches_store.store(false, Ordering::SeqCst);
        }
        std::thread::sleep((at + CUT).saturating_duration_since(Instant::now()));
        if has_trouble() {
            note(&format!("the path between server {} and the store is sound again", server.name));
            server.reaches_store.store(true, Ordering::SeqCst);
        }
        back = Instant::now();
    }
    std::thread::sleep(RECOVER + AFTER);
    load.stop.store(true, Ordering::SeqCst);
    std::thread::sleep(WORK);
    let seen = load.stop();
    record_attempts(&seen);
    for server in &servers {
        let is_listed = world.store.has("servers", &server.name);
        note(&format!("at the end, server {} is in the store: {is_listed}", server.name));
        if !is_listed {
            cannot_run("a server isn't in the store");
        }
    }
    let share = |is_in: &dyn Fn(&Attempt) -> bool| {
        let all: Vec<&Attempt> = seen.iter().filter(|a| is_in(a)).collect();
        let served = all.iter().filter(|a| a.seen.status() == 200).count();
        (served, all.len())
    };
    let last = first + EVERY * 2;
    let before = share(&|a| a.sent < last);
    let after = share(&|a| a.sent > back + RECOVER);
    let text = format!("{} of {} served before the last cut, {} of {} later than recover_s after it", before.0, before.1, after.0, after.1);
    note(&text);
    println!("{text}");
    if before.0 * 4 < before.1 || after.1 < 100 {
        cannot_run("too little was served before");
    }
    verdict((after.0 * 4 < after.1).then(|| format!("RECOVER: {} of {} requests served", after.0, after.1)))
}
