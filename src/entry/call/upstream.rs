//! A server's response while it is being forwarded.

use std::time::Duration;

use bytes::Bytes;
use http::response;
use hyper::body::Body as _;
use hyper::body::Incoming;

use crate::entry::call::attempt::Attempt;
use crate::entry::call::attempt::ServerResponse;
use crate::web::pool::Connection;

/// A server's response that is being forwarded.
pub(super) struct Upstream {
    pub(super) attempt: Attempt,
    pub(super) connection: Connection,
    /// What was read of the body before the response was chosen.
    pub(super) first: Bytes,
    pub(super) body: Incoming,
    /// Whether any data of this server has arrived.
    pub(super) has_data: bool,
    pub(super) idle_timeout: Option<Duration>,
    pub(super) is_closing: bool,
    /// Whether only the end of the connection shows that of the body.
    pub(super) may_be_cut: bool,
}

impl Upstream {
    /// Splits a response whose head was checked.
    pub(super) fn new(response: ServerResponse) -> (Self, response::Parts) {
        let may_be_cut = response.info.ends_with_connection && !response.body.is_end_stream();
        let upstream = Self {
            attempt: response.attempt,
            connection: response.connection,
            first: response.first,
            body: response.body,
            has_data: false,
            idle_timeout: response.info.idle_timeout,
            is_closing: response.info.is_closing,
            may_be_cut,
        };
        (upstream, response.head)
    }
}
