//! Bytes that can be checked one by one.

/// Return `length` bytes that follow from `seed`.
#[must_use]
pub fn content(seed: u64, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    fastrand::Rng::with_seed(seed).fill(&mut bytes);
    bytes
}
