//! A caller that keeps to the rules: it asks which entries to use, comes back
//! to a stream that was cut, and goes where it is pointed.

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

use crate::core::call::chunk;
use crate::core::call::request::Completion;
use crate::core::call::request::Shape;
use crate::core::verdict::Verdict;
use crate::load::prompts;
use crate::node::callers::entries::Entries;
use crate::node::callers::refuse::RefusalBody;
use crate::node::callers::sink::Moved;
use crate::standin::words;
use crate::web::client::Client;

/// Visits to entries that a caller makes for one request.
const MAX_VISITS: usize = 12;

/// Wait between two visits when the last one failed.
const VISIT_WAIT: Duration = Duration::from_millis(100);

/// Silence after which a caller gives up a connection.
const SILENCE: Duration = Duration::from_secs(8);

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The whole answer came and it is the right one.
    Complete,
    /// The request was refused.
    Refused {
        /// Why, for programs.
        reason: String,
        /// Whether it may have run.
        verdict: Verdict,
    },
    /// An answer came that is not the right one.
    Wrong(String),
    /// Neither a whole answer nor a refusal came.
    Lost(String),
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// How it ended.
    pub ending: Ending,
    /// Time to the first token, if one came.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Tokens that came.
    pub tokens: u64,
    /// Whether a node took the request before something went wrong.
    pub accepted: bool,
    /// Times that the caller came back to its stream.
    pub reconnects: u32,
}

/// A caller of one workspace.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    entries: Vec<String>,
    workspace: String,
}

/// One visit to an entry.
enum Visit {
    Done(Ending),
    Go {
        address: Option<String>,
        why: String,
    },
}

struct Stream<'a> {
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
    /// Creates a caller that begins at one of `entries`.
    pub fn new(client: Client, entries: Vec<String>, workspace: &str) -> Self {
        Self {
            client,
            entries,
            workspace: workspace.to_string(),
        }
    }

    /// Asks the nodes which entries to use and keeps the answer.
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

    /// Sends a completion request and reads its whole answer.
    ///
    /// `on_token` is called with each piece of text of a streamed answer.
    pub async fn complete(
        &self,
        body: &[u8],
        deadline: Duration,
        on_token: Option<&mut (dyn FnMut(&str) + Send)>,
    ) -> RequestOutcome {
        let began = Instant::now();
        let mut stream = Stream {
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
        let mut why = String::new();
        let mut ending = None;
        for visit in 0..MAX_VISITS {
            let left = deadline.saturating_sub(began.elapsed());
            if left.is_zero() {
                break;
            }
            match self.visit(&address, body, left, &mut stream).await {
                Visit::Done(done) => {
                    ending = Some(done);
                    break;
                }
                Visit::Go {
                    address: next,
                    why: cause,
                } => {
                    why = cause;
                    let is_pointed = next.is_some();
                    address = next
                        .unwrap_or_else(|| self.entries[(visit + 1) % self.entries.len()].clone());
                    if !is_pointed {
                        tokio::time::sleep(VISIT_WAIT).await;
                    }
                }
            }
        }
        RequestOutcome {
            ending: ending.unwrap_or(Ending::Lost(why)),
            first_token: stream.first_token,
            total: began.elapsed(),
            tokens: stream.index,
            accepted: stream.accepted,
            reconnects: stream.reconnects,
        }
    }

    async fn visit(
        &self,
        address: &str,
        body: &[u8],
        left: Duration,
        stream: &mut Stream<'_>,
    ) -> Visit {
        let path = prompts::chat_path();
        let mut builder = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .header("cassialock-workspace", &self.workspace)
            .header(
                "cassialock-deadline-ms",
                left.as_millis().max(1).to_string(),
            );
        if let Some(id) = &stream.last_id {
            builder = builder.header("last-event-id", id);
            stream.reconnects += 1;
        }
        let Ok(request) = builder.body(Full::new(Bytes::copy_from_slice(body))) else {
            return Visit::Done(Ending::Lost("request".into()));
        };
        let is_fresh = stream.last_id.is_some();
        let response = match self.client.send(request, is_fresh, left).await {
            Ok(response) => response,
            Err(failure) => return go(format!("{failure:?}")),
        };
        if response.status() != StatusCode::OK {
            return refused(response.status(), response.into_body(), stream.reconnects).await;
        }
        stream.accepted = true;
        let is_stream = response
            .headers()
            .get("content-type")
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        if is_stream {
            read_stream(response.into_body(), stream).await
        } else {
            read_whole(response.into_body(), stream).await
        }
    }

    /// Calls a plain service once, at one entry.
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
        let lost = |why: String| Ending::Lost(why);
        let request = builder
            .body(Full::new(Bytes::from_static(b"{}")))
            .map_err(|e| lost(e.to_string()))?;
        let grace = Duration::from_secs(1);
        let response = self
            .client
            .send(request, true, deadline + grace)
            .await
            .map_err(|failure| lost(format!("{failure:?}")))?;
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

fn go(why: String) -> Visit {
    Visit::Go { address: None, why }
}

/// Returns the answer that the stand-in engines give to a request.
fn expected_answer(body: &[u8]) -> String {
    match Completion::parse(Shape::Chat, body) {
        Ok(completion) => words::answer(&completion, completion.max_tokens),
        Err(_) => String::new(),
    }
}

async fn collect(body: Incoming) -> Result<Bytes, String> {
    match tokio::time::timeout(SILENCE, body.collect()).await {
        Ok(Ok(content)) => Ok(content.to_bytes()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("silent".into()),
    }
}

/// Decides what to do after a refusal.
async fn refused(status: StatusCode, body: Incoming, reconnects: u32) -> Visit {
    let Ok(content) = collect(body).await else {
        return go("refusal cut".into());
    };
    let Ok(refusal) = serde_json::from_slice::<RefusalBody>(&content) else {
        return Visit::Done(Ending::Lost(format!("status {status}")));
    };
    let refusal = refusal.error;
    let elsewhere = ["stopping", "not_ready"].contains(&refusal.reason.as_str());
    let was_moved = refusal.reason == "unknown_stream" && reconnects < 4;
    if elsewhere || was_moved {
        return go(refusal.reason);
    }
    Visit::Done(Ending::Refused {
        reason: refusal.reason,
        verdict: refusal.verdict,
    })
}

async fn read_whole(body: Incoming, stream: &mut Stream<'_>) -> Visit {
    let content = match collect(body).await {
        Ok(content) => content,
        Err(why) => return go(why),
    };
    stream.first_token.get_or_insert(stream.began.elapsed());
    let value: serde_json::Value = serde_json::from_slice(&content).unwrap_or_default();
    let text = value["choices"][0]["message"]["content"].as_str();
    stream.text = format!("{} ", text.unwrap_or_default());
    stream.index = value["usage"]["completion_tokens"].as_u64().unwrap_or(0);
    Visit::Done(compare(stream))
}

fn compare(stream: &Stream<'_>) -> Ending {
    if stream.text == stream.expected {
        Ending::Complete
    } else {
        let got = stream.text.split_whitespace().count();
        let wanted = stream.expected.split_whitespace().count();
        Ending::Wrong(format!("{got} words in place of {wanted}"))
    }
}

async fn read_stream(body: Incoming, stream: &mut Stream<'_>) -> Visit {
    let mut events = BodyDataStream::new(body).eventsource();
    loop {
        let event = match tokio::time::timeout(SILENCE, events.next()).await {
            Ok(Some(Ok(event))) => event,
            Ok(_) => return go("cut".into()),
            Err(_) => return go("silent".into()),
        };
        match event.event.as_str() {
            "moved" => {
                let Ok(moved) = serde_json::from_str::<Moved>(&event.data) else {
                    return Visit::Done(Ending::Lost("bad pointer".into()));
                };
                stream.last_id = Some(moved.last_id);
                return Visit::Go {
                    address: Some(moved.address),
                    why: "moved".into(),
                };
            }
            "error" => return Visit::Done(read_error(&event.data)),
            _ => {}
        }
        if event.data == chunk::END {
            return Visit::Done(compare(stream));
        }
        if let Err(ending) = take_chunk(&event.id, &event.data, stream) {
            return Visit::Done(ending);
        }
    }
}

fn read_error(data: &str) -> Ending {
    match serde_json::from_str::<RefusalBody>(data) {
        Ok(refusal) => Ending::Refused {
            reason: refusal.error.reason,
            verdict: refusal.error.verdict,
        },
        Err(_) => Ending::Lost("bad error event".into()),
    }
}

fn take_chunk(id: &str, data: &str, stream: &mut Stream<'_>) -> Result<(), Ending> {
    let wrong = |why: &str| Ending::Wrong(why.to_string());
    let chunk = chunk::decode(id, data).map_err(|_| wrong("garbled chunk"))?;
    if chunk.text.is_empty() {
        return Ok(());
    }
    if chunk.index != Some(stream.index + 1) {
        return Err(wrong("gap or repeat"));
    }
    stream.index += 1;
    stream.last_id = Some(id.to_string());
    stream.first_token.get_or_insert(stream.began.elapsed());
    stream.text.push_str(&chunk.text);
    if let Some(on_token) = &mut stream.on_token {
        on_token(&chunk.text);
    }
    Ok(())
}

/// Reads a JSON answer of a node or stand-in.
pub async fn get_json<T: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
) -> Option<T> {
    let request = Request::get(format!("http://{address}{path}"))
        .body(Full::default())
        .ok()?;
    let response = client.send(request, true, SILENCE).await.ok()?;
    let content = collect(response.into_body()).await.ok()?;
    serde_json::from_slice(&content).ok()
}

/// Posts JSON to a node or stand-in and returns the status and body.
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
    let response = client.send(request, true, SILENCE).await.ok()?;
    let status = response.status();
    let content = collect(response.into_body()).await.ok()?;
    Some((status, content))
}
