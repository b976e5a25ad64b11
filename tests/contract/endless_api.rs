//! A store that sends bytes without end that are no answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassialock::entry::adapter::Consistency;
use cassialock::entry::adapter::ObjectKind;
use cassialock::entry::adapter::Store;
use cassialock::platform::client::ApiClient;
use cassialock::platform::object_store::ObjectStore;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Longest time that a call may take: its wait, the time for the response and some time to
/// close the connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(6_000);

/// Time for which the store may delay its answer.
const WAIT: Duration = Duration::from_millis(3_000);

/// Bytes that may be read: a page of objects, what frames it, and buffers of the sockets.
const MAX_BYTES: usize = 64 * 1024 * 1024;

/// Memory that one call may hold, in bytes: a quarter of the smallest VM's.
const MAX_HELD: usize = 40 * 1024 * 1024;

/// Number of calls to faulty stores at the same time.
const CALLS: usize = 4;

/// Bytes after which the store gives up.
const ENDLESS: usize = 512 * 1024 * 1024;

/// Starts a store that answers with `start` and repeats `repeated`, and reports the bytes
/// sent when a connection ends.
async fn serve(start: String, repeated: &[u8]) -> (SocketAddr, mpsc::UnboundedReceiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, sent) = mpsc::unbounded_channel();
    let repeated = repeated.repeat(16 * 1024 / repeated.len());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let bytes = send_endless(stream, &start, &repeated).await;
            let _ = sender.send(bytes);
        }
    });
    (address, sent)
}

/// Sends until the connection is closed, and returns the number of bytes.
async fn send_endless(mut stream: TcpStream, start: &str, repeated: &[u8]) -> usize {
    let mut request = [0; 4096];
    if stream.read(&mut request).await.unwrap_or(0) == 0 {
        return 0;
    }
    let mut bytes = start.len();
    if stream.write_all(start.as_bytes()).await.is_err() {
        return bytes;
    }
    while bytes < ENDLESS && stream.write_all(repeated).await.is_ok() {
        bytes += repeated.len();
    }
    bytes
}

/// Returns the memory that this process holds, in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = statm.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4096
}

/// Guards against a process that runs out of memory, because it keeps what a faulty store
/// sends without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_of_the_store_without_end_are_given_up() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (name, start, repeated) in [
        ("no HTTP", "", b"\x00\xffz".as_slice()),
        ("head", "HTTP/1.1 200 OK\r\n", b"x-a: aaaaaaaaaa\r\n"),
        ("one header", "HTTP/1.1 200 OK\r\nx-a: ", b"aaaaaaaa"),
        ("interim answers", "", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
        ("body", "HTTP/1.1 200 OK\r\n\r\n", b"aaaaaaaa"),
        ("chunks", chunked, b"4\r\naaaa\r\n"),
        ("single bytes", chunked, b"1\r\na\r\n"),
        ("trailers", &format!("{chunked}0\r\n"), b"x-t: aaaa\r\n"),
        ("chunk extension", &format!("{chunked}4;"), b"aaaaaaaa"),
    ] {
        let (address, mut sent) = serve(start.into(), repeated).await;
        let store = ObjectStore::new(Arc::new(ApiClient::new()), address);
        let (before, began) = (resident(), Instant::now());
        let call = tokio::spawn(async move {
            let listed = store.list(ObjectKind::Backends, Consistency::Current).await;
            assert!(listed.is_err());
            let watched = store.watch(ObjectKind::Backends, 5, WAIT).await;
            assert!(watched.is_err());
        });
        let mut held = 0;
        while !call.is_finished() {
            held = resident().saturating_sub(before).max(held);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        call.await.unwrap();
        assert!(
            began.elapsed() < CALL_TIMEOUT,
            "{name}: {:?}",
            began.elapsed()
        );
        for _ in 0..2 {
            let bytes = tokio::time::timeout(CALL_TIMEOUT, sent.recv()).await;
            let bytes = bytes.unwrap_or_else(|_| panic!("{name}: the connection stays open"));
            assert!(bytes.unwrap() <= MAX_BYTES, "{name}: {bytes:?} bytes read");
        }
        assert!(held <= MAX_HELD, "{name}: {held} bytes held");
    }
}

/// Guards against other calls that end with those to a faulty store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_calls_go_on_beside_answers_without_end() {
    let start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut faulty = Vec::new();
    for _ in 0..CALLS {
        let (address, _) = serve(start.into(), b"1\r\na\r\n").await;
        let store = ObjectStore::new(Arc::new(ApiClient::new()), address);
        faulty.push(tokio::spawn(async move {
            let watched = store.watch(ObjectKind::Moves, 5, WAIT).await;
            assert!(watched.is_err());
        }));
    }
    let body = r#"{"items":[],"as_of":9}"#;
    let length = body.len();
    let sound = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            while stream.read(&mut request).await.unwrap_or(0) > 0 {
                stream.write_all(sound.as_bytes()).await.unwrap();
            }
        }
    });
    let store = ObjectStore::new(Arc::new(ApiClient::new()), address);
    while faulty.iter().any(|call| !call.is_finished()) {
        let listed = store.list(ObjectKind::Backends, Consistency::Current).await;
        assert_eq!(listed.unwrap().revision, 9);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for call in faulty {
        call.await.unwrap();
    }
}
