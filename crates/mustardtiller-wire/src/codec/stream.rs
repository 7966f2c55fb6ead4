//! Length-prefixed frames in a byte stream.

use bytes::Buf;
use bytes::BytesMut;

use crate::Frame;
use crate::WireError;

/// Largest frame, in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 1_200_000;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Append a length-prefixed frame to `buf`.
///
/// # Errors
///
/// Returns an error if the frame exceeds [`MAX_FRAME_BYTES`]; `buf` is then unchanged.
pub fn encode_frame(frame: &Frame, buf: &mut Vec<u8>) -> Result<(), WireError> {
    let start = buf.len();
    buf.extend_from_slice(&[0; LENGTH_BYTES]);
    let encoded = postcard::to_extend(frame, std::mem::take(buf));
    *buf = encoded.map_err(|e| WireError::malformed(&e))?;
    let length = buf.len() - start - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        buf.truncate(start);
        return Err(WireError::too_large(length, MAX_FRAME_BYTES));
    }
    buf[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(())
}

/// Incremental decoder that splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    buf: BytesMut,
}

impl FrameReader {
    /// Append received bytes to the buffer.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Decode the next frame, or return `None` if it is still incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the next frame is too large or malformed; the stream must not
    /// be read any further.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, WireError> {
        let Some(length) = self.buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(WireError::too_large(length, MAX_FRAME_BYTES));
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let body = self.buf.split_to(length);
        match postcard::take_from_bytes(&body) {
            Ok((frame, [])) => Ok(Some(frame)),
            Ok((_, rest)) => Err(WireError::malformed(&format!(
                "{} trailing bytes",
                rest.len()
            ))),
            Err(e) => Err(WireError::malformed(&e)),
        }
    }
}
