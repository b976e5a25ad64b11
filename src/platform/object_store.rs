//! Client of the platform's object store, which keeps objects by kind and name.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::core::Name;
use crate::entry::adapter::Change;
use crate::entry::adapter::Consistency;
use crate::entry::adapter::Content;
use crate::entry::adapter::Listing;
use crate::entry::adapter::MoveOutcome;
use crate::entry::adapter::Object;
use crate::entry::adapter::ObjectKind;
use crate::entry::adapter::Store;
use crate::entry::adapter::StoreError;
use crate::entry::adapter::WatchResult;
use crate::platform::client::ApiClient;
use crate::platform::client::ApiRequest;
use crate::platform::client::ApiResponse;
use crate::platform::decode;
use crate::platform::json_parts;
use crate::platform::store_era;
use crate::platform::store_era::Answered;
use crate::platform::store_era::StoreEra;

/// Client of the object store at one address.
///
/// The revisions that it returns and takes are positions; see [`store_era`].
#[derive(Debug)]
pub struct ObjectStore {
    client: Arc<ApiClient>,
    address: SocketAddr,
    era: StoreEra,
}

/// A response and the era of the store that sent it.
struct StoreResponse {
    response: ApiResponse,
    era: u64,
}

/// Returns the platform's name of an object kind.
const fn kind_name(kind: ObjectKind) -> &'static str {
    match kind {
        ObjectKind::Catalog => "config",
        ObjectKind::Backends => "servers",
        ObjectKind::Moves => "rollouts",
        ObjectKind::Nodes => "cassialock-nodes",
        ObjectKind::Leases => "cassialock-leases",
        ObjectKind::Usage => "cassialock-usage",
        ObjectKind::Quarantine => "cassialock-quarantine",
        ObjectKind::Evacuations => "evacuations",
        ObjectKind::Workspaces => "cassialock-workspaces",
    }
}

#[derive(Debug, Deserialize)]
struct WireMeta {
    name: String,
    revision: u64,
}

/// Returns the undecoded parts of a list in a response.
fn list_parts<'a>(body: &'a [u8], name: &str) -> Result<Vec<&'a [u8]>, StoreError> {
    json_parts::member(body, name)
        .and_then(json_parts::elements)
        .ok_or_else(|| StoreError::Garbled(format!("no list {name:?}")))
}

/// Parses a member of a response.
fn parse_member<T: DeserializeOwned>(body: &[u8], name: &str) -> Result<T, StoreError> {
    let value = json_parts::member(body, name);
    value
        .and_then(|value| serde_json::from_slice(value).ok())
        .ok_or_else(|| StoreError::Garbled(format!("no valid {name:?}")))
}

/// Parses the metadata of an object.
fn parse_meta(object: &[u8]) -> Option<WireMeta> {
    serde_json::from_slice(json_parts::member(object, "metadata")?).ok()
}

/// Returns the undecoded name of an object.
fn raw_name(object: &[u8]) -> Option<&[u8]> {
    let meta = json_parts::member(object, "metadata")?;
    json_parts::unquoted(json_parts::member(meta, "name")?)
}

/// Decodes one object of an era; returns `None` if its metadata cannot be read.
///
/// Anyone may write objects, so they are decoded one by one: one that cannot be read,
/// such as one nested too deeply or not in UTF-8, must not affect the others.
fn decode_object(kind: ObjectKind, era: u64, text: &[u8]) -> Option<Object> {
    let Some(meta) = parse_meta(text) else {
        metrics::counter!("cassialock_objects_unnamed_total", "kind" => kind_name(kind))
            .increment(1);
        return None;
    };
    Some(Object {
        content: decode_content(kind, &meta, text),
        name: meta.name.into(),
        revision: store_era::position(era, meta.revision),
    })
}

fn decode_content(kind: ObjectKind, meta: &WireMeta, text: &[u8]) -> Content {
    let spec = match parse_part(text, "spec") {
        Ok(spec) => spec,
        Err(e) => return Content::Unreadable(format!("spec: {e}")),
    };
    match kind {
        ObjectKind::Catalog => decode::catalog(spec),
        ObjectKind::Backends => decode::backend(&meta.name, &spec),
        ObjectKind::Moves => match parse_part(text, "status") {
            Ok(status) => decode::version_move(spec, &status),
            Err(e) => Content::Unreadable(format!("status: {e}")),
        },
        ObjectKind::Nodes
        | ObjectKind::Leases
        | ObjectKind::Usage
        | ObjectKind::Quarantine
        | ObjectKind::Evacuations
        | ObjectKind::Workspaces => Content::Record(spec),
    }
}

/// Parses a part of an object, or returns null if it is missing.
fn parse_part(object: &[u8], name: &str) -> serde_json::Result<Value> {
    json_parts::member(object, name).map_or(Ok(Value::Null), serde_json::from_slice)
}

/// Returns the path and query that list the objects of a kind after a name.
fn list_target(kind: ObjectKind, after: &[u8], consistency: Consistency) -> String {
    let mut query = Vec::new();
    if !after.is_empty() {
        let after: String = form_urlencoded::byte_serialize(after).collect();
        query.push(format!("after={after}"));
    }
    if consistency == Consistency::Cached {
        query.push("serializable=1".into());
    }
    let path = format!("/v1/objects/{}", kind_name(kind));
    if query.is_empty() {
        return path;
    }
    format!("{path}?{}", query.join("&"))
}

fn unreadable_meta() -> StoreError {
    StoreError::Garbled("unreadable object metadata".into())
}

/// Returns an error if the status of a response is not a success.
fn check_status(response: ApiResponse) -> Result<ApiResponse, StoreError> {
    match response.status {
        status if status.is_success() => Ok(response),
        StatusCode::NOT_FOUND => Err(StoreError::Missing),
        StatusCode::CONFLICT => Err(StoreError::Conflict),
        status => Err(StoreError::Refused(format!("unexpected status {status}"))),
    }
}

impl ObjectStore {
    /// Creates a client of the store at `address`.
    pub fn new(client: Arc<ApiClient>, address: SocketAddr) -> Self {
        Self {
            client,
            address,
            era: StoreEra::new(),
        }
    }

    /// Sends a request and records the era of the response, whatever its status.
    async fn send(&self, request: &ApiRequest) -> Result<StoreResponse, StoreError> {
        let response = self.client.call(self.address, request).await?;
        match self.era.record(&response.headers) {
            Answered::In(era) => Ok(StoreResponse { response, era }),
            Answered::Earlier => Err(StoreError::Lost("an answer of an earlier era".into())),
        }
    }

    async fn call(&self, request: ApiRequest) -> Result<StoreResponse, StoreError> {
        let StoreResponse { response, era } = self.send(&request).await?;
        let response = check_status(response)?;
        Ok(StoreResponse { response, era })
    }

    /// Returns the revision for the condition of a write.
    ///
    /// A revision of an earlier era may since have been given to another change.
    fn condition(&self, position: u64) -> Result<u64, StoreError> {
        if store_era::era_of(position) == self.era.current() {
            Ok(store_era::revision_of(position))
        } else {
            Err(StoreError::Conflict)
        }
    }

    async fn read_all(
        &self,
        kind: ObjectKind,
        consistency: Consistency,
    ) -> Result<Listing, StoreError> {
        let mut listing = Listing::default();
        let mut after = Vec::new();
        loop {
            let target = list_target(kind, &after, consistency);
            let StoreResponse { response, era } =
                self.call(ApiRequest::new(Method::GET, target)).await?;
            let page = &response.body;
            let items = list_parts(page, "items")?;
            let as_of = parse_member(page, "as_of")?;
            // The listing keeps the revision of the first page, so that the watch
            // that follows reports changes made while later pages were read.
            if listing.revision == 0 {
                listing.revision = store_era::position(era, as_of);
            }
            if store_era::era_of(listing.revision) != era {
                return Err(StoreError::Lost("the era ended during a listing".into()));
            }
            let objects = items.iter();
            let objects = objects.filter_map(|item| decode_object(kind, era, item));
            listing.objects.extend(objects);
            // A name that cannot be read is still passed.
            let last = items.last().and_then(|item| match parse_meta(item) {
                Some(meta) => Some(meta.name.into_bytes()),
                None => raw_name(item).map(<[u8]>::to_vec),
            });
            let has_more = json_parts::member(page, "has_more") == Some(b"true");
            match last {
                Some(last) if has_more && last != after => after = last,
                _ => return Ok(listing),
            }
        }
    }

    async fn read_changes(
        &self,
        kind: ObjectKind,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let Ok(revision) = self.condition(after) else {
            return Ok(WatchResult::HistoryGone);
        };
        let millis = wait.as_millis();
        let target = format!(
            "/v1/objects/{}?watch={revision}&wait_ms={millis}",
            kind_name(kind)
        );
        let request = ApiRequest::new(Method::GET, target).with_wait(wait);
        let StoreResponse { response, era } = self.send(&request).await?;
        // What followed the revision in its era is lost with it.
        let is_gone = response.status == StatusCode::GONE || era != store_era::era_of(after);
        if is_gone {
            return Ok(WatchResult::HistoryGone);
        }
        let body = check_status(response)?.body;
        let events = list_parts(&body, "events")?;
        let as_of = store_era::position(era, parse_member(&body, "as_of")?);
        let changes = events.iter().filter_map(|event| {
            Some(Change {
                object: decode_object(kind, era, json_parts::member(event, "object")?)?,
                is_removed: json_parts::member(event, "deleted") == Some(b"true"),
            })
        });
        Ok(WatchResult::Changes(as_of, changes.collect()))
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
        value: &Value,
    ) -> Result<u64, StoreError> {
        let kind = kind_name(kind);
        let request = match revision {
            None => ApiRequest::new(Method::POST, format!("/v1/objects/{kind}"))
                .with_json(&json!({"metadata": {"name": name}, "spec": value})),
            Some(position) => ApiRequest::new(Method::PUT, format!("/v1/objects/{kind}/{name}"))
                .with_json(&json!({
                    "metadata": {"name": name, "revision": self.condition(position)?},
                    "spec": value,
                })),
        };
        let StoreResponse { response, era } = self.call(request).await?;
        if revision.is_some_and(|position| store_era::era_of(position) != era) {
            return Err(StoreError::Lost("the era ended before the write".into()));
        }
        let written = parse_meta(&response.body).ok_or_else(unreadable_meta)?;
        Ok(store_era::position(era, written.revision))
    }
}

impl Store for ObjectStore {
    fn era(&self) -> u64 {
        self.era.current()
    }

    fn era_of(&self, revision: u64) -> u64 {
        store_era::era_of(revision)
    }

    fn list(
        &self,
        kind: ObjectKind,
        consistency: Consistency,
    ) -> BoxFuture<'_, Result<Listing, StoreError>> {
        Box::pin(self.read_all(kind, consistency))
    }

    fn watch(
        &self,
        kind: ObjectKind,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<WatchResult, StoreError>> {
        Box::pin(self.read_changes(kind, after, wait))
    }

    fn get(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> BoxFuture<'_, Result<Option<Object>, StoreError>> {
        let target = format!("/v1/objects/{}/{name}", kind_name(kind));
        Box::pin(async move {
            match self.call(ApiRequest::new(Method::GET, target)).await {
                Ok(StoreResponse { response, era }) => {
                    let object = decode_object(kind, era, &response.body);
                    object.map(Some).ok_or_else(unreadable_meta)
                }
                Err(StoreError::Missing) => Ok(None),
                Err(e) => Err(e),
            }
        })
    }

    fn write(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
        value: &Value,
    ) -> BoxFuture<'_, Result<u64, StoreError>> {
        let (name, value) = (Name::from(name), value.clone());
        Box::pin(async move { self.put(kind, &name, revision, &value).await })
    }

    fn remove(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: u64,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        let path = format!("/v1/objects/{}/{name}", kind_name(kind));
        Box::pin(async move {
            let revision = self.condition(revision)?;
            let target = format!("{path}?revision={revision}");
            self.call(ApiRequest::new(Method::DELETE, target)).await?;
            Ok(())
        })
    }

    fn report_move(
        &self,
        name: &str,
        target: &str,
        outcome: MoveOutcome,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        let path = format!("/v1/objects/{}/{name}/status", kind_name(ObjectKind::Moves));
        let status = json!({
            "metadata": {"name": name},
            "status": {"state": decode::outcome_name(outcome), "target": target},
        });
        Box::pin(async move {
            let request = ApiRequest::new(Method::PUT, path).with_json(&status);
            self.call(request).await?;
            Ok(())
        })
    }
}
