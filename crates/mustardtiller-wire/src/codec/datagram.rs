//! Messages in single datagrams.

use crate::Datagram;
use crate::WireError;

/// Largest datagram, in bytes; fits one packet on ordinary networks.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Encode a datagram.
///
/// # Errors
///
/// Returns an error if it exceeds [`MAX_DATAGRAM_BYTES`].
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
/// Returns an error if the bytes are no datagram of this protocol.
pub fn decode_datagram(bytes: &[u8]) -> Result<Datagram, WireError> {
    match postcard::take_from_bytes(bytes) {
        Ok((datagram, [])) => Ok(datagram),
        Ok((_, rest)) => Err(WireError::malformed(&format!(
            "{} bytes too many",
            rest.len()
        ))),
        Err(e) => Err(WireError::malformed(&e)),
    }
}
