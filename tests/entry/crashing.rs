//! Requests that crash the backend servers that run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cassialock::core::quarantine::features::Feature;
use cassialock::core::quarantine::features::Features;
use cassialock::entry::Entry;
use cassialock::entry::feeds;
use cassialock::entry::quarantine;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::fakes;
use crate::fakes::Script;
use crate::harness::Harness;

/// Part of a prompt that crashes every server that begins to answer it.
const DEADLY: &str = "bad0";

/// Time from the fifth crash on within which the requests must be kept away.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Crashes by requests that share something, from which [`CONTACT_TIME`] runs.
const CRASHES: usize = 5;

/// Crashes by one request that comes again, from which [`CONTACT_TIME`] runs.
const REPEATED_CRASHES: usize = 3;

/// Requests that may still reach servers after that.
const MAX_ARRIVALS: usize = 3;

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(150);

/// Counts what arrives at all servers.
#[derive(Default)]
struct Arrivals {
    deadly: AtomicUsize,
    sound: AtomicUsize,
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Starts a server that ends for good at the first request with [`DEADLY`].
async fn start_server(arrivals: Arc<Arrivals>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (crash, crashed) = tokio::sync::watch::channel(false);
        let accepting = async {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (arrivals, crash) = (Arc::clone(&arrivals), crash.clone());
                let mut crashed = crashed.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        _ = serve(&mut stream, &arrivals, &crash) => {}
                        _ = crashed.wait_for(|crashed| *crashed) => {}
                    }
                });
            }
        };
        let mut crashed = crash.subscribe();
        tokio::select! {
            () = accepting => {}
            _ = crashed.wait_for(|crashed| *crashed) => {}
        }
    });
    address
}

async fn serve(
    stream: &mut TcpStream,
    arrivals: &Arrivals,
    crash: &tokio::sync::watch::Sender<bool>,
) -> Option<()> {
    loop {
        let head = read_head(stream).await?;
        if head.contains(DEADLY) {
            arrivals.deadly.fetch_add(1, Ordering::Relaxed);
            crash.send_replace(true);
            return None;
        }
        arrivals.sound.fetch_add(1, Ordering::Relaxed);
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("x-cassialock-request-id: "))?;
        let body = "id: 1\ndata: 1\n\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-cassialock-response-stamp: s\r\n\
             x-cassialock-request-id: {id}\r\ncontent-type: text/event-stream\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
}

/// A request that a caller sends.
struct Sample {
    method: &'static str,
    path: String,
    headers: String,
    body: String,
}

impl Sample {
    /// Returns a request whose prompt has `parts` and one of its own.
    fn with_parts(id: usize, parts: &str) -> Self {
        Self {
            method: "POST",
            path: "/draft/x".into(),
            headers: format!("x-cassialock-prompt-prefix: {parts}:10,{id:x}:5\r\n"),
            body: format!("question {id}"),
        }
    }

    /// Returns a request without a body.
    fn get(path: String) -> Self {
        Self {
            method: "GET",
            path,
            headers: String::new(),
            body: String::new(),
        }
    }
}

/// Requests of which some crash the servers that run them.
struct Mix {
    /// Returns a request that crashes servers.
    deadly: fn(usize) -> Sample,
    /// Returns two requests that do not.
    sound: fn(usize) -> [Sample; 2],
    /// Crashes from which [`CONTACT_TIME`] runs.
    crashes: usize,
}

/// Sends a request and returns the status of the answer.
async fn call(harness: &Harness, id: usize, sample: &Sample) -> u16 {
    let Sample {
        method,
        path,
        headers,
        body,
    } = sample;
    harness
        .call_with(method, path, &format!("q-{id}"), headers, body)
        .await
}

/// Checks that requests that crash servers are kept away from them, and that all others
/// are served.
async fn check(mix: Mix) {
    let arrivals = Arc::new(Arrivals::default());
    let mut servers = Vec::new();
    for _ in 0..60 {
        servers.push(start_server(Arc::clone(&arrivals)).await);
    }
    let harness = Harness::with_backends(&servers).await;
    let mut contact = None;
    let mut late = 0;
    let (mut asked, mut served) = (0, 0);
    let mut statuses = Vec::new();
    let mut refused = Vec::new();
    let began = Instant::now();
    for id in (0..).step_by(3) {
        call(&harness, id, &(mix.deadly)(id)).await;
        for (sample, id) in (mix.sound)(id).iter().zip(id + 1..) {
            let is_late = contact.is_some_and(|at: Instant| at.elapsed() > CONTACT_TIME);
            let status = call(&harness, id, sample).await;
            statuses.push(status);
            if is_late && status != 200 {
                refused.push((format!("q-{id}"), status));
            }
            asked += usize::from(is_late);
            served += usize::from(is_late && status == 200);
        }
        let count = arrivals.deadly.load(Ordering::Relaxed);
        match contact {
            None if count >= mix.crashes => contact = Some(Instant::now()),
            Some(at) if at.elapsed() < CONTACT_TIME => late = count,
            Some(at) if at.elapsed() > CONTACT_TIME * 2 => break,
            _ => {}
        }
        if contact.is_none() && began.elapsed() > CONTACT_TIME * 3 {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    let count = arrivals.deadly.load(Ordering::Relaxed);
    if contact.is_some() {
        assert!(
            count - late <= MAX_ARRIVALS,
            "{count} arrived, {late} in time"
        );
        let lines = refused.first().map(|(id, _)| harness.lines_of(id));
        assert!(
            asked > 20 && served == asked,
            "{served} of {asked} served, {refused:?}: {lines:?}"
        );
    }
    // With fewer crashes, the last requests show that sound ones are served.
    let last = &statuses[statuses.len().saturating_sub(20)..];
    assert!(last.iter().all(|status| *status == 200), "{last:?}");
    assert!(arrivals.sound.load(Ordering::Relaxed) > 40);
}

/// Requests that crash servers must not go on reaching them because no two have the
/// same body, and sound requests that share the other parts must be served.
#[tokio::test]
async fn a_prompt_part_that_crashes_servers_is_kept_away_from_them() {
    check(Mix {
        deadly: |id| Sample::with_parts(id, &format!("a1:100,b1:20,{DEADLY}")),
        sound: |id| {
            [
                Sample::with_parts(id + 1, "a1:100,b1"),
                Sample::with_parts(id + 2, "a1:100,b2"),
            ]
        },
        crashes: CRASHES,
    })
    .await;
}

/// Sound answers to other queries must not clear a query that crashes servers.
#[tokio::test]
async fn a_query_that_crashes_servers_is_told_from_others_on_its_path() {
    check(Mix {
        deadly: |_| Sample::get(format!("/read/job?id={DEADLY}")),
        sound: |id| {
            [
                Sample::get(format!("/read/job?id={id}")),
                Sample::get("/read/job".into()),
            ]
        },
        crashes: REPEATED_CRASHES,
    })
    .await;
}

/// A path that crashes servers must be blocked although its queries never repeat.
#[tokio::test]
async fn a_path_that_crashes_servers_is_blocked_whatever_its_queries() {
    check(Mix {
        deadly: |id| Sample::get(format!("/read/{DEADLY}?page={id}")),
        sound: |id| {
            [
                Sample::get(format!("/read/job?id={id}")),
                Sample::get("/read/other".into()),
            ]
        },
        crashes: CRASHES,
    })
    .await;
}

/// Returns the features of a request with a certain part.
fn features(id: u64) -> Features {
    Features::from(vec![Feature::Part(id)])
}

/// Lets an entry see crashes of requests with a certain part until it is blocked.
async fn block(entry: &Entry, id: u64) {
    for n in 0..3 {
        let server = format!("i-{n}").into();
        quarantine::record_crash(entry, "q-1", &server, &features(id));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    quarantine::update(entry);
    assert!(quarantine::check(entry, &features(id)).is_err());
}

/// All entries may be killed at once and must not learn it from further crashes.
#[tokio::test(start_paused = true)]
async fn a_block_outlasts_the_entries() {
    let script = Arc::new(Script::default());
    let entry = fakes::entry(&script);
    let storing = tokio::spawn(quarantine::run(Arc::clone(&entry)));
    block(&entry, 7).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    storing.abort();
    let written = script.written.lock().unwrap().clone();
    assert_eq!(written.len(), 1, "a block is stored once");
    let script = Arc::new(Script::default());
    script.listing.lock().unwrap().objects = written;
    let restarted = fakes::entry(&script);
    assert!(quarantine::check(&restarted, &features(7)).is_ok());
    let feed = tokio::spawn(feeds::quarantine::follow(Arc::clone(&restarted)));
    tokio::time::sleep(Duration::from_secs(2)).await;
    feed.abort();
    assert!(quarantine::check(&restarted, &features(7)).is_err());
    assert!(quarantine::check(&restarted, &features(8)).is_ok());
}
