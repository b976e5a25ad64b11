//! Servers in trouble send bytes without end in the body of an answer.

use std::sync::{Arc, Mutex};

use super::{LIMITS, TENANTS, config, route};
use crate::net::{Channel, ms, record, sleep};
use crate::world::{
    World, has_trouble, next_id, note, reply, request, server, server_spec, stamped,
};

const TIMEOUT_MS: u64 = 2_000;
const LIMIT_MS: u64 = 8_000;

pub fn play() -> bool {
    let trouble = has_trouble();
    let mut servers = Vec::new();
    for index in 0..3_u8 {
        let id = format!("i-{index}");
        let own = id.clone();
        let address = server(&id, move |channel, request| {
            let rid = request
                .header("x-cassialock-request-id")
                .unwrap_or("")
                .to_string();
            if !trouble {
                sleep(3_000);
                return reply(channel, request, "200 OK", &own, "done");
            }
            record(format!("{own} answers {rid} without end"));
            let head = stamped(request, "200 OK", &own);
            let _ = channel.send(format!("{head}Content-Length: 1000000000000\r\n\r\n").as_bytes());
            let part = vec![b'x'; 64 * 1024];
            while channel.send(&part).is_ok() {}
            record(format!("{own}: the caller of {rid} has closed"));
            false
        });
        servers.push((id, server_spec("portal", address, "v1", index, 16)));
    }
    let named: Vec<(&str, String)> = servers
        .iter()
        .map(|(n, s)| (n.as_str(), s.clone()))
        .collect();
    let read = route("read", "idempotent", 1).replace("4000", "2000");
    let order = route("order", "non_idempotent", 1).replace("4000", "2000");
    let world = World::start(
        2,
        &config(3, &[read, order].join(","), TENANTS, LIMITS),
        &named,
    );
    let late: Arc<Mutex<(usize, usize)>> = Arc::default();
    let clients: Vec<_> = (0..6_usize)
        .map(|client| {
            let front = world.entries[client % 2].front;
            let late = Arc::clone(&late);
            std::thread::spawn(move || {
                for n in 0..2 {
                    let id = next_id();
                    let extra = format!("X-Cassialock-Deadline-Ms: {LIMIT_MS}\r\n");
                    let text = if (client + n) % 2 == 0 {
                        request("GET", "/read/a", &id, Some("k-1"), &extra, "")
                    } else {
                        request("POST", "/order/a", &id, Some("k-1"), &extra, "deposit")
                    };
                    let Ok(mut channel) = Channel::open(front) else {
                        continue;
                    };
                    let at = ms();
                    let _ = channel.send(text.as_bytes());
                    channel.set_timeout(LIMIT_MS);
                    let mut end = "its time limit is over".to_string();
                    let mut bytes = 0;
                    let mut buffer = vec![0; 256 * 1024];
                    while ms() < at + LIMIT_MS {
                        match std::io::Read::read(&mut channel.stream, &mut buffer) {
                            Ok(0) => {
                                end = "the channel is closed".into();
                                break;
                            }
                            Ok(count) => {
                                bytes += count;
                                if bytes < 4_096 {
                                    end = "a whole answer".into();
                                    break;
                                }
                            }
                            Err(e) => {
                                end = e.to_string();
                                break;
                            }
                        }
                    }
                    let took = ms() - at;
                    let mut late = late.lock().unwrap();
                    late.0 += 1;
                    late.1 += usize::from(took > TIMEOUT_MS + 500);
                    record(format!(
                        "request {id}, sent at {at} ms: after {took} ms and {bytes} bytes {end}"
                    ));
                }
            })
        })
        .collect();
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    let (sent, late) = *late.lock().unwrap();
    note(&format!(
        "CONFIG: {late} of {sent} requests have no final answer half a second after the {TIMEOUT_MS} ms of their route"
    ));
    late >= 8 && late * 4 > sent
}
