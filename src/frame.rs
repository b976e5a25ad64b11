//! Encoding of the messages between nodes: a version byte and bincode content.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the frame format; frames of any other version are rejected.
pub const VERSION: u8 = 1;

/// Maximum size of a frame, in bytes.
pub const MAX_BYTES: usize = 8 * 1_048_576;

/// Error of encoding or decoding a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameError {
    /// The frame has another version.
    Version,
    /// The frame is larger than [`MAX_BYTES`].
    TooLarge,
    /// The content cannot be encoded or decoded.
    Garbled,
}

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_BYTES>()
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] if the frame exceeds [`MAX_BYTES`], and
/// [`FrameError::Garbled`] if the message cannot be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, FrameError> {
    let mut frame = vec![VERSION];
    bincode::serde::encode_into_std_write(message, &mut frame, codec())
        .map_err(|_| FrameError::Garbled)?;
    if frame.len() > MAX_BYTES {
        return Err(FrameError::TooLarge);
    }
    Ok(frame.into())
}

/// Decodes a message from a frame.
///
/// # Errors
///
/// Returns [`FrameError`] if the frame has another version, cannot be decoded
/// or has trailing bytes.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    let Some((&version, content)) = frame.split_first() else {
        return Err(FrameError::Garbled);
    };
    if version != VERSION {
        return Err(FrameError::Version);
    }
    match bincode::serde::decode_from_slice(content, codec()) {
        Ok((message, used)) if used == content.len() => Ok(message),
        _ => Err(FrameError::Garbled),
    }
}
