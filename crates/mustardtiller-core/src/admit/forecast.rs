//! Whether a request that arrives at a gate can still be served in time.

use crate::Deadline;
use crate::Instant;
use crate::NotRunReason;

/// Time of work from which an upstream counts as slow at this moment, in percent of the usual.
const SLOW_PERCENT: u32 = 250;

/// Share of the usual service time without which no answer is to be hoped for, in percent.
const LEAST_SERVICE_PERCENT: u64 = 50;

/// How far a request may be kept waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Patience {
    /// It starts at once, or goes elsewhere.
    None,
    /// It may wait, if it is likely to be served in time.
    Queue,
}

/// What a gate knows when a request arrives.
#[derive(Clone, Copy, Debug)]
pub struct Forecast {
    /// The time.
    pub now: Instant,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Usual time at the upstream of a request of this kind, in microseconds.
    pub service_micros: u64,
    /// Usual time at the upstream of any request, in microseconds.
    pub mean_micros: u64,
    /// Time that work takes at this moment, in percent of the usual.
    pub work_percent: u32,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It starts if a slot is free, and else waits.
    Take,
    /// It is refused, and has not run.
    Refuse(NotRunReason),
}

impl Forecast {
    /// Decide whether a request is taken.
    ///
    /// `target` is until when its answer has its full worth. A request that can
    /// still be answered by then is taken only if that is likely: one that
    /// waits in vain holds its caller up and helps nobody. One that is late
    /// already is taken only where nobody waits.
    #[must_use]
    pub fn admission(&self, patience: Patience, target: Deadline, deadline: Deadline) -> Admission {
        let least = self.service_micros * LEAST_SERVICE_PERCENT / 100;
        if deadline.has_passed(self.now.plus_micros(least)) {
            return Admission::Refuse(NotRunReason::TooLate);
        }
        let free = self.waiting == 0 && self.running < self.limit;
        match patience {
            Patience::None if !free || self.work_percent >= SLOW_PERCENT => {
                Admission::Refuse(NotRunReason::Busy)
            }
            _ if free => Admission::Take,
            _ => self.queue(target, deadline),
        }
    }

    fn queue(&self, target: Deadline, deadline: Deadline) -> Admission {
        let unhindered = self.now.plus_micros(self.service_micros);
        let answered = unhindered.plus_micros(self.wait_micros());
        let limit = if target.has_passed(unhindered) {
            if self.waiting > 0 {
                return Admission::Refuse(NotRunReason::QueueFull);
            }
            deadline
        } else {
            target
        };
        if limit.has_passed(answered) {
            Admission::Refuse(NotRunReason::QueueFull)
        } else {
            Admission::Take
        }
    }

    /// Return how long a newcomer is likely to wait for a slot, in microseconds.
    #[must_use]
    pub fn wait_micros(&self) -> u64 {
        let over = (self.running + self.waiting + 1).saturating_sub(self.limit);
        u64::from(over) * self.mean_micros / u64::from(self.limit.max(1))
    }
}
