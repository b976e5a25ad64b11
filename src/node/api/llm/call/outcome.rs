//! What becomes of a request when an attempt has ended.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::member::gossip::Fact;
use crate::core::moves::detector::Outcome;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::retry;
use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::core::retry::RetryContext;
use crate::core::retry::crash::Crash;
use crate::node::Node;
use crate::node::api::llm;
use crate::node::api::llm::call::Call;
use crate::node::api::llm::call::FailedAttempt;
use crate::node::backends;
use crate::node::backends::SelectedServer;
use crate::node::backends::engine::OpenAttempt;
use crate::node::members;

/// Time for which to wait for reports of other requests that the same crash hit.
const CRASH_REPORT_WAIT: Duration = Duration::from_millis(60);

impl Call {
    /// Records a complete response.
    pub fn record_success(&self, node: &Node, server: &SelectedServer, started: Instant) {
        let latency = started.elapsed();
        node.servers
            .lock()
            .unwrap()
            .record_success(&server.id, latency);
        // The time per token makes responses of different lengths comparable.
        let tokens = self.record.progress.tokens().max(1) as u32;
        let succeeded = Outcome::Succeeded(latency / tokens);
        self.record_attempt(node, &server.version, succeeded);
        // The request succeeds elsewhere, so an earlier crash under it is the fault
        // of that server's version.
        let crashed = node
            .crashes
            .lock()
            .unwrap()
            .crashed_servers(self.fingerprint);
        for id in crashed {
            let version = node
                .servers
                .lock()
                .unwrap()
                .get(&id)
                .map(|s| s.vm.version.clone());
            if let Some(version) = version {
                self.record_attempt(node, &version, Outcome::Failed);
            }
        }
    }

    /// Records an outcome, by which new versions are judged.
    pub fn record_attempt(&self, node: &Node, version: &str, outcome: Outcome) {
        node.moves.record(
            &self.completion.model,
            version,
            &self.route_name,
            outcome,
            node.clock.now(),
        );
    }

    /// Records a failed attempt and returns a refusal if no retry is allowed.
    pub async fn handle_failure(
        &mut self,
        node: &Arc<Node>,
        attempt: OpenAttempt,
        cause: Cause,
    ) -> Result<(), Refusal> {
        let cause = self.record_failure(node, attempt, cause).await;
        let decision = self.decide(node, cause);
        self.check_decision(decision, cause)?;
        if matches!(cause, Cause::Connect | Cause::Busy) {
            tokio::time::sleep(retry::backoff(self.attempts, node.random_u64())).await;
        }
        Ok(())
    }

    /// Ends and records a failed attempt, and returns the cause of its failure.
    pub async fn record_failure(
        &mut self,
        node: &Arc<Node>,
        attempt: OpenAttempt,
        cause: Cause,
    ) -> Cause {
        let cause = backends::adjust_cause(node, &attempt.server.id, cause);
        let server = attempt.server.clone();
        let is_suspected = attempt.is_suspected;
        self.last_failure = Some(FailedAttempt {
            server: server.clone(),
            id: attempt.id.clone(),
            cause,
            handover: attempt.handover(&self.record.progress),
        });
        drop(attempt);
        llm::count_retry(node, cause.as_str());
        if cause.is_version_fault() {
            self.record_attempt(node, &server.version, Outcome::Failed);
        }
        if cause == Cause::Cut {
            self.detect_crash(node, &server).await;
        }
        if cause != Cause::Leaving && !is_suspected {
            let now = node.clock.now();
            node.servers.lock().unwrap().record_failure(&server.id, now);
        }
        // Whether a silent server may be tried again was decided during its silence.
        if !is_suspected || cause != Cause::Silent {
            self.tried_servers.push(server.id);
        }
        cause
    }

    /// Decides whether another attempt is allowed, which is then paid.
    pub fn decide(&self, node: &Node, cause: Cause) -> Decision {
        let context = RetryContext {
            cause,
            repeatable: true,
            attempts: self.attempts,
            deadline: self.record.deadline,
            now: node.clock.now(),
        };
        node.budget.lock().unwrap().decide(&context)
    }

    fn check_decision(&self, decision: Decision, cause: Cause) -> Result<(), Refusal> {
        let (reason, detail) = match decision {
            Decision::Again | Decision::Return => return Ok(()),
            Decision::Deadline => (Reason::Deadline, "the deadline passed before a retry"),
            Decision::Budget => (Reason::RetryBudget, "the retry budget is used up"),
            Decision::Attempts | Decision::NotRepeatable => {
                (Reason::BackendFailed, "every attempt failed")
            }
        };
        let detail = format!(
            "{detail}; the last attempt failed with cause {}",
            cause.as_str()
        );
        Err(Refusal::new(reason, detail)
            .with_verdict(self.verdict())
            .with_retry_after(Duration::from_secs(1)))
    }

    /// Probes the server and, if it crashed, reports the crash to the other nodes.
    async fn detect_crash(&self, node: &Arc<Node>, server: &SelectedServer) {
        if backends::is_alive(node, &server.address).await || node.is_leaving(&server.id) {
            return;
        }
        let crash = Crash {
            fingerprint: self.fingerprint,
            server: server.id.clone(),
            at: node.clock.now(),
        };
        log::warn!(
            "calls: backend server {} crashed while running a request",
            server.id
        );
        metrics::counter!("cassialock_crashes_total", "node" => node.label()).increment(1);
        node.crashes.lock().unwrap().record(crash.clone());
        members::publish_and_wait(node, Fact::Crash(crash)).await;
        tokio::time::sleep(CRASH_REPORT_WAIT).await;
    }

    /// Counts the tokens of an ended call in the metrics.
    pub fn count_tokens(&self, node: &Node) {
        let progress = &self.record.progress;
        metrics::counter!("cassialock_tokens_total", "node" => node.label())
            .increment(progress.tokens());
        metrics::counter!("cassialock_tokens_recomputed_total", "node" => node.label())
            .increment(u64::from(progress.recomputed_tokens));
    }
}
