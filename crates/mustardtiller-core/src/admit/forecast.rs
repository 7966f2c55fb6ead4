//! Forecast of whether a gate can answer a request in time.

use crate::Deadline;
use crate::Instant;
use crate::NotRunReason;
use crate::Slowdown;
use crate::StartSchedule;

/// Least time to the deadline for admission, in percent of the usual service time.
///
/// With less time, an answer before the deadline can't be expected.
const MIN_SERVICE_PERCENT: u64 = 50;

/// Usual service time up to which a request counts as short, in microseconds.
///
/// Such a request ends within two slowdowns of 150 ms each, even if it starts
/// during one.
const SHORT_MICROS: u64 = 50_000;

/// Margin for the last useful start of a waiting request, in microseconds.
///
/// A request that waits for a slowdown to end starts this long before it would
/// be too late. The margin covers two readings of the upstream's slowdown.
const LAST_START_MARGIN_MICROS: u64 = 40_000;

/// Whether a gate may queue a request that is offered to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueMode {
    /// The request starts at once or is refused.
    None,
    /// The request may wait, if it is likely to be answered in time.
    Queue,
}

/// What a gate knows when a request arrives.
#[derive(Clone, Copy, Debug)]
pub struct Forecast {
    /// The time of the decision.
    pub now: Instant,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// The concurrency limit.
    pub limit: u32,
    /// The upstream's slots: requests that it can run at once.
    pub slots: u32,
    /// Usual service time of a request of this kind, in microseconds.
    pub service_micros: u64,
    /// Usual service time over all kinds, in microseconds.
    pub mean_micros: u64,
    /// The upstream's current slowdown.
    pub slowdown: Slowdown,
    /// When requests may start, if the upstream has named a rate.
    pub starts: Option<StartSchedule>,
}

/// What a request asks of a gate.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Whether it may be queued.
    pub queue_mode: QueueMode,
    /// The latency target, after which an answer is worth less.
    pub target: Deadline,
    /// The deadline, at which the request is given up.
    pub deadline: Deadline,
}

/// The decision on a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It starts now.
    Start,
    /// It waits in the queue, for a slot or for a slowdown to end.
    Wait,
    /// It is refused, and has not run.
    Refuse(NotRunReason),
}

impl Forecast {
    /// Return the concurrency limit that applies to the request.
    ///
    /// Short requests, on which longer ones depend while they run, may fill all
    /// slots. Others stay within the concurrency limit, since many upstreams
    /// slow down when they are full.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        if self.is_short() {
            self.slots
        } else {
            self.limit
        }
    }

    /// Return the remaining time below which the request is refused, in microseconds.
    #[must_use]
    pub const fn min_service_micros(&self) -> u64 {
        self.service_micros * MIN_SERVICE_PERCENT / 100
    }

    /// Return how long the request should wait for a slowdown to end, in microseconds.
    #[must_use]
    pub const fn slowdown_wait_micros(&self) -> u64 {
        self.slowdown.slowdown_wait_micros(self.service_micros)
    }

    const fn is_short(&self) -> bool {
        self.service_micros <= SHORT_MICROS || self.service_micros * 2 <= self.mean_micros
    }

    /// Report whether a request goes on waiting for a slowdown to end.
    ///
    /// A short one stops waiting when a slow start now is the last that can be
    /// answered before `deadline`. A long one never starts during a transient
    /// slowdown: at its last useful start it would have more time left than a
    /// slowdown lasts, and would hold a slot for all of that time.
    #[must_use]
    pub fn keeps_waiting(&self, deadline: Deadline) -> bool {
        if self.slowdown_wait_micros() == 0 {
            return false;
        }
        let needed = self.slowdown.slowed_micros(self.service_micros) + LAST_START_MARGIN_MICROS;
        !self.is_short() || !deadline.has_passed(self.now.plus_micros(needed))
    }

    /// Decide on a request that has `ahead` waiting requests before it.
    ///
    /// A request is queued if it is likely to be answered within its target: one
    /// that waits in vain delays its caller and gains nothing. A request that
    /// will miss its target, but not its deadline, is queued only if it is short,
    /// since refusing it would save little.
    #[must_use]
    pub fn admission(&self, request: &AdmissionRequest, ahead: u32) -> Admission {
        let least = self.min_service_micros();
        if request.deadline.has_passed(self.now.plus_micros(least)) {
            return Admission::Refuse(NotRunReason::TooLate);
        }
        let may_start = self.start_wait_micros(ahead) == 0;
        let free = ahead == 0 && self.running < self.limit() && may_start;
        match request.queue_mode {
            QueueMode::None if !may_start => Admission::Refuse(NotRunReason::RateLimited),
            QueueMode::None if !free || self.slowdown.is_slow() => {
                Admission::Refuse(NotRunReason::Busy)
            }
            _ if free && !self.keeps_waiting(request.deadline) => Admission::Start,
            _ => self.queue_or_refuse(request, ahead),
        }
    }

    fn queue_or_refuse(&self, request: &AdmissionRequest, ahead: u32) -> Admission {
        let slot_wait = self.wait_micros(ahead) + self.slowdown_wait_micros();
        let start_wait = self.start_wait_micros(ahead);
        let wait = slot_wait.max(start_wait);
        let answered = self.now.plus_micros(self.service_micros + wait);
        if !request.target.has_passed(answered) {
            return Admission::Wait;
        }
        if self.is_short() && !request.deadline.has_passed(answered) {
            Admission::Wait
        } else if start_wait > slot_wait {
            Admission::Refuse(NotRunReason::RateLimited)
        } else {
            Admission::Refuse(NotRunReason::QueueFull)
        }
    }

    /// Return how long the rate that the upstream named keeps a request waiting, in
    /// microseconds.
    ///
    /// Every request that waits counts as before it: one that is served first delays
    /// the others.
    #[must_use]
    pub fn start_wait_micros(&self, ahead: u32) -> u64 {
        let ahead = ahead.max(self.waiting);
        self.starts.map_or(0, |starts| {
            starts.next_start(ahead, self.now).micros_since(self.now)
        })
    }

    /// Return the expected wait for a slot behind `ahead` requests, in microseconds.
    #[must_use]
    pub fn wait_micros(&self, ahead: u32) -> u64 {
        let limit = self.limit();
        let excess = (self.running + ahead + 1).saturating_sub(limit);
        u64::from(excess) * self.mean_micros / u64::from(limit.max(1))
    }
}
