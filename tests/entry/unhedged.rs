//! What an entry decides while hedging is off, replayed against decisions that were
//! recorded before hedging existed.

use std::net::SocketAddr;
use std::time::Duration;

use cassialock::web;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::harness;
use crate::harness::Harness;

/// Time that a slow server takes, less than the silence after which it is suspected.
const SLOW: Duration = Duration::from_millis(450);

/// Time after which a server is suspected of being silent.
const SILENT: Duration = Duration::from_millis(1_300);

/// Starts a server that treats each request as the part of its path that names it.
async fn start(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (_keep, stopped) = watch::channel(false);
        let handler = move |request: Request<Incoming>, _| async move {
            let path = request.uri().path().to_string();
            let mut parts = path.rsplit('/').next().unwrap().split('-');
            let behaviour = match name {
                "first" => parts.next(),
                _ => parts.nth(1),
            };
            respond(&request, behaviour.unwrap_or_default()).await
        };
        web::serve(listener, handler, stopped).await;
    });
    address
}

async fn respond(request: &Request<Incoming>, behaviour: &str) -> Response<web::Body> {
    match behaviour {
        "slow" => tokio::time::sleep(SLOW).await,
        "silent" => tokio::time::sleep(SILENT).await,
        "cut" => return web::abort(),
        _ => {}
    }
    let mut response = match behaviour {
        "failed" => web::text(500_u16.try_into().unwrap(), "failed"),
        "busy" => web::text(503_u16.try_into().unwrap(), "full"),
        _ if request.uri().path().starts_with("/read/") => {
            web::text(200_u16.try_into().unwrap(), "done")
        }
        _ => {
            let (sender, events) = mpsc::channel(1);
            sender.try_send(Ok("id: 1\ndata: 1\n\n".into())).unwrap();
            web::event_stream(events)
        }
    };
    let id = request.headers()["x-cassialock-request-id"].clone();
    let headers = response.headers_mut();
    headers.insert("x-cassialock-request-id", id);
    headers.insert("x-cassialock-response-stamp", "s".parse().unwrap());
    if behaviour == "busy" {
        headers.insert("x-cassialock-not-executed", "1".parse().unwrap());
    }
    response
}

/// Sends a request and returns its status and what was decided.
async fn replay(path: String) -> String {
    let servers = [start("first").await, start("second").await];
    let harness = Harness::with_backends(&servers).await;
    harness.occupy("i-2/1");
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: shop\r\nx-cassialock-request-id: q-1\r\n\
         authorization: Token k-1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    let status = harness::status(&harness.send(&request).await);
    let mut decisions = format!("{path} {status}\n");
    for line in harness.lines_of("q-1") {
        let fields = [
            "event", "backend", "cause", "decision", "outcome", "reason", "verdict", "runs",
            "sends", "resumes",
        ];
        let fields = fields.iter().filter(|field| !line[**field].is_null());
        let fields: Vec<String> = fields
            .map(|field| format!("{field}={}", line[*field].to_string().replace('"', "")))
            .collect();
        decisions += &format!("  {}\n", fields.join(" "));
    }
    decisions
}

/// Guards against a change of any decision at entries whose operator has not set a limit.
#[tokio::test(flavor = "multi_thread")]
async fn decisions_without_hedging_are_those_recorded_before_it() {
    let mut decisions = String::new();
    for kind in ["read", "follow", "order"] {
        let cases = [
            "sound-sound",
            "slow-sound",
            "silent-sound",
            "silent-busy",
            "busy-sound",
            "busy-busy",
            "cut-sound",
            "cut-cut",
            "failed-failed",
        ];
        let replays = cases.map(|case| tokio::spawn(replay(format!("/{kind}/{case}"))));
        for replay in replays {
            decisions += &replay.await.unwrap();
        }
    }
    insta::assert_snapshot!(decisions);
}
