//! Encodes and decodes gossip messages as single UDP datagrams.

use crate::Datagram;
use crate::WireError;

/// Largest datagram, in bytes; fits an Ethernet packet without IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Encode a datagram.
///
/// # Errors
///
/// Returns an error if the encoded datagram exceeds [`MAX_DATAGRAM_BYTES`].
pub fn encode_datagram(datagram: &Datagram) -> Result<Vec<u8>, WireError> {
    let bytes = postcard::to_allocvec(datagram).map_err(|e| WireError::malformed(&e))?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(WireError::too_large(bytes.len(), MAX_DATAGRAM_BYTES));
    }
    Ok(bytes)
}

/// Decode a datagram.
///
/// # Errors
///
/// Returns an error if the bytes don't decode to exactly one datagram.
pub fn decode_datagram(bytes: &[u8]) -> Result<Datagram, WireError> {
    match postcard::take_from_bytes(bytes) {
        Ok((datagram, [])) => Ok(datagram),
        Ok((_, rest)) => Err(WireError::malformed(&format!(
            "{} trailing bytes",
            rest.len()
        ))),
        Err(e) => Err(WireError::malformed(&e)),
    }
}
