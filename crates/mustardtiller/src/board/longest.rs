//! The longest recent times of work, by kind.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mustardtiller_core::LongestTime;

/// Number of times; kinds whose digests collide share one.
const KIND_BUCKETS: usize = 256;

/// The longest recent times of work, by kind.
///
/// Written by each request that ends, and read by requests while the daemon stops.
#[derive(Debug)]
pub struct LongestTimes {
    times: [AtomicU64; KIND_BUCKETS],
}

impl LongestTimes {
    /// Create the times, none of which is known.
    #[must_use]
    pub fn new() -> Self {
        Self {
            times: std::array::from_fn(|_| AtomicU64::new(LongestTime::default().to_bits())),
        }
    }

    /// Record that work of a kind took `micros` microseconds.
    pub fn record(&self, kind_digest: u32, micros: u64) {
        let update = |bits| Some(LongestTime::from_bits(bits).record(micros).to_bits());
        // The update never refuses, so this can't fail.
        let _ = self
            .time(kind_digest)
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Return the longest recent time of a kind in microseconds, if it is known.
    #[must_use]
    pub fn micros(&self, kind_digest: u32) -> Option<u64> {
        LongestTime::from_bits(self.time(kind_digest).load(Ordering::Relaxed)).micros()
    }

    const fn time(&self, kind_digest: u32) -> &AtomicU64 {
        &self.times[kind_digest as usize % KIND_BUCKETS]
    }
}

impl Default for LongestTimes {
    fn default() -> Self {
        Self::new()
    }
}
