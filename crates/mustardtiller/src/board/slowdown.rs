//! The upstream's slowdown: its current service time relative to the usual.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use event_listener::Event;

use mustardtiller_core::Instant;
use mustardtiller_core::SLOW_PERCENT;
use mustardtiller_core::Slowdown;

/// Age above which a reading of the slowdown is stale and ignored, in microseconds.
const STALE_AFTER_MICROS: u64 = 100_000;

/// The last reading of the upstream's slowdown.
///
/// Written whenever a probe or an answer of the upstream reports its load.
#[derive(Debug)]
pub struct SlowdownState {
    /// Notified when the upstream becomes slow, or is no longer slow.
    pub slow_changed: Event,
    /// Notified after every reading, and when a load probe fails.
    pub updated: Event,
    percent: AtomicU32,
    updated_at: AtomicU64,
    slow_since: AtomicU64,
}

impl SlowdownState {
    /// Record the current service time, in percent of the usual.
    ///
    /// Entries that use the upstream get a load report when it becomes slow, or is
    /// no longer slow.
    pub fn set(&self, percent: u16, now: Instant) {
        let percent = u32::from(percent);
        let known = self.percent(now);
        let before = self.percent.swap(percent, Ordering::Relaxed);
        self.updated_at.store(now.as_micros(), Ordering::Relaxed);
        if percent >= SLOW_PERCENT && known < SLOW_PERCENT {
            self.slow_since.store(now.as_micros(), Ordering::Relaxed);
        }
        if (before >= SLOW_PERCENT) != (percent >= SLOW_PERCENT) {
            self.slow_changed.notify(usize::MAX);
        }
        self.updated.notify(usize::MAX);
    }

    /// Report whether a fresh reading shows no slowdown.
    #[must_use]
    pub fn is_known_absent(&self, now: Instant) -> bool {
        self.age_micros(now) <= STALE_AFTER_MICROS && self.percent(now) == Slowdown::NONE.percent
    }

    /// Return the service time in percent of the usual; 100 without a fresh reading.
    #[must_use]
    pub fn percent(&self, now: Instant) -> u32 {
        if self.age_micros(now) > STALE_AFTER_MICROS {
            return Slowdown::NONE.percent;
        }
        self.percent.load(Ordering::Relaxed)
    }

    /// Return the current slowdown; none without a fresh reading.
    #[must_use]
    pub fn at(&self, now: Instant) -> Slowdown {
        let percent = self.percent(now);
        let since = Instant::from_micros(self.slow_since.load(Ordering::Relaxed));
        let slow_micros = if percent >= SLOW_PERCENT {
            now.micros_since(since)
        } else {
            0
        };
        Slowdown {
            percent,
            slow_micros,
        }
    }

    /// Return the age of the last reading, in microseconds.
    #[must_use]
    pub fn age_micros(&self, now: Instant) -> u64 {
        let updated = Instant::from_micros(self.updated_at.load(Ordering::Relaxed));
        now.micros_since(updated)
    }
}

impl Default for SlowdownState {
    fn default() -> Self {
        Self {
            slow_changed: Event::new(),
            updated: Event::new(),
            percent: AtomicU32::new(Slowdown::NONE.percent),
            updated_at: AtomicU64::new(0),
            slow_since: AtomicU64::new(0),
        }
    }
}
