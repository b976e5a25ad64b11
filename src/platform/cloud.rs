//! Calls to the platform that only one node may make.

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
use crate::platform::http::Call;
use crate::platform::http::Client;

/// Name of the node that holds the duty.
const HOLDER: &str = "x-cassialock-lease-holder";

/// Number that grows when the holder changes.
const FENCE: &str = "x-cassialock-fencing-token";

/// The platform's cloud API.
#[derive(Debug)]
pub struct CloudCalls {
    client: Arc<Client>,
    address: Option<SocketAddr>,
}

impl CloudCalls {
    /// Creates the API at `address`; without one, every call counts as done.
    pub fn new(client: Arc<Client>, address: Option<SocketAddr>) -> Self {
        Self { client, address }
    }

    async fn call(&self, holder: &LeaseHolder, path: &str, body: serde_json::Value) -> CloudReply {
        let Some(address) = self.address else {
            return CloudReply::Done;
        };
        let mut call = Call::new(Method::POST, path.to_string()).with_json(&body);
        let Ok(name) = HeaderValue::from_str(&holder.node) else {
            return CloudReply::Refused;
        };
        call.headers.insert(HOLDER, name);
        call.headers.insert(FENCE, HeaderValue::from(holder.fence));
        match self.client.call(address, &call).await {
            Ok(answer) => match answer.status {
                status if status.is_success() => CloudReply::Done,
                StatusCode::CONFLICT => CloudReply::Refused,
                _ => CloudReply::Busy,
            },
            Err(StoreError::Refused(_)) => CloudReply::Busy,
            Err(_) => CloudReply::Lost,
        }
    }
}

impl Cloud for CloudCalls {
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
