//! What an entry needs from outside: callers' dialect, store and cloud.
//!
//! An adapter implements these traits for one platform. It translates and
//! decides nothing.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::Response;
use http::request;
use http::response;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::core::Name;
use crate::core::catalog::Catalog;
use crate::core::fleet::scaling::ScaleOrder;
use crate::core::refusal::Refusal;
use crate::core::request::Ask;
use crate::core::route::servers::Class;
use crate::core::route::servers::Load;
use crate::core::usage::Counts;
use crate::web::Body;

/// The protocol that callers and backend servers speak.
pub trait Dialect: Send + Sync {
    /// Reads what a caller asks for.
    ///
    /// # Errors
    ///
    /// Returns a refusal if a header cannot be used.
    fn read_ask(&self, head: &request::Parts) -> Result<Ask, Refusal>;

    /// Returns the headers to pass on to a backend server.
    fn pass_on(&self, headers: &HeaderMap, order: &PassOn<'_>) -> HeaderMap;

    /// Reads the head of a backend server's response.
    fn read_reply(&self, head: &response::Parts) -> Reply;

    /// Removes the headers of a response that concern one connection only.
    fn strip_reply(&self, headers: &mut HeaderMap);

    /// Returns the answer to a request that is refused.
    fn refuse(&self, refusal: &Refusal) -> Response<Body>;

    /// Returns the answer to a caller that asks for entries.
    fn directory(&self, entries: &[SocketAddr], keep: Duration) -> Response<Body>;

    /// Returns whether a request asks for entries.
    fn is_directory(&self, head: &request::Parts) -> bool;

    /// Returns whether a request asks whether the node is ready.
    fn is_readiness(&self, head: &request::Parts) -> bool;

    /// Returns the id in one event of a stream.
    fn event_id<'a>(&self, event: &'a [u8]) -> Option<&'a str>;
}

/// What the entry adds to a request.
#[derive(Clone, Copy, Debug)]
pub struct PassOn<'a> {
    /// Name of the server's incarnation; any other must not run the request.
    pub instance: &'a str,
    /// Time that is left for the answer.
    pub left: Duration,
    /// The workspace that holds the caller's key.
    pub workspace: Option<&'a str>,
    /// Rank of the request at the server; 0 goes first.
    pub priority: Option<u8>,
    /// Id of the last event that was received of the stream.
    pub last_event: Option<&'a str>,
}

/// What the head of a response says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// The request that the response answers.
    pub request: Option<Name>,
    /// Whether the server vouches that it did not run the request.
    pub is_not_run: bool,
    /// Whether the address belongs to another server by now.
    pub is_other: bool,
    /// Whether the response bears the server's signature.
    pub is_signed: bool,
    /// Requests at the server.
    pub load: Option<Load>,
    /// How long the server keeps the connection open when unused.
    pub idle_time: Option<Duration>,
    /// Whether the server closes the connection after the response.
    pub is_last: bool,
}

/// Kinds of objects in the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// The declaration of the operator.
    Catalog,
    /// Backend servers.
    Backends,
    /// Version moves.
    Moves,
    /// Nodes of the deployment.
    Nodes,
    /// Leases of duties.
    Leases,
    /// Usage that was claimed for a report.
    Usage,
}

/// A backend server as it describes itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Listed {
    /// Name of the server.
    pub instance: Name,
    /// Time of its start, in milliseconds since 1970; tells incarnations apart.
    pub born: u64,
    /// Its service.
    pub service: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Version of its software.
    pub version: Name,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether the platform may take it back.
    pub class: Class,
}

/// A version move that an operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Declared {
    /// The service.
    pub service: Name,
    /// The version that is to take the traffic.
    pub target: Name,
    /// Time in which it must have done so.
    pub within: Duration,
    /// The outcome that was reported for this target, if there is one.
    pub outcome: Option<Outcome>,
}

/// How a version move stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It goes on.
    Running,
    /// The new version has all traffic.
    Done,
    /// The old version has all traffic again.
    TakenBack,
}

/// The content of an object.
#[derive(Clone, Debug)]
pub enum Content {
    /// The declaration of the operator.
    Catalog(Box<Catalog>),
    /// A backend server.
    Backend(Listed),
    /// A version move.
    Move(Declared),
    /// An object of this program.
    Record(Value),
    /// Something that cannot be used, and why.
    Unreadable(String),
}

/// An object in the store.
#[derive(Clone, Debug)]
pub struct Object {
    /// Its name, which is unique within its kind.
    pub name: Name,
    /// Revision of its last change.
    pub revision: u64,
    /// The content.
    pub content: Content,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Revision that the listing reflects.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// One change of an object.
#[derive(Clone, Debug)]
pub struct Change {
    /// The object after the change, or before its removal.
    pub object: Object,
    /// Whether it was removed.
    pub is_removed: bool,
}

/// What a watch saw.
#[derive(Clone, Debug)]
pub enum Watched {
    /// Changes up to a revision; none if the wait is over.
    Changes(u64, Vec<Change>),
    /// The store no longer knows the changes since the revision asked for.
    HistoryGone,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The store refused the call; nothing was done.
    Refused(String),
    /// No answer came; a write may have been done, or be done later.
    Lost(String),
    /// The object is not as the condition says.
    Conflict,
    /// The object does not exist.
    Missing,
    /// The answer cannot be read.
    Garbled(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Refused(text) => write!(f, "refused: {text}"),
            StoreError::Lost(text) => write!(f, "no answer: {text}"),
            StoreError::Conflict => f.write_str("the object has changed"),
            StoreError::Missing => f.write_str("no such object"),
            StoreError::Garbled(text) => write!(f, "unreadable answer: {text}"),
        }
    }
}

/// The platform's store.
pub trait Store: Send + Sync {
    /// Lists all objects of a kind.
    fn list(&self, kind: Kind) -> BoxFuture<'_, Result<Listing, StoreError>>;

    /// Waits for changes after a revision, at most for `wait`.
    fn watch(
        &self,
        kind: Kind,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Watched, StoreError>>;

    /// Reads one object.
    fn get(&self, kind: Kind, name: &str) -> BoxFuture<'_, Result<Option<Object>, StoreError>>;

    /// Writes an object: a new one, or one that still has `revision`.
    ///
    /// Returns the new revision.
    fn write(
        &self,
        kind: Kind,
        name: &str,
        revision: Option<u64>,
        value: &Value,
    ) -> BoxFuture<'_, Result<u64, StoreError>>;

    /// Removes an object that still has `revision`.
    fn remove(
        &self,
        kind: Kind,
        name: &str,
        revision: u64,
    ) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Reports how a version move stands.
    fn report_move(
        &self,
        name: &str,
        target: &str,
        outcome: Outcome,
    ) -> BoxFuture<'_, Result<(), StoreError>>;
}

/// Who makes a call that only one node may make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Name of the node.
    pub node: Name,
    /// Fencing number of its lease.
    pub fence: u64,
}

/// What became of a call that only one node may make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CloudReply {
    /// It was carried out.
    Done,
    /// A holder with a higher fencing number has called, or what was asked for
    /// is not to be had.
    Refused,
    /// The platform takes no more calls at the moment; nothing was done.
    Busy,
    /// No answer came; it may be carried out later.
    Lost,
}

/// Calls that only one node may make.
pub trait Cloud: Send + Sync {
    /// Reports the usage of one window.
    fn report_usage<'a>(
        &'a self,
        holder: &'a Holder,
        counts: &'a Counts,
    ) -> BoxFuture<'a, CloudReply>;

    /// Orders backend servers.
    fn order_servers<'a>(
        &'a self,
        holder: &'a Holder,
        service: &'a str,
        order: &'a ScaleOrder,
    ) -> BoxFuture<'a, CloudReply>;
}

/// Everything outside of an entry.
pub struct Outside {
    /// The protocol of callers and backend servers.
    pub dialect: Box<dyn Dialect>,
    /// The platform's store.
    pub store: Box<dyn Store>,
    /// Calls that only one node may make.
    pub cloud: Box<dyn Cloud>,
}
