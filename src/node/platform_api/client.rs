//! HTTP client of the platform.
//!
//! Calls are short and few, so a blocking client serves them on dedicated threads,
//! which take them from a channel; the workers of the runtime never block. Watches
//! have separate threads, so that short calls do not wait behind them.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;
use futures_util::future::BoxFuture;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::StatusCode;
use oxhttp::model::header;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::node::platform_api::Condition;
use crate::node::platform_api::Events;
use crate::node::platform_api::Notice;
use crate::node::platform_api::Platform;
use crate::node::platform_api::Unavailable;
use crate::node::platform_api::Versioned;
use crate::node::platform_api::VmChanges;
use crate::node::platform_api::WriteError;

/// Number of threads for short calls.
const CALL_THREADS: usize = 4;

/// Number of threads for watches. A node watches the configuration and the notices.
const WATCH_THREADS: usize = 3;

/// Timeout of a short call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum time that a watch waits for changes.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Maximum number of calls that wait for a thread.
const MAX_QUEUED: usize = 1_024;

/// Maximum size of a response body, in bytes; the rest is not read.
const MAX_BODY_BYTES: u64 = 16 * 1_048_576;

struct Call {
    method: Method,
    url: String,
    condition: Option<Condition>,
    body: Bytes,
    reply: oneshot::Sender<Option<Reply>>,
}

struct Reply {
    status: StatusCode,
    version: Option<u64>,
    body: Vec<u8>,
}

/// An HTTP client of the platform.
pub struct HttpPlatform {
    base: String,
    calls: channel::Sender<Call>,
    watches: channel::Sender<Call>,
}

impl HttpPlatform {
    /// Creates a client for the platform at `address` and starts its threads.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            base: format!("http://{address}"),
            calls: start_threads(CALL_THREADS, CALL_TIMEOUT),
            watches: start_threads(WATCH_THREADS, MAX_WATCH_WAIT + CALL_TIMEOUT),
        }
    }

    async fn call(
        &self,
        queue: &channel::Sender<Call>,
        method: Method,
        path: String,
        condition: Option<Condition>,
        body: Bytes,
    ) -> Result<Reply, Unavailable> {
        let (reply, received) = oneshot::channel();
        let call = Call {
            method,
            url: format!("{}{path}", self.base),
            condition,
            body,
            reply,
        };
        queue.try_send(call).map_err(|_| Unavailable)?;
        match received.await {
            Ok(Some(reply)) => Ok(reply),
            _ => Err(Unavailable),
        }
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        queue: &channel::Sender<Call>,
        path: String,
    ) -> Result<T, Unavailable> {
        let reply = self
            .call(queue, Method::GET, path, None, Bytes::new())
            .await?;
        if reply.status != StatusCode::OK {
            return Err(Unavailable);
        }
        serde_json::from_slice(&reply.body).map_err(|_| Unavailable)
    }
}

/// Starts threads that execute calls until the sender is dropped.
fn start_threads(count: usize, timeout: Duration) -> channel::Sender<Call> {
    let (sender, receiver) = channel::bounded::<Call>(MAX_QUEUED);
    for _ in 0..count {
        let receiver = receiver.clone();
        std::thread::spawn(move || {
            let client = oxhttp::Client::new().with_global_timeout(timeout);
            for call in receiver {
                let reply = send(&client, &call);
                // The receiver may have been dropped.
                let _ = call.reply.send(reply);
            }
        });
    }
    sender
}

fn send(client: &oxhttp::Client, call: &Call) -> Option<Reply> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.url);
    match call.condition {
        Some(Condition::Absent) => builder = builder.header(header::IF_NONE_MATCH, "*"),
        Some(Condition::Version(version)) => {
            builder = builder.header(header::IF_MATCH, format!("\"{version}\""));
        }
        None => {}
    }
    let request = builder.body(Body::from(call.body.to_vec())).ok()?;
    let response = client.request(request).ok()?;
    let status = response.status();
    let version = response
        .headers()
        .get(header::ETAG)
        .and_then(|tag| tag.to_str().ok())
        .and_then(|tag| tag.trim_matches('"').parse().ok());
    let mut body = Vec::new();
    let mut content = response.into_body().take(MAX_BODY_BYTES);
    content.read_to_end(&mut body).ok()?;
    Some(Reply {
        status,
        version,
        body,
    })
}

#[derive(Deserialize)]
struct Notices {
    notices: Vec<Notice>,
}

impl Platform for HttpPlatform {
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Versioned>, Unavailable>> {
        let path = format!("/objects/{key}");
        Box::pin(async move {
            let reply = self
                .call(&self.calls, Method::GET, path, None, Bytes::new())
                .await?;
            match (reply.status, reply.version) {
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (StatusCode::OK, Some(version)) => Ok(Some(Versioned {
                    version,
                    value: reply.body.into(),
                })),
                _ => Err(Unavailable),
            }
        })
    }

    fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> BoxFuture<'_, Result<u64, WriteError>> {
        let path = format!("/objects/{key}");
        Box::pin(async move {
            let reply = self
                .call(&self.calls, Method::PUT, path, Some(condition), value)
                .await
                .map_err(|_| WriteError::Unavailable)?;
            match (reply.status, reply.version) {
                (StatusCode::PRECONDITION_FAILED, _) => Err(WriteError::Conflict),
                (StatusCode::OK, Some(version)) => Ok(version),
                _ => Err(WriteError::Unavailable),
            }
        })
    }

    fn delete(&self, key: &str) -> BoxFuture<'_, Result<(), Unavailable>> {
        let path = format!("/objects/{key}");
        Box::pin(async move {
            let reply = self
                .call(&self.calls, Method::DELETE, path, None, Bytes::new())
                .await?;
            match reply.status {
                StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
                _ => Err(Unavailable),
            }
        })
    }

    fn list(&self, prefix: &str) -> BoxFuture<'_, Result<Events, Unavailable>> {
        let path = format!("/objects?prefix={prefix}");
        Box::pin(self.get_json(&self.calls, path))
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, Unavailable>> {
        let wait = wait.min(MAX_WATCH_WAIT).as_millis();
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait}");
        Box::pin(self.get_json(&self.watches, path))
    }

    fn vms(&self, after: u64) -> BoxFuture<'_, Result<VmChanges, Unavailable>> {
        Box::pin(self.get_json(&self.calls, format!("/vms?after={after}")))
    }

    fn notices(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Vec<Notice>, Unavailable>> {
        let wait = wait.min(MAX_WATCH_WAIT).as_millis();
        let path = format!("/notices?after={after}&wait_ms={wait}");
        Box::pin(async move {
            let answer: Notices = self.get_json(&self.watches, path).await?;
            Ok(answer.notices)
        })
    }
}
