//! Chunks of a streamed answer as JSON.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::core::completion::Chunk;
use crate::core::completion::request::Endpoint;
use crate::core::retry::Cause;

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

#[derive(Deserialize, Serialize)]
struct Wire<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    object: Cow<'a, str>,
    #[serde(default)]
    created: u64,
    #[serde(borrow, default)]
    model: Cow<'a, str>,
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Deserialize, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    text: Option<Cow<'a, str>>,
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize, Serialize)]
struct Delta<'a> {
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    content: Option<Cow<'a, str>>,
}

/// Token counts of a request, as the engine reports them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Details of the prompt tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptTokensDetails,
}

/// Details of the prompt tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptTokensDetails {
    /// Prompt tokens that came from the cache.
    pub cached_tokens: u32,
}

/// Fields of a chunk that are the same for a whole answer.
#[derive(Clone, Copy, Debug)]
pub struct Header<'a> {
    /// The request that is answered.
    pub request_id: &'a str,
    /// The service.
    pub model: &'a str,
    /// Endpoint of the answer.
    pub endpoint: Endpoint,
    /// Start of the answer, in seconds since the Unix epoch.
    pub created: u64,
}

/// Returns the JSON of one chunk.
pub fn encode(
    head: &Header<'_>,
    text: &str,
    finish_reason: Option<&str>,
    usage: Option<Usage>,
) -> String {
    let text = Some(Cow::Borrowed(text));
    let (delta, text) = match head.endpoint {
        Endpoint::Chat => (Some(Delta { content: text }), None),
        Endpoint::Text => (None, text),
    };
    let wire = Wire {
        id: head.request_id.into(),
        object: head.endpoint.chunk_object().into(),
        created: head.created,
        model: head.model.into(),
        choices: vec![Choice {
            index: 0,
            delta,
            text,
            finish_reason: finish_reason.map(Cow::Borrowed),
        }],
        usage,
    };
    serde_json::to_string(&wire).unwrap_or_default()
}

/// Parses one event of a stream.
///
/// `id` is the event's id, which ends with the position of the chunk.
///
/// # Errors
///
/// Returns [`Cause::Garbled`] if the data is not a chunk.
pub fn decode(id: &str, data: &str) -> Result<Chunk, Cause> {
    let wire: Wire<'_> = serde_json::from_str(data).map_err(|_| Cause::Garbled)?;
    let choice = wire.choices.into_iter().next();
    let usage = wire.usage.unwrap_or_default();
    let (text, finish_reason) = match choice {
        Some(choice) => {
            let delta = choice.delta.and_then(|delta| delta.content);
            (choice.text.or(delta), choice.finish_reason)
        }
        None => (None, None),
    };
    Ok(Chunk {
        request_id: wire.id.into_owned(),
        index: id.rsplit(':').next().and_then(|index| index.parse().ok()),
        text: text.map(Cow::into_owned).unwrap_or_default(),
        finish_reason: finish_reason.map(Cow::into_owned),
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: usage.prompt_tokens_details.cached_tokens,
    })
}
