//! When the upstream may start requests, by the rate that it named.

use std::sync::atomic::Ordering;

use super::GateState;
use mustardtiller_core::Instant;
use mustardtiller_core::StartRate;
use mustardtiller_core::StartSchedule;

impl GateState {
    /// Record the rate that the upstream named in its last answer, or that it named none.
    ///
    /// Returns the rate known before.
    pub fn set_start_rate(&self, rate: Option<StartRate>, now: Instant) -> Option<StartRate> {
        self.heard_rate.store(true, Ordering::SeqCst);
        self.replace_start_rate(rate, now)
    }

    /// Adopt the rate that another daemon knows, until an answer says whether it holds.
    ///
    /// Returns whether it was adopted.
    pub fn adopt_start_rate(&self, rate: StartRate, now: Instant) -> bool {
        let adopts = !self.heard_rate.load(Ordering::SeqCst) && self.start_rate().is_none();
        if adopts {
            self.replace_start_rate(Some(rate), now);
        }
        adopts
    }

    /// Forget what a former upstream at the same address said of itself.
    pub fn forget_announcements(&self, now: Instant) {
        self.swap_availability(&self.announced_leaving, false);
        self.replace_start_rate(None, now);
        self.heard_rate.store(false, Ordering::SeqCst);
        self.shedding.reset();
    }

    fn replace_start_rate(&self, rate: Option<StartRate>, now: Instant) -> Option<StartRate> {
        if let Some(rate) = rate
            && self.start_rate().is_none()
        {
            let begun = StartSchedule::begin(rate, now);
            self.start_due
                .store(begun.due.as_micros(), Ordering::SeqCst);
        }
        let milli = rate.map_or(0, StartRate::as_milli);
        start_rate_of(self.start_milli.swap(milli, Ordering::SeqCst))
    }

    /// Return the rate that the upstream named, if any.
    #[must_use]
    pub fn start_rate(&self) -> Option<StartRate> {
        start_rate_of(self.start_milli.load(Ordering::SeqCst))
    }

    /// Return when requests may start, if the upstream named a rate.
    #[must_use]
    pub fn start_schedule(&self) -> Option<StartSchedule> {
        self.start_rate().map(|rate| StartSchedule {
            rate,
            due: Instant::from_micros(self.start_due.load(Ordering::SeqCst)),
        })
    }

    /// Count a request that starts now, if the rate that the upstream named allows it.
    pub fn try_start(&self, now: Instant) -> bool {
        let Some(rate) = self.start_rate() else {
            return true;
        };
        let started = self
            .start_due
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |due| {
                let due = Instant::from_micros(due);
                let next = StartSchedule { rate, due }.start(now)?;
                Some(next.due.as_micros())
            });
        started.is_ok()
    }
}

/// Return the rate of this many thousandths; zero stands for none.
const fn start_rate_of(milli: u32) -> Option<StartRate> {
    match milli {
        0 => None,
        milli => Some(StartRate::from_milli(milli)),
    }
}
