//! How fast the upstream works, as it last said.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use event_listener::Event;

use mustardtiller_core::Instant;
use mustardtiller_core::SLOW_PERCENT;
use mustardtiller_core::Slowdown;

/// Age from which what an upstream said of its speed no longer counts, in microseconds.
const KNOWN_MICROS: u64 = 100_000;

/// How fast the upstream works. Written by whoever hears the upstream.
#[derive(Debug)]
pub struct SlowdownState {
    /// Notified when the upstream turns slow or usual again.
    pub slow_changed: Event,
    /// Notified when the upstream said how fast it works.
    pub heard: Event,
    percent: AtomicU32,
    heard_at: AtomicU64,
    slow_since: AtomicU64,
}

impl SlowdownState {
    /// Record how long work takes at this moment, in percent of the usual.
    ///
    /// Entries that use the upstream are told when it turns slow or usual again.
    pub fn set(&self, percent: u16, now: Instant) {
        let percent = u32::from(percent);
        let known = self.percent(now);
        let before = self.percent.swap(percent, Ordering::Relaxed);
        self.heard_at.store(now.as_micros(), Ordering::Relaxed);
        if percent >= SLOW_PERCENT && known < SLOW_PERCENT {
            self.slow_since.store(now.as_micros(), Ordering::Relaxed);
        }
        if (before >= SLOW_PERCENT) != (percent >= SLOW_PERCENT) {
            self.slow_changed.notify(usize::MAX);
        }
        self.heard.notify(usize::MAX);
    }

    /// Report whether the upstream has just said that work takes as long as usual.
    #[must_use]
    pub fn is_known_usual(&self, now: Instant) -> bool {
        self.age_micros(now) <= KNOWN_MICROS && self.percent(now) == Slowdown::NONE.percent
    }

    /// Return how long work takes, in percent; as usual if nothing fresh is known.
    #[must_use]
    pub fn percent(&self, now: Instant) -> u32 {
        if self.age_micros(now) > KNOWN_MICROS {
            return Slowdown::NONE.percent;
        }
        self.percent.load(Ordering::Relaxed)
    }

    /// Return how fast the upstream works, as usual if nothing fresh is known.
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

    /// Return how old what the upstream last said is, in microseconds.
    #[must_use]
    pub fn age_micros(&self, now: Instant) -> u64 {
        let heard = Instant::from_micros(self.heard_at.load(Ordering::Relaxed));
        now.micros_since(heard)
    }
}

impl Default for SlowdownState {
    fn default() -> Self {
        Self {
            slow_changed: Event::new(),
            heard: Event::new(),
            percent: AtomicU32::new(Slowdown::NONE.percent),
            heard_at: AtomicU64::new(0),
            slow_since: AtomicU64::new(0),
        }
    }
}
