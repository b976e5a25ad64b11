//! The platform's store: objects by kind and name.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::core::Name;
use crate::entry::outside::Change;
use crate::entry::outside::Content;
use crate::entry::outside::Kind;
use crate::entry::outside::Listing;
use crate::entry::outside::Object;
use crate::entry::outside::Outcome;
use crate::entry::outside::Store;
use crate::entry::outside::StoreError;
use crate::entry::outside::Watched;
use crate::platform::client::ApiClient;
use crate::platform::client::ApiRequest;
use crate::platform::client::ApiResponse;
use crate::platform::decode;

/// The store at one address.
#[derive(Debug)]
pub struct ObjectStore {
    client: Arc<ApiClient>,
    address: SocketAddr,
}

/// Returns the platform's name of a kind.
const fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Catalog => "config",
        Kind::Backends => "servers",
        Kind::Moves => "rollouts",
        Kind::Nodes => "cassialock-nodes",
        Kind::Leases => "cassialock-leases",
        Kind::Usage => "cassialock-usage",
    }
}

/// An object as the store writes it.
#[derive(Debug, Deserialize)]
struct WireObject {
    metadata: WireMeta,
    #[serde(default)]
    spec: Value,
    #[serde(default)]
    status: Value,
}

#[derive(Debug, Deserialize)]
struct WireMeta {
    name: String,
    revision: u64,
}

/// A page of objects.
#[derive(Debug, Deserialize)]
struct WirePage {
    items: Vec<Value>,
    #[serde(default)]
    has_more: bool,
    /// Revision of the store that the page reflects.
    as_of: u64,
}

#[derive(Debug, Deserialize)]
struct WireEvents {
    events: Vec<WireEvent>,
    /// Revision from which the next watch goes on.
    as_of: u64,
}

#[derive(Debug, Deserialize)]
struct WireEvent {
    object: Value,
    #[serde(default)]
    deleted: bool,
}

/// Decodes one object, or returns `None` if not even its name can be read.
fn object(kind: Kind, value: Value) -> Option<Object> {
    let wire: WireObject = serde_json::from_value(value).ok()?;
    let content = match kind {
        Kind::Catalog => decode::catalog(wire.spec),
        Kind::Backends => decode::backend(&wire.metadata.name, &wire.spec),
        Kind::Moves => decode::version_move(wire.spec, &wire.status),
        Kind::Nodes | Kind::Leases | Kind::Usage => Content::Record(wire.spec),
    };
    Some(Object {
        name: wire.metadata.name.into(),
        revision: wire.metadata.revision,
        content,
    })
}

fn parse<T: serde::de::DeserializeOwned>(answer: &ApiResponse) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body).map_err(|e| StoreError::Garbled(e.to_string()))
}

/// Maps an answer that is no success to an error.
fn checked(answer: ApiResponse) -> Result<ApiResponse, StoreError> {
    match answer.status {
        status if status.is_success() => Ok(answer),
        StatusCode::NOT_FOUND => Err(StoreError::Missing),
        StatusCode::CONFLICT => Err(StoreError::Conflict),
        status => Err(StoreError::Refused(format!("status {status}"))),
    }
}

impl ObjectStore {
    /// Creates the store at `address`.
    pub fn new(client: Arc<ApiClient>, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn call(&self, call: ApiRequest) -> Result<ApiResponse, StoreError> {
        checked(self.client.call(self.address, &call).await?)
    }

    async fn read_all(&self, kind: Kind) -> Result<Listing, StoreError> {
        let mut listing = Listing::default();
        let mut after = String::new();
        loop {
            let mut target = format!("/v1/objects/{}", kind_name(kind));
            if !after.is_empty() {
                let query = form_urlencoded::Serializer::new(String::new())
                    .append_pair("after", &after)
                    .finish();
                target = format!("{target}?{query}");
            }
            let answer = self.call(ApiRequest::new(Method::GET, target)).await?;
            let page: WirePage = parse(&answer)?;
            // Changes after the first page are seen by the watch that follows.
            if listing.revision == 0 {
                listing.revision = page.as_of;
            }
            let objects = page.items.into_iter().filter_map(|item| object(kind, item));
            listing.objects.extend(objects);
            let last = listing.objects.last().map(|object| object.name.to_string());
            match last {
                Some(last) if page.has_more && last != after => after = last,
                _ => return Ok(listing),
            }
        }
    }

    async fn read_changes(
        &self,
        kind: Kind,
        after: u64,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        let millis = wait.as_millis();
        let target = format!(
            "/v1/objects/{}?watch={after}&wait_ms={millis}",
            kind_name(kind)
        );
        let call = ApiRequest::new(Method::GET, target).with_wait(wait);
        let answer = self.client.call(self.address, &call).await?;
        if answer.status == StatusCode::GONE {
            return Ok(Watched::HistoryGone);
        }
        let changes: WireEvents = parse(&checked(answer)?)?;
        let decoded = changes.events.into_iter().filter_map(|event| {
            Some(Change {
                object: object(kind, event.object)?,
                is_removed: event.deleted,
            })
        });
        Ok(Watched::Changes(changes.as_of, decoded.collect()))
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        revision: Option<u64>,
        value: &Value,
    ) -> Result<u64, StoreError> {
        let kind = kind_name(kind);
        let call = match revision {
            None => ApiRequest::new(Method::POST, format!("/v1/objects/{kind}"))
                .with_json(&json!({"metadata": {"name": name}, "spec": value})),
            Some(revision) => ApiRequest::new(Method::PUT, format!("/v1/objects/{kind}/{name}"))
                .with_json(&json!({
                    "metadata": {"name": name, "revision": revision},
                    "spec": value,
                })),
        };
        let written: WireObject = parse(&self.call(call).await?)?;
        Ok(written.metadata.revision)
    }
}

impl Store for ObjectStore {
    fn list(&self, kind: Kind) -> BoxFuture<'_, Result<Listing, StoreError>> {
        Box::pin(self.read_all(kind))
    }

    fn watch(
        &self,
        kind: Kind,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Watched, StoreError>> {
        Box::pin(self.read_changes(kind, after, wait))
    }

    fn get(&self, kind: Kind, name: &str) -> BoxFuture<'_, Result<Option<Object>, StoreError>> {
        let target = format!("/v1/objects/{}/{name}", kind_name(kind));
        Box::pin(async move {
            match self.call(ApiRequest::new(Method::GET, target)).await {
                Ok(answer) => {
                    let value: Value = parse(&answer)?;
                    let object = object(kind, value);
                    let unnamed = || StoreError::Garbled("an object without a name".into());
                    object.map(Some).ok_or_else(unnamed)
                }
                Err(StoreError::Missing) => Ok(None),
                Err(e) => Err(e),
            }
        })
    }

    fn write(
        &self,
        kind: Kind,
        name: &str,
        revision: Option<u64>,
        value: &Value,
    ) -> BoxFuture<'_, Result<u64, StoreError>> {
        let (name, value) = (Name::from(name), value.clone());
        Box::pin(async move { self.put(kind, &name, revision, &value).await })
    }

    fn remove(
        &self,
        kind: Kind,
        name: &str,
        revision: u64,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        let target = format!("/v1/objects/{}/{name}?revision={revision}", kind_name(kind));
        Box::pin(async move {
            self.call(ApiRequest::new(Method::DELETE, target)).await?;
            Ok(())
        })
    }

    fn report_move(
        &self,
        name: &str,
        target: &str,
        outcome: Outcome,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        let path = format!("/v1/objects/{}/{name}/status", kind_name(Kind::Moves));
        let status = json!({
            "metadata": {"name": name},
            "status": {"state": decode::outcome_name(outcome), "target": target},
        });
        Box::pin(async move {
            let call = ApiRequest::new(Method::PUT, path).with_json(&status);
            self.call(call).await?;
            Ok(())
        })
    }
}
