//! Stand-ins and checks of the scripts in `review/11` to `review/15`.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

mod backend;
mod cases;
mod http;
mod json;
mod node;
mod store;

use http::Seen;
use json::J;
use node::Node;
use store::Store;

static BEGAN: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static DIR: OnceLock<PathBuf> = OnceLock::new();

/// Milliseconds since the start of the script.
pub fn ms(at: Instant) -> u64 {
    at.saturating_duration_since(*BEGAN.get().unwrap()).as_millis() as u64
}

/// Writes a line of the record.
pub fn note(text: &str) {
    let line = format!("{:>7} {text}\n", ms(Instant::now()));
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = file.write_all(line.as_bytes());
    }
}

/// Ends the script, with all processes that it started.
pub fn finish(code: i32) -> ! {
    for pid in PIDS.lock().unwrap().iter() {
        let _ = std::process::Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(std::process::Stdio::null()).status();
    }
    if std::env::var("KEEP").is_err() {
        if let Some(dir) = DIR.get() {
            let _ = std::fs::remove_dir_all(dir);
        }
    }
    std::process::exit(code);
}

pub fn cannot_run(why: &str) -> ! {
    note(&format!("cannot run: {why}"));
    eprintln!("cannot run: {why}");
    finish(2);
}

/// Ends the script with its result.
pub fn verdict(broken: Option<String>) -> ! {
    match broken {
        Some(text) => {
            note(&format!("BROKEN: {text}"));
            println!("BROKEN: {text}");
            finish(1)
        }
        None => {
            note("the rule held");
            println!("the rule held");
            finish(0)
        }
    }
}

/// The machines, the store and what clients saw.
pub struct World {
    pub store: Arc<Store>,
    pub nodes: Vec<Arc<Node>>,
    pub ip: String,
    pub dir: PathBuf,
}

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub node: usize,
    pub path: String,
    pub sent: Instant,
    pub ended: Instant,
    pub seen: Seen,
}

impl World {
    /// Prepares `count` machines in three zones and a store; nothing runs yet.
    pub fn new(count: usize, era: u64) -> Self {
        let pid = std::process::id();
        let (a, b) = (64 + pid % 120, pid / 120 % 250);
        let dir = std::env::temp_dir().join(format!("cassialock-review-{pid}"));
        std::fs::create_dir_all(&dir).unwrap();
        let _ = DIR.set(dir.clone());
        let store = Store::new(count, era);
        let ip = |i: usize| format!("127.{a}.{b}.{i}");
        let seeds: Vec<String> = (0..count.min(3)).map(|i| format!("\"{}:8229\"", ip(10 + i))).collect();
        let seeds = seeds.join(", ");
        let nodes = (0..count)
            .map(|i| {
                let address = store.listen(&ip(2), i);
                Arc::new(Node::new(&dir, i, &ip(10 + i), &seeds, address))
            })
            .collect();
        Self { store, nodes, ip: ip(3), dir }
    }

    pub fn spawn(&self, node: usize) {
        self.nodes[node].spawn();
        PIDS.lock().unwrap().extend(self.nodes[node].id());
    }

    pub fn start(&self) {
        for i in 0..self.nodes.len() {
            self.spawn(i);
        }
        for node in &self.nodes {
            node.wait_ready();
        }
        // Heartbeats and status reports have come round.
        std::thread::sleep(Duration::from_millis(3500));
        note("all machines are ready");
    }
}

pub fn route(name: &str, prefix: &str, kind: &str, service: &str, more: Vec<(&str, J)>) -> J {
    let mut rows = vec![
        ("name", J::str(name)),
        ("host", J::str("shop.example")),
        ("path_prefix", J::str(prefix)),
        ("kind", J::str(kind)),
        ("service", J::str(service)),
        ("priority", J::num(1)),
    ];
    rows.extend(more);
    J::obj(rows)
}

pub fn limits() -> J {
    J::obj(vec![
        ("max_header_bytes", J::num(16384)),
        ("max_body_bytes", J::num(4194304)),
        ("header_timeout_ms", J::num(5000)),
        ("idle_timeout_ms", J::num(30000)),
    ])
}

/// Sends requests at a steady rate, each on a new channel to a machine in turn.
pub struct Load {
    stop: Arc<AtomicBool>,
    pub seen: Arc<Mutex<Vec<Attempt>>>,
    open: Arc<AtomicU64>,
}

#[derive(Clone)]
pub struct Plan {
    pub method: &'static str,
    pub path: &'static str,
    pub per_s: f64,
    pub wait_ms: u64,
    /// Further headers, made from the number of the request.
    pub headers: Arc<dyn Fn(u64) -> String + Send + Sync>,
    pub tag: &'static str,
}

impl Load {
    pub fn start(world: &World, plan: Plan) -> Self {
        let fronts: Vec<SocketAddr> = world.nodes.iter().map(|n| n.front).collect();
        Self::start_at(fronts, plan)
    }

    pub fn start_at(fronts: Vec<SocketAddr>, plan: Plan) -> Self {
        let load = Self { stop: Arc::default(), seen: Arc::default(), open: Arc::default() };
        let (stop, seen, open) = (load.stop.clone(), load.seen.clone(), load.open.clone());
        std::thread::spawn(move || {
            let began = Instant::now();
            let mut n = 0_u64;
            while !stop.load(Ordering::SeqCst) {
                let due = began + Duration::from_secs_f64(n as f64 / plan.per_s);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                n += 1;
                let node = (n.wrapping_mul(2654435761) >> 7) as usize % fronts.len();
                let (to, plan, seen, open) = (fronts[node], plan.clone(), seen.clone(), open.clone());
                open.fetch_add(1, Ordering::SeqCst);
                let id = format!("{}{n:08x}", plan.tag);
                std::thread::spawn(move || {
                    let sent = Instant::now();
                    let path = format!("{}{n}", plan.path);
                    let body = if plan.method == "POST" { format!("body {id}") } else { String::new() };
                    let text = format!(
                        "{} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Cassialock-Request-Id: {id}\r\nX-Cassialock-Deadline-Ms: {}\r\nContent-Length: {}\r\n{}\r\n{body}",
                        plan.method, plan.wait_ms, body.len(), (plan.headers)(n)
                    );
                    let result = http::call(to, text.as_bytes(), Duration::from_millis(plan.wait_ms));
                    let ended = Instant::now();
                    seen.lock().unwrap().push(Attempt { id, node, path, sent, ended, seen: result });
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        load
    }

    pub fn stop(&self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::SeqCst);
        let until = Instant::now() + Duration::from_secs(6);
        while self.open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        let mut seen = self.seen.lock().unwrap().clone();
        seen.sort_by_key(|a| a.sent);
        seen
    }
}

/// Writes the attempts of clients to the record.
pub fn record_attempts(list: &[Attempt]) {
    for a in list {
        note(&format!(
            "client: request {} {} sent at {} to machine {}, ended at {}: {}",
            a.id, a.path, ms(a.sent), a.node, ms(a.ended), a.seen.short()
        ));
    }
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    let _ = BEGAN.set(Instant::now());
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let record = args.next().unwrap_or_else(|| "record.txt".into());
    if !Path::new("target/release/cassialockd").exists() {
        eprintln!("no target/release/cassialockd: build it first");
        std::process::exit(2);
    }
    *RECORD.lock().unwrap() = File::create(&record).ok();
    // A script that takes too long couldn't run.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        cannot_run("it took too long");
    });
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        cannot_run("a stand-in failed");
    }));
    note(&format!("case {case}, trouble {}", has_trouble()));
    cases::run(&case);
}
