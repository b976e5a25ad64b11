//! Framing of server-sent events in streams that are cut at arbitrary bytes.

use bytes::Bytes;
use bytes::BytesMut;

/// Terminator of an event.
const TERMINATOR: &[u8] = b"\n\n";

/// Largest event that is buffered, in bytes.
///
/// A server in trouble may send bytes without end that complete no event.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The error of an event that is larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLarge;

/// Buffers the start of an event until the rest of it has arrived.
///
/// When a stream moves to another server, it resumes after a complete event.
/// Therefore no part of an event may reach the caller before the whole event
/// has arrived.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
}

impl EventBuffer {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes of the stream and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the event that they do not complete is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLarge> {
        // A terminator may begin in the bytes that are already buffered.
        let from = self.partial.len().saturating_sub(TERMINATOR.len() - 1);
        self.partial.extend_from_slice(bytes);
        let end = self.partial[from..]
            .windows(TERMINATOR.len())
            .rposition(|window| window == TERMINATOR);
        let complete = match end {
            Some(index) => self.partial.split_to(from + index + TERMINATOR.len()),
            None => BytesMut::new(),
        };
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(complete.freeze())
    }

    /// Discards the buffered part of an event, which will not be completed.
    pub fn clear(&mut self) {
        self.partial.clear();
    }

    /// Returns whether part of an event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Tells whether a stream that is forwarded as it arrives is between two events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boundary {
    has_bytes: bool,
    /// Line ends since the last other byte.
    line_ends: usize,
}

impl Boundary {
    /// Creates the state of a stream that has not begun.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.has_bytes |= !bytes.is_empty();
        for byte in bytes {
            match byte {
                b'\n' => self.line_ends += 1,
                b'\r' => {}
                _ => self.line_ends = 0,
            }
        }
    }

    /// Returns whether an event has begun and is not complete.
    pub fn is_inside(&self) -> bool {
        self.has_bytes && self.line_ends < TERMINATOR.len()
    }
}

/// The error of an event that does not follow the last one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutOfOrder;

/// Tells whether the events of a stream follow each other, in one run and from one
/// run to the next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventOrder {
    /// Whether each id was one more than the one before.
    is_counting: bool,
    /// Whether another run has begun and none of its events has arrived.
    is_joining: bool,
    /// Whether the stream has events of several runs.
    has_joined: bool,
}

impl Default for EventOrder {
    fn default() -> Self {
        Self {
            is_counting: true,
            is_joining: false,
            has_joined: false,
        }
    }
}

impl EventOrder {
    /// Creates the state of a stream that has not begun.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that another run is to go on with the stream.
    pub fn begin_run(&mut self) {
        self.is_joining = true;
        self.has_joined = true;
    }

    /// Returns whether another run has begun and none of its events has arrived.
    pub fn is_joining(&self) -> bool {
        self.is_joining
    }

    /// Records the next event, given its id and that of the event before, if any.
    ///
    /// Ids increase. A run may leave some out, but not where two runs are joined if
    /// the stream has left out none before. In a single run, ids that are missing or no
    /// numbers are accepted as the server sends them.
    ///
    /// # Errors
    ///
    /// Returns an error if the event does not follow the last one.
    pub fn push(&mut self, last: Option<&str>, id: Option<&str>) -> Result<(), OutOfOrder> {
        let Some(last) = last else {
            return Ok(());
        };
        let number = |id: &str| id.parse::<u64>().ok();
        let (Some(last), Some(id)) = (number(last), id.and_then(number)) else {
            return if self.has_joined {
                Err(OutOfOrder)
            } else {
                Ok(())
            };
        };
        let is_next = last.checked_add(1) == Some(id);
        if id <= last || (self.is_joining && self.is_counting && !is_next) {
            return Err(OutOfOrder);
        }
        self.is_counting &= is_next;
        self.is_joining = false;
        Ok(())
    }
}

/// Returns whether an event consists of comments only.
pub fn is_comment(event: &[u8]) -> bool {
    event
        .split(|byte| *byte == b'\n')
        .all(|line| line.is_empty() || line.starts_with(b":"))
}

/// Iterates over complete events, each including its terminator.
pub fn events(bytes: &Bytes) -> impl Iterator<Item = Bytes> {
    let mut rest = bytes.clone();
    std::iter::from_fn(move || {
        let index = rest
            .windows(TERMINATOR.len())
            .position(|window| window == TERMINATOR)?;
        Some(rest.split_to(index + TERMINATOR.len()))
    })
}
