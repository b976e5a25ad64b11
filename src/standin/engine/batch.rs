//! Continuous batching with a simple cost model.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::core::call::chunk;
use crate::core::call::request::Shape;
use crate::core::route::prefix;
use crate::core::route::servers::Load;
use crate::standin::engine::cache::Cache;
use crate::standin::engine::faults::Faults;
use crate::standin::generator::Generator;
use crate::web::Part;

/// Prompt tokens computed in one step, at most.
const PREFILL_CHUNK: u32 = 512;

/// Answers whose text is kept for export after they end.
const MAX_FINISHED: usize = 64;

/// Costs and limits of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Time of one step, in microseconds.
    pub step_us: u64,
    /// Time that each running request adds to a step, in microseconds.
    pub request_us: u64,
    /// Time of one uncached prompt token, in microseconds.
    pub prefill_us: u64,
    /// Requests that run at the same time.
    pub max_batch: usize,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            step_us: 4_000,
            request_us: 100,
            prefill_us: 200,
            max_batch: 8,
            cache_blocks: 2_048,
        }
    }
}

/// One request at the engine.
#[derive(Debug)]
pub struct Sequence {
    /// The request it answers.
    pub request: String,
    /// The service.
    pub model: String,
    /// Shape of the answer.
    pub shape: Shape,
    /// The prompt, and the answer as it grows.
    pub text: String,
    /// Where the answer is.
    pub generator: Generator,
    /// Tokens to generate.
    pub left: u32,
    /// Importance; a lower number goes first.
    pub priority: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Where chunks go.
    pub out: mpsc::Sender<Part>,
    cached: u32,
    prefill_left: u32,
    is_admitted: bool,
    chunks: u64,
}

impl Sequence {
    /// Creates a sequence that has not begun.
    pub fn new(
        request: String,
        completion: &crate::core::call::request::Completion,
        priority: u32,
        out: mpsc::Sender<Part>,
    ) -> Self {
        Self {
            request,
            model: completion.model.clone(),
            shape: completion.shape,
            text: format!("{} {}", completion.prompt, completion.continued),
            generator: Generator::new(completion),
            left: completion.max_tokens,
            priority,
            prompt_tokens: completion.prompt_tokens(),
            out,
            cached: 0,
            prefill_left: 0,
            is_admitted: false,
            chunks: 0,
        }
    }

    /// Returns one event of the stream.
    fn event(&self, text: &str, finish: Option<&str>) -> String {
        let usage = finish.map(|_| chunk::Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.chunks as u32,
            prompt_tokens_details: chunk::Details {
                cached_tokens: self.cached,
            },
        });
        let head = chunk::Head {
            request: &self.request,
            model: &self.model,
            shape: self.shape,
            created: 0,
        };
        let data = chunk::encode(&head, text, finish, usage);
        format!("id: {}:{}\ndata: {data}\n\n", self.request, self.chunks)
    }
}

/// The requests at an engine and its cache.
#[derive(Debug)]
pub struct Batch {
    costs: Costs,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    finished: Vec<(String, String)>,
    /// The prefix cache.
    pub cache: Cache,
    /// Prompt tokens computed since the start.
    pub prefilled: u64,
}

impl Batch {
    /// Creates an idle batch.
    pub fn new(costs: Costs) -> Self {
        Self {
            costs,
            waiting: Vec::new(),
            running: Vec::new(),
            finished: Vec::new(),
            cache: Cache::new(costs.cache_blocks),
            prefilled: 0,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, sequence: Sequence) {
        let at = self
            .waiting
            .partition_point(|other| other.priority <= sequence.priority);
        self.waiting.insert(at, sequence);
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
        }
    }

    /// Returns whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Drops every request, which cuts its connection.
    pub fn abort(&mut self) {
        for sequence in self.running.drain(..).chain(self.waiting.drain(..)) {
            let error = std::io::Error::other("engine died");
            // A full channel has a reader that sees the end of the stream.
            let _ = sequence.out.try_send(Err(error));
        }
    }

    /// Returns the prompt and answer of a request, for export.
    pub fn text_of(&self, request: &str) -> Option<&str> {
        let running = self.running.iter().find(|s| s.request == request);
        if let Some(sequence) = running {
            return Some(&sequence.text);
        }
        let finished = self.finished.iter().rev().find(|(id, _)| id == request);
        finished.map(|(_, text)| text.as_str())
    }

    /// Begins a step: admits requests and returns how long the step takes.
    pub fn begin_step(&mut self) -> Duration {
        let free = self.costs.max_batch.saturating_sub(self.running.len());
        let count = free.min(self.waiting.len());
        self.running.extend(self.waiting.drain(..count));
        let mut budget = PREFILL_CHUNK;
        let mut prefill = 0;
        for sequence in &mut self.running {
            if !sequence.is_admitted {
                sequence.is_admitted = true;
                let chain = prefix::blocks(&sequence.text);
                let hits = self.cache.hits(&chain) * prefix::BLOCK_WORDS;
                sequence.cached = (hits as u32).min(sequence.prompt_tokens);
                sequence.prefill_left = sequence.prompt_tokens - sequence.cached;
            }
            let part = sequence.prefill_left.min(budget);
            sequence.prefill_left -= part;
            budget -= part;
            prefill += u64::from(part);
        }
        self.prefilled += prefill;
        let micros = self.costs.step_us
            + self.costs.request_us * self.running.len() as u64
            + self.costs.prefill_us * prefill;
        Duration::from_micros(micros)
    }

    /// Ends a step: every request whose prompt is computed gets one token.
    pub fn end_step(&mut self, faults: &Faults, now: Instant) {
        let mut at = 0;
        while at < self.running.len() {
            let sequence = &mut self.running[at];
            if sequence.prefill_left > 0 || faults.freeze {
                at += 1;
                continue;
            }
            if emit(sequence, faults) {
                at += 1;
                continue;
            }
            let sequence = self.running.remove(at);
            self.cache.store(&prefix::blocks(&sequence.text), now);
            self.finished.push((sequence.request, sequence.text));
            let excess = self.finished.len().saturating_sub(MAX_FINISHED);
            self.finished.drain(..excess);
        }
    }
}

/// Sends the next token and returns whether the request goes on.
fn emit(sequence: &mut Sequence, faults: &Faults) -> bool {
    if sequence.out.is_closed() {
        return false;
    }
    if sequence.out.capacity() < 2 {
        // The reader is slow: this request waits.
        return true;
    }
    let word = sequence.generator.next_word();
    sequence.left = sequence.left.saturating_sub(1);
    let is_last = sequence.left == 0;
    let mut event = sequence.event(&word, is_last.then_some("length"));
    if faults.crossed && sequence.chunks == 2 {
        event = event.replace(&sequence.request, "someone-elses-request");
    }
    if faults.doubled && sequence.chunks == 2 {
        event = event.repeat(2);
    }
    let is_skipped = faults.skipped && sequence.chunks == 2;
    sequence.chunks += 1;
    sequence.text.push_str(&word);
    let cut = faults.cut_after > 0 && sequence.chunks >= faults.cut_after;
    if is_last && !cut {
        event.push_str("data: [DONE]\n\n");
    }
    if !is_skipped && sequence.out.try_send(Ok(Bytes::from(event))).is_err() {
        return false;
    }
    if cut {
        let error = std::io::Error::other("cut");
        let _ = sequence.out.try_send(Err(error));
        return false;
    }
    !is_last
}
