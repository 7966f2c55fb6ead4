//! Weighted split of a route's requests between its services.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Step of the sequence: 2^32 divided by the golden ratio, made odd.
const STEP: u32 = 0x9E37_79B9;

/// Assigns requests to the parts of a split by weight.
///
/// It steps through a low-discrepancy sequence, so that any few hundred
/// consecutive requests match the weights, without a lock and without a counter
/// shared between daemons.
#[derive(Debug)]
pub struct Splitter {
    position: AtomicU32,
}

impl Splitter {
    /// Create a splitter that starts at a point of the sequence, preferably random.
    #[must_use]
    pub const fn new(start: u32) -> Self {
        Self {
            position: AtomicU32::new(start),
        }
    }

    /// Return the index of the part that gets the next request.
    ///
    /// # Examples
    ///
    /// ```
    /// use mustardtiller_core::Splitter;
    ///
    /// let splitter = Splitter::new(7);
    /// let second = (0..100).filter(|_| splitter.next(&[90, 10]) == 1).count();
    /// assert!((9..=11).contains(&second));
    /// ```
    #[must_use]
    pub fn next(&self, weights: &[u32]) -> usize {
        let position = self.position.fetch_add(STEP, Ordering::Relaxed);
        let total: u64 = weights.iter().map(|&weight| u64::from(weight)).sum();
        let mut point = (u64::from(position) * total) >> u32::BITS;
        for (index, &weight) in weights.iter().enumerate() {
            if point < u64::from(weight) {
                return index;
            }
            point -= u64::from(weight);
        }
        0
    }
}
