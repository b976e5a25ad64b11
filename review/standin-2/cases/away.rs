//! A server turns a request away for longer than a minute.

use std::sync::{Arc, Mutex};

use super::{LIMITS, TENANTS, config, route};
use crate::net::{ms, record, sleep};
use crate::world::{
    World, ask, has_trouble, next_id, note, reply, request, server, server_spec, stamped,
};

const AWAY_S: u64 = 90;

pub fn play() -> bool {
    let trouble = has_trouble();
    let turned: Arc<Mutex<Option<u64>>> = Arc::default();
    let arrivals: Arc<Mutex<Vec<u64>>> = Arc::default();
    let mut servers = Vec::new();
    for index in 0..3_u8 {
        let id = format!("i-{index}");
        let (own, turned, arrivals) = (id.clone(), Arc::clone(&turned), Arc::clone(&arrivals));
        let address = server(&id, move |channel, request| {
            let rid = request
                .header("x-cassialock-request-id")
                .unwrap_or("")
                .to_string();
            if index == 0 && trouble {
                let mut turned = turned.lock().unwrap();
                let Some(at) = *turned else {
                    *turned = Some(ms());
                    record(format!(
                        "{own} answers {rid} 503 with Retry-After: {AWAY_S}"
                    ));
                    let head = stamped(request, "503 Service Unavailable", &own);
                    let text = format!(
                        "{head}X-Cassialock-Not-Executed: 1\r\nRetry-After: {AWAY_S}\r\nContent-Length: 0\r\n\r\n"
                    );
                    return channel.send(text.as_bytes()).is_ok();
                };
                let after = ms() - at;
                if after > 500 && after < AWAY_S * 1_000 {
                    arrivals.lock().unwrap().push(after);
                }
                record(format!(
                    "{own} gets {rid} {after} ms after it turned one away"
                ));
            }
            reply(channel, request, "200 OK", &own, "done")
        });
        servers.push((id, server_spec("portal", address, "v1", index, 6)));
    }
    let named: Vec<(&str, String)> = servers
        .iter()
        .map(|(n, s)| (n.as_str(), s.clone()))
        .collect();
    let world = World::start(
        1,
        &config(3, &route("read", "idempotent", 2), TENANTS, LIMITS),
        &named,
    );
    let until = ms() + (AWAY_S + 4) * 1_000;
    let (mut sent, mut served) = (0, 0);
    while ms() < until {
        let id = next_id();
        let text = request(
            "GET",
            "/read/a",
            &id,
            Some("k-1"),
            "X-Cassialock-Deadline-Ms: 2000\r\n",
            "",
        );
        let status = ask(world.entries[0].front, &text, 2_000).map_or(0, |answer| answer.status());
        sent += 1;
        served += usize::from(status == 200);
        sleep(120);
    }
    let arrivals = arrivals.lock().unwrap();
    note(&format!(
        "{served} of {sent} requests served; BUDGET: {} requests of one machine reached the server between half a second after its 503 and the end of its Retry-After of {AWAY_S} s, the first after {:?} ms; two are allowed",
        arrivals.len(),
        arrivals.first()
    ));
    arrivals.len() > 2
}
