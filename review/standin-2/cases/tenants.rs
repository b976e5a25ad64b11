//! A configuration takes the last tenant away, with its key.

use std::sync::{Arc, Mutex};

use super::{LIMITS, TENANTS, config, route};
use crate::net::{ms, record, sleep, sleep_until};
use crate::world::{World, ask, has_trouble, next_id, note, reply, request, server, server_spec};

const REVOKE_MS: u64 = 5_000;

pub fn play() -> bool {
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut servers = Vec::new();
    for index in 0..3_u8 {
        let id = format!("i-{index}");
        let (own, runs) = (id.clone(), Arc::clone(&runs));
        let address = server(&id, move |channel, request| {
            let rid = request
                .header("x-cassialock-request-id")
                .unwrap_or("")
                .to_string();
            let tenant = request.header("x-cassialock-tenant").unwrap_or("none");
            record(format!("{own} runs {rid} for tenant {tenant}"));
            runs.lock().unwrap().push(rid);
            reply(channel, request, "200 OK", &own, "done")
        });
        servers.push((id, server_spec("portal", address, "v1", index, 6)));
    }
    let named: Vec<(&str, String)> = servers
        .iter()
        .map(|(n, s)| (n.as_str(), s.clone()))
        .collect();
    let routes = [
        route("read", "idempotent", 2),
        route("order", "non_idempotent", 1),
    ]
    .join(",");
    let world = World::start(3, &config(3, &routes, TENANTS, LIMITS), &named);
    let send = |key: Option<&str>, n: usize| {
        let id = next_id();
        let front = world.entries[n % world.entries.len()].front;
        let text = if n % 2 == 0 {
            request(
                "GET",
                "/read/a",
                &id,
                key,
                "X-Cassialock-Deadline-Ms: 2000\r\n",
                "",
            )
        } else {
            request(
                "POST",
                "/order/a",
                &id,
                key,
                "X-Cassialock-Deadline-Ms: 2000\r\n",
                "deposit",
            )
        };
        let sent = ms();
        let status = ask(front, &text, 2_000).map_or(0, |answer| answer.status());
        record(format!(
            "request {id} with key {key:?}, sent at {sent} ms: {status}"
        ));
        (id, status)
    };
    let before: Vec<u16> = (0..12).map(|n| send(Some("k-1"), n).1).collect();
    if before.iter().any(|status| *status != 200) {
        crate::world::cannot_run("requests are not served at first");
    }
    // For comparison, the tenant can stay and lose its key only.
    let keyless_tenant = TENANTS.replace("\"k-1\"", "");
    let tenants = match (has_trouble(), std::env::var("KEEP_TENANT")) {
        (true, Err(_)) => "[]",
        (true, Ok(_)) => &keyless_tenant,
        (false, _) => TENANTS,
    };
    world
        .store
        .set("config", "main", &config(9, &routes, tenants, LIMITS));
    let acked = ms();
    note(&format!(
        "version 9 acknowledged at {acked} ms, tenants {tenants}"
    ));
    sleep_until(acked + REVOKE_MS + 500);
    let (mut revoked, mut unknown, mut keyless) = (0, 0, 0);
    for n in 0..60 {
        let (id, _) = send(Some("k-1"), n);
        let (other, _) = send(Some("k-never"), n);
        let (none, _) = send(None, n);
        let runs = runs.lock().unwrap();
        revoked += usize::from(runs.contains(&id));
        unknown += usize::from(runs.contains(&other));
        keyless += usize::from(runs.contains(&none));
        drop(runs);
        sleep(20);
    }
    note(&format!(
        "sent later than {REVOKE_MS} ms after the ack: {revoked} of 60 with the key that was taken away ran, {unknown} of 60 with a key that no configuration held, {keyless} of 60 without a key"
    ));
    if has_trouble() {
        revoked > 0 || unknown > 0
    } else {
        unknown > 0 || keyless > 0
    }
}
