//! Assembly of one whole answer from one or more attempts.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::retry::Cause;

pub mod chunk;
pub mod handover;
pub mod request;

/// One chunk that came from a backend server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Chunk {
    /// The request that the chunk says it answers.
    pub request_id: String,
    /// Position of the chunk within its attempt, from 0.
    pub index: Option<u64>,
    /// Text that the chunk adds to the answer.
    pub text: String,
    /// Why the answer ended, on its last chunk.
    pub finish_reason: Option<String>,
    /// Tokens of the prompt, on the last chunk.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that came from the server's cache, on the last chunk.
    pub cached_tokens: u32,
}

/// What a chunk brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkOutcome {
    /// A token for the caller, with its position in the whole answer, from 1.
    Token {
        /// Position of the token in the whole answer, from 1.
        index: u64,
        /// The text.
        text: String,
    },
    /// The answer is whole.
    Finished,
    /// Nothing for the caller.
    Empty,
}

/// The part of an answer that has been received, which is all that another
/// node or server needs to go on with it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Text received so far.
    pub text: String,
    /// End of each token in `text`, in bytes.
    pub token_ends: Vec<u32>,
    /// Why the answer ended, once it is whole.
    pub finish_reason: Option<String>,
    /// Prompt tokens computed again because a stream was resumed.
    pub recomputed_tokens: u32,
    /// Attempts that were resumed.
    pub resumes: u32,
}

impl Progress {
    /// Returns the number of tokens received.
    pub fn tokens(&self) -> u64 {
        self.token_ends.len() as u64
    }

    /// Returns the token at `index`, counted from 1.
    pub fn token(&self, index: u64) -> Option<&str> {
        let at = usize::try_from(index.checked_sub(1)?).ok()?;
        let end = *self.token_ends.get(at)? as usize;
        let start = match at {
            0 => 0,
            _ => self.token_ends[at - 1] as usize,
        };
        self.text.get(start..end)
    }

    fn push(&mut self, text: &str) -> u64 {
        self.text.push_str(text);
        self.token_ends.push(self.text.len() as u32);
        self.tokens()
    }
}

/// Checks the chunks of one attempt and adds them to the progress.
///
/// An answer counts as whole only when the server said why it ended and closed
/// the stream with its end mark. A chunk of another request, a gap or a repeat
/// is an error, and nothing of it reaches the caller.
#[derive(Clone, Debug)]
pub struct Assembly {
    request_id: Name,
    next: u64,
    finish_reason: Option<String>,
}

impl Assembly {
    /// Creates the assembly of one attempt at the request `request_id`.
    pub fn new(request_id: Name) -> Self {
        Self {
            request_id,
            next: 0,
            finish_reason: None,
        }
    }

    /// Takes a chunk.
    ///
    /// # Errors
    ///
    /// Returns the cause if the chunk does not belong here.
    pub fn accept(
        &mut self,
        chunk: &Chunk,
        progress: &mut Progress,
    ) -> Result<ChunkOutcome, Cause> {
        if chunk.request_id != *self.request_id {
            return Err(Cause::Crossed);
        }
        if chunk.index != Some(self.next) || self.finish_reason.is_some() {
            return Err(Cause::OutOfOrder);
        }
        self.next += 1;
        if let Some(finish_reason) = &chunk.finish_reason {
            self.finish_reason = Some(finish_reason.clone());
            if progress.resumes > 0 {
                progress.recomputed_tokens +=
                    chunk.prompt_tokens.saturating_sub(chunk.cached_tokens);
            }
        }
        if chunk.text.is_empty() {
            return Ok(ChunkOutcome::Empty);
        }
        let index = progress.push(&chunk.text);
        Ok(ChunkOutcome::Token {
            index,
            text: chunk.text.clone(),
        })
    }

    /// Takes the end mark of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Cut`] if the server did not say why the answer ended.
    pub fn finish(self, progress: &mut Progress) -> Result<ChunkOutcome, Cause> {
        match self.finish_reason {
            Some(finish_reason) => {
                progress.finish_reason = Some(finish_reason);
                Ok(ChunkOutcome::Finished)
            }
            None => Err(Cause::Cut),
        }
    }
}
