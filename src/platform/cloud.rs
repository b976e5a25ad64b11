//! Client of the platform's cloud API, whose calls are fenced by a lease.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde_json::json;

use crate::core::fleet::scaling::ScaleOrder;
use crate::core::route::servers::Class;
use crate::core::usage::WindowCounts;
use crate::entry::adapter::Cloud;
use crate::entry::adapter::CloudReply;
use crate::entry::adapter::LeaseHolder;
use crate::entry::adapter::StoreError;
use crate::platform::client::ApiClient;
use crate::platform::client::ApiRequest;

/// Header with the name of the node that holds the lease.
const LEASE_HOLDER: &str = "x-cassialock-lease-holder";

/// Header with the fencing token, which grows when the lease holder changes.
const FENCING_TOKEN: &str = "x-cassialock-fencing-token";

/// Client of the platform's cloud API.
#[derive(Debug)]
pub struct CloudClient {
    client: Arc<ApiClient>,
    address: Option<SocketAddr>,
}

impl CloudClient {
    /// Creates a client of the API at `address`.
    ///
    /// Without an address, every call is skipped and reported as done.
    pub fn new(client: Arc<ApiClient>, address: Option<SocketAddr>) -> Self {
        Self { client, address }
    }

    async fn call(&self, holder: &LeaseHolder, path: &str, body: serde_json::Value) -> CloudReply {
        let Some(address) = self.address else {
            return CloudReply::Done;
        };
        let mut request = ApiRequest::new(Method::POST, path.to_string()).with_json(&body);
        let Ok(name) = HeaderValue::from_str(&holder.node) else {
            return CloudReply::Refused;
        };
        request.headers.insert(LEASE_HOLDER, name);
        request
            .headers
            .insert(FENCING_TOKEN, HeaderValue::from(holder.fence));
        match self.client.call(address, &request).await {
            Ok(response) => match response.status {
                status if status.is_success() => CloudReply::Done,
                StatusCode::CONFLICT => CloudReply::Refused,
                _ => CloudReply::Busy,
            },
            Err(StoreError::Refused(_)) => CloudReply::Busy,
            Err(_) => CloudReply::Lost,
        }
    }
}

impl Cloud for CloudClient {
    fn report_usage<'a>(
        &'a self,
        holder: &'a LeaseHolder,
        counts: &'a WindowCounts,
    ) -> BoxFuture<'a, CloudReply> {
        let body = json!({
            "window_id": counts.window,
            "request_counts": counts.requests,
        });
        Box::pin(self.call(holder, "/usage", body))
    }

    fn order_servers<'a>(
        &'a self,
        holder: &'a LeaseHolder,
        service: &'a str,
        order: &'a ScaleOrder,
    ) -> BoxFuture<'a, CloudReply> {
        let mut body = json!({
            "service": service,
            "zone": *order.domain,
            "desired": order.count,
        });
        if order.class == Class::Reclaimable {
            body["spot"] = true.into();
        }
        Box::pin(self.call(holder, "/scale", body))
    }
}
