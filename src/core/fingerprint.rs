//! Identification of requests that are sent again.

use serde::Deserialize;
use serde::Serialize;

/// Seed of the hash, which changes with the fields that it covers, so that nodes of
/// different versions never use one number for two requests.
const SEED: u64 = 2;

/// Number that a request and its resends share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u64);

/// What tells one request from another for the servers that run it.
///
/// Servers can't tell an empty body from an absent one, since both are forwarded alike.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Workspace of the caller, or empty.
    pub workspace: &'a str,
    /// Service or model whose servers run the request.
    pub service: &'a str,
    /// Host that the request names.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path without the query string, as received.
    pub path: &'a str,
    /// Query string, as received.
    pub query: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

impl Identity<'_> {
    /// Returns the identity that all queries on the path share.
    #[must_use]
    pub fn without_query(self) -> Self {
        Self {
            query: None,
            ..self
        }
    }

    /// Computes the fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut state = xxhash_rust::xxh3::Xxh3::with_seed(SEED);
        let mut update = |part: &[u8]| {
            state.update(&(part.len() as u64).to_le_bytes());
            state.update(part);
        };
        for text in [
            self.workspace,
            self.service,
            self.host,
            self.method,
            self.path,
        ] {
            update(text.as_bytes());
        }
        update(self.body);
        if let Some(query) = self.query {
            update(query.as_bytes());
        }
        Fingerprint(state.digest())
    }
}
