//! Completion requests, and assembly of a completion from one or more attempts.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::retry::Cause;

pub mod chunk;
pub mod handover;
pub mod request;

/// One chunk of a stream from a backend server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Chunk {
    /// ID of the request, as stated in the chunk.
    pub request_id: String,
    /// Index of the chunk within its attempt, starting at 0.
    pub index: Option<u64>,
    /// Text that the chunk appends to the completion.
    pub text: String,
    /// Why the completion ended; set on its last chunk only.
    pub finish_reason: Option<String>,
    /// Tokens in the prompt; set on the last chunk only.
    pub prompt_tokens: u32,
    /// Prompt tokens that were served from the server's prefix cache; set on the last chunk
    /// only.
    pub cached_tokens: u32,
}

/// Result of processing a chunk or the end of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkOutcome {
    /// A token to pass on to the caller.
    Token {
        /// Index of the token in the whole completion, starting at 1.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The whole completion has been received.
    Finished,
    /// The chunk contains no text.
    Empty,
}

/// The part of a completion that has been received.
///
/// It is all the state that another node or server needs to continue the completion.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Text received so far.
    pub text: String,
    /// End offset of each token in `text`, in bytes.
    pub token_ends: Vec<u32>,
    /// Why the completion ended; set once it is complete.
    pub finish_reason: Option<String>,
    /// Prompt tokens that were recomputed because a stream was resumed.
    pub recomputed_tokens: u32,
    /// Number of times that the stream was resumed.
    pub resumes: u32,
}

impl Progress {
    /// Returns the number of tokens received so far.
    pub fn tokens(&self) -> u64 {
        self.token_ends.len() as u64
    }

    /// Returns the text of the token at `index`, starting at 1.
    pub fn token(&self, index: u64) -> Option<&str> {
        let position = usize::try_from(index.checked_sub(1)?).ok()?;
        let end = *self.token_ends.get(position)? as usize;
        let start = match position {
            0 => 0,
            _ => self.token_ends[position - 1] as usize,
        };
        self.text.get(start..end)
    }

    fn push(&mut self, text: &str) -> u64 {
        self.text.push_str(text);
        self.token_ends.push(self.text.len() as u32);
        self.tokens()
    }
}

/// Validates the chunks of one attempt and appends them to a [`Progress`].
///
/// A completion counts as complete only after the server has sent a finish reason
/// and then terminated the stream with [`chunk::DONE`]. A chunk of another request, a
/// missing chunk and a repeated chunk are errors, and none of their text reaches the
/// caller.
#[derive(Clone, Debug)]
pub struct Assembly {
    request_id: Name,
    next_index: u64,
    finish_reason: Option<String>,
}

impl Assembly {
    /// Creates an assembly for one attempt at the request `request_id`.
    pub fn new(request_id: Name) -> Self {
        Self {
            request_id,
            next_index: 0,
            finish_reason: None,
        }
    }

    /// Validates `chunk` and appends its text to `progress`.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Crossed`] if the chunk belongs to another request, and
    /// [`Cause::OutOfOrder`] if it is not the next one or follows the last one.
    pub fn accept(
        &mut self,
        chunk: &Chunk,
        progress: &mut Progress,
    ) -> Result<ChunkOutcome, Cause> {
        if chunk.request_id != *self.request_id {
            return Err(Cause::Crossed);
        }
        if chunk.index != Some(self.next_index) || self.finish_reason.is_some() {
            return Err(Cause::OutOfOrder);
        }
        self.next_index += 1;
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

    /// Handles the end of the stream, which [`chunk::DONE`] marks.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Cut`] if the server has not sent a finish reason.
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
