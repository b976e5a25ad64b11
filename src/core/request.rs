//! A request as the decisions see it, whatever protocol it came in.

use std::time::Duration;

use crate::core::Name;

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// Tokens of the part.
    pub tokens: u32,
}

/// Tokens that a request names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer, at most.
    pub max_output: u32,
}

/// What a caller asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestInfo {
    /// Identifies this request of the caller; each resend has another id.
    pub id: Name,
    /// Host that the caller named.
    pub host: Name,
    /// Path without the query.
    pub path: Name,
    /// Key of the caller.
    pub api_key: Option<Name>,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Duration>,
    /// Parts of the prompt in order; the last one belongs to the request alone.
    pub parts: Vec<PromptPart>,
    /// Tokens, if the request is for a model.
    pub tokens: Option<TokenCounts>,
    /// Id of the last event that the caller has, if it comes back to a stream.
    pub last_event_id: Option<Name>,
}

impl RequestInfo {
    /// Returns the key of the session that the request belongs to.
    ///
    /// Requests of one session share all parts of their prompts but the last.
    pub fn session_key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(1)?;
        let mut state = xxhash_rust::xxh3::Xxh3::new();
        for part in &self.parts[..shared.max(1)] {
            state.update(&part.id.to_le_bytes());
        }
        Some(state.digest())
    }

    /// Returns all tokens that the request counts for, if it names them.
    pub fn total_tokens(&self) -> Option<u64> {
        let tokens = self.tokens?;
        Some(u64::from(tokens.prompt) + u64::from(tokens.max_output))
    }
}
