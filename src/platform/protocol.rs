//! HTTP headers and response bodies exchanged with callers and backend servers.

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
use crate::core::request::PromptPart;
use crate::core::request::RequestInfo;
use crate::core::request::TokenCounts;
use crate::core::route::servers::LoadReport;
use crate::core::route::servers::cold::Stated;
use crate::core::route::servers::notice::Ignored;
use crate::core::route::servers::notice::Notice;
use crate::core::route::servers::notice::Statement;
use crate::core::verdict::Verdict;
use crate::entry::adapter::Dialect;
use crate::entry::adapter::ForwardInfo;
use crate::entry::adapter::ResponseInfo;
use crate::web;
use crate::web::Body;

/// Identifier of one attempt of a client.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-cassialock-request-id");

/// Time for which the sender waits for the response, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("x-cassialock-deadline-ms");

/// Prompt tokens and maximum output tokens, separated by a comma.
const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-cassialock-token-usage");

/// Comma-separated parts of the prompt, as `ID:TOKENS` with a hexadecimal ID.
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-cassialock-prompt-prefix");

/// Name of the server instance that the request is for; no other may run it.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-cassialock-expect-instance");

/// Workspace that owns the caller's key.
const WORKSPACE: HeaderName = HeaderName::from_static("x-cassialock-tenant");

/// Priority of a request at a server, from 0 (highest) to 9.
const PRIORITY: HeaderName = HeaderName::from_static("x-cassialock-request-priority");

/// Signature of a server's response.
const RESPONSE_STAMP: HeaderName = HeaderName::from_static("x-cassialock-response-stamp");

/// Present if the server did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-cassialock-not-executed");

/// Running requests, waiting requests and slots of the server, separated by commas;
/// some servers add the time that work takes at the moment, in percent of the usual.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-cassialock-server-load");

/// Name of the server instance that answers a health check.
const INSTANCE_ID: HeaderName = HeaderName::from_static("x-cassialock-instance-id");

/// Requests per second that the server takes from all nodes together; absent if it
/// does not limit them.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");

/// Milliseconds for which the server stays cold; absent if it is warm.
pub const COLD: HeaderName = HeaderName::from_static("x-cassialock-cold-ms");

/// Present with the value 1 if the server is leaving.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");

const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Statuses that callers take for a promise that a request has not run and never will.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Headers that only this system sets; values from callers are removed.
const INTERNAL: [HeaderName; 10] = [
    EXPECT_INSTANCE,
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

/// Headers that apply to a single connection.
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

/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Lowest priority that servers accept; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;

/// Largest accepted statement of the time that work takes, in percent of the usual: a
/// server a hundred times slower than usual is of no use anyway.
const MAX_WORK_PERCENT: u32 = 10_000;

/// Scheme of the `Authorization` header, with the space that follows it.
const AUTH_SCHEME: &str = "Token ";

/// Reads and writes the HTTP headers of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeaderProtocol;

impl HeaderProtocol {
    /// Creates the protocol.
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

fn parse_prompt_parts(value: &str) -> Option<Vec<PromptPart>> {
    let part = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    value.split(',').map(part).collect()
}

fn parse_tokens(value: &str) -> Option<TokenCounts> {
    let (prompt, max_output) = value.split_once(',')?;
    Some(TokenCounts {
        prompt: prompt.trim().parse().ok()?,
        max_output: max_output.trim().parse().ok()?,
    })
}

/// Returns the time for which a server states that it stays cold.
fn read_cold(headers: &HeaderMap) -> Stated {
    let parse = |text: &str| {
        let millis = text.parse().ok().filter(|millis: &f64| *millis >= 0.0)?;
        Duration::try_from_secs_f64(millis / 1_000.0).ok()
    };
    let mut invalid = None;
    let time = read_statement(headers, &COLD, parse, |value| invalid = Some(value));
    match (time, invalid) {
        (Some(time), _) => Stated::For(time),
        (None, Some(value)) => Stated::Invalid(value),
        (None, None) => Stated::Missing,
    }
}

/// Parses a load report; `reject` gets the statement about the time that work takes if
/// it is not usable.
fn parse_load(value: &str, reject: impl FnOnce(Name)) -> Option<LoadReport> {
    let mut numbers = value.split(',').map(str::trim);
    let mut next = || numbers.next().map(str::parse::<u32>);
    let (running, waiting) = (next()?.ok()?, next()?.ok()?);
    let slots = next().and_then(Result::ok).filter(|slots| *slots > 0);
    let work_percent = match numbers.next() {
        None => None,
        Some(text) => {
            let percent = text.parse().ok();
            let percent = percent.filter(|percent| (1..=MAX_WORK_PERCENT).contains(percent));
            if percent.is_none() {
                reject(text.into());
            }
            percent
        }
    };
    Some(LoadReport {
        running,
        waiting,
        slots,
        work_percent,
    })
}

/// Returns the `timeout` parameter of a `Keep-Alive` header.
fn parse_keep_alive(value: &str) -> Option<Duration> {
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

/// Returns whether the content is an event stream that can be read as it is.
fn has_events(headers: &HeaderMap) -> bool {
    let content = text(headers, &header::CONTENT_TYPE).unwrap_or_default();
    let kind = content.split(';').next().unwrap_or_default().trim();
    kind.eq_ignore_ascii_case(EVENT_STREAM) && !headers.contains_key(header::CONTENT_ENCODING)
}

/// Returns the value of a header, or passes the text to `reject` if `parse` returns
/// `None` or there are several values.
fn read_statement<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    parse: impl FnOnce(&str) -> Option<T>,
    reject: impl FnOnce(Name),
) -> Option<T> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    let value = match (first.to_str(), values.next()) {
        (Ok(text), None) => parse(text.trim()),
        _ => None,
    };
    if value.is_none() {
        let texts: Vec<_> = headers
            .get_all(name)
            .iter()
            .map(|value| String::from_utf8_lossy(value.as_bytes()))
            .collect();
        reject(texts.join(", ").into());
    }
    value
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
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

/// Returns the status code of a refusal.
///
/// 429 and 503 guarantee that the request did not run and never will; 502 and
/// 504 guarantee nothing.
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
    fn read_request(&self, head: &request::Parts) -> Result<RequestInfo, Refusal> {
        let headers = &head.headers;
        let host = match text(headers, &header::HOST) {
            Some(host) => host,
            None => head.uri.host().unwrap_or_default(),
        };
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let Some(id) = text(headers, &REQUEST_ID) else {
            return Err(malformed(&REQUEST_ID, "is missing"));
        };
        let parts = match text(headers, &PROMPT_PREFIX) {
            Some(value) => parse_prompt_parts(value).unwrap_or_default(),
            None => Vec::new(),
        };
        let key = text(headers, &header::AUTHORIZATION)
            .and_then(|value| value.strip_prefix(AUTH_SCHEME))
            .map(|key| Name::from(key.trim()));
        Ok(RequestInfo {
            id: id.into(),
            host: host.to_ascii_lowercase().into(),
            path: head.uri.path().into(),
            api_key: key,
            timeout: number::<f64>(headers, &DEADLINE)
                .and_then(|millis| Duration::try_from_secs_f64(millis / 1_000.0).ok()),
            parts,
            tokens: text(headers, &TOKEN_USAGE).and_then(parse_tokens),
            last_event_id: text(headers, &LAST_EVENT_ID).map(Into::into),
        })
    }

    fn forward_headers(&self, headers: &HeaderMap, info: &ForwardInfo<'_>) -> HeaderMap {
        let mut forwarded = headers.clone();
        strip_hop_by_hop(&mut forwarded);
        for name in INTERNAL {
            forwarded.remove(name);
        }
        for name in [
            header::AUTHORIZATION,
            header::CONTENT_LENGTH,
            header::EXPECT,
        ] {
            forwarded.remove(name);
        }
        let mut set = |name: HeaderName, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                forwarded.insert(name, value);
            }
        };
        set(EXPECT_INSTANCE, info.instance);
        if let Some(workspace) = info.workspace {
            set(WORKSPACE, workspace);
        }
        if let Some(priority) = info.priority {
            set(PRIORITY, &priority.min(LOWEST_PRIORITY).to_string());
        }
        if let Some(id) = info.last_event {
            set(LAST_EVENT_ID, id);
        }
        self.set_remaining(&mut forwarded, info.remaining);
        forwarded
    }

    fn set_remaining(&self, headers: &mut HeaderMap, remaining: Duration) {
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE, HeaderValue::from(millis.max(1)));
    }

    fn read_response(&self, head: &response::Parts) -> ResponseInfo {
        let headers = &head.headers;
        // 421 means that another server has the address by now.
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        ResponseInfo {
            request_id: text(headers, &REQUEST_ID).map(Into::into),
            is_not_run: is_misdirected || headers.contains_key(NOT_EXECUTED),
            is_promise: PROMISES.contains(&head.status),
            is_signed: headers.contains_key(RESPONSE_STAMP),
            is_event_stream: head.status == StatusCode::OK && has_events(headers),
            ends_with_connection: web::ends_with_connection(headers),
            notice: self.read_notice(head.status, headers),
            idle_timeout: text(headers, &KEEP_ALIVE).and_then(parse_keep_alive),
            is_closing: has_close(headers),
        }
    }

    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice {
        let mut invalid = Vec::new();
        let is_leaving = read_statement(
            headers,
            &SERVER_LEAVING,
            |value| (value == "1" && !status.is_informational()).then_some(()),
            |value| {
                let statement = Statement::Leaving;
                invalid.push(Ignored { statement, value });
            },
        );
        let mut closed_s = None;
        if status == StatusCode::SERVICE_UNAVAILABLE || status.is_informational() {
            closed_s = read_statement(
                headers,
                &header::RETRY_AFTER,
                |value| value.parse().ok().filter(|_| !status.is_informational()),
                |value| {
                    let statement = Statement::TurnedAway;
                    invalid.push(Ignored { statement, value });
                },
            );
        }
        let load = text(headers, &SERVER_LOAD).and_then(|value| {
            parse_load(value, |value| {
                let statement = Statement::WorkTime;
                invalid.push(Ignored { statement, value });
            })
        });
        Notice {
            load,
            rate_limit: number(headers, &SERVER_LIMIT)
                .filter(|rate: &f64| rate.is_finite() && *rate >= 0.0),
            is_leaving: is_leaving.is_some(),
            closed_s,
            is_misdirected: status == StatusCode::MISDIRECTED_REQUEST,
            cold: read_cold(headers),
            invalid,
        }
    }

    fn server_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        text(headers, &INSTANCE_ID).map(str::trim)
    }

    fn strip_response(&self, headers: &mut HeaderMap) {
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

    fn directory(&self, entries: &[SocketAddr], ttl: Duration) -> Response<Body> {
        let addresses: Vec<String> = entries.iter().map(ToString::to_string).collect();
        let status = if addresses.is_empty() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        let body = json!({"addresses": addresses, "ttl_s": ttl.as_secs_f64()});
        web::json(status, &body)
    }

    fn is_directory_request(&self, head: &request::Parts) -> bool {
        head.uri.path() == "/v1/resolve"
    }

    fn is_readiness_probe(&self, head: &request::Parts) -> bool {
        head.uri.path() == "/v1/ready"
    }

    fn event_id<'a>(&self, event: &'a [u8]) -> Option<&'a str> {
        let lines = event.split(|byte| *byte == b'\n');
        let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
        std::str::from_utf8(id).ok().map(str::trim)
    }
}
