//! A TCP proxy with fault injection.

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

/// Maximum number of bytes copied at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Faults of the proxy, set through its control port.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay added to every chunk in both directions, in milliseconds.
    pub delay_ms: u64,
    /// New connections are closed immediately.
    pub refuse: bool,
    /// Increasing this number closes all open connections.
    pub cut: u64,
    /// Increasing this number stops forwarding on all open connections permanently,
    /// without closing them.
    pub silence: u64,
    /// Each connection is closed after this many reply bytes; 0 for never.
    pub cut_after: u64,
    /// Requests are forwarded and their replies dropped.
    pub drop_replies: bool,
}

struct Proxy {
    target: String,
    faults: watch::Sender<Faults>,
    connections: AtomicU64,
}

/// A handle to a running proxy and its control port.
#[derive(Debug)]
pub struct ProxyHandle {
    /// Listener of the proxy.
    pub proxy: Standin,
    /// Control port of the proxy.
    pub control: Standin,
}

/// Starts a proxy in front of `target`.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound to `address` or `control`.
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
    let handler = move |request, _| set_faults(Arc::clone(&proxy), request);
    let control_task = tokio::spawn(web::serve(control_listener, handler, control_stopped));
    Ok(ProxyHandle {
        proxy: Standin::new(address, stop, task),
        control: Standin::new(control_address, control_stop, control_task),
    })
}

async fn set_faults(proxy: Arc<Proxy>, request: Request<Incoming>) -> Response<Body> {
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
            () = web::wait_stopped(&mut stop) => return,
        };
        let Ok((socket, _)) = socket else { continue };
        if proxy.faults.borrow().refuse {
            continue;
        }
        proxy.connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(forward(Arc::clone(&proxy), socket));
    }
}

async fn forward(proxy: Arc<Proxy>, client: TcpStream) {
    let Ok(server) = TcpStream::connect(&proxy.target).await else {
        return;
    };
    // Without TCP_NODELAY the proxy itself would add delays that are not injected
    // faults.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let initial = proxy.faults.borrow().clone();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let reply_bytes = Arc::new(Mutex::new(0));
    let requests = Forwarder {
        faults: proxy.faults.subscribe(),
        initial: initial.clone(),
        is_reply: false,
        reply_bytes: Arc::clone(&reply_bytes),
    };
    let replies = Forwarder {
        faults: proxy.faults.subscribe(),
        initial,
        is_reply: true,
        reply_bytes,
    };
    tokio::select! {
        () = requests.run(client_read, server_write) => {}
        () = replies.run(server_read, client_write) => {}
    }
}

/// Forwards the bytes of one direction of a connection.
struct Forwarder {
    faults: watch::Receiver<Faults>,
    initial: Faults,
    is_reply: bool,
    reply_bytes: Arc<Mutex<u64>>,
}

impl Forwarder {
    async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let count = tokio::select! {
                count = from.read(&mut chunk) => count.unwrap_or(0),
                () = wait_cut(&mut self.faults, self.initial.cut) => return,
            };
            if count == 0 {
                return;
            }
            let faults = self.faults.borrow().clone();
            if faults.silence > self.initial.silence {
                // The connection stays open but forwards nothing until an endpoint closes it.
                std::future::pending::<()>().await;
            }
            if faults.delay_ms > 0 {
                tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            if self.is_reply && faults.drop_replies {
                continue;
            }
            let allowed = self.allowed_bytes(&faults, count);
            if to.write_all(&chunk[..allowed]).await.is_err() || allowed < count {
                return;
            }
        }
    }

    /// Returns how many of the next `count` bytes may be forwarded before the
    /// connection is cut.
    fn allowed_bytes(&self, faults: &Faults, count: usize) -> usize {
        if !self.is_reply || faults.cut_after == 0 {
            return count;
        }
        let mut reply_bytes = self.reply_bytes.lock().unwrap();
        let left = faults.cut_after.saturating_sub(*reply_bytes);
        *reply_bytes += count as u64;
        count.min(left as usize)
    }
}

async fn wait_cut(faults: &mut watch::Receiver<Faults>, initial: u64) {
    if faults
        .wait_for(|faults| faults.cut > initial)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}
