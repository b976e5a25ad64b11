//! A request crashes each server that begins to answer it; sound requests differ from it in
//! the query only.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};

use super::{LIMITS, TENANTS, config, route};
use crate::net::{Channel, ms, record, serve, sleep};
use crate::store::Store;
use crate::world::{self, World, ask, has_trouble, ip, next_id, note, reply, request, server_spec};

const CONTACT_MS: u64 = 3_000;
const SERVERS: usize = 6;
const POISON: &str = "id=66";

/// A server as a process of its own: it aborts when it begins to answer the request.
pub fn server_process(args: &[String]) {
    let (address, id) = (args[0].clone(), args[1].clone());
    let listener = TcpListener::bind(&address).expect("address");
    let own = id.clone();
    serve(listener, move |stream| {
        let mut channel = Channel::new(stream);
        while let Ok(Some(request)) = channel.message(false) {
            if request.target() == "/health" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Cassialock-Instance-Id: {own}\r\nContent-Length: 2\r\n\r\nok"
                );
                let _ = channel.send(text.as_bytes());
                continue;
            }
            let rid = request.header("x-cassialock-request-id").unwrap_or("");
            println!("{rid} {}", request.target());
            let _ = std::io::stdout().flush();
            sleep(20);
            if request.target().contains(POISON) || request.target().contains("poison") {
                std::process::abort();
            }
            if !reply(&mut channel, &request, "200 OK", &own, "done") {
                return;
            }
        }
    });
    loop {
        sleep(1_000);
    }
}

#[derive(Default)]
struct Seen {
    /// Times at which the request reached a server.
    arrivals: Vec<u64>,
    crashes: Vec<u64>,
    over: bool,
}

fn is_poison(target: &str) -> bool {
    target.contains(POISON) || target.contains("poison")
}

/// Runs one server for ever: it is back two seconds after a crash.
fn keep_running(index: usize, address: String, store: Arc<Store>, seen: Arc<Mutex<Seen>>) {
    let id = format!("i-{index}");
    loop {
        let program = std::env::current_exe().unwrap();
        let mut command = Command::new(program);
        command
            .args(["crashing-server", &address, &id])
            .stdout(Stdio::piped());
        let (output, process) = {
            // Nothing is started once the scenario is over.
            let seen = seen.lock().unwrap();
            if seen.over {
                return;
            }
            let mut child = command.spawn().expect("server");
            (child.stdout.take().unwrap(), world::keep(child))
        };
        store.set(
            "servers",
            &id,
            &server_spec(
                "portal",
                address.parse().unwrap(),
                "v1",
                (index % 3) as u8,
                6,
            ),
        );
        let mut is_crash = false;
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if line.split(' ').nth(1).is_some_and(is_poison) {
                record(format!("{id} begins {line}"));
                seen.lock().unwrap().arrivals.push(ms());
                is_crash = true;
            }
        }
        let mut seen = seen.lock().unwrap();
        if seen.over {
            return;
        }
        world::kill(process);
        if is_crash {
            seen.crashes.push(ms());
            record(format!("{id} has crashed"));
        }
        drop(seen);
        sleep(2_000);
    }
}

pub fn play() -> bool {
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let world = World::start(
        3,
        &config(3, &route("read", "idempotent", 2), TENANTS, LIMITS),
        &[],
    );
    for index in 0..SERVERS {
        let listener = TcpListener::bind(format!("{}:0", ip(30 + index as u8))).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        drop(listener);
        let (store, seen) = (Arc::clone(&world.store), Arc::clone(&seen));
        std::thread::spawn(move || keep_running(index, address, store, seen));
    }
    sleep(2_500);
    let target = std::env::var("POISON_TARGET").unwrap_or_else(|_| format!("/read/job?{POISON}"));
    let until = ms() + 40_000;
    let (mut sent, mut served, mut bad) = (0, 0, 0);
    let mut next_bad = ms() + 2_000;
    let mut n = 0;
    while ms() < until {
        n += 1;
        let front = world.entries[n % 3].front;
        let (id, is_bad) = (next_id(), has_trouble() && ms() >= next_bad);
        let path = if is_bad {
            target.clone()
        } else {
            format!("/read/job?id={}", 1_000 + n)
        };
        let text = request(
            "GET",
            &path,
            &id,
            Some("k-1"),
            "X-Cassialock-Deadline-Ms: 3000\r\n",
            "",
        );
        if is_bad {
            next_bad = ms() + 900;
            bad += 1;
            std::thread::spawn(move || {
                let status = ask(front, &text, 3_000).map_or(0, |answer| answer.status());
                record(format!("request {id} that crashes servers: {status}"));
            });
        } else {
            let status = ask(front, &text, 3_000).map_or(0, |answer| answer.status());
            sent += 1;
            served += usize::from(status == 200);
            if status != 200 {
                record(format!("request {id} {path}: {status}"));
            }
        }
        sleep(30);
    }
    let mut seen = seen.lock().unwrap();
    seen.over = true;
    let third = seen.crashes.get(2).copied();
    let late = third.map_or(0, |third| {
        seen.arrivals
            .iter()
            .filter(|at| **at > third + CONTACT_MS)
            .count()
    });
    note(&format!(
        "sent {bad} times, it crashed {} servers, the third at {third:?} ms; {served} of {sent} sound requests served",
        seen.crashes.len()
    ));
    note(&format!(
        "BUDGET: it reached servers {late} times later than {CONTACT_MS} ms after the third crash; three are allowed"
    ));
    late > 3
}
