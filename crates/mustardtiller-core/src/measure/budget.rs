//! A rate limit for measurements and load probes, which read an upstream's load.

use crate::Instant;

/// Interval between permits at a budget of one permit a second, in microseconds.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A budget of measurements or load probes of one upstream.
///
/// Permits don't accumulate: two measurements are never closer than one
/// interval, and a new budget starts empty. A process that restarts in a loop
/// therefore measures less often, never more often.
#[derive(Clone, Debug)]
pub struct MeasurementBudget {
    milli_per_second: u64,
    last: Instant,
}

impl MeasurementBudget {
    /// Create an empty budget of `milli_per_second` thousandths of a permit a second.
    #[must_use]
    pub const fn new(milli_per_second: u64, now: Instant) -> Self {
        Self {
            milli_per_second,
            last: now,
        }
    }

    /// Change the rate; the next permit still counts from the last one taken.
    pub const fn set_rate(&mut self, milli_per_second: u64) {
        self.milli_per_second = milli_per_second;
    }

    /// Take a permit if one is due at `now`.
    pub fn try_take(&mut self, now: Instant) -> bool {
        match self.next_at() {
            Some(at) if now >= at => {
                self.last = now;
                true
            }
            _ => false,
        }
    }

    /// Record that the measurement has ended, at the upstream too.
    ///
    /// The next permit counts from here: otherwise a measurement that was
    /// delayed on its way would reach the upstream too close to the next one.
    pub const fn record_end(&mut self, now: Instant) {
        self.last = now;
    }

    /// Return when the next permit is due, or `None` if the budget is zero.
    #[must_use]
    pub fn next_at(&self) -> Option<Instant> {
        if self.milli_per_second == 0 {
            return None;
        }
        let interval = (MICROS_PER_SECOND * 1_000).div_ceil(self.milli_per_second);
        Some(self.last.plus_micros(interval))
    }
}
