//! A server leaves; then the store comes back from a copy that still has its entry.

use crate::backend::{Backend, LAPSE};
use crate::*;

/// `drain_ms` and `contact_ms`, as in the settings of the machines.
const DRAIN: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);

/// Time from the copy to the removal of the entry, from that to the return of the store, and
/// time for which it is away.
const COPIED: Duration = Duration::from_millis(1000);
const RETURN: Duration = Duration::from_millis(3000);
const AWAY: Duration = Duration::from_millis(500);

/// Time from the return of the store until the operator has written again, and until the server
/// exits.
const WRITTEN: Duration = Duration::from_millis(500);
const EXIT: Duration = Duration::from_millis(3500);

pub fn run() -> ! {
    let world = World::new(6, 1);
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let mut servers = Vec::new();
    for (i, zone) in node::ZONES.into_iter().enumerate() {
        let arrivals = arrivals.clone();
        let work: backend::Work = Arc::new(move |server: &Arc<Backend>, q, out| {
            let id = q.header("x-cassialock-request-id").to_string();
            if server.name == "i-0" {
                arrivals.lock().unwrap().push((Instant::now(), id.clone()));
            }
            std::thread::sleep(Duration::from_millis(100));
            if !server.is_up.load(Ordering::SeqCst) {
                return false;
            }
            http::reply(out, 200, &server.signed(&id), b"found")
        });
        servers.push(Backend::start(&world.store, &world.ip, &format!("i-{i}"), "portal", "v1", zone, 64, work));
    }
    let leaving = servers[0].clone();
    super::write_config(&world.store, "non_idempotent");
    world.start();
    let load = Load::start(&world, Plan { method: "POST", wait_ms: 4000, ..super::plan("/report/", 200.0, "a1") });
    std::thread::sleep(Duration::from_secs(3));
    let copy = world.store.copy();
    std::thread::sleep(COPIED);
    *leaving.state.lock().unwrap() = "gone";
    world.store.remove("servers", "i-0");
    let acked = Instant::now();
    note("the entry of server i-0 is removed; it goes on serving for a while");
    std::thread::sleep((acked + RETURN - AWAY).saturating_duration_since(Instant::now()));
    if has_trouble() {
        note("a drill begins: the store is away");
        for mode in &world.store.modes {
            mode.store(store::BUSY, Ordering::SeqCst);
        }
    }
    std::thread::sleep(AWAY);
    if has_trouble() {
        world.store.restore(copy);
        for mode in &world.store.modes {
            mode.store(0, Ordering::SeqCst);
        }
        note("the store is back, from a copy of the time before the removal");
    }
    let back = Instant::now();
    std::thread::sleep(WRITTEN);
    super::write_config(&world.store, "non_idempotent");
    std::thread::sleep((back + EXIT).saturating_duration_since(Instant::now()));
    leaving.crash();
    note("server i-0 exits");
    std::thread::sleep((back + LAPSE).saturating_duration_since(Instant::now()));
    // The server has written nothing for three status report intervals.
    world.store.remove("servers", "i-0");
    note("the entry of server i-0 has lapsed, if there was one");
    std::thread::sleep(Duration::from_secs(2));
    let seen = load.stop();
    record_attempts(&seen);
    let arrivals = arrivals.lock().unwrap();
    let sent = |id: &str| seen.iter().find(|a| a.id == id).map(|a| a.sent);
    let (mut all, mut late) = (0, 0);
    for (at, id) in arrivals.iter() {
        let Some(sent) = sent(id).filter(|sent| *sent > acked + DRAIN) else { continue };
        let counts = sent > back + CONTACT;
        all += 1;
        late += usize::from(counts);
        note(&format!("i-0 gets {id} at {}, sent at {}{}", ms(*at), ms(sent), if counts { " COUNTS" } else { "" }));
    }
    let failed = seen.iter().filter(|a| a.seen.status() != 200).count();
    let text = format!("{late} requests reached i-0 later than contact_ms after the store's return ({all} later than drain_ms after the ack); {failed} of {} not served", seen.len());
    println!("{text}");
    verdict((late > 0).then(|| format!("DRAIN: {text}")))
}
