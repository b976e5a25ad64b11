//! The words that stand-in engines answer with.
//!
//! Each word of an answer depends on the prompt and its position alone, so a
//! test can tell whether an answer is whole and belongs to its own request.

use crate::core;
use crate::core::call::request::Completion;
use crate::core::call::request::Shape;

/// Words that answers are made of.
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

/// Words of a prompt without messages that select its answer.
const SEED_WORDS: usize = 4;

/// Selects the answer to a prompt and the position to begin at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Generator {
    seed: u64,
    next: u64,
}

impl Generator {
    /// Returns the generator for a request, which may continue an answer.
    pub fn new(request: &Completion) -> Self {
        let words = request.prompt.split_whitespace();
        match request.shape {
            Shape::Chat => Self {
                seed: core::hash(&[&request.prompt]),
                next: request.continued.split_whitespace().count() as u64,
            },
            Shape::Text => {
                let first: Vec<&str> = words.clone().take(SEED_WORDS).collect();
                Self {
                    seed: core::hash(&first),
                    next: words.count() as u64,
                }
            }
        }
    }

    /// Returns the next word, followed by a space.
    pub fn next_word(&mut self) -> String {
        let draw = core::hash(&[&self.seed.to_string(), &self.next.to_string()]);
        self.next += 1;
        format!("{} ", WORDS[(draw % WORDS.len() as u64) as usize])
    }
}

/// Returns the whole answer of `tokens` words to a request.
pub fn generate(request: &Completion, tokens: u32) -> String {
    let mut generator = Generator::new(request);
    (0..tokens).map(|_| generator.next_word()).collect()
}
