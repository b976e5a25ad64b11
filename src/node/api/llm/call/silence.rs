//! Silent engines: another attempt is started while the silent one may still go on.

use std::sync::Arc;
use std::time::Duration;

use crate::core::retry;
use crate::core::retry::Cause;
use crate::core::retry::Decision;
use crate::node::Node;
use crate::node::admission::Permit;
use crate::node::api::llm::call::Call;
use crate::node::backends;
use crate::node::backends::SelectedServer;
use crate::node::backends::engine::AttemptOutcome;
use crate::node::backends::engine::OpenAttempt;
use crate::node::backends::engine::Received;
use crate::node::backends::engine::WaitResult;
use crate::node::backends::engine::Waiter;
use crate::silence;
use crate::silence::Others;
use crate::silence::Race;

/// Interval at which another server is looked for again.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// How the silence of an engine ended.
pub enum Relief {
    /// The request goes on with this attempt.
    Open(Box<OpenAttempt>),
    /// The attempt of the silent engine has ended.
    Ended(Box<OpenAttempt>, AttemptOutcome),
}

/// Makes attempts while `silent` has the request.
struct Alternatives<'a> {
    call: &'a mut Call,
    node: &'a Arc<Node>,
    permit: &'a mut Permit,
    silent: SelectedServer,
    is_first: bool,
}

impl Call {
    /// Waits for a silent engine to go on, and for another attempt meanwhile.
    pub async fn relieve(
        &mut self,
        node: &Arc<Node>,
        mut silent: OpenAttempt,
        waiter: &mut Waiter<'_>,
        permit: &mut Permit,
    ) -> Relief {
        let now = node.clock.now();
        if !std::mem::replace(&mut silent.is_suspected, true) {
            let mut servers = node.servers.lock().unwrap();
            servers.record_failure(&silent.server.id, now);
        }
        let handover = silent.handover(&self.record.progress);
        let left = self.record.deadline.since(now);
        let mut others = Alternatives {
            call: self,
            node,
            permit,
            silent: silent.server.clone(),
            is_first: true,
        };
        let racing = silence::race(silent.receive(), Result::is_ok, &mut others);
        let result = waiter.wait(&handover, racing, left).await;
        let race = match result {
            WaitResult::Ready(race) => race,
            WaitResult::Silent | WaitResult::Deadline => {
                count(node, "deadline");
                let outcome = AttemptOutcome::Failed(Cause::Silent);
                return Relief::Ended(Box::new(silent), outcome);
            }
            WaitResult::Ended(outcome) => {
                count(node, "interrupted");
                return Relief::Ended(Box::new(silent), outcome);
            }
        };
        count(node, race.as_str());
        let (cause, next) = match race {
            Race::Resumed(received) => {
                silent.put_back(received);
                return Relief::Open(Box::new(silent));
            }
            Race::Failed(received, next) => (to_cause(received), next),
            Race::Replaced(next) => (Cause::Silent, next),
        };
        self.record_failure(node, silent, cause).await;
        if self.record.progress.tokens() > 0 {
            self.record.progress.resumes += 1;
        }
        Relief::Open(Box::new(next))
    }

    /// Selects a server that was not tried.
    fn select_other(&self, node: &Node) -> Option<SelectedServer> {
        let excluded = self.deprioritized(node);
        let server = self.select(node, &excluded, self.is_suspect(node)).ok()?;
        server.filter(|server| !excluded.contains(&server.id))
    }

    /// Returns whether another server can have a request whose server leaves.
    pub fn can_move(&self, node: &Node) -> bool {
        self.attempts < retry::MAX_ATTEMPTS && self.select_other(node).is_some()
    }

    /// Starts an attempt at a server that was not tried, if there is one and the retry
    /// budget allows it.
    fn start_other(&mut self, node: &Arc<Node>, permit: &mut Permit) -> Option<OpenAttempt> {
        self.check_crashes(node).ok()?;
        let server = self.select_other(node)?;
        if self.decide(node, Cause::Silent) != Decision::Again {
            return None;
        }
        let in_flight = self.reserve(node, &server, permit);
        self.start(node, &server, in_flight, true)
    }

    /// Returns whether another attempt may be made at a silent server.
    ///
    /// A stream that stalled at a live server is resumed there once, over a new
    /// connection, because its prompt is cached there.
    async fn may_retry_same_server(&self, node: &Node, server: &SelectedServer) -> bool {
        self.record.progress.tokens() > 0
            && !self.silent_servers.contains(&server.id)
            && backends::is_alive(node, &server.address).await
    }
}

impl Others for Alternatives<'_> {
    type Attempt = OpenAttempt;

    async fn start(&mut self) -> OpenAttempt {
        if std::mem::take(&mut self.is_first) {
            let id = self.silent.id.clone();
            if self
                .call
                .may_retry_same_server(self.node, &self.silent)
                .await
            {
                self.call.silent_servers.push(id);
            } else {
                self.call.tried_servers.push(id);
            }
        }
        loop {
            if let Some(attempt) = self.call.start_other(self.node, self.permit) {
                return attempt;
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }

    async fn begin(&mut self, attempt: &mut OpenAttempt) -> bool {
        loop {
            let limit = attempt.limit();
            match tokio::time::timeout(limit, attempt.receive()).await {
                Ok(Ok(event)) => {
                    attempt.put_back(Ok(event));
                    return true;
                }
                Ok(Err(outcome)) => {
                    attempt.put_back(Err(outcome));
                    return false;
                }
                // It keeps the request unless a further server can have it.
                Err(_) if self.call.select_other(self.node).is_some() => return false,
                Err(_) => {}
            }
        }
    }

    async fn give_up(&mut self, mut attempt: OpenAttempt) {
        let cause = attempt.take_back().map_or(Cause::Silent, to_cause);
        self.call.record_failure(self.node, attempt, cause).await;
    }
}

pub(super) fn to_cause(received: Received) -> Cause {
    match received {
        Err(AttemptOutcome::Failed(cause)) => cause,
        _ => Cause::Failed,
    }
}

fn count(node: &Node, outcome: &'static str) {
    metrics::counter!(
        "cassialock_engine_silences_total",
        "node" => node.label(),
        "outcome" => outcome
    )
    .increment(1);
}
