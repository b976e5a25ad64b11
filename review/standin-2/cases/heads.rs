//! A configuration raises the limit of heads while clients keep their channels.

use super::{LIMITS, TENANTS, config, route};
use crate::net::{Channel, ms, record, sleep, sleep_until};
use crate::world::{World, has_trouble, next_id, note, reply, request, server, server_spec};

const CONFIG_MS: u64 = 2_000;
const CHANNELS: usize = 12;
const REQUESTS: usize = 120;

pub fn play() -> bool {
    let raised = LIMITS.replace("16384", "65536");
    let mut servers = Vec::new();
    for index in 0..3_u8 {
        let id = format!("i-{index}");
        let own = id.clone();
        let address = server(&id, move |channel, request| {
            let rid = request
                .header("x-cassialock-request-id")
                .unwrap_or("")
                .to_string();
            record(format!("{own} runs {rid}"));
            reply(channel, request, "200 OK", &own, "done")
        });
        servers.push((id, server_spec("portal", address, "v1", index, 6)));
    }
    let named: Vec<(&str, String)> = servers
        .iter()
        .map(|(n, s)| (n.as_str(), s.clone()))
        .collect();
    let routes = route("read", "idempotent", 2);
    let limits = if has_trouble() { LIMITS } else { &raised };
    let world = World::start(3, &config(3, &routes, TENANTS, limits), &named);
    let mut channels: Vec<Option<Channel>> = (0..CHANNELS)
        .map(|n| Channel::open(world.entries[n % 3].front).ok())
        .collect();
    let ask = |channel: &mut Option<Channel>, n: usize, size: usize| -> u16 {
        let id = next_id();
        let mut own = match channel.take() {
            Some(own) => own,
            None => return 0,
        };
        own.set_timeout(3_000);
        let prefix: Vec<String> = (0..size / 16)
            .map(|at| format!("{:08x}:200", at + 1))
            .collect();
        let extra = if size == 0 {
            String::new()
        } else {
            format!("X-Cassialock-Prompt-Prefix: {}\r\n", prefix.join(","))
        };
        let text = request("GET", "/read/a", &id, Some("k-1"), &extra, "");
        let _ = own.send(text.as_bytes());
        let answer = own.message(true).ok().flatten();
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record(format!(
            "request {id} with a head of {} bytes on channel {n}: {status}",
            text.len()
        ));
        if status == 200 {
            *channel = Some(own);
        }
        status
    };
    for (n, channel) in channels.iter_mut().enumerate() {
        if ask(channel, n, 0) != 200 {
            crate::world::cannot_run("requests are not served at first");
        }
    }
    let acked = ms();
    if has_trouble() {
        world
            .store
            .set("config", "main", &config(9, &routes, TENANTS, &raised));
        note(&format!(
            "version 9 with max_header_bytes 65536 acknowledged at {acked} ms"
        ));
    }
    sleep_until(acked + CONFIG_MS + 1_500);
    let (mut sent, mut denied, mut fresh_denied) = (0, 0, 0);
    for n in 0..REQUESTS {
        let at = n % CHANNELS;
        let is_kept = n < CHANNELS;
        if channels[at].is_none() {
            channels[at] = Channel::open(world.entries[at % 3].front).ok();
        }
        let status = ask(&mut channels[at], at, 24_000);
        sent += 1;
        let is_denied = (300..500).contains(&status) && ![408, 421, 429].contains(&status);
        denied += usize::from(is_denied);
        fresh_denied += usize::from(is_denied && !is_kept);
        sleep(20);
    }
    let allowed = 5 + sent / 500;
    note(&format!(
        "DENIED: {denied} of {sent} proper requests got a 4xx of the entry's own ({fresh_denied} on channels opened later); {allowed} are allowed"
    ));
    denied > allowed
}
