//! Whether a request that arrives at a gate can still be served in time.

use crate::Deadline;
use crate::Instant;
use crate::NotRunReason;
use crate::Slowdown;

/// Share of the usual service time without which no answer is to be hoped for, in percent.
const LEAST_SERVICE_PERCENT: u64 = 50;

/// Usual service time up to which a request counts as short, in microseconds:
/// started in a slow spell it still ends within two spells of 150 ms.
const SHORT_MICROS: u64 = 50_000;

/// Time before the last useful start at which a request that waits out a spell
/// starts after all, in microseconds: two looks at the upstream's speed.
const LAST_START_MICROS: u64 = 40_000;

/// How far a request may be kept waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueMode {
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
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Usual time at the upstream of a request of this kind, in microseconds.
    pub service_micros: u64,
    /// Usual time at the upstream of any request, in microseconds.
    pub mean_micros: u64,
    /// How fast the upstream works at this moment.
    pub slowdown: Slowdown,
}

/// What a request wants of a gate.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// How far it may be kept waiting.
    pub queue_mode: QueueMode,
    /// Until when its answer has its full worth.
    pub target: Deadline,
    /// When it stops being wanted.
    pub deadline: Deadline,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It starts.
    Start,
    /// It waits for a slot.
    Wait,
    /// It is refused, and has not run.
    Refuse(NotRunReason),
}

impl Forecast {
    /// Return how many requests like this one may run at once.
    ///
    /// Short requests, which others wait for in the middle of their work, may
    /// fill the upstream; the rest leave some slots, since many upstreams slow
    /// down when they are full.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        if self.is_short() {
            self.slots
        } else {
            self.limit
        }
    }

    /// Return the time without which no answer is to be hoped for, in microseconds.
    #[must_use]
    pub const fn least_service_micros(&self) -> u64 {
        self.service_micros * LEAST_SERVICE_PERCENT / 100
    }

    /// Return how long the request better waits for a slow spell to end, in microseconds.
    #[must_use]
    pub const fn spell_micros(&self) -> u64 {
        self.slowdown.spell_micros(self.service_micros)
    }

    const fn is_short(&self) -> bool {
        self.service_micros <= SHORT_MICROS || self.service_micros * 2 <= self.mean_micros
    }

    /// Report whether a request that waits for a slow spell to end goes on waiting.
    ///
    /// A short one starts once a slow start is the last that is answered before
    /// the deadline. A long one has then more time left than a spell takes, and
    /// would hold a slot for all of it.
    #[must_use]
    pub fn keeps_waiting(&self, deadline: Deadline) -> bool {
        if self.spell_micros() == 0 {
            return false;
        }
        let takes = self.slowdown.slowed_micros(self.service_micros) + LAST_START_MICROS;
        !self.is_short() || !deadline.has_passed(self.now.plus_micros(takes))
    }

    /// Decide whether a request is taken. `ahead` counts those that wait and go before it.
    ///
    /// A request that can be answered with its full worth is taken only if that
    /// is likely: one that waits in vain holds its caller up and helps nobody.
    /// One that will be late waits only if it is short, where refusing it would
    /// save little.
    #[must_use]
    pub fn admission(&self, wish: &AdmissionRequest, ahead: u32) -> Admission {
        let least = self.least_service_micros();
        if wish.deadline.has_passed(self.now.plus_micros(least)) {
            return Admission::Refuse(NotRunReason::TooLate);
        }
        let free = ahead == 0 && self.running < self.limit();
        match wish.queue_mode {
            QueueMode::None if !free || self.slowdown.is_slow() => {
                Admission::Refuse(NotRunReason::Busy)
            }
            _ if free && !self.keeps_waiting(wish.deadline) => Admission::Start,
            _ => self.queue(wish, ahead),
        }
    }

    fn queue(&self, wish: &AdmissionRequest, ahead: u32) -> Admission {
        let wait = self.wait_micros(ahead) + self.spell_micros();
        let answered = self.now.plus_micros(self.service_micros + wait);
        if !wish.target.has_passed(answered) {
            return Admission::Wait;
        }
        if self.is_short() && !wish.deadline.has_passed(answered) {
            Admission::Wait
        } else {
            Admission::Refuse(NotRunReason::QueueFull)
        }
    }

    /// Return how long a newcomer is likely to wait for a slot, in microseconds.
    #[must_use]
    pub fn wait_micros(&self, ahead: u32) -> u64 {
        let limit = self.limit();
        let over = (self.running + ahead + 1).saturating_sub(limit);
        u64::from(over) * self.mean_micros / u64::from(limit.max(1))
    }
}
