//! Calls that run at a second server too because their response is late.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::Name;
use crate::core::answer::Class;
use crate::core::retry;
use crate::core::retry::Cause;
use crate::core::retry::hedge;
use crate::core::retry::hedge::Subject;
use crate::core::retry::hedge::decision::Skipped;
use crate::core::route::Request as RouteRequest;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::api::plain::Call;
use crate::node::backends;
use crate::node::backends::InFlightGuard;
use crate::node::backends::SelectedServer;
use crate::node::backends::Selection;
use crate::node::backends::plain;
use crate::node::backends::plain::BackendResponse;
use crate::node::hedging;
use crate::node::hedging::Late;

/// Result of one attempt, or of two that ran beside each other.
pub(super) struct Raced {
    /// Server that the result is from.
    pub(super) server: SelectedServer,
    /// Its response, or why there is none.
    pub(super) result: Result<BackendResponse, Cause>,
    /// Time that it took.
    pub(super) latency: Duration,
    /// Server of the other attempt, if there were two.
    pub(super) other: Option<Name>,
    /// Whether the call may have run in the other attempt.
    pub(super) other_verdict: Verdict,
}

impl Call {
    /// Runs the call at `first`, and at a second server too if the response is late.
    pub(super) async fn race(
        &self,
        node: &Arc<Node>,
        first: &SelectedServer,
        new_connection: bool,
    ) -> Raced {
        let began = Instant::now();
        let timeout = self.time_left(node.clock.now());
        let subject = self.subject();
        let running = plain::run(node, first, &self.request, new_connection, timeout);
        tokio::pin!(running);
        let mut check_at = hedging::delay(node, &subject).filter(|_| self.repeatable);
        let mut result = None;
        let mut second = None;
        while let Some(at) = check_at.take() {
            let wait = at.saturating_sub(began.elapsed());
            result = tokio::time::timeout(wait, &mut running).await.ok();
            if result.is_some() {
                break;
            }
            match self.choose_hedge(node, first, began.elapsed()) {
                Ok(server) => second = Some(server),
                Err(Skipped::NotSooner) => check_at = Some(hedge::next_check(began.elapsed())),
                Err(_) => {}
            }
        }
        let Some(second) = second else {
            let result = match result {
                Some(result) => result,
                None => running.await,
            };
            let result = result.map_err(|cause| backends::adjust_cause(node, &first.id, cause));
            let latency = began.elapsed();
            self.record_begun(node, &result, latency);
            return Raced {
                server: first.clone(),
                result,
                latency,
                other: None,
                other_verdict: Verdict::NotRun,
            };
        };
        let second = &second;
        let _in_flight = InFlightGuard::new(node, &second.id, &[]);
        let second_began = Instant::now();
        let left = self.time_left(node.clock.now());
        let other = plain::run(node, second, &self.request, new_connection, left);
        tokio::pin!(other);
        let (is_second, result) = tokio::select! {
            biased;
            result = &mut running => (false, result),
            result = &mut other => (true, result),
        };
        if is_usable(&result) {
            hedging::count_ended(node, if is_second { "won" } else { "lost" });
            self.record_begun(node, &result, began.elapsed());
            let (server, loser, since) = if is_second {
                (second, first, second_began)
            } else {
                (first, second, began)
            };
            return Raced {
                server: server.clone(),
                result,
                latency: since.elapsed(),
                other: Some(loser.id.clone()),
                other_verdict: Verdict::MayHaveRun,
            };
        }
        hedging::count_ended(node, if is_second { "failed" } else { "first_failed" });
        let (failed, server, since) = if is_second {
            (second, first, began)
        } else {
            (first, second, second_began)
        };
        let cause = to_cause(&result.map_err(|it| backends::adjust_cause(node, &failed.id, it)));
        if cause != Cause::Leaving {
            let now = node.clock.now();
            node.servers.lock().unwrap().record_failure(&failed.id, now);
        }
        let result = if is_second {
            running.await
        } else {
            other.await
        };
        let result = result.map_err(|cause| backends::adjust_cause(node, &server.id, cause));
        self.record_begun(node, &result, began.elapsed());
        Raced {
            server: server.clone(),
            result,
            latency: since.elapsed(),
            other: Some(failed.id.clone()),
            other_verdict: cause.verdict(),
        }
    }

    fn choose_hedge(
        &self,
        node: &Node,
        first: &SelectedServer,
        elapsed: Duration,
    ) -> Result<SelectedServer, Skipped> {
        let request = RouteRequest::default();
        let selection = Selection {
            name: &self.service_name,
            service: &self.service,
            request: &request,
            deprioritized: &self.tried_servers,
            random_number: 0,
            suspect: None,
        };
        let late = Late {
            subject: self.subject(),
            selection,
            workspace: &self.headers.workspace,
            first,
            elapsed,
            attempts: self.attempts,
            max_attempts: retry::MAX_ATTEMPTS,
            deadline: self.headers.deadline,
            is_suspected: false,
        };
        hedging::choose(node, &late)
    }

    /// Returns the call as hedging sees it.
    pub(super) fn subject(&self) -> Subject<'_> {
        Subject {
            service: &self.service_name,
            route: &self.route,
            tokens: None,
        }
    }

    fn record_begun(&self, node: &Node, result: &Result<BackendResponse, Cause>, took: Duration) {
        if is_usable(result) {
            hedging::record(node, &self.subject(), took);
        }
    }
}

fn is_usable(result: &Result<BackendResponse, Cause>) -> bool {
    let response = result.as_ref();
    response.is_ok_and(|response| !Class::of(response.status.as_u16()).is_failure())
}

/// Returns why a result cannot be used.
fn to_cause(result: &Result<BackendResponse, Cause>) -> Cause {
    match result {
        Ok(response) if response.status == http::StatusCode::SERVICE_UNAVAILABLE => Cause::Busy,
        Ok(_) => Cause::Failed,
        Err(cause) => *cause,
    }
}
