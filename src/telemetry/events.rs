//! Event log: one JSON object per line on the standard output.
//!
//! An event records a decision, its inputs and its outcome. Lines pass through
//! a bounded queue to a writer thread, so that a slow reader causes dropped
//! lines but never delays the process. Dropped lines are counted.

use std::io;
use std::io::Write;
use std::time::Duration;

use crossbeam::channel;
use serde_json::Map;
use serde_json::Value;

use crate::clock::Clock;
use crate::core::Name;
use crate::core::limit::token_bucket::TokenBucket;

/// Maximum number of lines that wait for the writer thread.
const QUEUE_LINES: usize = 2_048;

/// Interval between two writes, which bounds how often a busy process wakes its
/// writer thread.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum rate of request events, in lines per second.
const REQUEST_LINES_PER_S: f64 = 100.0;

/// Period whose quota of request events may be written in one burst.
const REQUEST_BURST: Duration = Duration::from_secs(2);

/// Writes the events of one node to the log.
#[derive(Clone, Debug)]
pub struct EventLog {
    node: Name,
    clock: Clock,
    lines: Option<channel::Sender<String>>,
    request_limit: std::sync::Arc<std::sync::Mutex<TokenBucket>>,
}

/// One event with its fields.
#[derive(Debug)]
pub struct Event {
    fields: Map<String, Value>,
    is_request: bool,
}

impl Event {
    /// Creates an event about the node itself or its view of the system.
    pub fn new(event: &'static str) -> Self {
        let mut fields = Map::new();
        fields.insert("event".to_string(), event.into());
        Self {
            fields,
            is_request: false,
        }
    }

    /// Creates an event about a request, which is subject to the rate limit.
    pub fn for_request(event: &'static str, id: &str) -> Self {
        let mut event = Self::new(event).with("request", id);
        event.is_request = true;
        event
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.fields.insert(name.to_string(), value.into());
        self
    }

    /// Adds a duration field in milliseconds.
    #[must_use]
    pub fn with_ms(self, name: &'static str, duration: Duration) -> Self {
        self.with(name, duration.as_micros() as f64 / 1_000.0)
    }
}

impl EventLog {
    /// Creates a log that writes to the standard output.
    pub fn new(node: Name, clock: Clock) -> Self {
        let (sender, receiver) = channel::bounded::<String>(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&receiver));
        Self::with_sender(node, clock, Some(sender))
    }

    /// Creates a log that sends its lines to `lines`, or discards them if it is `None`.
    pub fn with_sender(node: Name, clock: Clock, lines: Option<channel::Sender<String>>) -> Self {
        let bucket = TokenBucket::new(REQUEST_LINES_PER_S, REQUEST_BURST, clock.now());
        Self {
            node,
            clock,
            lines,
            request_limit: std::sync::Arc::new(std::sync::Mutex::new(bucket)),
        }
    }

    /// Waits long enough for the writer thread to write the queued lines.
    pub async fn flush(&self) {
        if self.lines.is_some() {
            tokio::time::sleep(WRITE_INTERVAL + WRITE_INTERVAL / 4).await;
        }
    }

    /// Queues an event, or drops it if the queue is full or the rate limit is exceeded.
    pub fn write(&self, event: Event) {
        let Some(lines) = &self.lines else { return };
        let now = self.clock.now();
        if event.is_request && self.request_limit.lock().unwrap().take(1.0, now).is_err() {
            count_dropped("rate");
            return;
        }
        let mut fields = event.fields;
        fields.insert("time_ms".to_string(), now.as_millis().into());
        fields.insert("node".to_string(), (*self.node).into());
        let text = Value::Object(fields).to_string();
        if lines.try_send(text).is_err() {
            count_dropped("queue");
        }
    }
}

fn count_dropped(reason: &'static str) {
    metrics::counter!("cassialock_event_lines_dropped_total", "reason" => reason).increment(1);
}

/// Writes lines in batches until the last sender is dropped.
fn write_lines(lines: &channel::Receiver<String>) {
    let mut batch = String::new();
    while let Ok(first) = lines.recv() {
        batch.push_str(&first);
        batch.push('\n');
        std::thread::sleep(WRITE_INTERVAL);
        for line in lines.try_iter() {
            batch.push_str(&line);
            batch.push('\n');
        }
        let written = io::stdout().lock().write_all(batch.as_bytes());
        if written.is_err() {
            count_dropped("output");
        }
        batch.clear();
    }
}
