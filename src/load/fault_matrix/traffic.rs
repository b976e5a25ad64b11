//! Load on the deployment while faults are injected.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::core::config::patch::Patch;
use crate::core::verdict::Verdict;
use crate::load::caller;
use crate::load::caller::Caller;
use crate::load::caller::Ending;
use crate::load::caller::RequestOutcome;
use crate::load::deploy::Deployment;
use crate::load::fault_matrix::fault::CRASH_TEXT;
use crate::load::prompts;
use crate::load::prompts::ChatRequest;
use crate::load::prompts::Corpus;
use crate::node::operator_api::ConfigAnswer;
use crate::node::operator_api::PatchAnswer;
use crate::web::client::Client;

/// Interval between completion requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// Interval between keyed calls.
const KEYED_INTERVAL: Duration = Duration::from_millis(80);

/// Interval between rounds of configuration patches.
const PATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Deadline of a completion request.
const DEADLINE: Duration = Duration::from_secs(15);

/// Deadline of a keyed call.
const KEYED_DEADLINE: Duration = Duration::from_secs(4);

/// One in this many requests carries the crash text.
///
/// The text has no effect unless `Fault::CrashingRequest` is injected.
const CRASH_PERIOD: usize = 40;

/// Outcome of a keyed call at one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedOutcome {
    /// The call succeeded.
    Answered,
    /// The call was refused with this verdict.
    Refused(Verdict),
    /// Neither a success nor a refusal arrived.
    Lost,
}

/// One attempt of a keyed call.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// Idempotency key.
    pub key: String,
    /// Outcome of the attempt.
    pub outcome: KeyedOutcome,
}

/// Everything that callers and operators observed.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Outcomes of the completion requests without the crash text.
    pub completions: Vec<RequestOutcome>,
    /// Outcomes of the requests with the crash text.
    pub crash_requests: Vec<RequestOutcome>,
    /// Attempts of keyed calls.
    pub keyed_calls: Vec<KeyedCall>,
    /// Numbers of the accepted configurations.
    pub accepted_numbers: Vec<u64>,
    /// Active configuration numbers in the order observed, each with the node's address.
    pub active_numbers: Vec<(String, u64)>,
}

/// Background load that runs until it is stopped.
pub struct Traffic {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    observations: Arc<Mutex<Observations>>,
}

/// Settings that the tasks of the load share.
struct TrafficContext {
    callers: Vec<Caller>,
    model: &'static str,
    keyed_path: String,
    entries: Vec<String>,
    client: Client,
    stop: watch::Receiver<bool>,
    observations: Arc<Mutex<Observations>>,
}

impl Traffic {
    /// Starts completion requests, keyed calls and configuration patches.
    pub fn start(deployment: &Deployment) -> Self {
        let observations = Arc::new(Mutex::new(Observations::default()));
        let (stop, stopped) = watch::channel(false);
        let spec = &deployment.spec;
        let callers = spec
            .workspaces
            .iter()
            .enumerate()
            .map(|(at, workspace)| deployment.caller(workspace.0, at))
            .collect();
        let context = Arc::new(TrafficContext {
            callers,
            model: spec.model,
            keyed_path: format!("/services/{}{}", spec.portal, spec.order_path),
            entries: deployment.entries(),
            client: deployment.client.clone(),
            stop: stopped,
            observations: Arc::clone(&observations),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(send_completions(Arc::clone(&context)));
        tasks.spawn(send_keyed_calls(Arc::clone(&context)));
        tasks.spawn(send_patches(context));
        Self {
            stop,
            tasks,
            observations,
        }
    }

    /// Stops the load, waits for all open requests and returns the observations.
    pub async fn stop(mut self) -> Observations {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        self.observations.lock().unwrap().clone()
    }
}

async fn send_completions(context: Arc<TrafficContext>) {
    let mut open = JoinSet::new();
    let mut at = 0;
    while !*context.stop.borrow() {
        let context = Arc::clone(&context);
        open.spawn(async move {
            let mut caller = context.callers[at % context.callers.len()].clone();
            let has_crash_text = at % CRASH_PERIOD == CRASH_PERIOD - 1;
            caller.refresh_entries().await;
            let outcome = caller
                .complete(
                    &completion_body(context.model, at, has_crash_text),
                    DEADLINE,
                    None,
                )
                .await;
            let mut observations = context.observations.lock().unwrap();
            if has_crash_text {
                observations.crash_requests.push(outcome);
            } else {
                observations.completions.push(outcome);
            }
        });
        at += 1;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    while open.join_next().await.is_some() {}
}

fn completion_body(model: &str, at: usize, has_crash_text: bool) -> Vec<u8> {
    if has_crash_text {
        // The text is always the same, as from a caller that repeats its request.
        return json!({
            "model": model, "stream": true, "max_tokens": 20,
            "messages": [{"role": "user", "content": format!("Tie the {CRASH_TEXT}")}],
        })
        .to_string()
        .into_bytes();
    }
    prompts::chat_body(&ChatRequest {
        model,
        corpus: if at.is_multiple_of(2) {
            Corpus::Survey
        } else {
            Corpus::Label
        },
        index: at,
        prefix: at % 5,
        max_tokens: 20 + (at % 4) as u32 * 20,
        stream: at % 4 != 3,
    })
}

/// Sends each keyed call to one node and, if it fails, to up to two others.
///
/// Every third call is sent to two nodes at the same time.
async fn send_keyed_calls(context: Arc<TrafficContext>) {
    let mut open = JoinSet::new();
    let mut at = 0_usize;
    while !*context.stop.borrow() {
        let context = Arc::clone(&context);
        open.spawn(async move {
            let caller = &context.callers[at % context.callers.len()];
            let key = format!("key-{at}");
            let is_concurrent = at.is_multiple_of(3);
            let call = |entry| {
                caller.call(
                    entry,
                    Method::POST,
                    &context.keyed_path,
                    Some(&key),
                    KEYED_DEADLINE,
                )
            };
            let mut results = Vec::new();
            if is_concurrent {
                let (first, second) = tokio::join!(call(at), call(at + 1));
                results.extend([first, second]);
            } else {
                for entry in at..at + 3 {
                    let result = call(entry).await;
                    let is_answered = result.is_ok();
                    results.push(result);
                    if is_answered {
                        break;
                    }
                }
            }
            let mut observations = context.observations.lock().unwrap();
            for result in results {
                let outcome = match result {
                    Ok((status, _)) if status.is_success() => KeyedOutcome::Answered,
                    Err(Ending::Refused { verdict, .. }) => KeyedOutcome::Refused(verdict),
                    Ok(_) | Err(_) => KeyedOutcome::Lost,
                };
                observations.keyed_calls.push(KeyedCall {
                    key: key.clone(),
                    outcome,
                });
            }
        });
        at += 1;
        tokio::time::sleep(KEYED_INTERVAL).await;
    }
    while open.join_next().await.is_some() {}
}

/// Sends conflicting patches: two operators each patch the configuration that they read.
async fn send_patches(context: Arc<TrafficContext>) {
    let mut round = 0;
    while !*context.stop.borrow() {
        for address in &context.entries {
            let answer =
                caller::get_json::<ConfigAnswer>(&context.client, address, "/v1/config").await;
            if let Some(answer) = answer {
                let mut observations = context.observations.lock().unwrap();
                observations
                    .active_numbers
                    .push((address.clone(), answer.number));
            }
        }
        let count = context.entries.len();
        let first = send_patch(&context, round, "first", round % count);
        let second = send_patch(&context, round, "second", (round + 1) % count);
        tokio::join!(first, second);
        round += 1;
        tokio::time::sleep(PATCH_INTERVAL).await;
    }
}

async fn send_patch(context: &TrafficContext, round: usize, name: &str, entry: usize) {
    let address = &context.entries[entry];
    let read = caller::get_json::<ConfigAnswer>(&context.client, address, "/v1/config").await;
    let Some(read) = read else { return };
    let workspace = format!("{name}-{}", round % 4);
    let patch = Patch {
        id: format!("{name}-{round}").into(),
        base: read.number,
        author: name.to_string(),
        patch: json!({"workspaces": {workspace: {"weight": 1, "tokens_per_s": 1_000 + round}}}),
    };
    let answer = caller::post_json(&context.client, address, "/v1/config", &patch).await;
    let Some((status, body)) = answer else { return };
    if status.is_success()
        && let Ok(answer) = serde_json::from_slice::<PatchAnswer>(&body)
    {
        context
            .observations
            .lock()
            .unwrap()
            .accepted_numbers
            .push(answer.number);
    }
}
