//! Headers that callers send.

use std::time::Duration;

use http::HeaderMap;

use crate::core::Name;
use crate::core::config::Workspace;
use crate::core::limit::Priority;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::time::Time;
use crate::node::Node;

/// Time that a caller waits if it does not say.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest time that a caller may say it waits.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Longest request id or key, in bytes.
const MAX_ID_BYTES: usize = 128;

/// What the headers of a request say.
#[derive(Clone, Debug)]
pub struct Head {
    /// The workspace.
    pub workspace: Name,
    /// Limits of the workspace.
    pub limits: Workspace,
    /// The caller's request id, or one made for it.
    pub request: Name,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The key of a call that must not run twice.
    pub key: Option<Name>,
    /// Kind of work, if the caller says so.
    pub priority: Option<Priority>,
    /// Where a stream that is resumed was left.
    pub last_event: Option<LastEvent>,
}

/// Where a stream was left.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LastEvent {
    /// Name of the stream.
    pub stream: Name,
    /// The last token that the caller received.
    pub index: u64,
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let is_plain = |text: &&str| text.len() <= MAX_ID_BYTES && !text.is_empty();
    match value.to_str().ok().filter(is_plain) {
        Some(text) => Ok(Some(text)),
        None => Err(invalid(
            name,
            format!("expected 1 to {MAX_ID_BYTES} printable ASCII characters"),
        )),
    }
}

fn invalid(name: &str, problem: impl std::fmt::Display) -> Refusal {
    Refusal::new(Reason::Malformed, format!("{name}: {problem}"))
}

impl Head {
    /// Reads and checks the headers.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the header that is missing or wrong.
    pub fn parse(node: &Node, headers: &HeaderMap) -> Result<Self, Refusal> {
        let request = match text(headers, "x-request-id")? {
            Some(id) => id.into(),
            None => node.next_id(),
        };
        let Some(workspace) = text(headers, "cassialock-workspace")? else {
            return Err(invalid("cassialock-workspace", "is missing"));
        };
        if node.config.number() == 0 {
            return Err(
                Refusal::new(Reason::NotReady, "the node has no configuration yet")
                    .with_retry_after(Duration::from_secs(1)),
            );
        }
        let installed = node.config.load();
        let Some((workspace, limits)) = installed.config.workspaces.entry(workspace) else {
            let detail = format!("no workspace named {workspace}");
            return Err(Refusal::new(Reason::UnknownWorkspace, detail));
        };
        Ok(Self {
            workspace: workspace.clone(),
            limits: limits.clone(),
            request,
            deadline: node.clock.now() + parse_deadline(headers)?,
            key: text(headers, "idempotency-key")?.map(Into::into),
            priority: parse_priority(headers)?,
            last_event: parse_last_event(headers)?,
        })
    }
}

fn parse_deadline(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let name = "cassialock-deadline-ms";
    let Some(value) = text(headers, name)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let max = MAX_DEADLINE.as_millis() as u64;
    match value.parse() {
        Ok(millis) if (1..=max).contains(&millis) => Ok(Duration::from_millis(millis)),
        _ => Err(invalid(
            name,
            format!("expected milliseconds from 1 to {max}"),
        )),
    }
}

fn parse_priority(headers: &HeaderMap) -> Result<Option<Priority>, Refusal> {
    let name = "cassialock-priority";
    match text(headers, name)? {
        None => Ok(None),
        Some(value) => match Priority::parse(value) {
            Some(priority) => Ok(Some(priority)),
            None => Err(invalid(name, "expected stream, panel or batch")),
        },
    }
}

fn parse_last_event(headers: &HeaderMap) -> Result<Option<LastEvent>, Refusal> {
    let name = "last-event-id";
    let Some(value) = text(headers, name)? else {
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
        None => Err(invalid(name, "expected the id of an event of this service")),
    }
}
