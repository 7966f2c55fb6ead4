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

/// Part of the time to the deadline beyond which no late caller is spread.
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
    /// the others, and all if no place is known, spread over a part of their time from
    /// now, so that they neither use up their retries in the outage nor come as a second
    /// wave.
    #[must_use]
    pub fn return_window(&self, place_at: Option<Instant>) -> ReturnWindow {
        match place_at.filter(|&at| self.is_in_time(at)) {
            Some(at) => near_place(at.max(self.now)),
            None => self.spread(),
        }
    }

    /// Return the window of a caller that can't be answered in time, as far as is known.
    ///
    /// It is a single instant only once the time is up.
    fn spread(&self) -> ReturnWindow {
        let left_micros = self.deadline.instant().micros_since(self.now);
        let sixth = left_micros / LATE_SPREAD_DIVISOR;
        let longest = left_micros / LONGEST_WAIT_DIVISOR;
        ReturnWindow {
            from: self.now.plus_micros(sixth.min(MIN_WAIT_MICROS)),
            until: self
                .now
                .plus_micros(sixth.max(MAX_SPREAD_MICROS).min(longest)),
        }
    }

    fn is_in_time(&self, place_at: Instant) -> bool {
        let answered = place_at.max(self.now).plus_micros(self.service_micros);
        !self.target.has_passed(answered)
    }
}

const fn near_place(at: Instant) -> ReturnWindow {
    ReturnWindow {
        from: at.plus_micros(MIN_WAIT_MICROS),
        until: at.plus_micros(MAX_SPREAD_MICROS),
    }
}

/// When a refused caller should come back, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReturnTime {
    /// Not before an instant, at which an upstream takes the next request.
    NotBefore(Instant),
    /// Within a span of time, by what gates forecast.
    Within(ReturnWindow),
}
