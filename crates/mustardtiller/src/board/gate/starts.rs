//! When the upstream may start requests: by the rate that it named, or while it is cold.

use std::sync::atomic::Ordering;

use super::GateState;
use mustardtiller_core::ColdStart;
use mustardtiller_core::Instant;
use mustardtiller_core::StartRate;
use mustardtiller_core::StartSchedule;
use mustardtiller_core::Temperature;

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
        self.cold.begin_lifetime(now);
        self.shedding.reset();
        self.sources.reset();
    }

    /// Replace what operators state about a cold start.
    pub fn set_cold_rule(&self, rule: Option<ColdStart>, now: Instant) {
        if self.cold.set_rule(rule)
            && let Some(rule) = rule
            && self.start_rate().is_none()
        {
            self.begin_schedule(rule.rate, now);
        }
    }

    fn replace_start_rate(&self, rate: Option<StartRate>, now: Instant) -> Option<StartRate> {
        if let Some(rate) = rate
            && self.start_rate().is_none()
        {
            self.begin_schedule(rate, now);
        }
        let milli = rate.map_or(0, StartRate::as_milli);
        start_rate_of(self.start_milli.swap(milli, Ordering::SeqCst))
    }

    fn begin_schedule(&self, rate: StartRate, now: Instant) {
        let begun = StartSchedule::begin(rate, now);
        self.start_due
            .store(begun.due.as_micros(), Ordering::SeqCst);
    }

    /// Return the rate that the upstream named, if any.
    #[must_use]
    pub fn start_rate(&self) -> Option<StartRate> {
        start_rate_of(self.start_milli.load(Ordering::SeqCst))
    }

    /// Return the rate that holds now: the lower of the named and the cold one.
    fn rate_in_force(&self, now: Instant) -> Option<StartRate> {
        let capped = self.cold.temperature(now).is_capped();
        let cold = self.cold.rule().filter(|_| capped);
        StartRate::lower(self.start_rate(), cold.map(|cold| cold.rate))
    }

    /// Return when requests may start, if a rate holds now.
    #[must_use]
    pub fn start_schedule(&self, now: Instant) -> Option<StartSchedule> {
        self.rate_in_force(now).map(|rate| self.schedule(rate))
    }

    fn schedule(&self, rate: StartRate) -> StartSchedule {
        StartSchedule {
            rate,
            due: Instant::from_micros(self.start_due.load(Ordering::SeqCst)),
        }
    }

    /// Return the schedule that entries should know of, if any.
    ///
    /// They aren't told of an upstream that is only idle, and may start a request now.
    pub(super) fn reported_schedule(&self, now: Instant) -> Option<StartSchedule> {
        let schedule = self.start_schedule(now)?;
        let limits = self.start_rate().is_some()
            || self.cold.temperature(now) == Temperature::Cold
            || schedule.next_start(self.waiting(), now) > now;
        limits.then_some(schedule)
    }

    /// Count a request that starts now, if the rate in force allows it.
    ///
    /// Starts of a warm upstream are counted too, so that none is saved up for the
    /// instant at which it turns out to be cold.
    pub fn try_start(&self, now: Instant) -> bool {
        let in_force = self.rate_in_force(now);
        let Some(rate) = in_force.or_else(|| self.cold.rule().map(|cold| cold.rate)) else {
            return true;
        };
        let started = self
            .start_due
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |due| {
                let due = Instant::from_micros(due);
                let schedule = StartSchedule { rate, due };
                let next = match in_force {
                    Some(_) => schedule.start(now)?,
                    None => schedule.started_unlimited(now),
                };
                Some(next.due.as_micros())
            });
        if started.is_ok() {
            self.cold.count_start();
        }
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
