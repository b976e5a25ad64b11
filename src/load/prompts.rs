//! Chat request bodies built from the sample prompts in `data/`.

use serde_json::json;

use crate::core::completion::request::Endpoint;

/// Prompts about product labels, one on each line.
const LABELS: &str = include_str!("../../data/labels.txt");

/// Prompts about site surveys, one on each line.
const SURVEYS: &str = include_str!("../../data/surveys.txt");

/// Instructions in the system message of every request, after the prefix number.
const INSTRUCTIONS: &str = "You answer for people who act on what you say, so be exact and say what you do not know. \
Use the metric system, name the clause or rule that you rely on, keep to the order of the question, \
and end with what must be checked on the spot by a person before anything is cut, printed or paid.";

/// The set of prompts that a request is built from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Corpus {
    /// Label prompts.
    Label,
    /// Site-survey prompts.
    Survey,
}

/// Returns the prompt at `index`, modulo the size of the corpus.
pub fn prompt_text(corpus: Corpus, index: usize) -> &'static str {
    let source = match corpus {
        Corpus::Label => LABELS,
        Corpus::Survey => SURVEYS,
    };
    let count = source.lines().count();
    source.lines().nth(index % count).unwrap_or_default()
}

/// Parameters of a chat completion request.
#[derive(Clone, Copy, Debug)]
pub struct ChatRequest<'a> {
    /// Name of the model service.
    pub model: &'a str,
    /// Set of prompts.
    pub corpus: Corpus,
    /// Index of the prompt in the corpus.
    pub index: usize,
    /// Number of the prompt prefix; requests with the same number share the prefix.
    pub prefix: usize,
    /// Maximum number of tokens in the response.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
}

/// Returns the JSON body of a chat request.
pub fn chat_body(request: &ChatRequest<'_>) -> Vec<u8> {
    let prefix = format!("Site {} asks. {INSTRUCTIONS}", request.prefix);
    let question = format!(
        "{} (question {})",
        prompt_text(request.corpus, request.index),
        request.index
    );
    json!({
        "model": request.model,
        "stream": request.stream,
        "max_tokens": request.max_tokens,
        "messages": [
            {"role": "system", "content": prefix},
            {"role": "user", "content": question},
        ],
    })
    .to_string()
    .into_bytes()
}

/// Returns the URL path of chat requests.
pub const fn chat_path() -> &'static str {
    Endpoint::Chat.path()
}
