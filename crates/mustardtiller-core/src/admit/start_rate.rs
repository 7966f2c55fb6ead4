//! The rate at which an upstream takes requests: named in its answers, or that of a cold one.

use crate::Instant;

/// Least rate that is kept, in thousandths of a request per second.
///
/// An upstream that takes nothing could never say that its need is over.
const MIN_MILLI: u32 = 250;

/// Time for which an upstream's unused starts are kept, in microseconds.
///
/// In any four seconds it gets at most four and a half seconds' worth and one more.
const KEPT_MICROS: u64 = 500_000;

/// Microseconds in a second, in thousandths.
const SECOND_MICROS_MILLI: u64 = 1_000_000_000;

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// A rate of requests that an upstream takes from all hosts together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartRate {
    milli_per_s: u32,
}

impl StartRate {
    /// Create a rate from thousandths of a request per second.
    #[must_use]
    pub const fn from_milli(milli_per_s: u32) -> Self {
        let milli_per_s = if milli_per_s < MIN_MILLI {
            MIN_MILLI
        } else {
            milli_per_s
        };
        Self { milli_per_s }
    }

    /// Parse a decimal number of requests per second, or return `None` if it is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use mustardtiller_core::StartRate;
    ///
    /// assert_eq!(StartRate::parse("2.4"), Some(StartRate::from_milli(2_400)));
    /// assert_eq!(StartRate::parse("-1"), None);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let per_s: f64 = text.trim().parse().ok()?;
        let milli = per_s * MILLI;
        (milli.is_finite() && milli >= 0.0).then(|| Self::from_milli(milli as u32))
    }

    /// Return the rate in thousandths of a request per second.
    #[must_use]
    pub const fn as_milli(self) -> u32 {
        self.milli_per_s
    }

    /// Return the lower of two rates, either of which may be absent.
    #[must_use]
    pub fn lower(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) => {
                Some(Self::from_milli(one.milli_per_s.min(other.milli_per_s)))
            }
            (one, other) => one.or(other),
        }
    }

    /// Return the time between two starts, in microseconds.
    #[must_use]
    pub const fn interval_micros(self) -> u64 {
        SECOND_MICROS_MILLI / self.milli_per_s as u64
    }
}

/// When an upstream whose starts are limited may start its next requests.
///
/// The load that this answers: an upstream in need, or a cold one, that all hosts would
/// send its usual share. One gate counts for all of them, so nothing is shared or sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartSchedule {
    /// The rate of starts.
    pub rate: StartRate,
    /// When the next request would start if none had been kept waiting.
    pub due: Instant,
}

impl StartSchedule {
    /// Begin at the instant from which the rate holds: no start was kept until then.
    #[must_use]
    pub const fn begin(rate: StartRate, now: Instant) -> Self {
        Self {
            rate,
            due: now.plus_micros(KEPT_MICROS),
        }
    }

    /// Return when a request may start that has `ahead` others before it.
    #[must_use]
    pub fn next_start(self, ahead: u32, now: Instant) -> Instant {
        let wait = u64::from(ahead) * self.rate.interval_micros();
        let due = self.due.plus_micros(wait);
        due.minus_micros(KEPT_MICROS).max(now)
    }

    /// Return the schedule after a request that starts now, or `None` if it must wait.
    #[must_use]
    pub fn start(self, now: Instant) -> Option<Self> {
        if self.next_start(0, now) > now {
            return None;
        }
        let due = self.due.max(now).plus_micros(self.rate.interval_micros());
        Some(Self { due, ..self })
    }

    /// Return the schedule after a request that started although the rate doesn't hold now.
    ///
    /// It uses up a kept start, so that none is saved for the instant from which the
    /// rate holds. Its debt stays within one start.
    #[must_use]
    pub fn started_unlimited(self, now: Instant) -> Self {
        let interval = self.rate.interval_micros();
        let next = self.due.max(now).plus_micros(interval);
        let due = next.min(now.plus_micros(KEPT_MICROS + interval));
        Self { due, ..self }
    }
}
