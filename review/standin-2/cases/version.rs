//! A new version of a service is bad, and the operator has asked to move the traffic to it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use super::{LIMITS, TENANTS, config, route};
use crate::net::{Channel, Message, ms, record, sleep};
use crate::world::{
    World, ask, has_trouble, next_id, note, reply, request, server, server_spec, stamped,
};

const DURATION_S: u64 = 20;
const ROLLBACK_MS: u64 = 5_000;
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;

#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// It answers 404 on one route.
    Status,
    /// Its streams are several times slower after their first event.
    Pace,
}

#[derive(Clone, Debug)]
struct Run {
    id: String,
    at: u64,
    is_new: bool,
    /// Time of a bad answer.
    bad: Option<u64>,
}

const EVENTS: u64 = 12;
const GAP_MS: u64 = 30;
/// How many times slower a bad version makes its events.
const SLOWER: u64 = 8;

fn stream(channel: &mut Channel, request: &Message, id: &str, gap: u64) -> bool {
    let head = stamped(request, "200 OK", id);
    let text =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    if channel.send(text.as_bytes()).is_err() {
        return false;
    }
    for n in 1..=EVENTS {
        if n > 1 {
            sleep(gap);
        }
        let event = format!("id: {n}\ndata: word\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if channel.send(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    channel.send(b"0\r\n\r\n").is_ok()
}

pub fn play(fault: Fault) -> bool {
    let trouble = has_trouble();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let old_stopped = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for index in 0..8_u8 {
        let id = format!("i-{index}");
        let is_new = index >= 4;
        let (own, runs, stopped) = (id.clone(), Arc::clone(&runs), Arc::clone(&old_stopped));
        let address = server(&id, move |channel, request| {
            if !is_new && stopped.load(Ordering::SeqCst) {
                return false;
            }
            let rid = request
                .header("x-cassialock-request-id")
                .unwrap_or("")
                .to_string();
            let on_list = request.target().starts_with("/list/");
            let is_bad = trouble && is_new && (fault == Fault::Pace || on_list);
            let at = ms();
            runs.lock().unwrap().push(Run {
                id: rid.clone(),
                at,
                is_new,
                bad: None,
            });
            sleep(20);
            let done = if request.target().starts_with("/draft/") {
                stream(
                    channel,
                    request,
                    &own,
                    if is_bad { GAP_MS * SLOWER } else { GAP_MS },
                )
            } else if is_bad {
                reply(channel, request, "404 Not Found", &own, "no such list")
            } else {
                reply(channel, request, "200 OK", &own, "done")
            };
            let mut runs = runs.lock().unwrap();
            if is_bad && let Some(run) = runs.iter_mut().rev().find(|run| run.id == rid) {
                run.bad = Some(ms());
            }
            record(format!(
                "{own} {} {rid} {}{}",
                if is_new { "v2" } else { "v1" },
                request.target(),
                if is_bad { ", bad answer" } else { "" }
            ));
            done
        });
        let version = if is_new { "v2" } else { "v1" };
        servers.push((id, server_spec("portal", address, version, index % 3, 16)));
    }
    let old: Vec<(&str, String)> = servers[..4]
        .iter()
        .map(|(n, s)| (n.as_str(), s.clone()))
        .collect();
    let draft = route("draft", "streaming", 1)
        .replace(
            "\"resumable\":false",
            "\"resumable\":false,\"gap_aim_ms\":100",
        )
        .replace("\"sticky\":false", "\"sticky\":true");
    let routes = [
        route("read", "idempotent", 2),
        route("list", "non_idempotent", 1),
        draft,
    ]
    .join(",");
    let world = World::start(3, &config(3, &routes, TENANTS, LIMITS), &old);
    let paths: &[(&str, &str)] = match fault {
        Fault::Pace => &[("POST", "/draft/a")],
        _ => &[("GET", "/read/a"), ("POST", "/list/a")],
    };
    let over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, u64, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..24_usize)
        .map(|client| {
            let front = world.entries[client % 3].front;
            let (over, sent) = (Arc::clone(&over), Arc::clone(&sent));
            std::thread::spawn(move || {
                let mut n = client;
                while !over.load(Ordering::SeqCst) {
                    let (method, path) = paths[n % paths.len()];
                    n += 1;
                    let id = next_id();
                    let at = ms();
                    let text = request(
                        method,
                        path,
                        &id,
                        Some("k-1"),
                        "X-Cassialock-Deadline-Ms: 4000\r\n",
                        "",
                    );
                    let status = ask(front, &text, 4_000).map_or(0, |answer| answer.status());
                    record(format!("request {id} {path}, sent at {at} ms: {status}"));
                    sent.lock().unwrap().push((id, at, status));
                    sleep(180);
                }
            })
        })
        .collect();
    sleep(6_000);
    for (name, spec) in &servers[4..] {
        world.store.set("servers", name, spec);
    }
    let spec = format!("{{\"service\":\"portal\",\"target\":\"v2\",\"duration_s\":{DURATION_S}}}");
    world.store.set("rollouts", "portal", &spec);
    let ordered = ms();
    note(&format!(
        "the move to v2 is ordered at {ordered} ms, for {DURATION_S} s"
    ));
    let limit = ordered + DURATION_S * 1_000;
    let mut ended = false;
    while ms() < limit + 9_000 {
        let status = world.store.status("rollouts", "portal");
        if !ended && status.contains("complete") {
            ended = true;
            note(&format!("complete at {} ms; the old servers stop", ms()));
            old_stopped.store(true, Ordering::SeqCst);
            for (name, _) in &servers[..4] {
                world.store.delete("servers", name);
            }
        } else if !ended && status.contains("rolled_back") {
            ended = true;
            note(&format!("rolled_back at {} ms", ms()));
            sleep(2_000);
            for (name, spec) in &servers[4..] {
                world
                    .store
                    .set("servers", name, &spec.replace("\"ready\"", "\"draining\""));
            }
        }
        sleep(50);
    }
    over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    let runs = runs.lock().unwrap();
    let sent = sent.lock().unwrap();
    let within: Vec<&Run> = runs
        .iter()
        .filter(|run| run.at >= ordered && run.at < limit)
        .collect();
    let new = within.iter().filter(|run| run.is_new).count();
    let allowed = within.len() as f64 * EXPOSE_SHARE + EXPOSE_SLACK;
    let mut bad: Vec<u64> = runs.iter().filter_map(|run| run.bad).collect();
    bad.sort_unstable();
    let fiftieth = bad.get(49).copied();
    let sent_at = |id: &str| sent.iter().find(|row| row.0 == id).map(|row| row.1);
    let late = fiftieth.map_or(0, |at| {
        let new = runs.iter().filter(|run| run.is_new);
        new.filter(|run| sent_at(&run.id).is_some_and(|sent| sent > at + ROLLBACK_MS))
            .count()
    });
    note(&format!(
        "EXPOSURE: v2 got {new} of {} requests until its time limit, {allowed:.0} are allowed; {} bad answers, the 50th at {fiftieth:?} ms; {late} requests sent later than {ROLLBACK_MS} ms after that reached v2",
        within.len(),
        bad.len()
    ));
    trouble && (new as f64 > allowed || late > 0)
}
