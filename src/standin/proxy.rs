//! A TCP proxy that injects faults.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use crate::standin::Standin;
use crate::web;
use crate::web::Body;

/// Bytes copied at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Faults of the proxy, set by `POST /control` on its control port.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added to every chunk in both directions, in milliseconds.
    pub delay_ms: u64,
    /// New connections are closed at once.
    pub refuse: bool,
    /// Raise this number to close all open connections.
    pub cut: u64,
    /// Raise this number to make all open connections silent for good.
    pub silence: u64,
    /// Replies are cut after this many bytes on each connection; 0 for never.
    pub cut_after: u64,
    /// Requests are passed on and their replies dropped.
    pub drop_replies: bool,
}

struct Proxy {
    target: String,
    faults: watch::Sender<Faults>,
    connections: AtomicU64,
}

/// A running proxy with its control port.
#[derive(Debug)]
pub struct ProxyHandle {
    /// The proxy itself.
    pub proxy: Standin,
    /// Its control port.
    pub control: Standin,
}

/// Starts a proxy in front of `target`.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on.
pub async fn start(address: &str, control: &str, target: &str) -> io::Result<ProxyHandle> {
    let (listener, address) = super::listen(address).await?;
    let (control_listener, control_address) = super::listen(control).await?;
    let proxy = Arc::new(Proxy {
        target: target.to_string(),
        faults: watch::channel(Faults::default()).0,
        connections: AtomicU64::new(0),
    });
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept(Arc::clone(&proxy), listener, stopped));
    let (control_stop, control_stopped) = watch::channel(false);
    let handler = move |request, _| handle(Arc::clone(&proxy), request);
    let control_task = tokio::spawn(web::serve(control_listener, handler, control_stopped));
    Ok(ProxyHandle {
        proxy: Standin::new(address, stop, task),
        control: Standin::new(control_address, control_stop, control_task),
    })
}

async fn handle(proxy: Arc<Proxy>, request: Request<Incoming>) -> Response<Body> {
    match web::read_json::<Faults>(request.into_body(), CHUNK_BYTES).await {
        Ok(faults) => {
            proxy.faults.send_replace(faults);
            web::text(StatusCode::OK, "ok\n")
        }
        Err(response) => response,
    }
}

async fn accept(proxy: Arc<Proxy>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    loop {
        let socket = tokio::select! {
            accepted = listener.accept() => accepted,
            () = web::stopped(&mut stop) => return,
        };
        let Ok((socket, _)) = socket else { continue };
        if proxy.faults.borrow().refuse {
            continue;
        }
        proxy.connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(relay(Arc::clone(&proxy), socket));
    }
}

async fn relay(proxy: Arc<Proxy>, client: TcpStream) {
    let Ok(server) = TcpStream::connect(&proxy.target).await else {
        return;
    };
    // Without it the proxy itself would add delays that no fault asked for.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let start = proxy.faults.borrow().clone();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let sent = Arc::new(Mutex::new(0));
    let requests = Pump {
        faults: proxy.faults.subscribe(),
        start: start.clone(),
        is_reply: false,
        sent: Arc::clone(&sent),
    };
    let replies = Pump {
        faults: proxy.faults.subscribe(),
        start,
        is_reply: true,
        sent,
    };
    tokio::select! {
        () = requests.run(client_read, server_write) => {}
        () = replies.run(server_read, client_write) => {}
    }
}

/// Copies one direction of one connection.
struct Pump {
    faults: watch::Receiver<Faults>,
    start: Faults,
    is_reply: bool,
    sent: Arc<Mutex<u64>>,
}

impl Pump {
    async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let count = tokio::select! {
                count = from.read(&mut chunk) => count.unwrap_or(0),
                () = cut(&mut self.faults, self.start.cut) => return,
            };
            if count == 0 {
                return;
            }
            let faults = self.faults.borrow().clone();
            if faults.silence > self.start.silence {
                // Open but dead: nothing passes until one side gives up.
                std::future::pending::<()>().await;
            }
            if faults.delay_ms > 0 {
                tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            if self.is_reply && faults.drop_replies {
                continue;
            }
            let passed = self.allowed(&faults, count);
            if to.write_all(&chunk[..passed]).await.is_err() || passed < count {
                return;
            }
        }
    }

    /// Returns how many of `count` bytes may pass before the cut.
    fn allowed(&self, faults: &Faults, count: usize) -> usize {
        if !self.is_reply || faults.cut_after == 0 {
            return count;
        }
        let mut sent = self.sent.lock().unwrap();
        let left = faults.cut_after.saturating_sub(*sent);
        *sent += count as u64;
        count.min(left as usize)
    }
}

async fn cut(faults: &mut watch::Receiver<Faults>, seen: u64) {
    if faults.wait_for(|faults| faults.cut > seen).await.is_err() {
        std::future::pending::<()>().await;
    }
}
