//! HTTP client that follows the protocol for callers: it fetches the list of
//! entries, resumes an interrupted stream and follows redirects to other nodes.

use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyDataStream;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::core::completion::chunk;
use crate::core::completion::request::Completion;
use crate::core::completion::request::Endpoint;
use crate::core::verdict::Verdict;
use crate::load::prompts;
use crate::node::api::entries::Entries;
use crate::node::api::refusals::RefusalBody;
use crate::node::api::sink::StreamMoved;
use crate::standin::generator;
use crate::web::client::Client;

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 12;

/// Delay before the next attempt after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout for reading a response body or the next event of a stream.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The response is complete and matches the expected text.
    Complete,
    /// The request was refused.
    Refused {
        /// Machine-readable reason.
        reason: String,
        /// Whether the request may have run.
        verdict: Verdict,
    },
    /// The response differs from the expected text.
    Wrong(String),
    /// Neither a complete response nor a refusal arrived.
    Lost(String),
}

/// What a caller observed of one request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// How the request ended.
    pub ending: Ending,
    /// Time to the first token, if one arrived.
    pub first_token: Option<Duration>,
    /// Time from the start to the end of the request.
    pub total: Duration,
    /// Number of tokens received.
    pub tokens: u64,
    /// Whether a node accepted the request, even if it failed later.
    pub accepted: bool,
    /// Number of times that the caller resumed its stream.
    pub reconnects: u32,
}

/// A client that sends requests on behalf of one workspace.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    entries: Vec<String>,
    workspace: String,
}

/// Result of one attempt at an entry.
enum Attempt {
    Done(Ending),
    /// Retries at `address`, or at the next entry if there is none.
    Retry {
        address: Option<String>,
        reason: String,
    },
}

/// State of a response that is kept across attempts.
struct ResponseState<'a> {
    expected: String,
    text: String,
    index: u64,
    last_id: Option<String>,
    began: Instant,
    first_token: Option<Duration>,
    accepted: bool,
    reconnects: u32,
    on_token: Option<&'a mut (dyn FnMut(&str) + Send)>,
}

impl Caller {
    /// Creates a caller that sends its requests to the first of `entries`.
    pub fn new(client: Client, entries: Vec<String>, workspace: &str) -> Self {
        Self {
            client,
            entries,
            workspace: workspace.to_string(),
        }
    }

    /// Fetches the entries of the workspace from the first node that returns any.
    pub async fn refresh_entries(&mut self) {
        let path = format!("/v1/entries?workspace={}", self.workspace);
        for address in self.entries.clone() {
            if let Some(answer) = get_json::<Entries>(&self.client, &address, &path).await
                && !answer.entries.is_empty()
            {
                self.entries = answer.entries.into_iter().map(|e| e.address).collect();
                return;
            }
        }
    }

    /// Sends a completion request and reads the response to its end.
    ///
    /// `on_token` is called with the text of each chunk of a streamed response.
    pub async fn complete(
        &self,
        body: &[u8],
        deadline: Duration,
        on_token: Option<&mut (dyn FnMut(&str) + Send)>,
    ) -> RequestOutcome {
        let began = Instant::now();
        let mut state = ResponseState {
            expected: expected_answer(body),
            text: String::new(),
            index: 0,
            last_id: None,
            began,
            first_token: None,
            accepted: false,
            reconnects: 0,
            on_token,
        };
        let mut address = self.entries.first().cloned().unwrap_or_default();
        let mut reason = String::new();
        let mut ending = None;
        for attempt in 0..MAX_ATTEMPTS {
            let left = deadline.saturating_sub(began.elapsed());
            if left.is_zero() {
                break;
            }
            match self.attempt(&address, body, left, &mut state).await {
                Attempt::Done(done) => {
                    ending = Some(done);
                    break;
                }
                Attempt::Retry {
                    address: next,
                    reason: cause,
                } => {
                    reason = cause;
                    let is_redirect = next.is_some();
                    address = next.unwrap_or_else(|| {
                        self.entries[(attempt + 1) % self.entries.len()].clone()
                    });
                    if !is_redirect {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
            }
        }
        RequestOutcome {
            ending: ending.unwrap_or(Ending::Lost(reason)),
            first_token: state.first_token,
            total: began.elapsed(),
            tokens: state.index,
            accepted: state.accepted,
            reconnects: state.reconnects,
        }
    }

    async fn attempt(
        &self,
        address: &str,
        body: &[u8],
        left: Duration,
        state: &mut ResponseState<'_>,
    ) -> Attempt {
        let path = prompts::chat_path();
        let mut builder = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .header("cassialock-workspace", &self.workspace)
            .header(
                "cassialock-deadline-ms",
                left.as_millis().max(1).to_string(),
            );
        if let Some(id) = &state.last_id {
            builder = builder.header("last-event-id", id);
            state.reconnects += 1;
        }
        let Ok(request) = builder.body(Full::new(Bytes::copy_from_slice(body))) else {
            return Attempt::Done(Ending::Lost("request could not be built".into()));
        };
        let use_new_connection = state.last_id.is_some();
        let response = match self.client.send(request, use_new_connection, left).await {
            Ok(response) => response,
            Err(e) => return retry(format!("{e:?}")),
        };
        if response.status() != StatusCode::OK {
            return handle_refusal(response.status(), response.into_body(), state.reconnects).await;
        }
        state.accepted = true;
        let is_stream = response
            .headers()
            .get("content-type")
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        if is_stream {
            read_stream(response.into_body(), state).await
        } else {
            read_body(response.into_body(), state).await
        }
    }

    /// Calls a plain service once, without retries, at one entry.
    pub async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        key: Option<&str>,
        deadline: Duration,
    ) -> Result<(StatusCode, Bytes), Ending> {
        let address = &self.entries[entry % self.entries.len()];
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("cassialock-workspace", &self.workspace)
            .header("cassialock-deadline-ms", deadline.as_millis().to_string());
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let lost = |reason: String| Ending::Lost(reason);
        let request = builder
            .body(Full::new(Bytes::from_static(b"{}")))
            .map_err(|e| lost(e.to_string()))?;
        let grace = Duration::from_secs(1);
        let response = self
            .client
            .send(request, true, deadline + grace)
            .await
            .map_err(|e| lost(format!("{e:?}")))?;
        let status = response.status();
        let body = collect(response.into_body()).await.map_err(lost)?;
        match serde_json::from_slice::<RefusalBody>(&body) {
            Ok(refusal) => Err(Ending::Refused {
                reason: refusal.error.reason,
                verdict: refusal.error.verdict,
            }),
            Err(_) => Ok((status, body)),
        }
    }
}

fn retry(reason: String) -> Attempt {
    Attempt::Retry {
        address: None,
        reason,
    }
}

/// Returns the text that the stand-in engines generate for a request.
fn expected_answer(body: &[u8]) -> String {
    match Completion::parse(Endpoint::Chat, body) {
        Ok(completion) => generator::generate(&completion, completion.max_tokens),
        Err(_) => String::new(),
    }
}

async fn collect(body: Incoming) -> Result<Bytes, String> {
    match tokio::time::timeout(READ_TIMEOUT, body.collect()).await {
        Ok(Ok(content)) => Ok(content.to_bytes()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("read timed out".into()),
    }
}

/// Decides whether a refused request is retried.
///
/// It is retried if the node is stopping or not ready, or if it does not know
/// the stream and the caller has resumed fewer than four times.
async fn handle_refusal(status: StatusCode, body: Incoming, reconnects: u32) -> Attempt {
    let Ok(content) = collect(body).await else {
        return retry("refusal was truncated".into());
    };
    let Ok(refusal) = serde_json::from_slice::<RefusalBody>(&content) else {
        return Attempt::Done(Ending::Lost(format!(
            "HTTP status {status} without a refusal body"
        )));
    };
    let refusal = refusal.error;
    let is_unavailable = ["stopping", "not_ready"].contains(&refusal.reason.as_str());
    let is_resumable = refusal.reason == "unknown_stream" && reconnects < 4;
    if is_unavailable || is_resumable {
        return retry(refusal.reason);
    }
    Attempt::Done(Ending::Refused {
        reason: refusal.reason,
        verdict: refusal.verdict,
    })
}

async fn read_body(body: Incoming, state: &mut ResponseState<'_>) -> Attempt {
    let content = match collect(body).await {
        Ok(content) => content,
        Err(reason) => return retry(reason),
    };
    state.first_token.get_or_insert(state.began.elapsed());
    let value: serde_json::Value = serde_json::from_slice(&content).unwrap_or_default();
    let text = value["choices"][0]["message"]["content"].as_str();
    state.text = format!("{} ", text.unwrap_or_default());
    state.index = value["usage"]["completion_tokens"].as_u64().unwrap_or(0);
    Attempt::Done(check_text(state))
}

fn check_text(state: &ResponseState<'_>) -> Ending {
    if state.text == state.expected {
        Ending::Complete
    } else {
        let received = state.text.split_whitespace().count();
        let expected = state.expected.split_whitespace().count();
        Ending::Wrong(format!("received {received} words, expected {expected}"))
    }
}

async fn read_stream(body: Incoming, state: &mut ResponseState<'_>) -> Attempt {
    let mut events = BodyDataStream::new(body).eventsource();
    loop {
        let event = match tokio::time::timeout(READ_TIMEOUT, events.next()).await {
            Ok(Some(Ok(event))) => event,
            Ok(_) => return retry("stream was cut".into()),
            Err(_) => return retry("read timed out".into()),
        };
        match event.event.as_str() {
            "moved" => {
                let Ok(moved) = serde_json::from_str::<StreamMoved>(&event.data) else {
                    return Attempt::Done(Ending::Lost("malformed moved event".into()));
                };
                state.last_id = Some(moved.last_id);
                return Attempt::Retry {
                    address: Some(moved.address),
                    reason: "moved".into(),
                };
            }
            "error" => return Attempt::Done(read_error(&event.data)),
            _ => {}
        }
        if event.data == chunk::DONE {
            return Attempt::Done(check_text(state));
        }
        if let Err(ending) = append_chunk(&event.id, &event.data, state) {
            return Attempt::Done(ending);
        }
    }
}

fn read_error(data: &str) -> Ending {
    match serde_json::from_str::<RefusalBody>(data) {
        Ok(refusal) => Ending::Refused {
            reason: refusal.error.reason,
            verdict: refusal.error.verdict,
        },
        Err(_) => Ending::Lost("malformed error event".into()),
    }
}

fn append_chunk(id: &str, data: &str, state: &mut ResponseState<'_>) -> Result<(), Ending> {
    let wrong = |reason: &str| Ending::Wrong(reason.to_string());
    let chunk = chunk::decode(id, data).map_err(|_| wrong("malformed chunk"))?;
    if chunk.text.is_empty() {
        return Ok(());
    }
    if chunk.index != Some(state.index + 1) {
        return Err(wrong("chunk is missing or repeated"));
    }
    state.index += 1;
    state.last_id = Some(id.to_string());
    state.first_token.get_or_insert(state.began.elapsed());
    state.text.push_str(&chunk.text);
    if let Some(on_token) = &mut state.on_token {
        on_token(&chunk.text);
    }
    Ok(())
}

/// Sends a GET request to a node or stand-in and decodes the JSON response.
pub async fn get_json<T: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
) -> Option<T> {
    let request = Request::get(format!("http://{address}{path}"))
        .body(Full::default())
        .ok()?;
    let response = client.send(request, true, READ_TIMEOUT).await.ok()?;
    let content = collect(response.into_body()).await.ok()?;
    serde_json::from_slice(&content).ok()
}

/// Posts JSON to a node or stand-in and returns the status and body of the response.
pub async fn post_json<T: serde::Serialize>(
    client: &Client,
    address: &str,
    path: &str,
    value: &T,
) -> Option<(StatusCode, Bytes)> {
    let body = serde_json::to_vec(value).ok()?;
    let request = Request::post(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .ok()?;
    let response = client.send(request, true, READ_TIMEOUT).await.ok()?;
    let status = response.status();
    let content = collect(response.into_body()).await.ok()?;
    Some((status, content))
}
