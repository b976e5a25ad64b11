//! Backend servers that are cold and crash when they get too many requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use cassialock::core::Name;
use cassialock::core::catalog::Catalog;
use cassialock::core::catalog::Service;
use cassialock::core::route::servers::cold::ColdStart;
use cassialock::core::route::servers::cold::Stated;
use cassialock::standin::engine::cold::ColdPhase;
use cassialock::web;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::announced;
use crate::harness;
use crate::harness::Harness;

const COLD_TIME: Duration = Duration::from_secs(10);

/// Requests per second that a cold server tolerates; 20 in a second are allowed.
const COLD_RATE: f64 = 10.0;

/// Time for which an entry takes part with the smallest share.
const JOIN_TIME: Duration = Duration::from_secs(2);

/// Starts a server that is cold for `length`, and crashes when it gets too many requests.
async fn server(length: Duration) -> (SocketAddr, Arc<Mutex<ColdPhase>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let phase = Arc::new(Mutex::new(ColdPhase::new(length, COLD_RATE)));
    let counted = Arc::clone(&phase);
    tokio::spawn(async move {
        let (_keep, stopped) = watch::channel(false);
        let (crash, mut crashed) = watch::channel(false);
        let handler = move |request: http::Request<hyper::body::Incoming>, _| {
            let is_crash = counted.lock().unwrap().count();
            if is_crash {
                crash.send_replace(true);
            }
            let id = request.headers()["x-cassialock-request-id"].clone();
            async move {
                if is_crash {
                    return web::abort();
                }
                let mut response = web::text(http::StatusCode::OK, "answer");
                let headers = response.headers_mut();
                headers.insert("x-cassialock-request-id", id);
                headers.insert("x-cassialock-response-stamp", "s".parse().unwrap());
                response
            }
        };
        tokio::select! {
            () = web::serve(listener, handler, stopped) => {}
            _ = crashed.changed() => {}
        }
    });
    (address, phase)
}

fn catalog() -> Catalog {
    let known = harness::catalog();
    let service = Service {
        cold: Some(ColdStart {
            time: COLD_TIME,
            rate: COLD_RATE,
        }),
        ..Service::default()
    };
    let services = [(Name::from("dosel-llm"), service)];
    Catalog::new(2)
        .with_routes(known.routes().to_vec())
        .with_workspaces(known.workspaces().to_vec())
        .with_services(services.into_iter().collect())
}

/// Starts an entry in front of servers that have just started with a time to stay cold.
async fn harness(servers: &[(SocketAddr, Duration)]) -> Harness {
    let addresses: Vec<SocketAddr> = servers.iter().map(|row| row.0).collect();
    let harness = Harness::with_backends(&addresses).await;
    harness.install(catalog());
    let rows = servers.iter().enumerate().map(|(at, (address, cold))| {
        let mut server = announced::registered(&format!("i-{}", at + 1), 2, *address);
        server.cold = Stated::For(*cold);
        server
    });
    harness.list(rows.collect());
    // The settings and catalog are applied at the next tick.
    tokio::time::sleep(Duration::from_millis(600)).await;
    harness
}

#[tokio::test]
async fn requests_beyond_the_rate_of_a_cold_server_go_to_a_warm_one() {
    let (cold, phase) = server(COLD_TIME).await;
    let (warm, _) = server(Duration::ZERO).await;
    let harness = harness(&[(cold, COLD_TIME), (warm, Duration::ZERO)]).await;
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < Duration::from_secs(3) {
        harness.confirm_store();
        let id = format!("q-{sent}");
        let status = harness.call("GET", "/read/x", &id, "k-1").await;
        if status != 200 {
            // On a busy machine the entry may not run for a while, and notices it.
            let lines = harness.lines_of(&id);
            let inputs = lines[0]["inputs"].to_string();
            assert!(inputs.contains("paused"), "{status}: {inputs}");
        }
        sent += 1;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let most = phase.lock().unwrap().most();
    assert!(
        (1..=20).contains(&most),
        "{most} of {sent} requests in a second"
    );
}

/// When all servers are cold, what they cannot take is refused at once and none crashes.
#[tokio::test]
async fn requests_that_only_cold_servers_could_take_are_refused_at_once() {
    let (cold, phase) = server(COLD_TIME).await;
    let harness = harness(&[(cold, COLD_TIME)]).await;
    tokio::time::sleep(JOIN_TIME).await;
    let began = Instant::now();
    let (mut served, mut refused) = (0, 0);
    let mut last_refused = String::new();
    while began.elapsed() < Duration::from_secs(4) {
        let sent = Instant::now();
        let id = format!("q-{}", served + refused);
        match harness.call("GET", "/read/x", &id, "k-1").await {
            200 => served += 1,
            503 => {
                refused += 1;
                last_refused = id;
                assert!(sent.elapsed() < Duration::from_millis(300));
            }
            status => panic!("status {status}"),
        }
        // No faster than request lines are written.
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    let most = phase.lock().unwrap().most();
    assert!(most <= 20, "{most} requests in a second");
    assert!(served >= 4, "{served} served: a tenth of the rate is used");
    assert!(refused > served, "{refused} refused");
    let lines = harness.lines_of(&last_refused);
    let inputs = lines[0]["inputs"].to_string();
    assert!(inputs.contains("is cold for"), "{inputs}");
}
