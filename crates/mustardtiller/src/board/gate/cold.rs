//! What the gate knows of its upstream's temperature, as atomics.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mustardtiller_core::ColdReading;
use mustardtiller_core::ColdStart;
use mustardtiller_core::Instant;
use mustardtiller_core::StartRate;
use mustardtiller_core::Temperature;

/// Microseconds in a millisecond.
const MILLI_MICROS: u64 = 1_000;

/// What was known when a probe was sent, to interpret its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadingStart {
    at: Instant,
    starts: u64,
    doubts: u64,
}

/// The temperature of the upstream beside this daemon.
///
/// The configuration controller writes the rule, the local controller what the
/// registration says; probes write readings; failed exchanges raise doubts. Each start
/// is counted.
#[derive(Debug, Default)]
pub struct ColdState {
    /// Rate that a cold upstream bears, in thousandths per second; zero without a rule.
    milli_per_s: AtomicU32,
    length_ms: AtomicU64,
    /// When the last probe that found it warm was sent, in microseconds; zero if none holds.
    warm_at: AtomicU64,
    cold_until: AtomicU64,
    starts: AtomicU64,
    starts_at_warm: AtomicU64,
    /// Number of doubts; a reading that was begun before the last one does not hold.
    doubts: AtomicU64,
    /// When the present lifetime of the upstream was first heard of, in microseconds.
    lifetime_at: AtomicU64,
    /// Start of the registered upstream, in milliseconds of Unix time; zero if unknown.
    registered_start_ms: AtomicU64,
    registered_cold: AtomicBool,
    /// Whether the last reading said that it is cold.
    said_cold: AtomicBool,
}

impl ColdState {
    /// Return what operators state about a cold start, if anything.
    #[must_use]
    pub fn rule(&self) -> Option<ColdStart> {
        match self.milli_per_s.load(Ordering::SeqCst) {
            0 => None,
            milli => Some(ColdStart {
                length_ms: self.length_ms.load(Ordering::SeqCst),
                rate: StartRate::from_milli(milli),
            }),
        }
    }

    /// Replace the rule. Returns whether there was none before and is one now.
    pub(super) fn set_rule(&self, rule: Option<ColdStart>) -> bool {
        self.length_ms
            .store(rule.map_or(0, |rule| rule.length_ms), Ordering::SeqCst);
        let milli = rule.map_or(0, |rule| rule.rate.as_milli());
        self.milli_per_s.swap(milli, Ordering::SeqCst) == 0 && milli > 0
    }

    /// Return the temperature at `now`; always warm without a rule.
    #[must_use]
    pub fn temperature(&self, now: Instant) -> Temperature {
        self.rule().map_or(Temperature::Warm, |rule| {
            self.reading().temperature(&rule, now)
        })
    }

    /// Report whether another reading should be taken.
    #[must_use]
    pub fn wants_reading(&self, now: Instant) -> bool {
        self.rule()
            .is_some_and(|rule| self.reading().wants_reading(&rule, now))
    }

    fn reading(&self) -> ColdReading {
        let warm_at = self.warm_at.load(Ordering::SeqCst);
        let starts = self.starts.load(Ordering::SeqCst);
        let since = starts.saturating_sub(self.starts_at_warm.load(Ordering::SeqCst));
        ColdReading {
            warm_at: (warm_at > 0).then_some(Instant::from_micros(warm_at)),
            cold_until: Instant::from_micros(self.cold_until.load(Ordering::SeqCst)),
            starts_since: u32::try_from(since).unwrap_or(u32::MAX),
        }
    }

    /// Count a request that starts.
    pub(super) fn count_start(&self) {
        self.starts.fetch_add(1, Ordering::SeqCst);
    }

    /// Note what is known when a probe is sent.
    #[must_use]
    pub fn begin_reading(&self, now: Instant) -> ReadingStart {
        ReadingStart {
            at: now,
            starts: self.starts.load(Ordering::SeqCst),
            doubts: self.doubts.load(Ordering::SeqCst),
        }
    }

    /// Record a probe's answer: for how long the upstream stays cold, if it says so.
    ///
    /// It can't stay so for longer than a cold start takes; a longer time is shortened.
    /// One that says nothing counts as cold for the length of a cold start after its
    /// lifetime began. Returns whether it is cold if that differs from the reading before.
    pub fn finish_reading(
        &self,
        begun: ReadingStart,
        cold_ms: Option<u64>,
        now: Instant,
    ) -> Option<bool> {
        let cold_until = match cold_ms {
            Some(ms) => {
                let ms = ms.min(self.length_ms.load(Ordering::SeqCst));
                now.plus_micros(ms.saturating_mul(MILLI_MICROS))
            }
            None => self.assumed_cold_until(),
        };
        let cold = cold_until > now;
        if cold {
            // Probes that were sent before can't say that it is warm.
            self.doubts.fetch_add(1, Ordering::SeqCst);
            self.warm_at.store(0, Ordering::SeqCst);
            self.cold_until
                .store(cold_until.as_micros(), Ordering::SeqCst);
        } else if self.doubts.load(Ordering::SeqCst) == begun.doubts {
            self.starts_at_warm.store(begun.starts, Ordering::SeqCst);
            self.cold_until.store(0, Ordering::SeqCst);
            self.warm_at.store(begun.at.as_micros(), Ordering::SeqCst);
        } else {
            return None;
        }
        (self.said_cold.swap(cold, Ordering::SeqCst) != cold).then_some(cold)
    }

    fn assumed_cold_until(&self) -> Instant {
        match self.lifetime_at.load(Ordering::SeqCst) {
            0 => Instant::default(),
            at => {
                let length = self.length_ms.load(Ordering::SeqCst);
                let length = length.saturating_mul(MILLI_MICROS);
                Instant::from_micros(at).plus_micros(length)
            }
        }
    }

    /// Void what is known, because the upstream may have become cold.
    pub fn raise_doubt(&self) {
        self.doubts.fetch_add(1, Ordering::SeqCst);
        self.warm_at.store(0, Ordering::SeqCst);
    }

    /// Record that the upstream has started again, or is another one.
    pub fn begin_lifetime(&self, now: Instant) {
        self.lifetime_at.store(now.as_micros(), Ordering::SeqCst);
        self.raise_doubt();
    }

    /// Record the registered start, in milliseconds of Unix time, and whether it says "cold".
    ///
    /// Another start than before, and a change to cold, each raise a doubt.
    pub fn note_registration(&self, started_ms: u64, cold: bool, now: Instant) {
        let before = self.registered_start_ms.swap(started_ms, Ordering::SeqCst);
        let was_cold = self.registered_cold.swap(cold, Ordering::SeqCst);
        if before != 0 && before != started_ms {
            self.begin_lifetime(now);
        } else if cold && !was_cold {
            self.raise_doubt();
        }
    }
}
