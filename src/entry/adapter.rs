//! The platform interface of an entry: wire dialect, store and cloud.
//!
//! An adapter implements these traits for one platform. It only translates
//! between protocols; all decisions are made by the entry.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::request;
use http::response;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::core::Name;
use crate::core::catalog::Catalog;
use crate::core::fleet::scaling::ScaleOrder;
use crate::core::refusal::Refusal;
use crate::core::request::RequestInfo;
use crate::core::route::servers::Class;
use crate::core::route::servers::cold::Stated;
use crate::core::route::servers::notice::Notice;
use crate::core::usage::WindowCounts;
use crate::web::Body;

/// Translates the HTTP protocol of callers and backend servers.
pub trait Dialect: Send + Sync {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if a header is missing or malformed.
    fn read_request(&self, head: &request::Parts) -> Result<RequestInfo, Refusal>;

    /// Returns the headers to forward to a backend server.
    fn forward_headers(&self, headers: &HeaderMap, info: &ForwardInfo<'_>) -> HeaderMap;

    /// Sets the time that is left for a request that is sent once more.
    fn set_remaining(&self, headers: &mut HeaderMap, remaining: Duration);

    /// Parses the head of a backend server's response.
    fn read_response(&self, head: &response::Parts) -> ResponseInfo;

    /// Returns what a server states about itself in the head of a response.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Returns the name that a server states in its answer to a health check.
    fn server_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Removes the hop-by-hop headers of a backend server's response.
    fn strip_response(&self, headers: &mut HeaderMap);

    /// Returns the response to a refused request.
    fn refuse(&self, refusal: &Refusal) -> Response<Body>;

    /// Returns the directory response, which callers may cache for `ttl`.
    fn directory(&self, entries: &[SocketAddr], ttl: Duration) -> Response<Body>;

    /// Returns whether a request asks for the directory of entries.
    fn is_directory_request(&self, head: &request::Parts) -> bool;

    /// Returns whether a request is a readiness probe.
    fn is_readiness_probe(&self, head: &request::Parts) -> bool;

    /// Returns the id of a server-sent event.
    fn event_id<'a>(&self, event: &'a [u8]) -> Option<&'a str>;
}

/// Holds what the entry adds to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardInfo<'a> {
    /// Server instance that the request is meant for; any other must reject it.
    pub instance: &'a str,
    /// Time remaining until the deadline.
    pub remaining: Duration,
    /// Workspace that owns the caller's key.
    pub workspace: Option<&'a str>,
    /// Scheduling rank at the server; 0 is served first.
    pub priority: Option<u8>,
    /// Id of the last event received from the stream.
    pub last_event: Option<&'a str>,
}

/// Holds the parsed head of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that the response belongs to.
    pub request_id: Option<Name>,
    /// Whether the server states that it did not run the request.
    pub is_not_run: bool,
    /// Whether callers take the status for a promise that the request has not run.
    pub is_promise: bool,
    /// Whether the response carries the server's signature.
    pub is_signed: bool,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Whether the end of the body is the end of the connection.
    pub ends_with_connection: bool,
    /// What the server states about itself.
    pub notice: Notice,
    /// Time after which the server closes an idle connection.
    pub idle_timeout: Option<Duration>,
    /// Whether the server closes the connection after the response.
    pub is_closing: bool,
}

/// Identifies a kind of objects in the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ObjectKind {
    /// The operator's catalog of routes, services and workspaces.
    Catalog,
    /// Backend servers.
    Backends,
    /// Version moves.
    Moves,
    /// Registrations of nodes.
    Nodes,
    /// Leases for the calls that are reserved for one node.
    Leases,
    /// Usage counts stored before they are reported.
    Usage,
    /// Blocks of requests that crash backend servers.
    Quarantine,
    /// Failure domains, by name, whose backend servers are to get no requests.
    Evacuations,
    /// Whether workspaces were ever declared.
    Workspaces,
}

/// Describes a backend server, as registered in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BackendServer {
    /// Name of the server.
    pub instance: Name,
    /// Start time in milliseconds since 1970; distinguishes incarnations.
    pub started_ms: u64,
    /// Service that it runs.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Software version.
    pub version: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining.
    pub is_leaving: bool,
    /// Pricing class: whether the platform may reclaim its VM.
    pub class: Class,
    /// What the record states about the time for which the server stays cold.
    ///
    /// It is not part of what a relay sends, whose layout is fixed.
    #[serde(skip)]
    pub cold: Stated,
}

/// Describes a version move declared by an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeclaredMove {
    /// The service.
    pub service: Name,
    /// The version to move the traffic to.
    pub target: Name,
    /// Duration of the move.
    pub within: Duration,
    /// The outcome reported for this target, if any.
    pub outcome: Option<MoveOutcome>,
}

/// Describes the state of a version move.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MoveOutcome {
    /// The move is in progress.
    Running,
    /// The new version receives all traffic.
    Done,
    /// The move was rolled back; the old version receives all traffic.
    TakenBack,
}

/// Holds the decoded content of a store object.
#[derive(Clone, Debug)]
pub enum Content {
    /// The operator's catalog.
    Catalog(Box<Catalog>),
    /// A backend server.
    Backend(BackendServer),
    /// A declared version move.
    Move(DeclaredMove),
    /// An object written by this program, undecoded.
    Record(Value),
    /// An object that cannot be decoded, with the reason.
    Unreadable(String),
}

/// Represents an object in the store.
#[derive(Clone, Debug)]
pub struct Object {
    /// Name, unique within the kind.
    pub name: Name,
    /// Revision of its last change.
    pub revision: u64,
    /// Decoded content.
    pub content: Content,
}

/// Holds all objects of a kind at one revision.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Revision that the listing reflects.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// Describes one change of an object.
#[derive(Clone, Debug)]
pub struct Change {
    /// The object after the change, or before its removal.
    pub object: Object,
    /// Whether it was removed.
    pub is_removed: bool,
}

/// Describes the result of a watch call.
#[derive(Clone, Debug)]
pub enum WatchResult {
    /// Changes up to a revision; empty if the watch timed out.
    Changes(u64, Vec<Change>),
    /// The store no longer has the history since the requested revision.
    HistoryGone,
}

/// Describes why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The store refused the call; nothing was changed.
    Refused(String),
    /// No response arrived; a write may have been applied or may be applied later.
    Lost(String),
    /// The connection ended before the response; a write may have been applied.
    Cut,
    /// The object does not match the condition of the write.
    Conflict,
    /// The object does not exist.
    Missing,
    /// The response cannot be decoded.
    Garbled(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Refused(text) => write!(f, "refused: {text}"),
            StoreError::Lost(text) => write!(f, "no response: {text}"),
            StoreError::Cut => f.write_str("connection ended before the response"),
            StoreError::Conflict => f.write_str("the object has changed"),
            StoreError::Missing => f.write_str("no such object"),
            StoreError::Garbled(text) => write!(f, "malformed response: {text}"),
        }
    }
}

/// How recent the data of a read must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// The data includes all changes acknowledged before the read.
    Current,
    /// The data may be seconds old. The platform bills a fraction of the price.
    Cached,
}

/// Reads and writes the objects of the platform's store.
///
/// The store may return from an older copy of itself, which begins a new era. Revisions
/// of a later era are higher than all of an earlier one.
pub trait Store: Send + Sync {
    /// Returns the era of the latest response, or 0 if the store has named none.
    fn era(&self) -> u64;

    /// Returns the era in which a revision was given out.
    fn era_of(&self, revision: u64) -> u64;

    /// Lists all objects of a kind.
    fn list(
        &self,
        kind: ObjectKind,
        consistency: Consistency,
    ) -> BoxFuture<'_, Result<Listing, StoreError>>;

    /// Waits up to `wait` for changes after a revision.
    fn watch(
        &self,
        kind: ObjectKind,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<WatchResult, StoreError>>;

    /// Reads one object.
    fn get(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> BoxFuture<'_, Result<Option<Object>, StoreError>>;

    /// Creates an object, or replaces one that still has `revision`.
    ///
    /// Returns the new revision.
    fn write(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
        value: &Value,
    ) -> BoxFuture<'_, Result<u64, StoreError>>;

    /// Removes an object that still has `revision`.
    fn remove(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: u64,
    ) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Reports the outcome of a version move.
    fn report_move(
        &self,
        name: &str,
        target: &str,
        outcome: MoveOutcome,
    ) -> BoxFuture<'_, Result<(), StoreError>>;
}

/// Identifies the lease holder that makes a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseHolder {
    /// Name of the node.
    pub node: Name,
    /// Fencing token of its lease.
    pub fence: u64,
}

/// Describes the result of a call to the cloud API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CloudReply {
    /// The call was executed.
    Done,
    /// A holder with a higher fencing token has called, or the request cannot
    /// be fulfilled.
    Refused,
    /// The platform is throttling calls; nothing was changed.
    Busy,
    /// No response arrived; the call may still be executed.
    Lost,
}

/// Makes the cloud API calls that are reserved for the lease holder.
pub trait Cloud: Send + Sync {
    /// Reports the usage counts of one window.
    fn report_usage<'a>(
        &'a self,
        holder: &'a LeaseHolder,
        counts: &'a WindowCounts,
    ) -> BoxFuture<'a, CloudReply>;

    /// Orders backend servers.
    fn order_servers<'a>(
        &'a self,
        holder: &'a LeaseHolder,
        service: &'a str,
        order: &'a ScaleOrder,
    ) -> BoxFuture<'a, CloudReply>;
}

/// Bundles the adapters of one platform.
pub struct Adapter {
    /// The protocol of callers and backend servers.
    pub dialect: Box<dyn Dialect>,
    /// The platform's store.
    pub store: Box<dyn Store>,
    /// Cloud API calls of the lease holder.
    pub cloud: Box<dyn Cloud>,
}
