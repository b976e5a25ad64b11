//! Event lines: one JSON object a line on the standard output.
//!
//! A line names a decision, the inputs that decided it and the outcome. Lines
//! pass through a bounded queue to a thread of their own, so a reader that
//! does not keep up costs lines and never time. Dropped lines are counted.

use std::io;
use std::io::Write;
use std::time::Duration;

use crossbeam::channel;
use serde_json::Map;
use serde_json::Value;

use crate::clock::Clock;
use crate::core::Name;
use crate::core::limit::bucket::Bucket;

/// Lines that wait for the writer.
const QUEUE: usize = 2_048;

/// Time between two writes, so that a busy process wakes its writer seldom.
const WRITE_STEP: Duration = Duration::from_millis(200);

/// Lines about requests that are written a second.
const REQUEST_RATE: f64 = 100.0;

/// Time whose lines about requests may be written at once.
const REQUEST_BURST: Duration = Duration::from_secs(2);

/// Writes event lines of one node.
#[derive(Clone, Debug)]
pub struct EventLog {
    node: Name,
    clock: Clock,
    lines: Option<channel::Sender<String>>,
    requests: std::sync::Arc<std::sync::Mutex<Bucket>>,
}

/// One event line.
#[derive(Debug)]
pub struct Event {
    fields: Map<String, Value>,
    is_request: bool,
}

impl Event {
    /// Creates a line about what the node does or believes.
    pub fn new(event: &'static str) -> Self {
        let mut fields = Map::new();
        fields.insert("event".to_string(), event.into());
        Self {
            fields,
            is_request: false,
        }
    }

    /// Creates a line about a request; under load only some are written.
    pub fn for_request(event: &'static str, id: &str) -> Self {
        let mut line = Self::new(event).with("request", id);
        line.is_request = true;
        line
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.fields.insert(name.to_string(), value.into());
        self
    }

    /// Adds a time span in milliseconds.
    #[must_use]
    pub fn with_ms(self, name: &'static str, span: Duration) -> Self {
        self.with(name, span.as_micros() as f64 / 1_000.0)
    }
}

impl EventLog {
    /// Creates a writer to the standard output.
    pub fn new(node: Name, clock: Clock) -> Self {
        let (sender, receiver) = channel::bounded::<String>(QUEUE);
        std::thread::spawn(move || write_lines(&receiver));
        Self::with_sender(node, clock, Some(sender))
    }

    /// Creates a writer that hands its lines to `sender`, or drops them.
    pub fn with_sender(node: Name, clock: Clock, lines: Option<channel::Sender<String>>) -> Self {
        let bucket = Bucket::new(REQUEST_RATE, REQUEST_BURST, clock.now());
        Self {
            node,
            clock,
            lines,
            requests: std::sync::Arc::new(std::sync::Mutex::new(bucket)),
        }
    }

    /// Gives the writer the time to write what waits.
    pub async fn flush(&self) {
        if self.lines.is_some() {
            tokio::time::sleep(WRITE_STEP + WRITE_STEP / 4).await;
        }
    }

    /// Writes a line, or drops it if too many wait.
    pub fn write(&self, line: Event) {
        let Some(lines) = &self.lines else { return };
        let now = self.clock.now();
        if line.is_request && self.requests.lock().unwrap().take(1.0, now).is_err() {
            count_dropped("rate");
            return;
        }
        let mut fields = line.fields;
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

/// Writes lines in batches until the last sender is gone.
fn write_lines(lines: &channel::Receiver<String>) {
    let mut batch = String::new();
    while let Ok(first) = lines.recv() {
        batch.push_str(&first);
        batch.push('\n');
        std::thread::sleep(WRITE_STEP);
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
