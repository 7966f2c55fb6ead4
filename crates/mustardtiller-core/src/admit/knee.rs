//! Knee detection: the concurrency above which an upstream gains no throughput.
//!
//! Some upstreams slow down so much when nearly full that fewer requests at
//! once get more done.

use crate::Deadline;
use crate::Instant;

/// Upper end of the low band, in percent of the slots.
///
/// With more requests running, an upstream may slow down.
const BAND_PERCENT: u32 = 80;

/// Answers needed in each band before the bands are compared.
const MIN_SAMPLES: u64 = 30;

/// Answers in each band from which its mean is accurate to 5%.
///
/// This holds for the relative spread of service times that the users state: 0.3,
/// including the time of calls to other services.
const RELIABLE_SAMPLES: u64 = 100;

/// Answers in a band above which its sums are halved.
///
/// Older answers then count for less.
const MAX_SAMPLES: u64 = 400;

/// First time for which the lower limit holds, in milliseconds; doubles each time.
const FIRST_HOLD_MS: u64 = 20_000;

/// Longest time for which the lower limit holds, in milliseconds.
const LONGEST_HOLD_MS: u64 = 60_000;

/// Service times in one concurrency band, relative to the usual time of their kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct BandTimes {
    /// Sum of the relative service times, in thousandths.
    pub sum_milli: u64,
    /// Number of answers.
    pub count: u64,
}

impl BandTimes {
    fn add(&mut self, other: Self) {
        self.sum_milli += other.sum_milli;
        self.count += other.count;
        if self.count > MAX_SAMPLES {
            self.sum_milli /= 2;
            self.count /= 2;
        }
    }
}

/// Service times since the last step, by how many slots were in use.
#[derive(Clone, Copy, Debug, Default)]
pub struct KneeWindow {
    /// Requests that started with up to [`KneeDetector::low_band_slots`] requests running.
    pub low: BandTimes,
    /// Requests that started with more running.
    pub high: BandTimes,
}

/// Detects how many of an upstream's slots are worth filling.
///
/// All slots are filled until the service times show that a full upstream
/// completes fewer requests. The limit is then lowered for a while and tested
/// again, at growing intervals, since a transient slowdown may have caused the
/// difference.
#[derive(Clone, Debug)]
pub struct KneeDetector {
    slots: u32,
    totals: KneeWindow,
    limited_until: Option<Deadline>,
    hold_ms: u64,
}

impl KneeDetector {
    /// Create a detector for an upstream with `slots`, without any answers.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        let none = BandTimes {
            sum_milli: 0,
            count: 0,
        };
        Self {
            slots,
            totals: KneeWindow {
                low: none,
                high: none,
            },
            limited_until: None,
            hold_ms: FIRST_HOLD_MS,
        }
    }

    /// Return the number of running requests up to which the low band reaches.
    #[must_use]
    pub fn low_band_slots(slots: u32) -> u32 {
        let band = u64::from(slots) * u64::from(BAND_PERCENT) / 100;
        (band as u32).max(1)
    }

    /// Add the answers of one window, and return how many slots to fill.
    pub fn step(&mut self, window: KneeWindow, now: Instant) -> u32 {
        if let Some(until) = self.limited_until {
            if !until.has_passed(now) {
                return Self::low_band_slots(self.slots);
            }
            self.limited_until = None;
            self.totals = KneeWindow::default();
        }
        self.totals.low.add(window.low);
        self.totals.high.add(window.high);
        if self.degrades_when_full() {
            self.limited_until = Some(Deadline::in_millis(now, self.hold_ms));
            self.hold_ms = (self.hold_ms * 2).min(LONGEST_HOLD_MS);
            return Self::low_band_slots(self.slots);
        }
        self.slots
    }

    /// Report whether the last slots add too little throughput for their latency.
    ///
    /// If the service time grows by as much as the concurrency, throughput stays
    /// the same and each answer comes later. Once the means are reliable, growth
    /// by half as much is enough.
    fn degrades_when_full(&self) -> bool {
        let KneeWindow { low, high } = self.totals;
        if low.count < MIN_SAMPLES || high.count < MIN_SAMPLES {
            return false;
        }
        let low_mean = u128::from(low.sum_milli) * u128::from(high.count);
        let high_mean = u128::from(high.sum_milli) * u128::from(low.count);
        let slots = u128::from(self.slots);
        let low_band = u128::from(Self::low_band_slots(self.slots));
        let reliable = low.count >= RELIABLE_SAMPLES && high.count >= RELIABLE_SAMPLES;
        let threshold = if reliable {
            slots + low_band
        } else {
            slots * 2
        };
        high_mean * low_band * 2 > low_mean * threshold
    }
}
