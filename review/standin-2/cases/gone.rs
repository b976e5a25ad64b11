//! A server has left, and in a drill the store comes back from a copy that still shows it.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use super::{LIMITS, TENANTS, config, route};
use crate::net::{ms, record, sleep, sleep_until};
use crate::world::{World, ask, has_trouble, next_id, note, reply, request, server, server_spec};

const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

pub fn play() -> bool {
    let trouble = has_trouble();
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut servers = Vec::new();
    for index in 0..4_u8 {
        let id = format!("i-{index}");
        let (own, runs) = (id.clone(), Arc::clone(&runs));
        let address = server(&id, move |channel, request| {
            let rid = request
                .header("x-cassialock-request-id")
                .unwrap_or("")
                .to_string();
            record(format!("{own} runs {rid}"));
            if index == 0 {
                runs.lock().unwrap().push(rid);
            }
            sleep(20);
            reply(channel, request, "200 OK", &own, "done")
        });
        servers.push((id, server_spec("portal", address, "v1", index % 3, 6)));
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
    let store = &world.store;
    sleep(2_000);
    let mut sent: Vec<(String, u64)> = Vec::new();
    let send = |n: usize, sent: &mut Vec<(String, u64)>| {
        let id = next_id();
        let text = if n % 2 == 0 {
            request(
                "GET",
                "/read/a",
                &id,
                Some("k-1"),
                "X-Cassialock-Deadline-Ms: 2000\r\n",
                "",
            )
        } else {
            request(
                "POST",
                "/order/a",
                &id,
                Some("k-1"),
                "X-Cassialock-Deadline-Ms: 2000\r\n",
                "deposit",
            )
        };
        let at = ms();
        sent.push((id.clone(), at));
        let entry = &world.entries[n % 3];
        let status = ask(entry.front, &text, 2_000).map_or(0, |answer| answer.status());
        record(format!(
            "request {id} to {}, sent at {at} ms: {status}",
            entry.name
        ));
    };
    (0..60).for_each(|n| send(n, &mut sent));
    store.copy();
    note(&format!("the copy is of {} ms", ms()));
    sleep(500);
    store.delete("servers", "i-0");
    let left = ms();
    note(&format!(
        "the store has acknowledged at {left} ms that i-0 is gone; it serves on for some seconds"
    ));
    let drill = left + DRAIN_MS + 600;
    let (mut restored_at, mut rewritten, mut n) = (0, false, 0);
    while ms() < left + 10_000 {
        let now = ms();
        if trouble && restored_at == 0 && now >= drill {
            store.away.store(true, Ordering::SeqCst);
            note("the store is away");
            sleep_until(now + 1_000);
            store.restore();
            store.away.store(false, Ordering::SeqCst);
            restored_at = ms();
            note(&format!(
                "the store is back from the copy at {restored_at} ms, in the next era"
            ));
        }
        if restored_at > 0 && !rewritten && now >= restored_at + 3_600 {
            store.delete("servers", "i-0");
            rewritten = true;
            note(&format!("at {} ms i-0 is gone from the store again", ms()));
        }
        n += 1;
        send(n, &mut sent);
        sleep(10);
    }
    let runs = runs.lock().unwrap();
    let late: Vec<u64> = sent
        .iter()
        .filter(|(id, at)| *at > left + DRAIN_MS && runs.contains(id))
        .map(|(_, at)| at - left)
        .collect();
    note(&format!(
        "DRAIN: {} requests sent later than {DRAIN_MS} ms after the ack reached i-0, the first {:?} ms after it",
        late.len(),
        late.first()
    ));
    let in_touch = late
        .iter()
        .filter(|at| *at + left > restored_at + CONTACT_MS)
        .count();
    note(&format!(
        "{in_touch} of them were sent later than {CONTACT_MS} ms after the store's return"
    ));
    in_touch > 0
}
