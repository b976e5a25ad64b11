//! Series of events that may be cut between or within events.

use bytes::Bytes;
use bytes::BytesMut;

/// What ends an event.
const END: &[u8] = b"\n\n";

/// Keeps the beginning of an event back until the rest of it has arrived.
///
/// A stream that goes on at another server does so after a whole event, so no
/// part of an event may reach the caller before all of it is there.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    held: BytesMut,
}

impl EventBuffer {
    /// Creates a splitter that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes of the stream and returns the whole events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // An end may begin in what is held.
        let from = self.held.len().saturating_sub(END.len() - 1);
        self.held.extend_from_slice(bytes);
        let end = self.held[from..]
            .windows(END.len())
            .rposition(|window| window == END);
        match end {
            Some(at) => self.held.split_to(from + at + END.len()).freeze(),
            None => Bytes::new(),
        }
    }

    /// Drops the part of an event that will not be completed.
    pub fn clear(&mut self) {
        self.held.clear();
    }

    /// Returns whether a part of an event is held back.
    pub fn has_partial(&self) -> bool {
        !self.held.is_empty()
    }
}

/// Iterates over whole events, each with its end.
pub fn events(bytes: &Bytes) -> impl Iterator<Item = Bytes> {
    let mut rest = bytes.clone();
    std::iter::from_fn(move || {
        let at = rest.windows(END.len()).position(|window| window == END)?;
        Some(rest.split_to(at + END.len()))
    })
}
