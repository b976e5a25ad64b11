//! Servers, which register in the store and can be stopped.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Req};
use crate::json::J;
use crate::note;
use crate::store::Store;

/// Interval of status reports.
pub const REPORT: Duration = Duration::from_millis(1200);

/// Silence after which the store removes an entry: three status report intervals.
pub const LAPSE: Duration = Duration::from_millis(3600);

pub type Work = Arc<dyn Fn(&Arc<Backend>, &Req, &mut TcpStream) -> bool + Send + Sync>;

pub struct Backend {
    pub name: String,
    pub service: &'static str,
    pub version: String,
    pub zone: &'static str,
    pub slots: u32,
    pub addr: SocketAddr,
    pub born: AtomicU64,
    /// Whether its status reports reach the store.
    pub reaches_store: AtomicBool,
    pub state: Mutex<&'static str>,
    pub is_up: AtomicBool,
    is_listening: AtomicBool,
    pub running: AtomicU64,
    work: Work,
    streams: Mutex<Vec<TcpStream>>,
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap().as_millis() as u64
}

impl Backend {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        store: &Arc<Store>,
        ip: &str,
        name: &str,
        service: &'static str,
        version: &str,
        zone: &'static str,
        slots: u32,
        work: Work,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{ip}:0")).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let backend = Arc::new(Self {
            name: name.into(),
            service,
            version: version.into(),
            zone,
            slots,
            addr: listener.local_addr().unwrap(),
            born: AtomicU64::new(unix_ms()),
            reaches_store: AtomicBool::new(true),
            state: Mutex::new("ready"),
            is_up: AtomicBool::new(true),
            is_listening: AtomicBool::new(true),
            running: AtomicU64::new(0),
            work,
            streams: Mutex::default(),
        });
        backend.clone().accept(listener);
        backend.clone().report(Arc::clone(store));
        backend
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        std::thread::spawn(move || {
            while self.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    let mut streams = self.streams.lock().unwrap();
                    streams.push(copy);
                    if streams.len() > 400 {
                        streams.retain(|s| s.peer_addr().is_ok() && s.take_error().is_ok());
                    }
                }
                let server = Arc::clone(&self);
                std::thread::spawn(move || {
                    let handler: http::Handler = Arc::new(move |q, out| server.handle(q, out));
                    http::serve_connection(stream, &handler);
                });
            }
            drop(listener);
            self.is_listening.store(false, Ordering::SeqCst);
        });
    }

    fn handle(self: &Arc<Self>, q: &Req, out: &mut TcpStream) -> bool {
        let id = q.header("x-cassialock-request-id").to_string();
        if q.path() == "/health" {
            let instance = ("X-Cassialock-Instance-Id", self.name.clone());
            return http::reply(out, 200, &[instance], b"");
        }
        if q.header("x-cassialock-expect-instance") != self.name {
            note(&format!("server {} answers 421 to {id}", self.name));
            let rows = [("X-Cassialock-Request-Id", id), ("X-Cassialock-Not-Executed", "1".into())];
            return http::reply(out, 421, &rows, b"");
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let kept = (self.work)(self, q, out);
        self.running.fetch_sub(1, Ordering::SeqCst);
        kept
    }

    /// Returns the headers of an answer to a request that ran.
    pub fn signed(&self, id: &str) -> Vec<(&'static str, String)> {
        vec![
            ("X-Cassialock-Request-Id", id.to_string()),
            ("X-Cassialock-Response-Stamp", format!("{}.{id}", self.name)),
        ]
    }

    fn spec(&self, seq: u64) -> J {
        J::obj(vec![
            ("service", J::str(self.service)),
            ("address", J::str(&self.addr.to_string())),
            ("zone", J::str(self.zone)),
            ("version", J::str(&self.version)),
            ("slots", J::num(self.slots)),
            ("state", J::str(*self.state.lock().unwrap())),
            ("cold_ms", J::num(0)),
            ("seq", J::num(seq)),
            ("born", J::num(self.born.load(Ordering::SeqCst))),
        ])
    }

    fn report(self: Arc<Self>, store: Arc<Store>) {
        std::thread::spawn(move || {
            let mut last = Instant::now();
            let mut seq = 1;
            let mut is_listed = false;
            loop {
                let reaches = self.reaches_store.load(Ordering::SeqCst) && self.is_up.load(Ordering::SeqCst);
                if reaches && *self.state.lock().unwrap() != "gone" {
                    seq += 1;
                    if !is_listed {
                        note(&format!("server {} is in the store", self.name));
                    }
                    store.set("servers", &self.name, self.spec(seq));
                    is_listed = true;
                    last = Instant::now();
                } else if is_listed && *self.state.lock().unwrap() != "gone" && last.elapsed() >= LAPSE {
                    store.remove("servers", &self.name);
                    is_listed = false;
                }
                // A server that reaches the store again reports at once.
                let until = Instant::now() + REPORT;
                while Instant::now() < until {
                    std::thread::sleep(Duration::from_millis(50));
                    let now = self.reaches_store.load(Ordering::SeqCst) && self.is_up.load(Ordering::SeqCst);
                    if (now && !reaches) || (!now && is_listed && last.elapsed() >= LAPSE) {
                        break;
                    }
                }
            }
        });
    }

    /// Crashes: the port and all channels close. Returns whether it was up before.
    pub fn crash(&self) -> bool {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return false;
        }
        note(&format!("server {} crashes", self.name));
        // The listener closes before the channels do, as when a process ends.
        while self.is_listening.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_micros(200));
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        true
    }

    /// Starts again at the same address.
    pub fn restart(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        };
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.is_listening.store(true, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        note(&format!("server {} is back", self.name));
        self.clone().accept(listener);
    }
}
