//! Framing of calls and answers.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the frames; a node refuses others.
pub const VERSION: u8 = 1;

/// Largest frame, in bytes.
pub const MAX_BYTES: usize = 8 * 1_048_576;

/// Why a frame cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameError {
    /// It has another version.
    Version,
    /// It is larger than [`MAX_BYTES`].
    TooLarge,
    /// Its content cannot be decoded.
    Garbled,
}

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_BYTES>()
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] if the frame would be too large.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, FrameError> {
    let mut frame = vec![VERSION];
    bincode::serde::encode_into_std_write(message, &mut frame, codec())
        .map_err(|_| FrameError::Garbled)?;
    if frame.len() > MAX_BYTES {
        return Err(FrameError::TooLarge);
    }
    Ok(frame.into())
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`FrameError`] if the frame has another version or is garbled.
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
