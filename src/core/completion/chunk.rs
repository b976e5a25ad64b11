//! JSON encoding of the chunks of a streamed completion.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::core::completion::Chunk;
use crate::core::completion::request::Endpoint;
use crate::core::retry::Cause;

/// Data of the server-sent event that terminates a stream.
pub const DONE: &str = "[DONE]";

#[derive(Deserialize, Serialize)]
struct JsonChunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    object: Cow<'a, str>,
    #[serde(default)]
    created: u64,
    #[serde(borrow, default)]
    model: Cow<'a, str>,
    #[serde(borrow)]
    choices: Vec<JsonChoice<'a>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Deserialize, Serialize)]
struct JsonChoice<'a> {
    index: u32,
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    delta: Option<JsonDelta<'a>>,
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    text: Option<Cow<'a, str>>,
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize, Serialize)]
struct JsonDelta<'a> {
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    content: Option<Cow<'a, str>>,
}

/// Token counts of a request, as reported by the engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens in the completion.
    pub completion_tokens: u32,
    /// Breakdown of `prompt_tokens`.
    #[serde(default)]
    pub prompt_tokens_details: PromptTokensDetails,
}

/// Breakdown of the prompt tokens of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptTokensDetails {
    /// Prompt tokens that were served from the prefix cache.
    pub cached_tokens: u32,
}

/// Fields that are the same in every chunk of a completion.
#[derive(Clone, Copy, Debug)]
pub struct Header<'a> {
    /// ID of the request.
    pub request_id: &'a str,
    /// Name of the service.
    pub model: &'a str,
    /// Endpoint that was called, which determines the chunk format.
    pub endpoint: Endpoint,
    /// Creation time of the completion, in seconds since the Unix epoch.
    pub created: u64,
}

/// Serializes one chunk to JSON.
pub fn encode(
    header: &Header<'_>,
    text: &str,
    finish_reason: Option<&str>,
    usage: Option<Usage>,
) -> String {
    let text = Some(Cow::Borrowed(text));
    let (delta, text) = match header.endpoint {
        Endpoint::Chat => (Some(JsonDelta { content: text }), None),
        Endpoint::Text => (None, text),
    };
    let chunk = JsonChunk {
        id: header.request_id.into(),
        object: header.endpoint.chunk_object().into(),
        created: header.created,
        model: header.model.into(),
        choices: vec![JsonChoice {
            index: 0,
            delta,
            text,
            finish_reason: finish_reason.map(Cow::Borrowed),
        }],
        usage,
    };
    serde_json::to_string(&chunk).unwrap_or_default()
}

/// Parses one server-sent event of a stream.
///
/// `id` is the event ID, which ends with the index of the chunk after a colon.
///
/// # Errors
///
/// Returns [`Cause::Garbled`] if `data` is not a valid chunk.
pub fn decode(id: &str, data: &str) -> Result<Chunk, Cause> {
    let chunk: JsonChunk<'_> = serde_json::from_str(data).map_err(|_| Cause::Garbled)?;
    let choice = chunk.choices.into_iter().next();
    let usage = chunk.usage.unwrap_or_default();
    let (text, finish_reason) = match choice {
        Some(choice) => {
            let delta = choice.delta.and_then(|delta| delta.content);
            (choice.text.or(delta), choice.finish_reason)
        }
        None => (None, None),
    };
    Ok(Chunk {
        request_id: chunk.id.into_owned(),
        index: id.rsplit(':').next().and_then(|index| index.parse().ok()),
        text: text.map(Cow::into_owned).unwrap_or_default(),
        finish_reason: finish_reason.map(Cow::into_owned),
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: usage.prompt_tokens_details.cached_tokens,
    })
}
