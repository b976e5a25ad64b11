//! The texts that requests are made from.

use serde_json::json;

use crate::core::call::request::Shape;

/// Label requests of Hanul Labelworks.
const LABELS: &str = include_str!("../../data/labels.txt");

/// Site-survey requests of Copa Alta Casas del Árbol.
const SURVEYS: &str = include_str!("../../data/surveys.txt");

/// Instructions that come before every request of one kind.
const PREAMBLE: &str = "You answer for people who act on what you say, so be exact and say what you do not know. \
Use the metric system, name the clause or rule that you rely on, keep to the order of the question, \
and end with what must be checked on the spot by a person before anything is cut, printed or paid.";

/// Which texts a request is made from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Corpus {
    /// Label requests.
    Label,
    /// Site-survey requests.
    Survey,
}

/// Returns the text with number `at`, counting round.
pub fn prompt_text(corpus: Corpus, index: usize) -> &'static str {
    let source = match corpus {
        Corpus::Label => LABELS,
        Corpus::Survey => SURVEYS,
    };
    let count = source.lines().count();
    source.lines().nth(index % count).unwrap_or_default()
}

/// What a completion request is made of.
#[derive(Clone, Copy, Debug)]
pub struct ChatRequest<'a> {
    /// The service.
    pub model: &'a str,
    /// Which texts to use.
    pub corpus: Corpus,
    /// Number of the text.
    pub index: usize,
    /// Number of the prompt prefix.
    pub prefix: usize,
    /// Tokens of the answer.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// Returns the body of a chat request.
pub fn chat_body(request: &ChatRequest<'_>) -> Vec<u8> {
    let prefix = format!("Site {} asks. {PREAMBLE}", request.prefix);
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

/// Returns the path of chat requests.
pub const fn chat_path() -> &'static str {
    Shape::Chat.path()
}
