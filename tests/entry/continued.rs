//! Streams that break off, and what other servers answer when they are to go on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::future;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::announced;
use crate::harness::Harness;

/// Silence that is longer than any caller waits.
const FOREVER: Duration = Duration::from_secs(20);

/// Time after which a server ends its connection.
const LINGER: Duration = Duration::from_millis(50);

/// Number of the last event of the stream.
const LAST_EVENT: u32 = 6;

/// Time after which a server is listed that takes the stream over.
const UNLISTED: Duration = Duration::from_millis(400);

/// Time after which a replacement breaks off that has the request alone.
const LATE_BREAK: Duration = Duration::from_millis(350);

/// Number of times that a stream on a route with three attempts may be sent.
const MAX_SENDS: usize = 5;

/// Text that must not reach a caller.
const FAULT: &str = "overloaded";

/// How the stream of the first server breaks off after its second event.
#[derive(Clone, Copy, Debug)]
enum Break {
    /// Its connection ends.
    Cut,
    /// It sends nothing more.
    Silence,
    /// Its connection ends, and its head states the length of the whole stream.
    CutAtLength,
}

/// What a server answers when a stream is to go on after its second event.
#[derive(Clone, Debug)]
struct Answer {
    name: &'static str,
    bytes: String,
    /// Time after which the connection ends.
    linger: Duration,
}

fn head(status: &str, headers: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-cassialock-request-id: q-1\r\n\
         x-cassialock-response-stamp: s\r\n{headers}\r\n"
    )
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// Returns an answer with a length.
fn whole(name: &'static str, status: &str, content: &str, body: &str) -> Answer {
    let length = format!("{content}\r\ncontent-length: {}\r\n", body.len());
    Answer {
        name,
        bytes: head(status, &length) + body,
        linger: LINGER,
    }
}

/// Returns an answer that ends with its connection.
fn unframed(name: &'static str, status: &str, content: &str, body: &str) -> Answer {
    Answer {
        name,
        bytes: head(status, &format!("{content}\r\n")) + body,
        linger: LINGER,
    }
}

const STREAM: &str = "content-type: text/event-stream";
const JSON: &str = "content-type: application/json";
const PLAIN: &str = "content-type: text/plain";

/// Returns answers that do not continue a stream.
fn no_continuations() -> Vec<Answer> {
    let error = format!("{{\"error\":\"{FAULT}\"}}\n\n");
    let error_event = format!("event: error\ndata: {FAULT}\n\n");
    let failed = "500 Internal Server Error";
    let inner = format!("HTTP/1.1 {failed}\r\n{PLAIN}\r\n\r\n{FAULT}\n\n");
    let rest: String = (3..=LAST_EVENT).map(event).collect();
    let gzip = format!("{STREAM}\r\ncontent-encoding: gzip");
    let unsigned = format!(
        "HTTP/1.1 200 OK\r\nx-cassialock-request-id: q-1\r\n{STREAM}\r\n\r\n{}",
        event(3) + &event(9)
    );
    vec![
        whole("error", failed, JSON, &error),
        unframed("error without length", failed, PLAIN, FAULT),
        whole("JSON in a 200", "200 OK", JSON, &error),
        unframed("text in a 200", "200 OK", PLAIN, &format!("{FAULT}\n\n")),
        whole("error event", "200 OK", STREAM, &error_event),
        whole("no id", "200 OK", STREAM, "data: 3\n\n"),
        whole(
            "repeat from the start",
            "200 OK",
            STREAM,
            &(event(1) + &event(2)),
        ),
        whole("repeat of the last", "200 OK", STREAM, &(event(2) + &rest)),
        whole("gap", "200 OK", STREAM, &(event(4) + &event(5))),
        whole("empty", "200 OK", STREAM, ""),
        unframed("empty without length", "200 OK", STREAM, ""),
        unframed("head in the body", "200 OK", STREAM, &inner),
        unframed(
            "head after an event",
            "200 OK",
            STREAM,
            &(event(3) + &inner),
        ),
        whole("repeat within", "200 OK", STREAM, &(event(3) + &event(3))),
        whole("partial content", "206 Partial Content", STREAM, &event(9)),
        whole("encoded", "200 OK", &gzip, &event(9)),
        Answer {
            name: "unsigned",
            bytes: unsigned,
            linger: LINGER,
        },
        Answer {
            name: "no HTTP",
            bytes: format!("{FAULT}\r\n\r\n"),
            linger: LINGER,
        },
    ]
}

/// What all servers of a play do: the n-th request that arrives gets the n-th answer.
struct Script {
    broken: Break,
    answers: Vec<Answer>,
    arrived: AtomicUsize,
    /// Addresses of the servers that got a request.
    reached: Mutex<BTreeSet<SocketAddr>>,
}

impl Script {
    fn new(broken: Break, answers: Vec<Answer>) -> Arc<Self> {
        Arc::new(Self {
            broken,
            answers,
            arrived: AtomicUsize::new(0),
            reached: Mutex::default(),
        })
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

async fn serve(mut stream: TcpStream, script: Arc<Script>) -> Option<()> {
    let request = read_head(&mut stream).await?;
    let at = script.arrived.fetch_add(1, Ordering::Relaxed);
    let address = stream.local_addr().ok()?;
    script.reached.lock().unwrap().insert(address);
    if at == 0 {
        let length: usize = (1..=LAST_EVENT).map(|id| event(id).len()).sum();
        let framing = match script.broken {
            Break::CutAtLength => format!("content-length: {length}"),
            Break::Cut | Break::Silence => "transfer-encoding: chunked".into(),
        };
        let mut bytes = head("200 OK", &format!("{STREAM}\r\n{framing}\r\n"));
        for id in 1..=2 {
            let event = event(id);
            bytes += &match script.broken {
                Break::CutAtLength => event,
                Break::Cut | Break::Silence => format!("{:x}\r\n{event}\r\n", event.len()),
            };
        }
        stream.write_all(bytes.as_bytes()).await.ok()?;
        let pause = match script.broken {
            Break::Cut | Break::CutAtLength => LINGER,
            Break::Silence => FOREVER,
        };
        tokio::time::sleep(pause).await;
        return None;
    }
    let answer = match script.answers.get(at - 1) {
        Some(answer) => answer.clone(),
        None => {
            let mut lines = request.lines();
            let last = lines.find_map(|line| line.strip_prefix("last-event-id: "))?;
            let first = last.parse::<u32>().ok()? + 1;
            let events: String = (first..=LAST_EVENT).map(event).collect();
            whole("sound", "200 OK", STREAM, &events)
        }
    };
    stream.write_all(answer.bytes.as_bytes()).await.ok()?;
    tokio::time::sleep(answer.linger).await;
    Some(())
}

async fn server(script: Arc<Script>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&script)));
        }
    });
    address
}

/// Starts an entry before some servers of which the first to get a request breaks its
/// stream off; the others give these answers, and sound ones after them.
async fn start(count: usize, broken: Break, answers: Vec<Answer>) -> Harness {
    start_script(count, &Script::new(broken, answers)).await
}

async fn start_script(count: usize, script: &Arc<Script>) -> Harness {
    let mut addresses = Vec::new();
    for _ in 0..count {
        addresses.push(server(Arc::clone(script)).await);
    }
    Harness::with_backends(&addresses).await
}

/// Plays a stream that breaks off and gets these answers, and sound ones after them.
///
/// Returns the ids that the caller got, and whether the stream looked complete.
async fn play(broken: Break, path: &str, answers: Vec<Answer>) -> (Vec<u32>, bool) {
    let name = format!("{broken:?}, {path}, {:?}", answers.first().map(|a| a.name));
    let harness = start(3, broken, answers).await;
    follow(&harness, path, &name).await
}

/// Follows a stream, and returns the ids of its events and whether it looked complete.
async fn follow(harness: &Harness, path: &str, name: &str) -> (Vec<u32>, bool) {
    let answer = harness
        .send(&format!(
            "POST {path} HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: q-1\r\n\
             authorization: Token k-1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        ))
        .await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{name}: {answer}");
    assert!(!answer.contains(FAULT), "{name}: {answer}");
    let body = answer.split_once("\r\n\r\n").unwrap().1;
    assert!(!body.contains("HTTP/1.1"), "{name}: {answer}");
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u32> = ids.map(|id| id.parse().unwrap()).collect();
    let expected: Vec<u32> = (1..=ids.len() as u32).collect();
    assert_eq!(ids, expected, "{name}: {answer}");
    (ids, answer.ends_with("\r\n0\r\n\r\n"))
}

/// Guards against a last event that is missing, because the length of the first server's
/// stream was kept for the longer one of its successor.
#[tokio::test]
async fn a_longer_run_that_goes_on_is_not_cut_at_the_length_of_the_first() {
    let events: String = (3..=LAST_EVENT)
        .map(|id| format!("x-cassialock-weight-versions:2\n{}", event(id)))
        .collect();
    let longer = whole("longer", "200 OK", STREAM, &events);
    let played = play(Break::CutAtLength, "/follow-long/x", vec![longer]).await;
    assert_eq!(played, ((1..=LAST_EVENT).collect(), true));
}

/// Checks that the stream goes on at a third server after an answer that does not
/// continue it.
async fn assert_goes_on(broken: Break) {
    let plays = no_continuations().into_iter().map(|answer| async move {
        let name = answer.name;
        let played = play(broken, "/follow-long/x", vec![answer]).await;
        let expected = ((1..=LAST_EVENT).collect(), true);
        assert_eq!(played, expected, "{broken:?}, {name}");
    });
    future::join_all(plays).await;
}

#[tokio::test]
async fn no_answer_that_does_not_continue_a_cut_stream_is_joined_to_it() {
    assert_goes_on(Break::Cut).await;
}

#[tokio::test]
async fn no_answer_that_does_not_continue_a_silent_stream_is_joined_to_it() {
    assert_goes_on(Break::Silence).await;
}

#[tokio::test]
async fn a_stream_that_nothing_continues_does_not_look_complete() {
    let plays = no_continuations().into_iter().map(|answer| async move {
        let name = answer.name;
        let answers = vec![answer; MAX_SENDS - 1];
        let (ids, is_complete) = play(Break::Cut, "/follow-long/x", answers).await;
        assert!(ids.len() < LAST_EVENT as usize, "{name}");
        assert!(!is_complete, "{name}");
    });
    future::join_all(plays).await;
}

#[tokio::test]
async fn a_cut_stream_goes_on_when_its_only_server_opens_again() {
    let headers = "x-cassialock-not-executed: 1\r\nretry-after: 0.5";
    let closed = whole("closed", "503 Service Unavailable", headers, "");
    let harness = start(1, Break::Cut, vec![closed]).await;
    let followed = follow(&harness, "/follow-long/x", "closed").await;
    assert_eq!(followed, ((1..=LAST_EVENT).collect(), true));
}

#[tokio::test]
async fn a_cut_stream_goes_on_at_a_server_that_is_listed_later() {
    let address = server(Script::new(Break::Cut, Vec::new())).await;
    let harness = Harness::with_backend(address).await;
    let relisting = async {
        tokio::time::sleep(LINGER / 2).await;
        harness.list(Vec::new());
        tokio::time::sleep(UNLISTED).await;
        harness.list(vec![announced::registered("i-2", 1, address)]);
    };
    let (followed, ()) = tokio::join!(follow(&harness, "/follow-long/x", "listed"), relisting);
    assert_eq!(followed, ((1..=LAST_EVENT).collect(), true));
}

/// A request that has not begun is refused at once if no server can be chosen.
#[tokio::test]
async fn a_request_without_an_answer_does_not_wait_for_a_server() {
    for path in ["/read/x", "/follow-long/x"] {
        let harness = start(1, Break::Cut, Vec::new()).await;
        harness.list(Vec::new());
        let began = Instant::now();
        let status = harness.call("GET", path, "q-1", "k-1").await;
        assert_eq!(status, 503, "{path}");
        assert!(began.elapsed() < UNLISTED, "{path}");
    }
}

/// Servers that honour the last event take the place of those of an earlier run.
#[tokio::test]
async fn a_stream_goes_back_to_the_silent_server_when_its_slow_replacement_breaks() {
    let nothing = Answer {
        name: "nothing",
        bytes: String::new(),
        linger: LATE_BREAK,
    };
    for broken in [Break::Silence, Break::Cut] {
        let script = Script::new(broken, vec![nothing.clone()]);
        let harness = start_script(3, &script).await;
        let followed = follow(&harness, "/follow/x", "nothing").await;
        let expected = ((1..=LAST_EVENT).collect(), true);
        assert_eq!(followed, expected, "{broken:?}");
        // The route allows two servers.
        let reached = script.reached.lock().unwrap().len();
        assert_eq!(reached, 2, "{broken:?}");
    }
}

#[tokio::test]
async fn a_cut_stream_goes_on_at_its_server_if_no_other_may_get_it() {
    let script = Script::new(Break::Cut, Vec::new());
    let harness = start_script(3, &script).await;
    let followed = follow(&harness, "/follow-once/x", "once").await;
    assert_eq!(followed, ((1..=LAST_EVENT).collect(), true));
    assert_eq!(script.reached.lock().unwrap().len(), 1);
}

#[tokio::test]
async fn a_cut_stream_does_not_wait_for_its_server_that_has_left() {
    let script = Script::new(Break::Cut, Vec::new());
    let harness = start_script(1, &script).await;
    let began = Instant::now();
    let leaving = async {
        tokio::time::sleep(LINGER / 2).await;
        harness.list(Vec::new());
    };
    let (followed, ()) = tokio::join!(follow(&harness, "/follow-once/x", "left"), leaving);
    assert_eq!(followed, (vec![1, 2], false));
    assert!(began.elapsed() < UNLISTED, "{:?}", began.elapsed());
}
