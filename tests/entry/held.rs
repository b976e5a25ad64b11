//! Entries whose servers are short of capacity: requests that are held or refused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use cassialock::core::catalog::Catalog;
use cassialock::core::catalog::Route;
use cassialock::core::limit::scarcity::Level;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::harness;
use crate::harness::Harness;

/// Time that the server takes for each answer.
const ANSWER_TIME: Duration = Duration::from_millis(600);

/// Callers that always have a request open, of whom twice as many as the server has slots.
const CALLERS: usize = 16;

/// Longest time until the level has risen: an entry draws no conclusion in its first 3 s.
const RISE_TIME: Duration = Duration::from_secs(8);

/// Starts a server that reports that it is full, and returns the ids of its requests.
async fn full_server() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ids = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&ids);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, Arc::clone(&seen)));
        }
    });
    (address, ids)
}

async fn answer(mut stream: TcpStream, seen: Arc<Mutex<Vec<String>>>) {
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.lines();
        let id = lines.find_map(|line| line.strip_prefix("x-cassialock-request-id: "));
        let id = id.unwrap().to_string();
        seen.lock().unwrap().push(id.clone());
        tokio::time::sleep(ANSWER_TIME).await;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-cassialock-response-stamp: s\r\n\
             x-cassialock-server-load: 8,8,8\r\n\
             x-cassialock-request-id: {id}\r\ncontent-length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        head.clear();
    }
}

/// An entry in front of a full server, and its callers.
struct Crowd {
    harness: Arc<Harness>,
    served: Arc<Mutex<Vec<String>>>,
    callers: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Sends requests until the service has the level `level`, where responses must begin
    /// within `objective`.
    async fn start(objective: Duration, level: Level) -> Self {
        let (server, served) = full_server().await;
        let harness = Arc::new(Harness::with_backend(server).await);
        let catalog = harness::catalog();
        let routes = catalog.routes().iter().map(|route| Route {
            target_latency: objective,
            ..route.clone()
        });
        let newer = Catalog::new(2)
            .with_routes(routes.collect())
            .with_workspaces(catalog.workspaces().to_vec());
        harness.install(newer);
        let call = |caller: usize| {
            let harness = Arc::clone(&harness);
            tokio::spawn(async move {
                for round in 0.. {
                    let id = format!("c-{caller}-{round}");
                    if harness.call("GET", "/read/x", &id, "k-1").await != 200 {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                }
            })
        };
        let callers = (0..CALLERS).map(call).collect();
        let began = Instant::now();
        while harness.level() != level {
            assert!(began.elapsed() < RISE_TIME, "still {:?}", harness.level());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Self {
            harness,
            served,
            callers,
        }
    }

    /// Ends the callers and waits until the entry is no longer used by them.
    async fn end(self) -> Harness {
        for caller in self.callers {
            caller.abort();
            let _ = caller.await;
        }
        Arc::into_inner(self.harness).unwrap()
    }

    fn has_served(&self, id: &str) -> bool {
        self.served
            .lock()
            .unwrap()
            .iter()
            .any(|served| served == id)
    }
}

/// Guards against late refusals and against refusals that cannot be traced.
#[tokio::test]
async fn a_request_that_finds_no_room_is_refused_at_once_with_the_reason() {
    let crowd = Crowd::start(Duration::from_millis(300), Level::Scarce).await;
    for at in 0..60 {
        let id = format!("q-{at}");
        let request = format!(
            "GET /read/x HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: {id}\r\n\
             authorization: Token k-1\r\nconnection: close\r\n\r\n"
        );
        let sent = Instant::now();
        let answer = crowd.harness.send(&request).await;
        if harness::status(&answer) != 503 {
            continue;
        }
        assert!(sent.elapsed() < Duration::from_millis(100), "{answer}");
        assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
        assert!(!crowd.has_served(&id));
        let lines = crowd.harness.lines_of(&id);
        let refused = lines
            .iter()
            .find(|line| line["event"] == "refused")
            .unwrap();
        let inputs = refused["inputs"].as_str().unwrap();
        assert!(inputs.contains("level scarce, rank 0, place "), "{inputs}");
        assert!(inputs.contains("forecast "), "{inputs}");
        return;
    }
    panic!("no request was refused");
}

/// Guards against a held request that is lost, and a place that stays taken by a caller
/// who has left.
#[tokio::test]
async fn a_held_request_is_served_and_one_whose_caller_leaves_frees_its_place() {
    let crowd = Crowd::start(Duration::from_millis(4_000), Level::Tight).await;
    let mut held = 0;
    for at in 0..40 {
        let mut stream = TcpStream::connect(crowd.harness.front).await.unwrap();
        let id = format!("q-{at}");
        let request = format!(
            "GET /late-read/x HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: {id}\r\n\
             authorization: Token k-1\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(30)).await;
        if crowd.harness.held() == 0 || crowd.has_served(&id) {
            continue;
        }
        held += 1;
        if held > 1 {
            drop(stream);
            tokio::time::sleep(Duration::from_millis(700)).await;
            assert!(
                !crowd.has_served(&id),
                "{id} was sent after its caller left"
            );
            break;
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(crowd.has_served(&id));
    }
    assert_eq!(held, 2, "requests were held");
    let harness = crowd.end().await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(harness.held(), 0);
}

/// Guards against requests that a stopping entry holds until it is gone.
#[tokio::test]
async fn a_stopping_entry_passes_on_what_it_holds() {
    let crowd = Crowd::start(Duration::from_millis(4_000), Level::Tight).await;
    let began = Instant::now();
    while crowd.harness.held() == 0 {
        assert!(began.elapsed() < RISE_TIME, "nothing is held");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    crowd.harness.begin_stop();
    let stopping = Instant::now();
    while crowd.harness.held() > 0 {
        assert!(stopping.elapsed() < Duration::from_millis(100));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    crowd.end().await.stop().await;
}
