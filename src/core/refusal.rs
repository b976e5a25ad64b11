//! Refusals and their reasons.

use std::time::Duration;

use crate::core::verdict::Verdict;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The request was malformed; the detail says where.
    Malformed,
    /// The body is larger than the limit.
    Oversize,
    /// No service of this name is configured.
    UnknownService,
    /// No route matches this method and path.
    UnknownRoute,
    /// No workspace of this name is configured.
    UnknownWorkspace,
    /// No workspace holds the caller's key.
    UnknownKey,
    /// The route may run at most once and the call carries no key.
    KeyRequired,
    /// The key was used before with a different body.
    KeyReused,
    /// The same keyed call is still running.
    InProgress,
    /// The same keyed call was sent before and its outcome is not known.
    OutcomeUnknown,
    /// The claim could not be made in the object store.
    ClaimUnavailable,
    /// The answer cannot be ready before the caller's deadline.
    Deadline,
    /// The workspace has used up its share and the queue is full.
    WorkspaceLimit,
    /// The queue of work before the backend servers is full.
    Overloaded,
    /// No live backend server can take the request.
    NoServer,
    /// The request took down the backend servers that ran it.
    CrashingRequest,
    /// The retry budget is spent.
    RetryBudget,
    /// The backend server failed while it ran the request.
    BackendFailed,
    /// The stream named by `Last-Event-ID` is not known here.
    UnknownStream,
    /// The node is stopping.
    Stopping,
    /// The node has no configuration yet.
    NotReady,
    /// A configuration change was based on an old number.
    ConfigConflict,
    /// The platform's object store did not answer.
    StoreUnavailable,
}

impl Reason {
    /// Returns the label used in bodies and counters.
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

    /// Returns the HTTP status code of a refusal for this reason.
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

/// A refusal: what the caller is told in place of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// One sentence for a person.
    pub detail: String,
    /// How long the caller should wait before it tries again.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets whether the request may have run.
    #[must_use]
    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets how long the caller should wait before it tries again.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
