//! Whether the upstream sheds although it has room, as atomics.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::ShedWatch;

/// The state of a [`ShedWatch`], updated with each request that the upstream ran or shed.
///
/// One of two concurrent updates may be lost, which does no harm.
#[derive(Debug, Default)]
pub struct ShedState {
    share_milli: AtomicU32,
    pauses: AtomicU32,
    /// When the last pause ends, in microseconds; zero if there was none.
    avoid_until: AtomicU64,
}

impl ShedState {
    /// Record a request that the upstream ran or shed.
    ///
    /// Returns the share of shed requests, in thousandths, if a pause begins.
    pub fn record(&self, shed: bool, now: Instant) -> Option<u32> {
        let before = self.read();
        let after = before.after(shed, now);
        self.share_milli.store(after.share_milli, Ordering::Relaxed);
        self.pauses.store(after.pauses, Ordering::Relaxed);
        if let Some(until) = after.avoid_until {
            self.avoid_until
                .store(until.instant().as_micros(), Ordering::Relaxed);
        }
        (after.avoid_until != before.avoid_until).then_some(before.share_milli)
    }

    /// Return the remaining time for which entries avoid the upstream, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, now: Instant) -> u16 {
        let until = Instant::from_micros(self.avoid_until.load(Ordering::Relaxed));
        let millis = until.micros_since(now).div_ceil(1_000);
        u16::try_from(millis).unwrap_or(u16::MAX)
    }

    /// Forget what a former upstream at the same address did.
    pub fn reset(&self) {
        self.share_milli.store(0, Ordering::Relaxed);
        self.pauses.store(0, Ordering::Relaxed);
        self.avoid_until.store(0, Ordering::Relaxed);
    }

    fn read(&self) -> ShedWatch {
        let until = match self.avoid_until.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(Deadline::at(Instant::from_micros(micros))),
        };
        ShedWatch {
            share_milli: self.share_milli.load(Ordering::Relaxed),
            pauses: self.pauses.load(Ordering::Relaxed),
            avoid_until: until,
        }
    }
}
