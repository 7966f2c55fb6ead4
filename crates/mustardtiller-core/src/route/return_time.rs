//! When a refused caller should come back.

use crate::Deadline;
use crate::Instant;

/// Shortest wait of a refused caller, in microseconds.
///
/// Gates free a slot every few tens of milliseconds; a caller that comes back later has
/// less time left before its deadline.
const MIN_WAIT_MICROS: u64 = 20_000;

/// Longest wait beyond the time of a likely place, in microseconds.
const MAX_SPREAD_MICROS: u64 = 60_000;

/// Part of the time to the deadline over which callers that will be late come back.
const LATE_SPREAD_DIVISOR: u64 = 6;

/// Part of the time to the deadline beyond which no caller is spread.
const LONGEST_WAIT_DIVISOR: u64 = 3;

/// What an entry knows of a call that it refuses.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCall {
    /// The time of the refusal.
    pub now: Instant,
    /// Usual service time of its kind, in microseconds.
    pub service_micros: u64,
    /// The latency target, after which an answer is worth less.
    pub target: Deadline,
    /// The deadline, after which the caller no longer waits.
    pub deadline: Deadline,
}

/// A span of time in which a refused caller should come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReturnWindow {
    /// The earliest return.
    pub from: Instant,
    /// The latest return.
    pub until: Instant,
}

impl RefusedCall {
    /// Return when the caller should come back.
    ///
    /// `place_at` is when an upstream is likely to take another request, if that is known.
    ///
    /// Answers the return of a service after an outage or a burst, when many callers were
    /// refused at once: those that can still be in time come back when a place is likely;
    /// the others, and all if no place is known, spread over a part of their time, so that they neither use up their
    /// retries in the outage nor come as a second wave.
    #[must_use]
    pub fn return_window(&self, place_at: Option<Instant>) -> ReturnWindow {
        let in_time = place_at.is_some_and(|at| self.is_in_time(at));
        let place_at = place_at.map_or(self.now, |at| at.max(self.now));
        let left_micros = self.deadline.instant().micros_since(self.now);
        let latest = self.now.plus_micros(left_micros / LONGEST_WAIT_DIVISOR);
        let from = place_at.plus_micros(MIN_WAIT_MICROS);
        let spread = if in_time {
            MAX_SPREAD_MICROS
        } else {
            (left_micros / LATE_SPREAD_DIVISOR).max(MAX_SPREAD_MICROS)
        };
        ReturnWindow {
            from,
            until: place_at.plus_micros(spread).min(latest).max(from),
        }
    }

    fn is_in_time(&self, place_at: Instant) -> bool {
        let answered = place_at.max(self.now).plus_micros(self.service_micros);
        !self.target.has_passed(answered)
    }
}
