//! Adapter to the platform: its names, data formats and API calls.
//!
//! The adapter only translates between the platform's protocols and the types
//! of [`crate::entry::adapter`]; it makes no decisions.

use std::sync::Arc;

use crate::entry::adapter::Adapter;
use crate::entry::settings::Settings;
use crate::platform::client::ApiClient;
use crate::platform::cloud::CloudClient;
use crate::platform::object_store::ObjectStore;
use crate::platform::protocol::HeaderProtocol;

pub mod client;
pub mod cloud;
pub mod decode;
pub mod json_parts;
pub mod object_store;
pub mod protocol;
pub mod settings_file;
pub mod store_era;

/// Returns the platform's implementation of what an entry depends on.
///
/// No connection is opened until the first call.
pub fn connect(settings: &Settings) -> Adapter {
    let client = Arc::new(ApiClient::new());
    Adapter {
        dialect: Box::new(HeaderProtocol::new()),
        store: Box::new(ObjectStore::new(Arc::clone(&client), settings.store)),
        cloud: Box::new(CloudClient::new(client, settings.cloud)),
    }
}
