//! The longest time that work of one kind took lately.

/// Completed requests before the longest time says anything.
const MIN_COUNT: u32 = 8;

/// Part of the difference to a shorter time by which the longest one falls, as a divisor.
const FALL_DIVISOR: u32 = 64;

/// The longest time that work of one kind took lately.
///
/// A longer time replaces it at once; shorter ones lower it slowly, so that one slow
/// request does not make the kind seem slow for good.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LongestTime {
    count: u32,
    micros: u32,
}

impl LongestTime {
    /// Return the state after a request that took `micros` microseconds.
    #[must_use]
    pub fn record(self, micros: u64) -> Self {
        let micros = u32::try_from(micros).unwrap_or(u32::MAX);
        let fall = self.micros.saturating_sub(micros).div_ceil(FALL_DIVISOR);
        Self {
            count: self.count.saturating_add(1),
            micros: micros.max(self.micros - fall),
        }
    }

    /// Return the time in microseconds, or `None` while too few requests have ended.
    #[must_use]
    pub const fn micros(self) -> Option<u64> {
        if self.count < MIN_COUNT {
            return None;
        }
        Some(self.micros as u64)
    }

    /// Pack the state into one word, for an atomic.
    #[must_use]
    pub const fn to_bits(self) -> u64 {
        (self.count as u64) << 32 | self.micros as u64
    }

    /// Unpack a word of [`to_bits`](Self::to_bits).
    #[must_use]
    pub const fn from_bits(bits: u64) -> Self {
        Self {
            count: (bits >> 32) as u32,
            micros: bits as u32,
        }
    }
}
