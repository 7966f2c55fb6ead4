//! When a daemon reads the host list from the platform.

use crate::Deadline;
use crate::Instant;

/// First wait after a failed read, in milliseconds; doubles.
const RETRY_MS: u64 = 200;

/// Longest wait after a failed read, in milliseconds, unless the first reads of the fleet
/// are spread over a longer time.
const MAX_RETRY_MS: u64 = 5_000;

/// Most times that the wait after a failed read doubles.
const MAX_DOUBLINGS: u32 = 8;

/// When one daemon reads the host list.
#[derive(Clone, Copy, Debug)]
pub struct HostReads {
    start_ms: u64,
    interval_ms: u64,
    failures: u32,
}

impl HostReads {
    /// Create the schedule of a daemon that starts.
    ///
    /// The first reads of the fleet are spread over `start_ms`; later ones are made at
    /// `interval_ms`.
    #[must_use]
    pub const fn new(start_ms: u64, interval_ms: u64) -> Self {
        Self {
            start_ms,
            interval_ms,
            failures: 0,
        }
    }

    /// Return when the first read is due.
    #[must_use]
    pub fn first_read(&self, now: Instant, rng: &mut fastrand::Rng) -> Deadline {
        Deadline::in_millis(now, rng.u64(0..=self.start_ms))
    }

    /// Return when the next read is due after one that succeeded or failed.
    ///
    /// A platform that fails one daemon may fail all, so that no wait is shorter than the
    /// time over which their first reads are spread.
    pub fn next_read(
        &mut self,
        succeeded: bool,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> Deadline {
        let wait = if succeeded {
            self.failures = 0;
            self.interval_ms
        } else {
            let doubled = RETRY_MS << self.failures.min(MAX_DOUBLINGS);
            self.failures += 1;
            let wait = doubled.min(MAX_RETRY_MS).max(self.start_ms);
            wait.min(self.interval_ms)
        };
        Deadline::in_millis(now, rng.u64(wait * 3 / 4..=wait))
    }
}
