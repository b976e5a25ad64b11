//! Hedged requests at servers that are sound and slow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cassialock::core::catalog::Workspace;
use cassialock::core::fingerprint::Identity;
use cassialock::core::quarantine::features::Features;
use cassialock::core::retry::hedge::Subject;
use cassialock::entry::quarantine;
use cassialock::web;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::harness;
use crate::harness::Harness;

/// Time that responses usually take.
const USUAL: Duration = Duration::from_millis(40);

/// Time of a slow server, less than the silence after which a server is suspected.
const SLOW: Duration = Duration::from_millis(600);

/// Time that is longer than any caller waits.
const FOREVER: Duration = Duration::from_secs(20);

/// Time for which two servers may work on the same stream.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Limit of the extra work in percent; with [`LEARNED`] responses, ten hedges.
const PERCENT: f64 = 20.0;

/// Number of responses that an entry knows.
const LEARNED: usize = 50;

/// What a server does with requests.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Answers after some time.
    Late(Duration),
    /// Sends the head at once and the first event after some time.
    LateEvent(Duration),
    /// Says after some time that it did not run the request.
    Busy(Duration),
    /// Closes the connection.
    Cut,
    /// Breaks off after the third event, and goes on if it is asked again.
    BreaksOff,
}

/// A server that counts the requests that it runs and those that are cancelled.
struct Server {
    address: SocketAddr,
    runs: Arc<AtomicUsize>,
    cancelled: Arc<AtomicUsize>,
}

/// Counts a request as cancelled unless it is answered.
struct CancelCounter(Arc<AtomicUsize>);

impl Drop for CancelCounter {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl Server {
    async fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (runs, cancelled) = (Arc::<AtomicUsize>::default(), Arc::default());
        let (run_counter, cancel_counter) = (Arc::clone(&runs), Arc::clone(&cancelled));
        tokio::spawn(async move {
            let (_keep, stopped) = watch::channel(false);
            let handler = move |request: Request<Incoming>, _| {
                run_counter.fetch_add(1, Ordering::Relaxed);
                let counter = CancelCounter(Arc::clone(&cancel_counter));
                async move { respond(&request, behaviour, counter).await }
            };
            web::serve(listener, handler, stopped).await;
        });
        Self {
            address,
            runs,
            cancelled,
        }
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }

    /// Asserts that `count` requests are cancelled within `limit`.
    async fn assert_cancelled(&self, count: usize, limit: Duration) {
        let began = Instant::now();
        while self.cancelled.load(Ordering::Relaxed) < count {
            assert!(began.elapsed() < limit, "not cancelled in time");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(self.cancelled.load(Ordering::Relaxed), count);
    }
}

async fn respond(
    request: &Request<Incoming>,
    behaviour: Behaviour,
    counter: CancelCounter,
) -> Response<web::Body> {
    let mut gap = Duration::ZERO;
    match behaviour {
        Behaviour::Late(wait) | Behaviour::Busy(wait) => tokio::time::sleep(wait).await,
        Behaviour::LateEvent(wait) => gap = wait,
        Behaviour::Cut => {
            std::mem::forget(counter);
            return web::abort();
        }
        Behaviour::BreaksOff => {}
    }
    let mut response = if matches!(behaviour, Behaviour::Busy(_)) {
        std::mem::forget(counter);
        web::text(503_u16.try_into().unwrap(), "full")
    } else if request.uri().path().starts_with("/follow") {
        stream(request, behaviour, gap, counter)
    } else {
        std::mem::forget(counter);
        web::text(200_u16.try_into().unwrap(), "done")
    };
    let id = request.headers()["x-cassialock-request-id"].clone();
    let headers = response.headers_mut();
    headers.insert("x-cassialock-request-id", id);
    headers.insert("x-cassialock-response-stamp", "s".parse().unwrap());
    if matches!(behaviour, Behaviour::Busy(_)) {
        headers.insert("x-cassialock-not-executed", "1".parse().unwrap());
    }
    response
}

fn stream(
    request: &Request<Incoming>,
    behaviour: Behaviour,
    gap: Duration,
    counter: CancelCounter,
) -> Response<web::Body> {
    let last = request.headers().get("last-event-id");
    let first = last.map_or(1, |last| last.to_str().unwrap().parse::<u32>().unwrap() + 1);
    let (sender, events) = mpsc::channel(1);
    tokio::spawn(async move {
        tokio::select! {
            () = tokio::time::sleep(gap) => {}
            () = sender.closed() => return drop(counter),
        }
        for at in first..=6 {
            if first == 1 && at == 4 && matches!(behaviour, Behaviour::BreaksOff) {
                // The earlier events must be sent before the stream is cut.
                tokio::time::sleep(Duration::from_millis(100)).await;
                let _ = sender.send(Err(std::io::Error::other("cut"))).await;
                break;
            }
            let event = format!("id: {at}\ndata: {at}\n\n");
            if sender.send(Ok(event.into())).await.is_err() {
                break;
            }
        }
        std::mem::forget(counter);
    });
    web::event_stream(events)
}

/// Starts an entry that knows how long responses take, with two servers of which the
/// first is preferred.
async fn harness(first: &Server, second: &Server) -> Harness {
    let harness = Harness::with_hedging(&[first.address, second.address], PERCENT).await;
    harness.occupy("i-2/1");
    for route in ["/read/", "/follow/", "/follow-long/", "/follow-once/"] {
        learn(&harness, route);
    }
    harness
}

/// Records responses on a route that took the usual time.
fn learn(harness: &Harness, route: &str) {
    let subject = Subject {
        service: &"dosel-llm".into(),
        route: &route.into(),
        tokens: None,
    };
    let now = harness.entry.clock.now();
    harness.entry.hedging.with(|hedges| {
        for _ in 0..LEARNED {
            hedges.count(&subject, now);
            hedges.record(&subject, USUAL, now);
        }
    });
}

fn request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: q-1\r\n\
         authorization: Token k-1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    )
}

/// Asserts that an answer is complete and holds nothing twice.
fn assert_complete(answer: &str, path: &str) {
    assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
    let ids: Vec<&str> = answer
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    if path.starts_with("/follow") {
        assert_eq!(ids, ["1", "2", "3", "4", "5", "6"], "{path}: {answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{path}: {answer}");
    } else {
        assert_eq!(answer.matches("done").count(), 1, "{path}: {answer}");
    }
}

fn outcomes(harness: &Harness) -> Vec<String> {
    let lines = harness.lines_of("q-1");
    let hedges = lines.iter().filter(|line| line["event"] == "hedge_ended");
    hedges
        .map(|line| line["outcome"].as_str().unwrap().to_string())
        .collect()
}

/// Guards against a slow response that is waited for, a loser that goes on, a loser that
/// counts as a failure, and a reload that turns hedging off.
#[tokio::test]
async fn the_first_response_wins_and_the_other_attempt_is_cancelled() {
    for (path, behaviour) in [
        ("/read/x", Behaviour::Late(FOREVER)),
        ("/follow/x", Behaviour::Late(FOREVER)),
        ("/follow/x", Behaviour::LateEvent(FOREVER)),
    ] {
        let first = Server::start(behaviour).await;
        let second = Server::start(Behaviour::Late(Duration::ZERO)).await;
        let harness = harness(&first, &second).await;
        harness.reload(|settings| settings.features.hedge_percent = 0.0);
        let began = Instant::now();
        assert_complete(&harness.send(&request(path)).await, path);
        assert!(began.elapsed() < SLOW, "{path}: {:?}", began.elapsed());
        first.assert_cancelled(1, MAX_OVERLAP).await;
        assert_eq!((first.runs(), second.runs()), (1, 1), "{path}");
        let lines = harness.lines_of("q-1");
        let ended = lines.iter().find(|line| line["event"] == "hedge_ended");
        assert_eq!(ended.unwrap()["outcome"], "won", "{path}");
        let is_failure = |line: &serde_json::Value| {
            line["event"] == "response_abandoned" || line["event"] == "server_silent"
        };
        assert!(!lines.iter().any(is_failure), "{path}: {lines:?}");
    }
}

/// Guards against a hedge of what may run once, on one server only, or while the limit or
/// the retry budget does not allow it.
#[tokio::test]
async fn what_may_not_be_hedged_is_sent_once() {
    for path in ["/order/x", "/draft/x", "/follow-once/x", "/read/x"] {
        let first = Server::start(Behaviour::Late(SLOW)).await;
        let second = Server::start(Behaviour::Late(Duration::ZERO)).await;
        let harness = harness(&first, &second).await;
        learn(&harness, "/order/");
        learn(&harness, "/draft/");
        if path == "/read/x" {
            harness.exhaust_retries();
        }
        assert_eq!(harness::status(&harness.send(&request(path)).await), 200);
        assert_eq!((first.runs(), second.runs()), (1, 0), "{path}");
        assert_eq!(outcomes(&harness), [""; 0], "{path}");
    }
    let first = Server::start(Behaviour::Late(SLOW)).await;
    let second = Server::start(Behaviour::Late(Duration::ZERO)).await;
    let addresses = [first.address, second.address];
    for percent in [0.0, 1.0] {
        let harness = Harness::with_hedging(&addresses, percent).await;
        harness.occupy("i-2/1");
        learn(&harness, "/read/");
        assert_complete(&harness.send(&request("/read/x")).await, "/read/x");
    }
    assert_eq!((first.runs(), second.runs()), (2, 0));
}

/// Guards against a hedge of a request that may crash its servers, or of a workspace that
/// has used up its quota.
#[tokio::test]
async fn a_suspected_request_and_a_workspace_over_its_quota_are_not_hedged() {
    for is_suspected in [true, false] {
        let first = Server::start(Behaviour::Late(SLOW)).await;
        let second = Server::start(Behaviour::Late(Duration::ZERO)).await;
        let harness = harness(&first, &second).await;
        if is_suspected {
            let identity = Identity {
                workspace: "familias",
                service: "dosel-llm",
                host: "shop",
                method: "POST",
                path: "/read/x",
                query: None,
                body: b"",
            };
            let features = Features::new(&identity, &[]);
            quarantine::record_crash(&harness.entry, "q-0", &"i-9/1".into(), &features);
        } else {
            // The debt of a new entry is repaid at one unit a second.
            let workspace = Workspace {
                name: "familias".into(),
                keys: vec!["k-1".into()],
                rate: 1.0,
                burst: 1_000.0,
                ..Workspace::default()
            };
            let mut catalog = harness::catalog().with_workspaces(vec![workspace]);
            catalog.version = 2;
            harness.install(catalog);
        }
        assert_complete(&harness.send(&request("/read/x")).await, "/read/x");
        assert_eq!((first.runs(), second.runs()), (1, 0), "{is_suspected}");
        // Another request is hedged as usual.
        if is_suspected {
            assert_complete(&harness.send(&request("/read/y")).await, "/read/y");
            assert_eq!((first.runs(), second.runs()), (2, 1));
        }
    }
}

/// Guards against a delay that is not learned from real responses.
#[tokio::test]
async fn an_entry_learns_when_a_response_is_late() {
    let first = Server::start(Behaviour::Late(USUAL)).await;
    let second = Server::start(Behaviour::Late(USUAL)).await;
    let harness = Harness::with_hedging(&[first.address, second.address], PERCENT).await;
    for _ in 0..30 {
        assert_complete(&harness.send(&request("/read/x")).await, "/read/x");
    }
    let known = first.runs() + second.runs();
    let slow = Server::start(Behaviour::Late(SLOW)).await;
    let mut backends = Vec::new();
    for (name, address) in [("i-3", slow.address), ("i-4", second.address)] {
        let mut server = crate::fakes::server(name);
        server.address = address;
        backends.push(server);
    }
    harness.list(backends);
    let mut hedged = 0;
    while slow.runs() == 0 || hedged == 0 {
        assert_complete(&harness.send(&request("/read/x")).await, "/read/x");
        hedged += outcomes(&harness).iter().filter(|it| *it == "won").count();
        assert!(slow.runs() < 20, "never hedged");
    }
    assert!(known <= 32, "{known} runs of 30 requests");
}

/// Guards against a winner that is not continued, or from which events are repeated.
#[tokio::test]
async fn a_winner_that_breaks_off_is_continued() {
    let first = Server::start(Behaviour::LateEvent(SLOW)).await;
    let second = Server::start(Behaviour::BreaksOff).await;
    let harness = harness(&first, &second).await;
    let path = "/follow-long/x";
    assert_complete(&harness.send(&request(path)).await, path);
    assert_eq!(outcomes(&harness), ["won"]);
}

/// Guards against a first attempt that is lost when the second one fails.
#[tokio::test]
async fn the_first_attempt_goes_on_when_the_second_fails() {
    for (path, other) in [
        ("/read/x", Behaviour::Busy(Duration::ZERO)),
        ("/read/x", Behaviour::Cut),
        ("/follow/x", Behaviour::Cut),
    ] {
        let first = Server::start(Behaviour::Late(SLOW)).await;
        let second = Server::start(other).await;
        let harness = harness(&first, &second).await;
        assert_complete(&harness.send(&request(path)).await, path);
        assert_eq!((first.runs(), second.runs()), (1, 1), "{path}");
        assert_eq!(outcomes(&harness), ["failed"], "{path}");
    }
}

/// Guards against a stream at which two servers work for longer than is allowed.
#[tokio::test]
async fn two_servers_work_on_a_stream_for_a_bounded_time() {
    let first = Server::start(Behaviour::Late(SLOW)).await;
    let second = Server::start(Behaviour::Late(SLOW * 2)).await;
    let harness = harness(&first, &second).await;
    let overlap = async {
        while second.runs() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let began = Instant::now();
        let cancelled = || {
            let count = |server: &Server| server.cancelled.load(Ordering::Relaxed);
            count(&first) + count(&second)
        };
        while cancelled() == 0 {
            assert!(began.elapsed() < MAX_OVERLAP);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let request = request("/follow/x");
    let (answer, ()) = tokio::join!(harness.send(&request), overlap);
    assert_complete(&answer, "/follow/x");
}

/// Guards against an attempt that outlives its caller.
#[tokio::test]
async fn a_caller_that_disconnects_ends_both_attempts() {
    let first = Server::start(Behaviour::Late(FOREVER)).await;
    let second = Server::start(Behaviour::Late(FOREVER)).await;
    let harness = harness(&first, &second).await;
    let mut caller = TcpStream::connect(harness.front).await.unwrap();
    let bytes = request("/read/x");
    caller.write_all(bytes.as_bytes()).await.unwrap();
    while second.runs() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    first.assert_cancelled(1, MAX_OVERLAP).await;
    second.assert_cancelled(1, MAX_OVERLAP).await;
    assert_eq!(outcomes(&harness), ["abandoned"]);
}

/// Guards against a refusal that says that a request has not run although a hedge may
/// have, and against one that leaves this open although neither attempt has run.
#[tokio::test]
async fn a_refusal_tells_whether_either_attempt_may_have_run() {
    let busy = Behaviour::Busy(Duration::from_millis(200));
    for (first, second, status) in [
        (busy, Behaviour::Busy(Duration::ZERO), 503),
        (busy, Behaviour::Cut, 502),
    ] {
        let first = Server::start(first).await;
        let second = Server::start(second).await;
        let harness = harness(&first, &second).await;
        let answer = harness.send(&request("/read/x")).await;
        assert!(second.runs() > 0, "{answer}");
        assert_eq!(harness::status(&answer), status, "{answer}");
    }
}
