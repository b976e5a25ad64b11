//! The headers and pages that callers and backend servers speak.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::request;
use http::response;
use serde_json::json;

use crate::core::Name;
use crate::core::refusal::Reason;
use crate::core::refusal::Refusal;
use crate::core::request::Ask;
use crate::core::request::Part;
use crate::core::request::Tokens;
use crate::core::route::servers::Load;
use crate::core::verdict::Verdict;
use crate::entry::outside::Dialect;
use crate::entry::outside::PassOn;
use crate::entry::outside::Reply;
use crate::web;
use crate::web::Body;

/// Identifies one attempt of a client.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-cassialock-request-id");

/// Milliseconds for which the sender waits.
const DEADLINE: HeaderName = HeaderName::from_static("x-cassialock-deadline-ms");

/// Tokens of the prompt and of the answer at most, separated by a comma.
const TOKENS: HeaderName = HeaderName::from_static("x-cassialock-token-usage");

/// Parts of the prompt, as ID:TOKENS with the ID in hexadecimal.
const PARTS: HeaderName = HeaderName::from_static("x-cassialock-prompt-prefix");

/// The incarnation of a server that alone may run the request.
const INSTANCE: HeaderName = HeaderName::from_static("x-cassialock-expect-instance");

/// The workspace that holds the caller's key.
const WORKSPACE: HeaderName = HeaderName::from_static("x-cassialock-tenant");

/// Rank of a request at a server, from 0 to 9.
const PRIORITY: HeaderName = HeaderName::from_static("x-cassialock-request-priority");

/// Signature of a server's response.
const STAMP: HeaderName = HeaderName::from_static("x-cassialock-response-stamp");

/// States that a server did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-cassialock-not-executed");

/// Running requests, waiting requests and slots, separated by commas.
const LOAD: HeaderName = HeaderName::from_static("x-cassialock-server-load");

const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that only this system sets.
const OWN: [HeaderName; 10] = [
    INSTANCE,
    WORKSPACE,
    PRIORITY,
    DEADLINE,
    HeaderName::from_static("x-cassialock-expect-version"),
    HeaderName::from_static("x-cassialock-hold"),
    HeaderName::from_static("x-cassialock-pin-ms"),
    HeaderName::from_static("x-cassialock-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    KEEP_ALIVE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("proxy-connection"),
];

/// Largest rank that a server knows.
const LOWEST_PRIORITY: u8 = 9;

/// Scheme of the header that carries a key.
const KEY_SCHEME: &str = "Token ";

/// The platform's dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeaderProtocol;

impl HeaderProtocol {
    /// Creates the dialect.
    pub fn new() -> Self {
        Self
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name)?.trim().parse().ok()
}

fn malformed(name: &HeaderName, problem: &str) -> Refusal {
    Refusal::new(Reason::Malformed, format!("{name}: {problem}"))
}

fn parse_parts(value: &str) -> Option<Vec<Part>> {
    let part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(Part {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    value.split(',').map(part).collect()
}

fn parse_tokens(value: &str) -> Option<Tokens> {
    let (prompt, answer) = value.split_once(',')?;
    Some(Tokens {
        prompt: prompt.trim().parse().ok()?,
        answer: answer.trim().parse().ok()?,
    })
}

fn parse_load(value: &str) -> Option<Load> {
    let mut numbers = value.split(',').map(|number| number.trim().parse());
    Some(Load {
        running: numbers.next()?.ok()?,
        waiting: numbers.next()?.ok()?,
    })
}

/// Returns the value of `timeout` in a `Keep-Alive` header.
fn parse_idle(value: &str) -> Option<Duration> {
    let value = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(value.parse().ok()?))
}

fn has_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Removes what concerns one connection only, and what its headers name so.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Returns the status for a refusal.
///
/// 429 and 503 promise that the request never ran and never will; 502 and 504
/// promise nothing.
fn status(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.verdict) {
        (Reason::Deadline, Verdict::MayHaveRun) => StatusCode::GATEWAY_TIMEOUT,
        (_, Verdict::MayHaveRun) => StatusCode::BAD_GATEWAY,
        (Reason::Malformed, _) => StatusCode::BAD_REQUEST,
        (Reason::UnknownKey, _) => StatusCode::UNAUTHORIZED,
        (Reason::UnknownRoute, _) => StatusCode::NOT_FOUND,
        (Reason::Oversize, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (Reason::WorkspaceLimit, _) => StatusCode::TOO_MANY_REQUESTS,
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl Dialect for HeaderProtocol {
    fn read_ask(&self, head: &request::Parts) -> Result<Ask, Refusal> {
        let headers = &head.headers;
        let host = match text(headers, &header::HOST) {
            Some(host) => host,
            None => head.uri.host().unwrap_or_default(),
        };
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let Some(id) = text(headers, &REQUEST_ID) else {
            return Err(malformed(&REQUEST_ID, "is missing"));
        };
        let parts = match text(headers, &PARTS) {
            Some(value) => parse_parts(value).unwrap_or_default(),
            None => Vec::new(),
        };
        let key = text(headers, &header::AUTHORIZATION)
            .and_then(|value| value.strip_prefix(KEY_SCHEME))
            .map(|key| Name::from(key.trim()));
        Ok(Ask {
            id: id.into(),
            host: host.to_ascii_lowercase().into(),
            path: head.uri.path().into(),
            key,
            patience: number::<f64>(headers, &DEADLINE)
                .and_then(|millis| Duration::try_from_secs_f64(millis / 1_000.0).ok()),
            parts,
            tokens: text(headers, &TOKENS).and_then(parse_tokens),
            last_event: text(headers, &LAST_EVENT).map(Into::into),
        })
    }

    fn pass_on(&self, headers: &HeaderMap, order: &PassOn<'_>) -> HeaderMap {
        let mut passed = headers.clone();
        strip_hop_by_hop(&mut passed);
        for name in OWN {
            passed.remove(name);
        }
        for name in [
            header::AUTHORIZATION,
            header::CONTENT_LENGTH,
            header::EXPECT,
        ] {
            passed.remove(name);
        }
        let mut set = |name: HeaderName, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                passed.insert(name, value);
            }
        };
        set(INSTANCE, order.instance);
        set(DEADLINE, &order.left.as_millis().max(1).to_string());
        if let Some(workspace) = order.workspace {
            set(WORKSPACE, workspace);
        }
        if let Some(priority) = order.priority {
            set(PRIORITY, &priority.min(LOWEST_PRIORITY).to_string());
        }
        if let Some(id) = order.last_event {
            set(LAST_EVENT, id);
        }
        passed
    }

    fn read_reply(&self, head: &response::Parts) -> Reply {
        let headers = &head.headers;
        let is_other = head.status == StatusCode::MISDIRECTED_REQUEST;
        Reply {
            request: text(headers, &REQUEST_ID).map(Into::into),
            is_not_run: is_other || headers.contains_key(NOT_RUN),
            is_other,
            is_signed: headers.contains_key(STAMP),
            load: text(headers, &LOAD).and_then(parse_load),
            idle_time: text(headers, &KEEP_ALIVE).and_then(parse_idle),
            is_last: has_close(headers),
        }
    }

    fn strip_reply(&self, headers: &mut HeaderMap) {
        strip_hop_by_hop(headers);
    }

    fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        let body = json!({
            "reason": refusal.reason.as_str(),
            "verdict": refusal.verdict.as_str(),
            "detail": refusal.detail,
        });
        let mut response = web::json(status(refusal), &body);
        if let Some(wait) = refusal.retry_after {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }

    fn directory(&self, entries: &[SocketAddr], keep: Duration) -> Response<Body> {
        let addresses: Vec<String> = entries.iter().map(ToString::to_string).collect();
        let status = if addresses.is_empty() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        let body = json!({"addresses": addresses, "ttl_s": keep.as_secs_f64()});
        web::json(status, &body)
    }

    fn is_directory(&self, head: &request::Parts) -> bool {
        head.uri.path() == "/v1/resolve"
    }

    fn is_readiness(&self, head: &request::Parts) -> bool {
        head.uri.path() == "/v1/ready"
    }

    fn event_id<'a>(&self, event: &'a [u8]) -> Option<&'a str> {
        let lines = event.split(|byte| *byte == b'\n');
        let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
        std::str::from_utf8(id).ok().map(str::trim)
    }
}
