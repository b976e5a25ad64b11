//! Memory reserved for the bodies of open requests.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::entry::Entry;
use crate::web::ReadError;

/// Largest fraction of the memory limit that may be reserved for open requests.
const MEMORY_FRACTION: f64 = 0.3;

/// Memory reserved for an open request; dropping it releases the memory.
pub struct MemoryReservation {
    entry: Arc<Entry>,
    bytes: usize,
}

/// A body with the memory reserved for it.
///
/// A connection may still be sending the body after the request has ended.
struct ReservedBody {
    content: Bytes,
    _memory: MemoryReservation,
}

impl MemoryReservation {
    /// Reserves memory, or returns `None` if too much is in use.
    pub fn new(entry: &Arc<Entry>, bytes: usize) -> Option<Self> {
        let limit = entry.settings.load().memory_limit as f64 * MEMORY_FRACTION;
        if (entry.reserved_bytes.load(Ordering::Relaxed) + bytes) as f64 > limit {
            return None;
        }
        entry.reserved_bytes.fetch_add(bytes, Ordering::Relaxed);
        Some(Self {
            entry: Arc::clone(entry),
            bytes,
        })
    }

    /// Keeps the memory reserved for as long as a body exists.
    pub fn hold(self, content: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBody {
            content,
            _memory: self,
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.entry
            .reserved_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// Reads the complete body of an answer.
///
/// Beyond `unreserved` bytes it may be as large as the body of a request, if memory can
/// be reserved for that.
///
/// # Errors
///
/// Returns [`ReadError`] if the body is too large or incomplete.
pub async fn read_answer(
    entry: &Arc<Entry>,
    mut body: Incoming,
    unreserved: usize,
) -> Result<Bytes, ReadError> {
    let limits = entry.catalog.load().map(|catalog| catalog.limits);
    let limit = limits.unwrap_or_default().body_bytes.max(unreserved);
    let mut content = BytesMut::new();
    let mut memory = None;
    while let Some(frame) = body.frame().await {
        // Trailers are not forwarded.
        let Ok(data) = frame.map_err(|_| ReadError::Cut)?.into_data() else {
            continue;
        };
        let length = content.len() + data.len();
        if length > limit {
            return Err(ReadError::TooLarge);
        }
        if length > unreserved && memory.is_none() {
            let reserved = MemoryReservation::new(entry, limit);
            memory = Some(reserved.ok_or(ReadError::TooLarge)?);
        }
        content.extend_from_slice(&data);
    }
    let content = content.freeze();
    Ok(match memory {
        Some(memory) => memory.hold(content),
        None => content,
    })
}
