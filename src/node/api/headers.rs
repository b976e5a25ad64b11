//! Parsing of the request headers that callers send.

use std::time::Duration;

use http::HeaderMap;

use crate::core::Name;
use crate::core::config::Workspace;
use crate::core::limit::Priority;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::time::Time;
use crate::node::Node;

/// Deadline of a request without a `cassialock-deadline-ms` header, relative to
/// its arrival.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Latest deadline that a caller may set, relative to the arrival of the request.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Longest accepted header value, in bytes.
const MAX_VALUE_BYTES: usize = 128;

/// Parsed headers of a request, with the limits of its workspace.
#[derive(Clone, Debug)]
pub struct RequestHeaders {
    /// Name of the workspace.
    pub workspace: Name,
    /// Configured limits of the workspace.
    pub limits: Workspace,
    /// Request id that the caller sent, or a generated one.
    pub request: Name,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Idempotency key of a call that must run at most once.
    pub key: Option<Name>,
    /// Scheduling priority, if the caller set one.
    pub priority: Option<Priority>,
    /// Position from which to resume a stream.
    pub last_event: Option<LastEvent>,
}

/// Position in a stream, sent as `Last-Event-ID: {stream}:{index}`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LastEvent {
    /// Stream id.
    pub stream: Name,
    /// Index of the last token that the caller received.
    pub index: u64,
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let is_valid_length = |text: &&str| text.len() <= MAX_VALUE_BYTES && !text.is_empty();
    match value.to_str().ok().filter(is_valid_length) {
        Some(text) => Ok(Some(text)),
        None => Err(malformed(
            name,
            format!("expected 1 to {MAX_VALUE_BYTES} printable ASCII characters"),
        )),
    }
}

fn malformed(name: &str, problem: impl std::fmt::Display) -> Refusal {
    Refusal::new(Reason::Malformed, format!("{name}: {problem}"))
}

impl RequestHeaders {
    /// Parses and validates the headers.
    ///
    /// # Errors
    ///
    /// Returns a refusal if a header is missing or invalid, the workspace is
    /// unknown, or the node has no configuration yet.
    pub fn parse(node: &Node, headers: &HeaderMap) -> Result<Self, Refusal> {
        let request = match header_value(headers, "x-request-id")? {
            Some(id) => id.into(),
            None => node.next_id(),
        };
        let Some(workspace) = header_value(headers, "cassialock-workspace")? else {
            return Err(malformed("cassialock-workspace", "the header is missing"));
        };
        if node.config.number() == 0 {
            return Err(Refusal::new(
                Reason::NotReady,
                "the node has not received a configuration yet",
            )
            .with_retry_after(Duration::from_secs(1)));
        }
        let installed = node.config.load();
        let Some((workspace, limits)) = installed.config.workspaces.get_key_value(workspace) else {
            let detail = format!("no workspace is named {workspace}");
            return Err(Refusal::new(Reason::UnknownWorkspace, detail));
        };
        Ok(Self {
            workspace: workspace.clone(),
            limits: limits.clone(),
            request,
            deadline: node.clock.now() + parse_deadline(headers)?,
            key: header_value(headers, "idempotency-key")?.map(Into::into),
            priority: parse_priority(headers)?,
            last_event: parse_last_event(headers)?,
        })
    }
}

fn parse_deadline(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let name = "cassialock-deadline-ms";
    let Some(value) = header_value(headers, name)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let max = MAX_DEADLINE.as_millis() as u64;
    match value.parse() {
        Ok(millis) if (1..=max).contains(&millis) => Ok(Duration::from_millis(millis)),
        _ => Err(malformed(
            name,
            format!("expected milliseconds from 1 to {max}"),
        )),
    }
}

fn parse_priority(headers: &HeaderMap) -> Result<Option<Priority>, Refusal> {
    let name = "cassialock-priority";
    match header_value(headers, name)? {
        None => Ok(None),
        Some(value) => match Priority::parse(value) {
            Some(priority) => Ok(Some(priority)),
            None => Err(malformed(name, "expected stream, panel or batch")),
        },
    }
}

fn parse_last_event(headers: &HeaderMap) -> Result<Option<LastEvent>, Refusal> {
    let name = "last-event-id";
    let Some(value) = header_value(headers, name)? else {
        return Ok(None);
    };
    let parsed = value
        .rsplit_once(':')
        .and_then(|(stream, index)| Some((stream, index.parse().ok()?)));
    match parsed {
        Some((stream, index)) => Ok(Some(LastEvent {
            stream: stream.into(),
            index,
        })),
        None => Err(malformed(
            name,
            "expected an event id of the form STREAM:INDEX",
        )),
    }
}
