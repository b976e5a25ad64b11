//! Protocol-independent description of a request.

use std::time::Duration;

use crate::core::Name;

/// Part of a prompt, which several requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier of the content of the part.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u32,
}

/// Token counts that a request states.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCounts {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub max_output: u32,
}

/// Describes a request for routing and admission.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestInfo {
    /// Identifier of the request; every resend has a different one.
    pub id: Name,
    /// Host that the request names.
    pub host: Name,
    /// Path without the query string.
    pub path: Name,
    /// API key of the caller.
    pub api_key: Option<Name>,
    /// Time that the caller waits for a response, if stated.
    pub timeout: Option<Duration>,
    /// Parts of the prompt in order; only the last one is unique to the request.
    pub parts: Vec<PromptPart>,
    /// Token counts, if the request is for a model.
    pub tokens: Option<TokenCounts>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<Name>,
}

impl RequestInfo {
    /// Returns the key of the session that the request belongs to.
    ///
    /// Requests of one session share all prompt parts except the last one.
    pub fn session_key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(1)?;
        let mut state = xxhash_rust::xxh3::Xxh3::new();
        for part in &self.parts[..shared.max(1)] {
            state.update(&part.id.to_le_bytes());
        }
        Some(state.digest())
    }

    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the sum of prompt and output tokens, if the request states them.
    pub fn total_tokens(&self) -> Option<u64> {
        let tokens = self.tokens?;
        Some(u64::from(tokens.prompt) + u64::from(tokens.max_output))
    }
}
