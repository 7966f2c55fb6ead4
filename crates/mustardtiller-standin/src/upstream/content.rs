//! Reproducible body content, so that a receiver can check every byte.

/// Return `length` pseudo-random bytes generated from `seed`.
#[must_use]
pub fn content(seed: u64, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    fastrand::Rng::with_seed(seed).fill(&mut bytes);
    bytes
}
