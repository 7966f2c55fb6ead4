//! Service times of the upstream, and the limiter's windows.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::GateState;
use mustardtiller_core::BandTimes;
use mustardtiller_core::Instant;
use mustardtiller_core::KneeDetector;
use mustardtiller_core::KneeWindow;
use mustardtiller_core::LimiterWindow;

/// Number of service-time estimates; kinds whose digests collide share one.
pub const KIND_BUCKETS: usize = 256;

/// Service time assumed before the first answer, in microseconds.
pub const INITIAL_SERVICE_MICROS: u32 = 100_000;

/// Weight of one service time in the smoothed estimate, as a divisor.
const SERVICE_DIVISOR: u32 = 16;

/// Cap of a relative service time, in thousandths of the estimate.
const MAX_RELATIVE_MILLI: u64 = 4_000;

/// Relative service times in one concurrency band, as atomics.
#[derive(Debug, Default)]
pub struct AtomicBandTimes {
    sum_milli: AtomicU64,
    count: AtomicU64,
}

impl AtomicBandTimes {
    fn add(&self, milli: u64) {
        self.sum_milli.fetch_add(milli, Ordering::Relaxed);
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    fn take(&self) -> BandTimes {
        BandTimes {
            sum_milli: self.sum_milli.swap(0, Ordering::Relaxed),
            count: self.count.swap(0, Ordering::Relaxed),
        }
    }
}

/// The upstream's state when a request starts, to interpret its service time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartConditions {
    /// Requests in flight, including this one.
    pub running: u32,
    /// Whether a fresh reading showed no slowdown of the upstream.
    pub no_slowdown: bool,
}

impl GateState {
    /// Capture the upstream's state for a request that starts.
    #[must_use]
    pub fn start_conditions(&self, now: Instant) -> StartConditions {
        StartConditions {
            running: self.in_flight(),
            no_slowdown: self.slowdown.is_known_absent(now),
        }
    }

    /// Update the service-time estimates from a completed request.
    ///
    /// `micros` is its service time, in microseconds.
    pub fn record_service_time(&self, kind_digest: u32, micros: u64, start: StartConditions) {
        self.longest.record(kind_digest, micros);
        let estimate = self.service_micros[kind_index(kind_digest)].load(Ordering::Relaxed);
        // Slowness caused by other load on the host says nothing about the
        // upstream's own concurrency limit.
        if estimate > 0 && start.no_slowdown {
            let relative = (micros * 1_000 / u64::from(estimate)).min(MAX_RELATIVE_MILLI);
            let full =
                start.running > KneeDetector::low_band_slots(self.slots.load(Ordering::Relaxed));
            let band = if full { &self.high } else { &self.low };
            band.add(relative);
        }
        let micros = micros.min(u64::from(u32::MAX)) as u32;
        smooth(&self.service_micros[kind_index(kind_digest)], micros);
        smooth(&self.mean_micros, micros);
    }

    /// Count a request that the upstream completed or shed, for the limiter.
    ///
    /// `micros` is its service time, in microseconds; zero if it was shed.
    pub fn record_completion(&self, micros: u64, shed: bool) {
        self.completed.fetch_add(1, Ordering::Relaxed);
        self.total_micros.fetch_add(micros, Ordering::Relaxed);
        self.shed.fetch_add(u64::from(shed), Ordering::Relaxed);
    }

    /// Return and reset the limiter's counters. For the limiter controller.
    pub fn take_window(&self) -> LimiterWindow {
        let in_flight = self.in_flight();
        LimiterWindow {
            completed: self.completed.swap(0, Ordering::Relaxed),
            total_micros: self.total_micros.swap(0, Ordering::Relaxed),
            peak_in_flight: self.peak_in_flight.swap(in_flight, Ordering::Relaxed),
            shed: self.shed.swap(0, Ordering::Relaxed),
        }
    }

    /// Return and reset the service times by concurrency band. For the limiter controller.
    pub fn take_knee_window(&self) -> KneeWindow {
        KneeWindow {
            low: self.low.take(),
            high: self.high.take(),
        }
    }
}

/// Return the index of a kind's service-time estimate.
pub const fn kind_index(kind_digest: u32) -> usize {
    kind_digest as usize % KIND_BUCKETS
}

/// Add one time to an exponentially smoothed estimate.
///
/// One of two concurrent updates may be lost, which does no harm.
fn smooth(smoothed: &AtomicU32, micros: u32) {
    let old = smoothed.load(Ordering::Relaxed);
    let step = old.abs_diff(micros).div_ceil(SERVICE_DIVISOR);
    let new = match old {
        0 => micros,
        _ if micros > old => old + step,
        _ => old - step,
    };
    smoothed.store(new, Ordering::Relaxed);
}
