//! Completion requests of the OpenAI API.

use std::fmt;

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::core::completion::Progress;

/// Token limit of a completion if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Maximum token limit that a request may set.
const MAX_TOKENS: u64 = 32_768;

/// A completion endpoint of the OpenAI API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Endpoint {
    /// Returns the endpoint at `path`, if there is one.
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Endpoint::Chat),
            "/v1/completions" => Some(Endpoint::Text),
            _ => None,
        }
    }

    /// Returns the URL path of the endpoint.
    pub const fn path(self) -> &'static str {
        match self {
            Endpoint::Chat => "/v1/chat/completions",
            Endpoint::Text => "/v1/completions",
        }
    }

    /// Returns the value of the `object` field in chunks of this endpoint.
    pub const fn chunk_object(self) -> &'static str {
        match self {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        }
    }
}

/// An invalid field of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidField {
    /// Name of the field, or empty for the whole body.
    pub field: &'static str,
    /// Description of the problem.
    pub problem: String,
}

impl InvalidField {
    fn new(field: &'static str, problem: impl Into<String>) -> Self {
        Self {
            field,
            problem: problem.into(),
        }
    }
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            f.write_str(&self.problem)
        } else {
            write!(f, "{}: {}", self.field, self.problem)
        }
    }
}

/// A validated completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Endpoint that was called.
    pub endpoint: Endpoint,
    /// Name of the service.
    pub model: String,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Maximum number of tokens in the completion.
    pub max_tokens: u32,
    /// Text of the prompt; the texts of several messages are joined by spaces.
    pub prompt: String,
    /// Text of the final message, if the request asks the model to continue it.
    pub partial_answer: String,
    body: Map<String, Value>,
}

impl Completion {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// Returns the first field that is missing or invalid.
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, InvalidField> {
        let value: Value =
            serde_json::from_slice(body).map_err(|e| InvalidField::new("", e.to_string()))?;
        let Value::Object(body) = value else {
            return Err(InvalidField::new("", "the body must be a JSON object"));
        };
        let model = match body.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            Some(_) => return Err(InvalidField::new("model", "must be a non-empty string")),
            None => return Err(InvalidField::new("model", "is missing")),
        };
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(InvalidField::new("stream", "must be true or false")),
        };
        let max_tokens = parse_max_tokens(&body)?;
        let (prompt, partial_answer) = match endpoint {
            Endpoint::Chat => parse_messages(&body)?,
            Endpoint::Text => (parse_prompt(&body)?, String::new()),
        };
        Ok(Self {
            endpoint,
            model,
            stream,
            max_tokens,
            prompt,
            partial_answer,
            body,
        })
    }

    /// Returns the estimated number of prompt tokens, one for each word.
    pub fn prompt_tokens(&self) -> u32 {
        let words =
            self.prompt.split_whitespace().count() + self.partial_answer.split_whitespace().count();
        words as u32
    }

    /// Returns the body of the upstream request, which continues after `progress`.
    pub fn upstream_body(&self, progress: &Progress) -> Vec<u8> {
        let mut body = self.body.clone();
        body.insert("stream".into(), Value::Bool(true));
        body.insert("stream_options".into(), json!({"include_usage": true}));
        body.remove("max_completion_tokens");
        let remaining = u64::from(self.max_tokens).saturating_sub(progress.tokens());
        body.insert("max_tokens".into(), remaining.into());
        if !progress.text.is_empty() {
            match self.endpoint {
                Endpoint::Chat => continue_messages(&mut body, &progress.text),
                Endpoint::Text => continue_prompt(&mut body, &progress.text),
            }
        }
        Value::Object(body).to_string().into_bytes()
    }
}

fn parse_max_tokens(body: &Map<String, Value>) -> Result<u32, InvalidField> {
    let field = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"));
    match field {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_TOKENS),
        Some(value) => match value.as_u64() {
            Some(count @ 1..=MAX_TOKENS) => Ok(count as u32),
            _ => Err(InvalidField::new(
                "max_tokens",
                format!("must be from 1 to {MAX_TOKENS}"),
            )),
        },
    }
}

/// Returns the joined text of the messages, and the text of a final message to continue.
fn parse_messages(body: &Map<String, Value>) -> Result<(String, String), InvalidField> {
    let Some(messages) = body.get("messages") else {
        return Err(InvalidField::new("messages", "is missing"));
    };
    let Some(messages) = messages.as_array().filter(|list| !list.is_empty()) else {
        return Err(InvalidField::new("messages", "must be a non-empty array"));
    };
    let mut texts = Vec::with_capacity(messages.len());
    for message in messages {
        let content = message.get("content").and_then(Value::as_str);
        let Some(content) = content else {
            return Err(InvalidField::new(
                "messages",
                "each message needs a string `content`",
            ));
        };
        if !message.get("role").is_some_and(Value::is_string) {
            return Err(InvalidField::new(
                "messages",
                "each message needs a string `role`",
            ));
        }
        texts.push(content);
    }
    let partial_answer = if continues_final_message(body) {
        texts.pop().unwrap_or_default()
    } else {
        ""
    };
    Ok((texts.join(" "), partial_answer.to_string()))
}

fn continues_final_message(body: &Map<String, Value>) -> bool {
    body.get("continue_final_message") == Some(&Value::Bool(true))
}

fn parse_prompt(body: &Map<String, Value>) -> Result<String, InvalidField> {
    match body.get("prompt") {
        Some(Value::String(prompt)) if !prompt.is_empty() => Ok(prompt.clone()),
        Some(_) => Err(InvalidField::new("prompt", "must be a non-empty string")),
        None => Err(InvalidField::new("prompt", "is missing")),
    }
}

fn continue_messages(body: &mut Map<String, Value>, text: &str) {
    let was_continued = continues_final_message(body);
    let Some(Value::Array(messages)) = body.get_mut("messages") else {
        return;
    };
    let last = messages
        .last_mut()
        .and_then(|message| message.get_mut("content"));
    match last {
        Some(Value::String(content)) if was_continued => content.push_str(text),
        _ => messages.push(json!({"role": "assistant", "content": text})),
    }
    body.insert("continue_final_message".into(), Value::Bool(true));
    body.insert("add_generation_prompt".into(), Value::Bool(false));
}

fn continue_prompt(body: &mut Map<String, Value>, text: &str) {
    if let Some(Value::String(prompt)) = body.get_mut("prompt") {
        if !prompt.ends_with(char::is_whitespace) {
            prompt.push(' ');
        }
        prompt.push_str(text);
    }
}
