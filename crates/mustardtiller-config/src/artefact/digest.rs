//! Content digests.

use sha2::Digest as _;
use sha2::Sha256;

use mustardtiller_core::Digest;

/// Length of a digest, in bytes: a truncated SHA-256.
const DIGEST_BYTES: usize = 16;

/// Compute the content digest of `bytes`.
#[must_use]
pub fn digest_of(bytes: &[u8]) -> Digest {
    let full = Sha256::digest(bytes);
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&full[..DIGEST_BYTES]);
    Digest(digest)
}
