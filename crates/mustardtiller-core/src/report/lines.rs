//! A budget of log lines that drops whole requests rather than single lines.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::Instant;

/// Capacity of the budget, in seconds of its rate.
const BURST_S: i64 = 3;

/// Cost of one line, in thousandths of a line.
const LINE_MILLI: i64 = 1_000;

/// Share of requests logged when the budget is below half, as a divisor.
const LOW_DIVISOR: u64 = 4;

/// Share of requests logged when the budget is below a quarter, as a divisor.
const NEARLY_SPENT_DIVISOR: u64 = 16;

/// A budget of log lines, shared by all threads without a lock.
///
/// When it runs low, the digest of a request's id decides whether its lines are
/// dropped. All daemons drop the lines of the same requests, so that a request
/// that is logged is logged at every hop.
#[derive(Debug)]
pub struct LogLineBudget {
    per_second: i64,
    available_milli: AtomicI64,
    refilled_at: AtomicU64,
    dropped: AtomicU64,
}

impl LogLineBudget {
    /// Create a full budget of `per_second` lines a second.
    #[must_use]
    pub const fn new(per_second: u32, now: Instant) -> Self {
        let per_second = per_second as i64;
        Self {
            per_second,
            available_milli: AtomicI64::new(per_second * BURST_S * LINE_MILLI),
            refilled_at: AtomicU64::new(now.as_micros()),
            dropped: AtomicU64::new(0),
        }
    }

    /// Take one line for the request with this digest, if the budget allows it.
    ///
    /// `digest` must be the same at every hop of the request.
    pub fn try_take(&self, digest: u64, now: Instant) -> bool {
        self.refill(now);
        let available = self.available_milli.load(Ordering::Relaxed);
        let capacity = self.per_second * BURST_S * LINE_MILLI;
        let allowed = if available < LINE_MILLI {
            false
        } else if available < capacity / 4 {
            digest.is_multiple_of(NEARLY_SPENT_DIVISOR)
        } else if available < capacity / 2 {
            digest.is_multiple_of(LOW_DIVISOR)
        } else {
            true
        };
        if allowed {
            self.available_milli
                .fetch_sub(LINE_MILLI, Ordering::Relaxed);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Return the number of lines dropped since the last call, and reset it.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }

    fn refill(&self, now: Instant) {
        let refilled = self.refilled_at.load(Ordering::Relaxed);
        let elapsed = now.as_micros().saturating_sub(refilled);
        let earned = self.per_second * elapsed as i64 / LINE_MILLI;
        if earned < LINE_MILLI {
            return;
        }
        // The thread that advances the time adds the earned lines; the others add none.
        let advanced = self.refilled_at.compare_exchange(
            refilled,
            now.as_micros(),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if advanced.is_ok() {
            let capacity = self.per_second * BURST_S * LINE_MILLI;
            let available = self.available_milli.load(Ordering::Relaxed);
            let added = earned.min(capacity - available).max(0);
            self.available_milli.fetch_add(added, Ordering::Relaxed);
        }
    }
}
