//! A backend server whose responses depend on the path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cassialock::web;
use http::Response;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Time that a slow response takes.
const SLOW_TIME: Duration = Duration::from_secs(10);

/// Returns the backend server's response for a path.
fn respond(path: &str, id: &str) -> Response<web::Body> {
    let response = |status: u16, stamp: Option<&str>, id: &str| {
        let mut response = web::text(status.try_into().unwrap(), "answer");
        let headers = response.headers_mut();
        headers.insert("x-cassialock-request-id", id.parse().unwrap());
        if let Some(stamp) = stamp {
            headers.insert("x-cassialock-response-stamp", stamp.parse().unwrap());
        }
        response
    };
    match path.rsplit('/').next().unwrap() {
        "cut" => web::abort(),
        "crossed" => response(200, Some("s"), "another"),
        "failed" => response(500, Some("s"), id),
        "unsigned" => response(200, None, id),
        "busy" => {
            let mut response = response(503, None, id);
            let headers = response.headers_mut();
            headers.insert("x-cassialock-not-executed", "1".parse().unwrap());
            response
        }
        _ => response(200, Some("s"), id),
    }
}

/// Streams the events after `last`; the stream of the first run is cut within an
/// event.
fn stream_events(last: Option<&http::HeaderValue>, id: &str) -> Response<web::Body> {
    let first = last.map_or(1, |last| last.to_str().unwrap().parse::<u32>().unwrap() + 1);
    let (sender, parts) = mpsc::channel(8);
    for at in first..first + 3 {
        let event = format!("id: {at}\ndata: {at}\n\n");
        sender.try_send(Ok(event.into())).unwrap();
    }
    if last.is_none() {
        let part = format!("id: {}\nda", first + 3);
        sender.try_send(Ok(part.into())).unwrap();
        tokio::spawn(async move {
            // The earlier events must be sent before the stream is cut.
            tokio::time::sleep(Duration::from_millis(100)).await;
            sender.try_send(Err(std::io::Error::other("cut"))).unwrap();
        });
    }
    let mut response = web::event_stream(parts);
    let headers = response.headers_mut();
    headers.insert("x-cassialock-request-id", id.parse().unwrap());
    headers.insert("x-cassialock-response-stamp", "s".parse().unwrap());
    response
}

/// Counts the requests that are cancelled before they are answered.
struct CancelCounter(Arc<AtomicUsize>);

impl Drop for CancelCounter {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts a backend server that counts the requests that it runs.
pub async fn backend(runs: Arc<AtomicUsize>, cancelled: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (_keep, stopped) = watch::channel(false);
        let handler = move |request: http::Request<hyper::body::Incoming>, _| {
            runs.fetch_add(1, Ordering::Relaxed);
            let id = request.headers()["x-cassialock-request-id"].clone();
            let id = id.to_str().unwrap();
            let answer = if request.uri().path().starts_with("/follow/") {
                stream_events(request.headers().get("last-event-id"), id)
            } else {
                respond(request.uri().path(), id)
            };
            let is_slow = request.uri().path().ends_with("/slow");
            let counter = CancelCounter(Arc::clone(&cancelled));
            async move {
                if is_slow {
                    tokio::time::sleep(SLOW_TIME).await;
                }
                std::mem::forget(counter);
                answer
            }
        };
        web::serve(listener, handler, stopped).await;
    });
    address
}
