//! Whether an upstream slows down so much when it is nearly full that fewer
//! requests at once get more done.

use crate::Deadline;
use crate::Instant;

/// Share of the slots above which an upstream may slow down, in percent.
const BAND_PERCENT: u32 = 80;

/// Answers in each band without which nothing is concluded.
const LEAST_SAMPLES: u64 = 30;

/// Answers in each band from which a mean is known to a twentieth, at the
/// spread of work that the users' sheets give (0.3), calls included.
const SURE_SAMPLES: u64 = 100;

/// Answers in a band at which older ones begin to count for less.
const MOST_SAMPLES: u64 = 400;

/// First time for which a limit holds before it is tried again, in milliseconds; doubles.
const FIRST_HOLD_MS: u64 = 20_000;

/// Longest time for which a limit holds, in milliseconds.
const LONGEST_HOLD_MS: u64 = 60_000;

/// Service times, relative to what is usual for their kind, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct BandTimes {
    /// Their sum.
    pub sum_milli: u64,
    /// Their number.
    pub count: u64,
}

impl BandTimes {
    fn add(&mut self, other: Self) {
        self.sum_milli += other.sum_milli;
        self.count += other.count;
        if self.count > MOST_SAMPLES {
            self.sum_milli /= 2;
            self.count /= 2;
        }
    }
}

/// What was seen since the last step, by how full the upstream was.
#[derive(Clone, Copy, Debug, Default)]
pub struct KneeWindow {
    /// Up to the band.
    pub low: BandTimes,
    /// Above it.
    pub high: BandTimes,
}

/// Finds out how many of an upstream's slots are worth filling.
///
/// It fills all of them until answers tell that a full upstream takes so much
/// longer that it answers less. What it finds it tries again, less and less
/// often, since one slow spell may have misled it.
#[derive(Clone, Debug)]
pub struct KneeDetector {
    slots: u32,
    seen: KneeWindow,
    limited_until: Option<Deadline>,
    hold_ms: u64,
}

impl KneeDetector {
    /// Start for an upstream of which nothing is known but its slots.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        let none = BandTimes {
            sum_milli: 0,
            count: 0,
        };
        Self {
            slots,
            seen: KneeWindow {
                low: none,
                high: none,
            },
            limited_until: None,
            hold_ms: FIRST_HOLD_MS,
        }
    }

    /// Return the number of requests above which an upstream with `slots` may slow down.
    #[must_use]
    pub fn band(slots: u32) -> u32 {
        (slots * BAND_PERCENT / 100).max(1)
    }

    /// Take what was seen, and return how many slots to fill.
    pub fn step(&mut self, window: KneeWindow, now: Instant) -> u32 {
        if let Some(until) = self.limited_until {
            if !until.has_passed(now) {
                return Self::band(self.slots);
            }
            self.limited_until = None;
            self.seen = KneeWindow::default();
        }
        self.seen.low.add(window.low);
        self.seen.high.add(window.high);
        if self.loses_when_full() {
            self.limited_until = Some(Deadline::in_millis(now, self.hold_ms));
            self.hold_ms = (self.hold_ms * 2).min(LONGEST_HOLD_MS);
            return Self::band(self.slots);
        }
        self.slots
    }

    /// Report whether filling the last slots is not worth the slower answers.
    ///
    /// An upstream that takes longer by as much as it runs more at once answers
    /// no more than before, and each answer later. Once that is sure, half of
    /// it is not worth filling them either.
    fn loses_when_full(&self) -> bool {
        let KneeWindow { low, high } = self.seen;
        if low.count < LEAST_SAMPLES || high.count < LEAST_SAMPLES {
            return false;
        }
        let low_mean = u128::from(low.sum_milli) * u128::from(high.count);
        let high_mean = u128::from(high.sum_milli) * u128::from(low.count);
        let band = Self::band(self.slots);
        let sure = low.count >= SURE_SAMPLES && high.count >= SURE_SAMPLES;
        let worth = if sure {
            self.slots + band
        } else {
            self.slots * 2
        };
        high_mean * u128::from(band * 2) > low_mean * u128::from(worth)
    }
}
