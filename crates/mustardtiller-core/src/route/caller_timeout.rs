//! The timeout with which the callers of a route start.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::Instant;

/// Length of one window, in microseconds.
const WINDOW_MICROS: u64 = 10_000_000;

/// The timeout with which the callers of a route start, estimated from what is left of it.
///
/// Callers of one route start with the same timeout, and one that repeats a refused call
/// has less of it left: the longest remaining time seen lately is the timeout. It is
/// forgotten after one to two windows, so that a single caller with a much longer
/// timeout does not make all others seem late for good.
#[derive(Debug, Default)]
pub struct CallerTimeout {
    window: AtomicU64,
    current_micros: AtomicU64,
    previous_micros: AtomicU64,
}

impl CallerTimeout {
    /// Record a call's remaining time, and return the time since its caller's first attempt.
    ///
    /// Both are in microseconds.
    pub fn elapsed_micros(&self, left_micros: u64, now: Instant) -> u64 {
        self.advance(now.as_micros() / WINDOW_MICROS);
        let current = self
            .current_micros
            .fetch_max(left_micros, Ordering::Relaxed);
        let previous = self.previous_micros.load(Ordering::Relaxed);
        current.max(previous).saturating_sub(left_micros)
    }

    /// Begin a new window if it is time; one of the threads that find so does it.
    fn advance(&self, window: u64) {
        let held = self.window.load(Ordering::Relaxed);
        if window <= held {
            return;
        }
        let exchanged =
            self.window
                .compare_exchange(held, window, Ordering::Relaxed, Ordering::Relaxed);
        if exchanged.is_ok() {
            let ended = self.current_micros.swap(0, Ordering::Relaxed);
            let is_next = window == held + 1;
            let previous = if is_next { ended } else { 0 };
            self.previous_micros.store(previous, Ordering::Relaxed);
        }
    }
}
