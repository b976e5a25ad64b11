//! Callers that keep their connections for as long as they can.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cassialock::web::pool::Connection;
use cassialock::web::pool::SendError;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::servers;
use crate::world::World;

/// Time that a caller gives a request.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time by which a caller waits longer than it says, so that the answer at its
/// time limit is seen.
const SLACK: Duration = Duration::from_millis(1_500);

/// Requests on one connection.
const KEPT: u32 = 40;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// An answer came, whole.
    Answer(u16),
    /// A success that is not the server's whole answer to this request.
    Wrong(String),
    /// The connection ended without a whole answer.
    Cut,
    /// The connection was closed before the request was sent, or did not open.
    NotSent,
    /// Nothing came in time.
    Silence,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub id: String,
    /// Its path without the id.
    pub prefix: String,
    /// The key.
    pub key: &'static str,
    /// The node.
    pub node: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

impl Call {
    /// Returns whether the request may run once at most.
    pub fn is_once(&self) -> bool {
        self.prefix == "/order/" || self.prefix == "/draft/"
    }
}

/// Sends requests until `stop`, and notes how each ends.
pub async fn run(
    world: Arc<World>,
    seed: u64,
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut count = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        let node = rng.random_range(0..world.nodes.len());
        let Ok(mut connection) = Connection::open(world.nodes[node].front, PATIENCE / 4).await
        else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        for _ in 0..KEPT {
            count += 1;
            let routes = world.routes.lock().unwrap().len();
            let prefix = match rng.random_range(0..10) {
                0..4 => "/order/".to_string(),
                4..7 => "/read/".to_string(),
                7..9 => "/draft/".to_string(),
                _ if routes > 0 => format!("/new-{}/", rng.random_range(0..routes)),
                _ => "/read/".to_string(),
            };
            let key = if rng.random_bool(0.7) { "k-1" } else { "k-2" };
            let id = format!("q-{seed}-{count}");
            let sent = Instant::now();
            let end = send(&mut connection, &prefix, &id, key).await;
            let is_over = !matches!(end, End::Answer(_));
            calls.lock().unwrap().push(Call {
                id,
                prefix,
                key,
                node,
                sent,
                ended: Instant::now(),
                end,
            });
            if is_over || stop.load(Ordering::Relaxed) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(1..30))).await;
        }
    }
}

/// Sends one request to a node over a connection of its own.
pub async fn ask(world: &World, node: usize, id: &str) -> End {
    match Connection::open(world.nodes[node].front, PATIENCE).await {
        Ok(mut connection) => send(&mut connection, "/read/", id, "k-1").await,
        Err(_) => End::NotSent,
    }
}

async fn send(connection: &mut Connection, prefix: &str, id: &str, key: &str) -> End {
    let request = Request::post(format!("{prefix}{id}"))
        .header("host", "shop")
        .header("x-cassialock-request-id", id)
        .header("authorization", format!("Token {key}"))
        .header("x-cassialock-deadline-ms", PATIENCE.as_millis() as u64)
        .body(Full::new(id.to_string().into()))
        .unwrap();
    let expected = match prefix {
        "/draft/" => servers::stream_of(id),
        _ => format!("answer {id}"),
    };
    let exchange = async {
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(SendError::NotSent) => return End::NotSent,
            Err(SendError::Cut) => return End::Cut,
            Err(SendError::Garbled) => return End::Wrong("no HTTP".into()),
        };
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            return End::Cut;
        };
        let status = head.status.as_u16();
        let is_signed = head.headers.contains_key("x-cassialock-response-stamp");
        if head.status.is_success() && (body.to_bytes() != expected || !is_signed) {
            return End::Wrong(format!("status {status}"));
        }
        End::Answer(status)
    };
    let done = tokio::time::timeout(PATIENCE + SLACK, exchange).await;
    done.unwrap_or(End::Silence)
}
