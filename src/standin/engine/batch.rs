//! Continuous batching with a simple cost model for each step.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::core::completion::chunk;
use crate::core::completion::request::Endpoint;
use crate::core::route::prefix;
use crate::core::route::servers::LoadReport;
use crate::standin::engine::cache::Cache;
use crate::standin::engine::faults::Faults;
use crate::standin::generator::Generator;
use crate::web::BodyChunk;

/// Maximum number of prompt tokens computed in one step.
const MAX_PREFILL_TOKENS: u32 = 512;

/// Maximum number of finished requests whose text is kept for export.
const MAX_FINISHED_TEXTS: usize = 64;

/// Cost model and limits of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Fixed time of a step, in microseconds.
    pub step_us: u64,
    /// Time that each running request adds to a step, in microseconds.
    pub request_us: u64,
    /// Time to compute an uncached prompt token, in microseconds.
    pub prefill_us: u64,
    /// Maximum number of requests that run concurrently.
    pub max_batch: usize,
    /// Capacity of the prefix cache, in blocks.
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

/// A request that is waiting or running at the engine.
#[derive(Debug)]
pub struct Sequence {
    /// Request id.
    pub request: String,
    /// Model name, which is the name of the service.
    pub model: String,
    /// API of the answer, chat or text completion.
    pub endpoint: Endpoint,
    /// Prompt and the tokens generated so far.
    pub text: String,
    /// Generator of the next tokens.
    pub generator: Generator,
    /// Number of tokens that remain to be generated.
    pub remaining: u32,
    /// Priority; lower numbers are scheduled first.
    pub priority: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Channel for the chunks of the answer.
    pub sender: mpsc::Sender<BodyChunk>,
    cached_tokens: u32,
    prefill_left: u32,
    is_admitted: bool,
    chunk_count: u64,
}

impl Sequence {
    /// Creates a sequence that has not started.
    pub fn new(
        request: String,
        completion: &crate::core::completion::request::Completion,
        priority: u32,
        sender: mpsc::Sender<BodyChunk>,
    ) -> Self {
        Self {
            request,
            model: completion.model.clone(),
            endpoint: completion.endpoint,
            text: format!("{} {}", completion.prompt, completion.partial_answer),
            generator: Generator::new(completion),
            remaining: completion.max_tokens,
            priority,
            prompt_tokens: completion.prompt_tokens(),
            sender,
            cached_tokens: 0,
            prefill_left: 0,
            is_admitted: false,
            chunk_count: 0,
        }
    }

    /// Encodes one event of the stream.
    fn encode_event(&self, text: &str, finish: Option<&str>) -> String {
        let usage = finish.map(|_| chunk::Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.chunk_count as u32,
            prompt_tokens_details: chunk::PromptTokensDetails {
                cached_tokens: self.cached_tokens,
            },
        });
        let head = chunk::Header {
            request_id: &self.request,
            model: &self.model,
            endpoint: self.endpoint,
            created: 0,
        };
        let data = chunk::encode(&head, text, finish, usage);
        format!(
            "id: {}:{}\ndata: {data}\n\n",
            self.request, self.chunk_count
        )
    }
}

/// Requests of an engine and its prefix cache.
#[derive(Debug)]
pub struct Batch {
    costs: Costs,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    finished: Vec<(String, String)>,
    /// Prefix cache.
    pub cache: Cache,
    /// Number of prompt tokens computed since the start.
    pub prefilled: u64,
}

impl Batch {
    /// Creates a batch without requests.
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

    /// Adds a request to the queue, after requests of the same or a higher priority.
    pub fn push(&mut self, sequence: Sequence) {
        let index = self
            .waiting
            .partition_point(|other| other.priority <= sequence.priority);
        self.waiting.insert(index, sequence);
    }

    /// Returns the current load.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            ..LoadReport::default()
        }
    }

    /// Returns whether no request is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Drops all requests and closes their connections.
    pub fn abort(&mut self) {
        for sequence in self.running.drain(..).chain(self.waiting.drain(..)) {
            let error = std::io::Error::other("engine crashed");
            // If the channel is full, the reader still detects the truncated stream.
            let _ = sequence.sender.try_send(Err(error));
        }
    }

    /// Returns the prompt and generated text of a request, for export.
    pub fn text(&self, request: &str) -> Option<&str> {
        let running = self.running.iter().find(|s| s.request == request);
        if let Some(sequence) = running {
            return Some(&sequence.text);
        }
        let finished = self.finished.iter().rev().find(|(id, _)| id == request);
        finished.map(|(_, text)| text.as_str())
    }

    /// Begins a step: admits waiting requests, schedules prefill and returns the
    /// duration of the step.
    pub fn begin_step(&mut self) -> Duration {
        let free = self.costs.max_batch.saturating_sub(self.running.len());
        let count = free.min(self.waiting.len());
        self.running.extend(self.waiting.drain(..count));
        let mut budget = MAX_PREFILL_TOKENS;
        let mut prefill = 0;
        for sequence in &mut self.running {
            if !sequence.is_admitted {
                sequence.is_admitted = true;
                let hashes = prefix::block_hashes(&sequence.text);
                let hits = self.cache.lookup(&hashes) * prefix::BLOCK_WORDS;
                sequence.cached_tokens = (hits as u32).min(sequence.prompt_tokens);
                sequence.prefill_left = sequence.prompt_tokens - sequence.cached_tokens;
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

    /// Ends a step: generates one token for every request whose prefill is done.
    pub fn end_step(&mut self, faults: &Faults, now: Instant) {
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &mut self.running[index];
            if sequence.prefill_left > 0 || faults.freeze {
                index += 1;
                continue;
            }
            if send_token(sequence, faults) {
                index += 1;
                continue;
            }
            let sequence = self.running.remove(index);
            self.cache
                .insert(&prefix::block_hashes(&sequence.text), now);
            self.finished.push((sequence.request, sequence.text));
            let excess = self.finished.len().saturating_sub(MAX_FINISHED_TEXTS);
            self.finished.drain(..excess);
        }
    }
}

/// Sends the next token and returns whether the request continues.
fn send_token(sequence: &mut Sequence, faults: &Faults) -> bool {
    if sequence.sender.is_closed() {
        return false;
    }
    if sequence.sender.capacity() < 2 {
        // The reader is slow, so the request waits for a later step.
        return true;
    }
    let word = sequence.generator.next_word();
    sequence.remaining = sequence.remaining.saturating_sub(1);
    let is_last = sequence.remaining == 0;
    let mut event = sequence.encode_event(&word, is_last.then_some("length"));
    if faults.crossed && sequence.chunk_count == 2 {
        event = event.replace(&sequence.request, "someone-elses-request");
    }
    if faults.doubled && sequence.chunk_count == 2 {
        event = event.repeat(2);
    }
    let is_skipped = faults.skipped && sequence.chunk_count == 2;
    sequence.chunk_count += 1;
    sequence.text.push_str(&word);
    let is_cut = faults.cut_after > 0 && sequence.chunk_count >= faults.cut_after;
    if is_last && !is_cut {
        event.push_str("data: [DONE]\n\n");
    }
    if !is_skipped && sequence.sender.try_send(Ok(Bytes::from(event))).is_err() {
        return false;
    }
    if is_cut {
        let error = std::io::Error::other("stream cut by an injected fault");
        let _ = sequence.sender.try_send(Err(error));
        return false;
    }
    !is_last
}
