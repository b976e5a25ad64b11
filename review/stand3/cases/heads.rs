//! Requests with many short headers, within `max_header_bytes`.

use crate::backend::Backend;
use crate::*;

const REQUESTS: usize = 60;

/// Headers of a request besides those that it needs, and without the trouble.
const HEADERS: usize = 110;
const FEW: usize = 60;

pub fn run() -> ! {
    let world = World::new(3, 0);
    for (i, zone) in node::ZONES.into_iter().enumerate() {
        let work: backend::Work = Arc::new(|server: &Arc<Backend>, q, out| {
            let id = q.header("x-cassialock-request-id").to_string();
            http::reply(out, 200, &server.signed(&id), b"found")
        });
        Backend::start(&world.store, &world.ip, &format!("i-{i}"), "portal", "v1", zone, 24, work);
    }
    super::write_config(&world.store, "idempotent");
    world.start();
    let count = if has_trouble() { HEADERS } else { FEW };
    let more: String = (0..count).map(|i| format!("X-Field-{i}: 1\r\n")).collect();
    let (mut served, mut refused) = (0, 0);
    for n in 0..REQUESTS {
        let node = n % world.nodes.len();
        let text = format!(
            "GET /report/{n} HTTP/1.1\r\nHost: shop.example\r\nX-Cassialock-Request-Id: a1{n:06x}\r\nX-Cassialock-Deadline-Ms: 3000\r\n{more}\r\n"
        );
        let seen = http::call(world.nodes[node].front, text.as_bytes(), Duration::from_secs(3));
        note(&format!("client: request a1{n:06x} with a head of {} bytes to machine {node}: {}", text.len(), seen.short()));
        served += usize::from(seen.status() == 200);
        refused += usize::from((300..500).contains(&seen.status()));
    }
    let text = format!("{refused} of {REQUESTS} requests with {count} more headers got a 3xx or 4xx, {served} were served");
    println!("{text}");
    verdict((refused > 5 + REQUESTS / 500).then(|| format!("DENIED: {text}")))
}
