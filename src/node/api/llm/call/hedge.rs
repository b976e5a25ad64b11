//! Completion requests that are sent to a second engine because the first token is late.

use std::sync::Arc;

use crate::core::Name;
use crate::core::request::TokenCounts;
use crate::core::retry;
use crate::core::retry::Cause;
use crate::core::retry::hedge;
use crate::core::retry::hedge::Subject;
use crate::core::retry::hedge::decision;
use crate::core::retry::hedge::decision::Skipped;
use crate::core::verdict::Verdict;
use crate::node::Node;
use crate::node::admission::Permit;
use crate::node::api::llm::call::Call;
use crate::node::api::llm::call::find_service;
use crate::node::api::llm::call::silence::Relief;
use crate::node::api::llm::call::silence::to_cause;
use crate::node::backends::SelectedServer;
use crate::node::backends::Selection;
use crate::node::backends::engine::AttemptOutcome;
use crate::node::backends::engine::OpenAttempt;
use crate::node::backends::engine::WaitResult;
use crate::node::backends::engine::Waiter;
use crate::node::hedging;
use crate::node::hedging::Late;
use crate::silence;

impl Call {
    /// Waits for the first event of the first attempt, and sends the request to another
    /// engine when that is late.
    pub async fn hedge(
        &mut self,
        node: &Arc<Node>,
        mut first: OpenAttempt,
        waiter: &mut Waiter<'_>,
        permit: &mut Permit,
    ) -> Relief {
        let has_begun = self.record.progress.tokens() > 0 || self.attempts != 1;
        let was_decided = std::mem::replace(&mut self.is_hedge_decided, true);
        if !hedging::is_on(node) || has_begun || was_decided {
            return Relief::Open(Box::new(first));
        }
        let route = self.route_name.clone();
        let model: Name = self.completion.model.as_str().into();
        let subject = self.subject(&model, &route);
        hedging::count(node, &subject);
        let handover = first.handover(&self.record.progress);
        let delay = hedging::delay(node, &subject);
        let mut check_at = delay.map_or(first.limit(), |delay| delay.min(first.limit()));
        let server = loop {
            let wait = check_at.saturating_sub(first.started.elapsed());
            match waiter.wait(&handover, first.receive(), wait).await {
                WaitResult::Ready(received) => {
                    if received.is_ok() {
                        hedging::record(node, &subject, first.started.elapsed());
                    }
                    first.put_back(received);
                    return Relief::Open(Box::new(first));
                }
                WaitResult::Deadline => return ended(first, AttemptOutcome::Failed(Cause::Silent)),
                WaitResult::Ended(outcome) => return ended(first, outcome),
                WaitResult::Silent => {}
            }
            let elapsed = first.started.elapsed();
            let chosen = if delay.is_some() && elapsed < first.limit() {
                self.choose_hedge(node, &first, &subject)
            } else {
                Err(Skipped::Attempts)
            };
            check_at = match chosen {
                Ok(server) => break Some(server),
                Err(Skipped::NotSooner) => hedge::next_check(elapsed).min(first.limit()),
                Err(_) => break None,
            };
        };
        first.shorten_limit(first.started.elapsed());
        let Some(server) = server else {
            return Relief::Open(Box::new(first));
        };
        let in_flight = self.reserve(node, &server, permit);
        let Some(mut second) = self.start(node, &server, in_flight, true) else {
            return Relief::Open(Box::new(first));
        };
        let racing = async {
            tokio::select! {
                biased;
                received = first.receive() => (true, received),
                received = second.receive() => (false, received),
            }
        };
        let raced = waiter.wait(&handover, racing, silence::MAX_OVERLAP).await;
        match raced {
            WaitResult::Ready((is_first, Ok(event))) => {
                hedging::record(node, &subject, first.started.elapsed());
                hedging::count_ended(node, if is_first { "lost" } else { "won" });
                let (mut winner, loser) = if is_first {
                    (first, second)
                } else {
                    (second, first)
                };
                winner.put_back(Ok(event));
                self.cancel(loser);
                Relief::Open(Box::new(winner))
            }
            WaitResult::Ready((is_first, Err(outcome))) => {
                hedging::count_ended(node, if is_first { "first_failed" } else { "failed" });
                let (mut failed, other) = if is_first {
                    (first, second)
                } else {
                    (second, first)
                };
                if matches!(outcome, AttemptOutcome::Rejected { .. }) {
                    // The other engine would reject the request too.
                    failed.put_back(Err(outcome));
                    self.cancel(other);
                    return Relief::Open(Box::new(failed));
                }
                let cause = to_cause(Err(outcome));
                self.may_have_run |= cause.verdict() == Verdict::MayHaveRun;
                self.record_failure(node, failed, cause).await;
                Relief::Open(Box::new(other))
            }
            WaitResult::Silent => {
                let outlook = |attempt: &OpenAttempt| {
                    hedging::outlook(node, &subject, attempt.started.elapsed())
                };
                let is_sooner = decision::is_sooner(&outlook(&first), &outlook(&second));
                hedging::count_ended(node, if is_sooner { "moved" } else { "cancelled_late" });
                let (kept, cancelled) = if is_sooner {
                    (second, first)
                } else {
                    (first, second)
                };
                self.cancel(cancelled);
                Relief::Open(Box::new(kept))
            }
            WaitResult::Deadline => {
                hedging::count_ended(node, "deadline");
                self.cancel(second);
                ended(first, AttemptOutcome::Failed(Cause::Silent))
            }
            WaitResult::Ended(outcome) => {
                hedging::count_ended(node, "abandoned");
                self.cancel(second);
                ended(first, outcome)
            }
        }
    }

    /// Cancels an attempt that has not failed and may have run.
    fn cancel(&mut self, attempt: OpenAttempt) {
        self.may_have_run = true;
        self.tried_servers.push(attempt.server.id.clone());
    }

    fn choose_hedge(
        &self,
        node: &Node,
        first: &OpenAttempt,
        subject: &Subject<'_>,
    ) -> Result<SelectedServer, Skipped> {
        self.check_crashes(node).map_err(|_| Skipped::Suspected)?;
        let installed = node.config.load();
        let (name, service) = find_service(&installed.config, &self.completion.model)
            .map_err(|_| Skipped::NoServer)?;
        let excluded = self.deprioritized(node);
        let selection = Selection {
            name,
            service,
            request: &self.route,
            deprioritized: &excluded,
            random_number: self.random_number,
            suspect: None,
        };
        let late = Late {
            subject: *subject,
            selection,
            workspace: &self.record.workspace,
            first: &first.server,
            elapsed: first.started.elapsed(),
            attempts: self.attempts,
            max_attempts: retry::MAX_ATTEMPTS,
            deadline: self.record.deadline,
            is_suspected: self.is_suspect(node),
        };
        hedging::choose(node, &late)
    }

    fn subject<'a>(&self, service: &'a Name, route: &'a Name) -> Subject<'a> {
        Subject {
            service,
            route,
            tokens: Some(TokenCounts {
                prompt: self.route.prompt_tokens,
                max_output: self.route.answer_tokens,
            }),
        }
    }
}

fn ended(attempt: OpenAttempt, outcome: AttemptOutcome) -> Relief {
    Relief::Ended(Box::new(attempt), outcome)
}
