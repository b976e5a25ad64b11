//! Prompt parts that this node has recently sent to servers.

use std::time::Duration;

use crate::core::Name;
use crate::core::request::PromptPart;
use crate::core::time::Time;

/// Time for which a server is expected to hold a part that was sent to it.
const RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of rows; they take about half a megabyte.
const MAX_ROWS: usize = 8_192;

/// A part that was sent to a server.
#[derive(Clone, Debug)]
struct Row {
    part: u64,
    server: Name,
    at: Time,
}

/// Servers that are expected to hold parts of prompts in their caches.
///
/// # Invariants
///
/// `rows` is sorted by part and server, and holds at most `MAX_ROWS` rows.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    rows: Vec<Row>,
}

impl Parts {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    fn search(&self, part: u64, server: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (row.part, &*row.server).cmp(&(part, server)))
    }

    /// Records that a prompt with these shared parts was sent to a server.
    pub fn record(&mut self, parts: &[PromptPart], server: &Name, now: Time) {
        for part in parts {
            match self.search(part.id, server) {
                Ok(index) => self.rows[index].at = now,
                Err(_) => {
                    if self.rows.len() >= MAX_ROWS {
                        self.evict(now);
                    }
                    // INVARIANT: a new row is inserted where the binary search ends.
                    let index = self.search(part.id, server).unwrap_or_else(|index| index);
                    let row = Row {
                        part: part.id,
                        server: server.clone(),
                        at: now,
                    };
                    self.rows.insert(index, row);
                }
            }
        }
    }

    /// Removes the expired rows and at least the oldest quarter of all rows.
    fn evict(&mut self, now: Time) {
        let mut times: Vec<Time> = self.rows.iter().map(|row| row.at).collect();
        let (_, oldest, _) = times.select_nth_unstable(MAX_ROWS / 4);
        let oldest = (*oldest).max(now.before(RETENTION));
        self.rows.retain(|row| row.at > oldest);
    }

    /// Returns the tokens of the leading parts that a server is expected to hold.
    pub fn held_tokens(&self, parts: &[PromptPart], server: &str, now: Time) -> f64 {
        let is_held = |part: &&PromptPart| {
            let row = self.search(part.id, server).ok();
            row.is_some_and(|index| now.since(self.rows[index].at) < RETENTION)
        };
        let held = parts.iter().take_while(is_held);
        held.map(|part| f64::from(part.tokens)).sum()
    }

    /// Returns a server that is expected to hold a part, if there is one.
    ///
    /// `random` selects among them.
    pub fn holder(&self, part: u64, random: u64, now: Time) -> Option<&Name> {
        let from = self.rows.partition_point(|row| row.part < part);
        let to = self.rows.partition_point(|row| row.part <= part);
        let rows = &self.rows[from..to];
        let at = (u128::from(random) * rows.len() as u128) >> 64;
        let row = rows.get(at as usize)?;
        (now.since(row.at) < RETENTION).then_some(&row.server)
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
