//! An entry that the store turned away while a key was withdrawn comes back in a drill.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use super::{LIMITS, config, route};
use crate::net::{ms, record, sleep, sleep_until};
use crate::world::{World, ask, has_trouble, next_id, note, reply, request, server, server_spec};

const REVOKE_MS: u64 = 5_000;
const BOTH: &str = "[{\"name\":\"one\",\"api_keys\":[\"k-1\",\"k-2\"],\"priority\":1,\"billing_unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":400000,\"burst\":400000}]";

pub fn play() -> bool {
    let trouble = has_trouble();
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
            record(format!("{own} runs {rid}"));
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
    let world = World::start(5, &config(3, &routes, BOTH, LIMITS), &named);
    sleep(2_500);
    let store = &world.store;
    let entry = &world.entries[0];
    store.copy();
    let copied = ms();
    note(&format!("the copy is of {copied} ms"));
    if trouble {
        entry.cut.store(true, Ordering::SeqCst);
        note(&format!("the store turns {} away", entry.name));
    }
    sleep(300);
    let withdrawn = config(7, &routes, super::TENANTS, LIMITS);
    store.set("config", "main", &withdrawn);
    let acked = ms();
    note(&format!(
        "version 7 without the key k-2 acknowledged at {acked} ms"
    ));
    let drill = acked + REVOKE_MS + 500;
    let mut rewritten = false;
    let mut restored_at = 0;
    let (mut late, mut late_sent) = (0, 0);
    let end = acked + 14_000;
    let mut n = 0;
    sleep_until(acked + 200);
    while ms() < end {
        let now = ms();
        if trouble && now >= drill && restored_at == 0 {
            store.away.store(true, Ordering::SeqCst);
            note("the store is away");
            sleep(1_000);
            store.restore();
            store.away.store(false, Ordering::SeqCst);
            restored_at = ms();
            note(&format!(
                "the store is back from the copy at {restored_at} ms, in the next era"
            ));
            entry.cut.store(false, Ordering::SeqCst);
            note(&format!("the store serves {} again", entry.name));
            for (name, spec) in &servers {
                store.set("servers", name, spec);
            }
        }
        if restored_at > 0 && !rewritten && now >= restored_at + 1_800 {
            store.set("config", "main", &withdrawn);
            rewritten = true;
            note("the operator has written version 7 again");
        }
        n += 1;
        for at in 0..world.entries.len() {
            let id = next_id();
            let text = if n % 2 == 0 {
                request(
                    "GET",
                    "/read/a",
                    &id,
                    Some("k-2"),
                    "X-Cassialock-Deadline-Ms: 1000\r\n",
                    "",
                )
            } else {
                request(
                    "POST",
                    "/order/a",
                    &id,
                    Some("k-2"),
                    "X-Cassialock-Deadline-Ms: 1000\r\n",
                    "deposit",
                )
            };
            let sent = ms();
            let status =
                ask(world.entries[at].front, &text, 1_000).map_or(0, |answer| answer.status());
            let ran = runs.lock().unwrap().contains(&id);
            record(format!(
                "request {id} with key k-2 to {}, sent at {sent} ms: {status}{}",
                world.entries[at].name,
                if ran { ", ran" } else { "" }
            ));
            if sent > acked + REVOKE_MS {
                late_sent += 1;
                late += usize::from(ran);
            }
        }
        sleep(60);
    }
    note(&format!(
        "CONFIG: {late} of {late_sent} requests with the withdrawn key, sent later than {REVOKE_MS} ms after the ack, ran"
    ));
    late > 0
}
