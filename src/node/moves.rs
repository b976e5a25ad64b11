//! Version moves: traffic shares, regression detection, and stored status.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::config::Config;
use crate::core::config::Move;
use crate::core::config::Service;
use crate::core::member::gossip::Fact;
use crate::core::moves;
use crate::core::moves::Facts;
use crate::core::moves::MoveSnapshot;
use crate::core::moves::Phase;
use crate::core::moves::Veto;
use crate::core::moves::detector::Outcome;
use crate::core::moves::detector::RegressionDetector;
use crate::core::moves::detector::Sample;
use crate::core::name_map::NameMap;
use crate::core::time::Time;
use crate::node::Node;
use crate::node::members;
use crate::node::peers::MoveEvidence;
use crate::node::platform_api::Condition;
use crate::node::platform_api::WriteError;

/// Interval between two evaluations of all moves.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a failed write of a status is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

struct Row {
    plan: Move,
    facts: Facts,
    detector: RegressionDetector,
    is_status_read: bool,
    logged_phase: Option<Phase>,
}

impl Row {
    fn snapshot(&self, now: Time) -> MoveSnapshot<'_> {
        MoveSnapshot {
            plan: &self.plan,
            facts: &self.facts,
            responses: self.detector.responses(),
            now,
        }
    }
}

/// The status of a move, for operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Name of the move.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// The old version.
    pub from: String,
    /// The new version.
    pub to: String,
    /// Current phase of the move.
    pub phase: Phase,
    /// Share of the traffic for the new version, in percent.
    pub share: u8,
    /// Time by which the move is decided, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// The status and its reason, in one sentence.
    pub sentence: String,
}

/// The version moves declared in the configuration, as seen by this node.
#[derive(Default)]
pub struct Moves {
    rows: Mutex<NameMap<Row>>,
}

impl Moves {
    /// Creates an empty table of moves.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the moves by those declared in `config`.
    ///
    /// A move keeps its facts and counters as long as its start time is the same.
    pub fn update(&self, config: &Config) {
        let mut rows = self.rows.lock().unwrap();
        rows.retain(|name, _| config.moves.get(name).is_some());
        for (name, plan) in config.moves.iter() {
            match rows.get_mut(name) {
                Some(row) if row.plan.start_ms == plan.start_ms => row.plan = plan.clone(),
                _ => {
                    let row = Row {
                        plan: plan.clone(),
                        facts: Facts::default(),
                        detector: RegressionDetector::new(),
                        is_status_read: false,
                        logged_phase: None,
                    };
                    rows.insert(name.clone(), row);
                }
            }
        }
    }

    /// Merges facts from another node.
    pub fn merge(&self, name: &str, start_ms: u64, facts: &Facts) {
        if let Some(row) = self.rows.lock().unwrap().get_mut(name)
            && row.plan.start_ms == start_ms
        {
            row.facts.merge(facts);
        }
    }

    /// Merges the counters of a neighbour.
    pub fn merge_evidence(&self, node: &Name, evidence: &[MoveEvidence]) {
        let mut rows = self.rows.lock().unwrap();
        for item in evidence {
            if let Some(row) = rows.get_mut(&item.name)
                && row.plan.start_ms == item.start_ms
            {
                row.detector.merge(node, &item.evidence);
            }
        }
    }

    /// Returns this node's own counters.
    pub fn evidence(&self) -> Vec<MoveEvidence> {
        let rows = self.rows.lock().unwrap();
        rows.iter()
            .filter(|(_, row)| !row.detector.evidence().is_empty())
            .map(|(name, row)| MoveEvidence {
                name: name.clone(),
                start_ms: row.plan.start_ms,
                evidence: row.detector.evidence(),
            })
            .collect()
    }

    /// Returns the versions to try for a request, in order of preference.
    pub fn preferred_versions(
        &self,
        name: &str,
        service: &Service,
        random_number: u64,
        now: Time,
    ) -> Vec<Name> {
        let rows = self.rows.lock().unwrap();
        let Some(row) = controlling_move(&rows, name, service) else {
            return vec![service.version.clone()];
        };
        let snapshot = row.snapshot(now);
        let Move { from, to, .. } = &row.plan;
        match snapshot.phase() {
            Phase::Waiting | Phase::Reverted => vec![from.clone()],
            Phase::Done => vec![to.clone(), from.clone()],
            Phase::Running if moves::routes_to_new(snapshot.share(), random_number) => {
                vec![to.clone(), from.clone()]
            }
            Phase::Running => vec![from.clone()],
        }
    }

    /// Returns every version of a service that may receive requests.
    pub fn versions(&self, name: &str, service: &Service) -> Vec<Name> {
        let rows = self.rows.lock().unwrap();
        match controlling_move(&rows, name, service) {
            Some(row) => vec![row.plan.from.clone(), row.plan.to.clone()],
            None => vec![service.version.clone()],
        }
    }

    /// Records the result of a request to `version`.
    pub fn record(&self, service: &str, version: &str, route: &Name, outcome: Outcome, now: Time) {
        let mut rows = self.rows.lock().unwrap();
        for (_, row) in rows.iter_mut() {
            let is_new = *row.plan.to == *version;
            let is_involved =
                *row.plan.service == *service && (is_new || *row.plan.from == *version);
            if is_involved && row.snapshot(now).is_monitored() {
                let sample = Sample { is_new, outcome };
                row.detector.record(route, &sample);
            }
        }
    }

    /// Returns the status of all moves.
    pub fn status(&self, now: Time) -> Vec<Status> {
        let rows = self.rows.lock().unwrap();
        rows.iter()
            .map(|(name, row)| {
                let snapshot = row.snapshot(now);
                Status {
                    name: name.to_string(),
                    service: row.plan.service.to_string(),
                    from: row.plan.from.to_string(),
                    to: row.plan.to.to_string(),
                    phase: snapshot.phase(),
                    share: snapshot.share(),
                    deadline_ms: row.plan.deadline_ms,
                    sentence: snapshot.describe(),
                }
            })
            .collect()
    }

    /// Vetoes or passes moves and returns the new facts to publish.
    fn decide(&self, node: &Name, now: Time) -> Vec<Fact> {
        let mut new_facts = Vec::new();
        let mut rows = self.rows.lock().unwrap();
        for (name, row) in rows.iter_mut() {
            row.detector.record_time(now);
            let snapshot = row.snapshot(now);
            let fault = snapshot
                .is_monitored()
                .then(|| row.detector.fault())
                .flatten();
            let passes = snapshot.may_pass();
            if let Some(reason) = fault {
                row.facts.veto = Some(Veto {
                    reason,
                    node: node.clone(),
                    at: now,
                });
            } else if passes {
                row.facts.passed = Some(now);
            } else {
                continue;
            }
            new_facts.push(Fact::Move {
                name: name.clone(),
                start_ms: row.plan.start_ms,
                facts: row.facts.clone(),
            });
        }
        new_facts
    }

    fn log_phase_changes(&self, now: Time) {
        let mut rows = self.rows.lock().unwrap();
        for (name, row) in rows.iter_mut() {
            let phase = row.snapshot(now).phase();
            if row.logged_phase != Some(phase) {
                log::info!("moves: {name}: {}", row.snapshot(now).describe());
                row.logged_phase = Some(phase);
            }
        }
    }

    /// Returns the moves whose stored status has not been read yet.
    fn unread_statuses(&self) -> Vec<(Name, u64)> {
        let rows = self.rows.lock().unwrap();
        rows.iter()
            .filter(|(_, row)| !row.is_status_read)
            .map(|(name, row)| (name.clone(), row.plan.start_ms))
            .collect()
    }

    fn mark_status_read(&self, name: &str) {
        if let Some(row) = self.rows.lock().unwrap().get_mut(name) {
            row.is_status_read = true;
        }
    }
}

/// Returns the move that controls the traffic of a service: the latest one that
/// starts from the service's declared version.
fn controlling_move<'a>(rows: &'a NameMap<Row>, name: &str, service: &Service) -> Option<&'a Row> {
    rows.iter()
        .map(|(_, row)| row)
        .filter(|row| *row.plan.service == *name && row.plan.from == service.version)
        .max_by_key(|row| row.plan.start_ms)
}

/// Evaluates the moves and stores the decisions until the node stops.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(EVALUATION_INTERVAL).await;
        let now = node.clock.now();
        let known = node.gossip.lock().unwrap().facts();
        for fact in &known {
            if let Fact::Move {
                name,
                start_ms,
                facts,
            } = fact
            {
                node.moves.merge(name, *start_ms, facts);
            }
        }
        for (name, start_ms) in node.moves.unread_statuses() {
            if read_status(&node, &name, start_ms).await {
                node.moves.mark_status_read(&name);
            }
        }
        for fact in node.moves.decide(&node.settings.id, now) {
            members::publish(&node, fact.clone());
            tokio::spawn(store_status(Arc::clone(&node), fact));
        }
        node.moves.log_phase_changes(now);
    }
}

fn status_key(name: &str, start_ms: u64) -> String {
    format!("status/move/{name}-{start_ms}")
}

/// Merges the stored facts of a move and returns whether the store answered.
async fn read_status(node: &Arc<Node>, name: &Name, start_ms: u64) -> bool {
    match node.platform.get(&status_key(name, start_ms)).await {
        Err(_) => false,
        Ok(None) => true,
        Ok(Some(object)) => {
            if let Ok(facts) = serde_json::from_slice::<Facts>(&object.value) {
                let fact = Fact::Move {
                    name: name.clone(),
                    start_ms,
                    facts,
                };
                members::receive_facts(node, &[fact]);
            }
            true
        }
    }
}

/// Stores the facts of a move, merged with those already stored.
async fn store_status(node: Arc<Node>, fact: Fact) {
    let Fact::Move {
        name,
        start_ms,
        facts,
    } = fact
    else {
        return;
    };
    let key = status_key(&name, start_ms);
    loop {
        match try_store_status(&node, &key, &facts).await {
            Ok(()) => return,
            Err(WriteError::Conflict) => {}
            Err(WriteError::Unavailable) => node.count_store_failure("status"),
        }
        tokio::time::sleep(RETRY_DELAY + node.jitter(RETRY_DELAY)).await;
    }
}

async fn try_store_status(node: &Node, key: &str, facts: &Facts) -> Result<(), WriteError> {
    let stored = node
        .platform
        .get(key)
        .await
        .map_err(|_| WriteError::Unavailable)?;
    let (condition, mut merged) = match stored {
        None => (Condition::Absent, Facts::default()),
        Some(object) => (
            Condition::Version(object.version),
            serde_json::from_slice(&object.value).unwrap_or_default(),
        ),
    };
    if !merged.merge(facts) {
        return Ok(());
    }
    let content = serde_json::to_vec(&merged).map_err(|_| WriteError::Conflict)?;
    node.platform.put(key, content.into(), condition).await?;
    Ok(())
}
