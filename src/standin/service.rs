//! Stand-in for a plain HTTP service, which counts the runs of each idempotency key.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::core::name_map::NameMap;
use crate::standin::Standin;
use crate::web;
use crate::web::Body;

/// Maximum body size of a call, in bytes.
const MAX_BODY_BYTES: usize = 1_048_576;

/// Faults of the service, set by `POST /control`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Duration of each call, in milliseconds.
    pub delay_ms: u64,
    /// Every `lose_every`th call runs and its connection is closed without a reply; 0
    /// for none.
    pub lose_every: u64,
    /// Every call is answered with 500 after it runs.
    pub fail: bool,
    /// Every call is answered with 503 without running.
    pub busy: bool,
    /// Answers carry the request id of the previous call.
    pub crossed: bool,
}

#[derive(Default)]
struct State {
    faults: Faults,
    calls: u64,
    runs: NameMap<u64>,
    last_request: String,
}

/// Answer to a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallRecord {
    /// Path of the call.
    pub path: String,
    /// Idempotency key of the call.
    pub key: String,
    /// Number of runs of this key, or of the path if there is no key.
    pub runs: u64,
}

/// Starts the service stand-in.
///
/// # Errors
///
/// Returns an error if the listener cannot be bound to `address`.
pub async fn start(address: &str) -> io::Result<Standin> {
    let (listener, address) = super::listen(address).await?;
    let (stop, stopped) = watch::channel(false);
    let state = Arc::new(Mutex::new(State::default()));
    let handler = move |request, _| handle(Arc::clone(&state), request);
    let task = tokio::spawn(web::serve(listener, handler, stopped));
    Ok(Standin::new(address, stop, task))
}

async fn handle(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_string();
    match path.as_str() {
        "/control" => set_faults(&state, request).await,
        "/runs" => web::json(StatusCode::OK, &state.lock().unwrap().runs),
        "/load" => web::json(
            StatusCode::OK,
            &crate::core::route::servers::LoadReport::default(),
        ),
        "/health" => web::text(StatusCode::OK, "ok\n"),
        _ => handle_call(&state, path, request).await,
    }
}

async fn set_faults(state: &Mutex<State>, request: Request<Incoming>) -> Response<Body> {
    match web::read_json::<Faults>(request.into_body(), MAX_BODY_BYTES).await {
        Ok(faults) => {
            state.lock().unwrap().faults = faults;
            web::text(StatusCode::OK, "ok\n")
        }
        Err(response) => response,
    }
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string()
}

async fn handle_call(
    state: &Mutex<State>,
    path: String,
    request: Request<Incoming>,
) -> Response<Body> {
    let key = header(&request, "idempotency-key");
    let id = header(&request, "x-request-id");
    if web::read(request.into_body(), MAX_BODY_BYTES)
        .await
        .is_err()
    {
        return web::abort();
    }
    let faults = state.lock().unwrap().faults.clone();
    if faults.busy {
        return web::text(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    }
    let (record, calls, last_id) = {
        let mut state = state.lock().unwrap();
        state.calls += 1;
        let name = if key.is_empty() { path.as_str() } else { &key };
        let runs = state.runs.get_or_insert_with(&name.into(), || 0);
        *runs += 1;
        let record = CallRecord {
            path,
            key,
            runs: *runs,
        };
        let last_id = std::mem::replace(&mut state.last_request, id.clone());
        (record, state.calls, last_id)
    };
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.lose_every > 0 && calls % faults.lose_every == 0 {
        return web::abort();
    }
    let status = if faults.fail {
        StatusCode::INTERNAL_SERVER_ERROR
    } else {
        StatusCode::OK
    };
    let mut response = web::json(status, &record);
    let echo = if faults.crossed { last_id } else { id };
    if let Ok(value) = echo.parse() {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}
