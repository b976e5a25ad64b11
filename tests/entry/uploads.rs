//! Answers without a length that arrive while the request is still being sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cassialock::web::pool::Connection;
use futures_util::future;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::harness;
use crate::harness::Harness;
use crate::scripted;

/// Timeout for anything that must happen.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Size of a request that does not fit into the buffers of a connection.
const UPLOAD_BYTES: usize = 3_900_000;

/// Size of the receive buffer of a server.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

/// How a server ends its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// It resets the connection.
    Reset,
    /// It ends in order and leaves the rest of the request unread.
    Unread,
    /// It ends in order, and resets the connection later.
    ThenReset,
    /// It reads the whole request and ends in order.
    Whole,
}

/// Reads the head of a request and returns the length of its body.
async fn read_head(stream: &mut TcpStream) -> usize {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else {
            return 0;
        };
        head.push(byte);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length.map_or(0, |length| length.parse().unwrap())
}

/// Reads and drops `left` bytes.
async fn discard(stream: &mut TcpStream, mut left: usize) {
    let mut buffer = vec![0; 64 * 1024];
    while left > 0 {
        let length = buffer.len().min(left);
        match stream.read(&mut buffer[..length]).await {
            Ok(0) | Err(_) => return,
            Ok(read) => left -= read,
        }
    }
}

/// Starts a server that reads `first` bytes of a request, answers with `part` and a body
/// without a length, and ends it after `pause`.
async fn server(first: usize, part: String, pause: Duration, end: End) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    // What the system takes for a server that does not read counts as sent.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(64).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let part = part.clone();
            tokio::spawn(async move {
                let length = read_head(&mut stream).await;
                let first = first.min(length);
                discard(&mut stream, first).await;
                let answer = format!("{}\r\n{part}", scripted::HEAD);
                // The reader may have left.
                let _ = stream.write_all(answer.as_bytes()).await;
                tokio::time::sleep(pause).await;
                match end {
                    End::Reset => stream.set_zero_linger().unwrap(),
                    End::Unread => {}
                    End::ThenReset => {
                        let _ = stream.shutdown().await;
                        tokio::time::sleep(TIMEOUT / 10).await;
                    }
                    End::Whole => discard(&mut stream, length - first).await,
                }
            });
        }
    });
    address
}

/// Uploads a request and returns the answer, and whether it is complete for its caller.
async fn upload(harness: &Harness, path: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(harness.front).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: q-1\r\n\
         authorization: Token k-1\r\ncontent-length: {UPLOAD_BYTES}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; UPLOAD_BYTES]).await.unwrap();
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(TIMEOUT, reading).await.unwrap();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let is_complete = harness::is_complete(&answer);
    (answer, is_complete)
}

/// Returns events of about `length` bytes.
fn events(length: usize) -> String {
    let event = |at: usize| format!("id: {at}\ndata: {}\n\n", "w".repeat(80));
    (1..=length.div_ceil(90)).map(event).collect()
}

/// Guards against an answer that looks complete although its server gave up on the request.
#[tokio::test]
async fn an_answer_that_ends_before_the_request_is_sent_does_not_look_complete() {
    let mut uploads = Vec::new();
    for end in [End::Reset, End::Unread, End::ThenReset] {
        for path in ["/read/x", "/order/x", "/draft/x", "/follow/x"] {
            for length in [90, 200_000] {
                uploads.push(async move {
                    let pause = Duration::from_millis(length as u64 % 70);
                    let address = server(20_000, events(length), pause, end).await;
                    let harness = Harness::with_backend(address).await;
                    let (answer, is_complete) = upload(&harness, path).await;
                    let shown = &answer[..answer.len().min(200)];
                    assert!(!is_complete, "{end:?} {path} {length}: {shown}");
                });
            }
        }
    }
    future::join_all(uploads).await;
}

/// Guards against the loss of answers whose servers read the request to its end.
#[tokio::test]
async fn an_answer_whose_request_was_sent_whole_is_forwarded() {
    for path in ["/read/x", "/order/x", "/draft/x", "/follow/x"] {
        for (first, pause) in [(20_000, 0), (20_000, 100), (UPLOAD_BYTES, 0)] {
            let pause = Duration::from_millis(pause);
            let address = server(first, events(20_000), pause, End::Whole).await;
            let harness = Harness::with_backend(address).await;
            let (answer, is_complete) = upload(&harness, path).await;
            let shown = &answer[..answer.len().min(200)];
            assert!(is_complete, "{path} {first} {pause:?}: {shown}");
            let last = events(20_000);
            assert!(answer.contains(&last[last.len() - 90..]), "{path} {first}");
        }
    }
}

/// Guards against a reset that only the sender notices, while nobody asks for the rest of the
/// body.
#[tokio::test]
async fn a_reset_that_the_sender_meets_first_breaks_the_answer_off() {
    for length in [90, 20_000, 60_000, 200_000] {
        for pause in [0, 50, 300] {
            let address = server(20_000, events(length), Duration::ZERO, End::Reset).await;
            let mut connection = Connection::open(address, TIMEOUT).await.unwrap();
            let body = Full::new(Bytes::from(vec![b'x'; UPLOAD_BYTES]));
            let request = Request::post("/order/x").header("host", "shop");
            let Ok(response) = connection.send(request.body(body).unwrap()).await else {
                continue;
            };
            let mut body = response.into_body();
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let mut end = None;
            while end.is_none() {
                match body.frame().await {
                    Some(Ok(_)) => {}
                    Some(Err(_)) => end = Some(false),
                    None => end = Some(true),
                }
            }
            assert!(
                end == Some(false) || !connection.has_sent_whole(),
                "{length} bytes, {pause} ms"
            );
        }
    }
}
