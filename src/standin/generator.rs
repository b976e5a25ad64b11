//! Deterministic generation of the completions that stand-in engines return.
//!
//! Each word of a completion depends only on the prompt and the word's position, so
//! a test can check that a completion is complete and belongs to its request.

use crate::core;
use crate::core::completion::request::Completion;
use crate::core::completion::request::Endpoint;

/// Vocabulary of the generated completions.
const WORDS: [&str; 48] = [
    "cedar",
    "beam",
    "spans",
    "three",
    "metres",
    "between",
    "trunks",
    "and",
    "carries",
    "the",
    "deck",
    "with",
    "bolts",
    "of",
    "galvanised",
    "steel",
    "set",
    "above",
    "living",
    "bark",
    "contains",
    "wheat",
    "milk",
    "soy",
    "sesame",
    "per",
    "serving",
    "label",
    "panel",
    "lists",
    "allergens",
    "in",
    "bold",
    "type",
    "net",
    "weight",
    "grams",
    "load",
    "rating",
    "holds",
    "under",
    "wind",
    "from",
    "north",
    "slope",
    "check",
    "timber",
    "code",
];

/// Number of leading prompt words that seed a text completion. The seed ignores
/// the rest, so a prompt that contains part of an answer continues that answer.
const SEED_WORDS: usize = 4;

/// Generates the words of a completion from a seed and a position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Generator {
    seed: u64,
    position: u64,
}

impl Generator {
    /// Creates the generator for a request, which may continue a partial answer.
    pub fn new(request: &Completion) -> Self {
        let words = request.prompt.split_whitespace();
        match request.endpoint {
            Endpoint::Chat => Self {
                seed: core::hash(&[&request.prompt]),
                position: request.partial_answer.split_whitespace().count() as u64,
            },
            Endpoint::Text => {
                let first: Vec<&str> = words.clone().take(SEED_WORDS).collect();
                Self {
                    seed: core::hash(&first),
                    position: words.count() as u64,
                }
            }
        }
    }

    /// Returns the next word, followed by a space, and advances the position.
    pub fn next_word(&mut self) -> String {
        let hash = core::hash(&[&self.seed.to_string(), &self.position.to_string()]);
        self.position += 1;
        format!("{} ", WORDS[(hash % WORDS.len() as u64) as usize])
    }
}

/// Returns the complete answer of `tokens` words to a request.
pub fn generate(request: &Completion, tokens: u32) -> String {
    let mut generator = Generator::new(request);
    (0..tokens).map(|_| generator.next_word()).collect()
}
