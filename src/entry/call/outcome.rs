//! Requests that end without an answer.

use std::sync::Arc;

use crate::core::Name;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::telemetry::events::Event;

/// What a request was waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The rest of its own body.
    Body,
    /// The beginning of an answer.
    Server,
    /// The rest of an answer that has begun.
    Answer,
}

impl Stage {
    /// Returns the label used in events and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Stage::Body => "body",
            Stage::Server => "server",
            Stage::Answer => "answer",
        }
    }
}

/// Records a request as abandoned if it is dropped before its outcome is settled.
///
/// The HTTP library drops the handler of a request when its connection ends.
pub struct Outcome {
    entry: Arc<Entry>,
    request: Name,
    arrived: Time,
    stage: Option<Stage>,
}

impl Outcome {
    /// Creates the outcome of a request that is not settled yet.
    pub fn new(entry: &Arc<Entry>, request: Name, arrived: Time, stage: Stage) -> Self {
        Self {
            entry: Arc::clone(entry),
            request,
            arrived,
            stage: Some(stage),
        }
    }

    /// Sets what an unsettled request is waiting for.
    pub fn enter(&mut self, stage: Stage) {
        if self.stage.is_some() {
            self.stage = Some(stage);
        }
    }

    /// Returns whether an answer has begun.
    pub fn has_answer(&self) -> bool {
        self.stage == Some(Stage::Answer)
    }

    /// Notes that the request has been answered, refused or broken off.
    pub fn settle(&mut self) {
        self.stage = None;
    }
}

impl Drop for Outcome {
    fn drop(&mut self) {
        let Some(stage) = self.stage else { return };
        let cause = if std::thread::panicking() {
            "panic"
        } else {
            "connection_ended"
        };
        metrics::counter!(
            "cassialock_abandoned_requests_total",
            "stage" => stage.as_str(),
            "cause" => cause,
        )
        .increment(1);
        self.entry.events.write(
            Event::for_request("request_abandoned", &self.request)
                .with("stage", stage.as_str())
                .with("cause", cause)
                .with("is_leaving", self.entry.is_leaving())
                .with_ms("after_ms", self.entry.clock.now().since(self.arrived)),
        );
    }
}
