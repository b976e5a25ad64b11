//! Refused requests and the reasons for refusing them.

use std::time::Duration;

use crate::core::verdict::Verdict;

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The request is malformed; the detail names the fault.
    Malformed,
    /// The body exceeds the size limit.
    Oversize,
    /// No service of this name is configured.
    UnknownService,
    /// No route matches this method and path.
    UnknownRoute,
    /// No workspace of this name is configured.
    UnknownWorkspace,
    /// No workspace has the caller's API key.
    UnknownKey,
    /// The route runs requests at most once and the request has no idempotency key.
    KeyRequired,
    /// The idempotency key was used before with a different body.
    KeyReused,
    /// A request with the same idempotency key is still running.
    InProgress,
    /// A request with the same idempotency key was sent before and its outcome is unknown.
    OutcomeUnknown,
    /// The idempotency key could not be claimed in the object store.
    ClaimUnavailable,
    /// The response cannot be ready before the caller's deadline.
    Deadline,
    /// The workspace has used up its quota or its share of the queue.
    WorkspaceLimit,
    /// The queue for the backend servers is full.
    Overloaded,
    /// No live backend server can take the request.
    NoServer,
    /// The request crashed the backend servers that ran it.
    CrashingRequest,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The backend server failed while running the request.
    BackendFailed,
    /// The stream named by `Last-Event-ID` is not known at this node.
    UnknownStream,
    /// The node is shutting down.
    Stopping,
    /// The node has no configuration yet.
    NotReady,
    /// A configuration change was based on an outdated configuration number.
    ConfigConflict,
    /// The platform's object store did not respond.
    StoreUnavailable,
}

impl Reason {
    /// Returns the label used in response bodies and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::Oversize => "oversize",
            Reason::UnknownService => "unknown_service",
            Reason::UnknownRoute => "unknown_route",
            Reason::UnknownWorkspace => "unknown_workspace",
            Reason::UnknownKey => "unknown_key",
            Reason::KeyRequired => "key_required",
            Reason::KeyReused => "key_reused",
            Reason::InProgress => "in_progress",
            Reason::OutcomeUnknown => "outcome_unknown",
            Reason::ClaimUnavailable => "claim_unavailable",
            Reason::Deadline => "deadline",
            Reason::WorkspaceLimit => "workspace_limit",
            Reason::Overloaded => "overloaded",
            Reason::NoServer => "no_server",
            Reason::CrashingRequest => "crashing_request",
            Reason::RetryBudget => "retry_budget",
            Reason::BackendFailed => "backend_failed",
            Reason::UnknownStream => "unknown_stream",
            Reason::Stopping => "stopping",
            Reason::NotReady => "not_ready",
            Reason::ConfigConflict => "config_conflict",
            Reason::StoreUnavailable => "store_unavailable",
        }
    }

    /// Returns the HTTP status code for this reason.
    pub const fn status(self) -> u16 {
        match self {
            Reason::Malformed => 400,
            Reason::UnknownKey => 401,
            Reason::UnknownService | Reason::UnknownRoute => 404,
            Reason::UnknownWorkspace => 403,
            Reason::InProgress | Reason::OutcomeUnknown | Reason::ConfigConflict => 409,
            Reason::UnknownStream => 410,
            Reason::Oversize => 413,
            Reason::KeyReused | Reason::CrashingRequest => 422,
            Reason::KeyRequired => 428,
            Reason::WorkspaceLimit => 429,
            Reason::BackendFailed => 502,
            Reason::Deadline => 504,
            Reason::ClaimUnavailable
            | Reason::Overloaded
            | Reason::NoServer
            | Reason::RetryBudget
            | Reason::Stopping
            | Reason::NotReady
            | Reason::StoreUnavailable => 503,
        }
    }
}

/// Describes a refused request to its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Human-readable explanation in one sentence.
    pub detail: String,
    /// Inputs of the decision, which are logged and not sent to the caller.
    pub inputs: Option<String>,
    /// Time that the caller should wait before retrying.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal for a request that did not run.
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            detail: detail.into(),
            inputs: None,
            retry_after: None,
        }
    }

    /// Sets the inputs of the decision, for the log.
    #[must_use]
    pub fn with_inputs(mut self, inputs: String) -> Self {
        self.inputs = Some(inputs);
        self
    }

    /// Sets whether the request may have run.
    #[must_use]
    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets the time that the caller should wait before retrying.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
