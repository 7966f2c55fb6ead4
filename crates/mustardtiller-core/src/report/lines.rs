//! A budget of log lines that keeps whole stories.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::Instant;

/// Lines that may be saved up, in seconds of the rate.
const BURST_S: i64 = 3;

/// Thousandths of a line that one line costs.
const LINE_MILLI: i64 = 1_000;

/// Share of requests that are told when the budget runs low, as a divisor.
const LOW_DIVISOR: u64 = 4;

/// Share of requests that are told when the budget is nearly spent, as a divisor.
const LEAST_DIVISOR: u64 = 16;

/// A budget of lines, shared by all threads without a lock.
///
/// When it runs low, requests are left out by a digest of their identity. All
/// daemons leave out the same ones, so that what is told of a request is told
/// along its whole way.
#[derive(Debug)]
pub struct LogLineBudget {
    per_second: i64,
    left_milli: AtomicI64,
    filled_at: AtomicU64,
    left_out: AtomicU64,
}

impl LogLineBudget {
    /// Start with a full budget of `per_second` lines a second.
    #[must_use]
    pub const fn new(per_second: u32, now: Instant) -> Self {
        let per_second = per_second as i64;
        Self {
            per_second,
            left_milli: AtomicI64::new(per_second * BURST_S * LINE_MILLI),
            filled_at: AtomicU64::new(now.as_micros()),
            left_out: AtomicU64::new(0),
        }
    }

    /// Take a line about the request with this digest, if it may be told.
    pub fn try_take(&self, digest: u64, now: Instant) -> bool {
        self.fill(now);
        let left = self.left_milli.load(Ordering::Relaxed);
        let whole = self.per_second * BURST_S * LINE_MILLI;
        let told = if left < LINE_MILLI {
            false
        } else if left < whole / 4 {
            digest.is_multiple_of(LEAST_DIVISOR)
        } else if left < whole / 2 {
            digest.is_multiple_of(LOW_DIVISOR)
        } else {
            true
        };
        if told {
            self.left_milli.fetch_sub(LINE_MILLI, Ordering::Relaxed);
        } else {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        told
    }

    /// Take the number of lines that were left out since the last call.
    pub fn take_suppressed(&self) -> u64 {
        self.left_out.swap(0, Ordering::Relaxed)
    }

    fn fill(&self, now: Instant) {
        let filled = self.filled_at.load(Ordering::Relaxed);
        let gone = now.as_micros().saturating_sub(filled);
        let earned = self.per_second * gone as i64 / LINE_MILLI;
        if earned < LINE_MILLI {
            return;
        }
        // Whoever moves the time adds what was earned; the others find nothing to add.
        let moved = self.filled_at.compare_exchange(
            filled,
            now.as_micros(),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if moved.is_ok() {
            let whole = self.per_second * BURST_S * LINE_MILLI;
            let left = self.left_milli.load(Ordering::Relaxed);
            let added = earned.min(whole - left).max(0);
            self.left_milli.fetch_add(added, Ordering::Relaxed);
        }
    }
}
