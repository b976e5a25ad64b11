//! The requests that run while faults are brought about.

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
use crate::node::operators::ConfigAnswer;
use crate::node::operators::PatchAnswer;
use crate::web::client::Client;

/// Wait between two completion requests.
const REQUEST_STEP: Duration = Duration::from_millis(30);

/// Wait between two keyed calls.
const KEYED_STEP: Duration = Duration::from_millis(80);

/// Wait between two patches.
const PATCH_STEP: Duration = Duration::from_millis(400);

/// Time that callers wait for an answer.
const DEADLINE: Duration = Duration::from_secs(15);

/// Time that callers of keyed calls wait.
const KEYED_DEADLINE: Duration = Duration::from_secs(4);

/// Every so many requests one carries the text that takes engines down, if armed.
const CRASH_EVERY: usize = 40;

/// How one keyed call ended at one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedOutcome {
    /// It was answered.
    Answered,
    /// It was refused with this verdict.
    Refused(Verdict),
    /// Nothing came.
    Lost,
}

/// One call of a keyed request.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// The key.
    pub key: String,
    /// How it ended.
    pub outcome: KeyedOutcome,
}

/// Everything that callers and operators saw.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Completion requests.
    pub completions: Vec<RequestOutcome>,
    /// Requests that carry the text that takes engines down.
    pub crash_requests: Vec<RequestOutcome>,
    /// Keyed calls.
    pub keyed_calls: Vec<KeyedCall>,
    /// Configuration numbers that were accepted.
    pub accepted_numbers: Vec<u64>,
    /// Numbers seen in force at one node, in order, by node address.
    pub active_numbers: Vec<(String, u64)>,
}

/// Requests that run until they are stopped.
pub struct Traffic {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    observations: Arc<Mutex<Observations>>,
}

struct Plan {
    callers: Vec<Caller>,
    model: &'static str,
    keyed_path: String,
    entries: Vec<String>,
    client: Client,
    stop: watch::Receiver<bool>,
    observations: Arc<Mutex<Observations>>,
}

impl Traffic {
    /// Starts requests of every kind.
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
        let plan = Arc::new(Plan {
            callers,
            model: spec.model,
            keyed_path: format!("/services/{}{}", spec.portal, spec.order_path),
            entries: deployment.entries(),
            client: deployment.client.clone(),
            stop: stopped,
            observations: Arc::clone(&observations),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(complete(Arc::clone(&plan)));
        tasks.spawn(call_keyed(Arc::clone(&plan)));
        tasks.spawn(patch(plan));
        Self {
            stop,
            tasks,
            observations,
        }
    }

    /// Stops sending, waits for every open request, and returns what was seen.
    pub async fn stop(mut self) -> Observations {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        self.observations.lock().unwrap().clone()
    }
}

async fn complete(plan: Arc<Plan>) {
    let mut open = JoinSet::new();
    let mut at = 0;
    while !*plan.stop.borrow() {
        let plan = Arc::clone(&plan);
        open.spawn(async move {
            let mut caller = plan.callers[at % plan.callers.len()].clone();
            let crashes = at % CRASH_EVERY == CRASH_EVERY - 1;
            caller.refresh_entries().await;
            let outcome = caller
                .complete(&body(plan.model, at, crashes), DEADLINE, None)
                .await;
            let mut observations = plan.observations.lock().unwrap();
            if crashes {
                observations.crash_requests.push(outcome);
            } else {
                observations.completions.push(outcome);
            }
        });
        at += 1;
        tokio::time::sleep(REQUEST_STEP).await;
    }
    while open.join_next().await.is_some() {}
}

fn body(model: &str, at: usize, crashes: bool) -> Vec<u8> {
    if crashes {
        // Always the same text: its caller sends it again and again.
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

/// Makes each keyed call at one node, and again at the next if it was not answered.
async fn call_keyed(plan: Arc<Plan>) {
    let mut open = JoinSet::new();
    let mut at = 0_usize;
    while !*plan.stop.borrow() {
        let plan = Arc::clone(&plan);
        open.spawn(async move {
            let caller = &plan.callers[at % plan.callers.len()];
            let key = format!("key-{at}");
            let resends_at_once = at.is_multiple_of(3);
            let call = |entry| {
                caller.call(
                    entry,
                    Method::POST,
                    &plan.keyed_path,
                    Some(&key),
                    KEYED_DEADLINE,
                )
            };
            let mut results = Vec::new();
            if resends_at_once {
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
            let mut observations = plan.observations.lock().unwrap();
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
        tokio::time::sleep(KEYED_STEP).await;
    }
    while open.join_next().await.is_some() {}
}

/// Two operators race: both patch against the number that they read.
async fn patch(plan: Arc<Plan>) {
    let mut round = 0;
    while !*plan.stop.borrow() {
        for address in &plan.entries {
            let answer =
                caller::get_json::<ConfigAnswer>(&plan.client, address, "/v1/config").await;
            if let Some(answer) = answer {
                let mut observations = plan.observations.lock().unwrap();
                observations
                    .active_numbers
                    .push((address.clone(), answer.number));
            }
        }
        let count = plan.entries.len();
        let first = operator(&plan, round, "first", round % count);
        let second = operator(&plan, round, "second", (round + 1) % count);
        tokio::join!(first, second);
        round += 1;
        tokio::time::sleep(PATCH_STEP).await;
    }
}

async fn operator(plan: &Plan, round: usize, name: &str, entry: usize) {
    let address = &plan.entries[entry];
    let read = caller::get_json::<ConfigAnswer>(&plan.client, address, "/v1/config").await;
    let Some(read) = read else { return };
    let workspace = format!("{name}-{}", round % 4);
    let patch = Patch {
        id: format!("{name}-{round}").into(),
        base: read.number,
        author: name.to_string(),
        patch: json!({"workspaces": {workspace: {"weight": 1, "tokens_per_s": 1_000 + round}}}),
    };
    let answer = caller::post_json(&plan.client, address, "/v1/config", &patch).await;
    let Some((status, body)) = answer else { return };
    if status.is_success()
        && let Ok(answer) = serde_json::from_slice::<PatchAnswer>(&body)
    {
        plan.observations
            .lock()
            .unwrap()
            .accepted_numbers
            .push(answer.number);
    }
}
