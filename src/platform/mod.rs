//! The adapter to the users' platform: its names, formats and calls.
//!
//! Everything here translates between the platform's protocols and the types
//! of [`crate::entry::adapter`], and decides nothing.

use std::sync::Arc;

use crate::entry::adapter::Adapter;
use crate::entry::settings::Settings;
use crate::platform::cloud::CloudCalls;
use crate::platform::dialect::Headers;
use crate::platform::http::Client;
use crate::platform::objects::Objects;

pub mod boot;
pub mod cloud;
pub mod decode;
pub mod dialect;
pub mod http;
pub mod objects;

/// Returns the adapter for the platform that the settings name.
pub fn connect(settings: &Settings) -> Adapter {
    let client = Arc::new(Client::new());
    Adapter {
        dialect: Box::new(Headers::new()),
        store: Box::new(Objects::new(Arc::clone(&client), settings.store)),
        cloud: Box::new(CloudCalls::new(client, settings.cloud)),
    }
}
