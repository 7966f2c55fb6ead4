//! The schedule of a planned stop, and the work that is still taken in it.

use crate::Deadline;
use crate::Instant;

/// Time from the end of the work until the process must have exited, in milliseconds.
///
/// The last frames and answers are written in it.
const LAST_FRAMES_MS: u64 = 500;

/// Part of that time in which nothing is written, as the process exits, in milliseconds.
const EXIT_MS: u64 = 100;

/// Factor from the longest recent time to the time that work is given, in percent.
const TIME_PERCENT: u64 = 150;

/// How a daemon stops, as its settings say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopRule {
    /// Time for which it goes on taking work, in milliseconds.
    pub withdraw_ms: u64,
    /// Time after that for the work in flight, in milliseconds.
    ///
    /// Applies if `grace_ms` is unknown.
    pub stop_ms: u64,
    /// Time after which the process is killed, in milliseconds; `None` if unknown.
    pub grace_ms: Option<u64>,
}

impl StopRule {
    /// Return the schedule of a stop that begins at `now`.
    #[must_use]
    pub fn schedule(&self, now: Instant) -> StopSchedule {
        let withdrawn_ms = self.withdraw_ms;
        let work_ms = match self.grace_ms {
            Some(grace_ms) => grace_ms.saturating_sub(LAST_FRAMES_MS),
            None => withdrawn_ms.saturating_add(self.stop_ms),
        };
        let killed_ms = self
            .grace_ms
            .unwrap_or(work_ms.saturating_add(LAST_FRAMES_MS));
        let answers_ms = killed_ms.saturating_sub(EXIT_MS);
        StopSchedule {
            refuses_from: Deadline::in_millis(now, withdrawn_ms.min(work_ms)),
            work_ends: Deadline::in_millis(now, work_ms),
            answers_end: Deadline::in_millis(now, answers_ms),
        }
    }
}

/// The times of one planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    /// When all new work is refused.
    pub refuses_from: Deadline,
    /// When work that has not ended is cut.
    pub work_ends: Deadline,
    /// When connections that are still to get a refusal are cut.
    pub answers_end: Deadline,
}

/// Work that is offered to a daemon while it stops.
#[derive(Clone, Copy, Debug)]
pub struct LateWork {
    /// When it is given up.
    pub deadline: Deadline,
    /// Whether it may run again after it was cut.
    pub idempotent: bool,
    /// Longest time that such work took lately, in microseconds, if it is known.
    pub longest_micros: Option<u64>,
}

impl StopSchedule {
    /// Return the deadline with which work is taken, or `None` if it might be cut.
    ///
    /// Work is taken if its own deadline lies before the end. Idempotent work is also
    /// taken if its longest recent time, and half as much again, fits before the end;
    /// it is then given up at the end. An estimate can fail, so it admits nothing that
    /// may run only once.
    #[must_use]
    pub fn deadline_of(&self, work: &LateWork, now: Instant) -> Option<Deadline> {
        if work.deadline <= self.work_ends {
            return Some(work.deadline);
        }
        let longest = work.longest_micros.filter(|_| work.idempotent)?;
        let needed = longest.saturating_mul(TIME_PERCENT) / 100;
        let fits = !self.work_ends.has_passed(now.plus_micros(needed));
        fits.then_some(self.work_ends)
    }
}
