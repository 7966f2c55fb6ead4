//! Errors of an upstream, and when it rests because of them.

use crate::Deadline;
use crate::Instant;

/// Weight of one answer in the smoothed error rate, as a divisor.
const SMOOTHING_DIVISOR: u32 = 16;

/// When and for how long a failing upstream rests.
#[derive(Clone, Copy, Debug)]
pub struct EjectionRule {
    /// Error rate from which an upstream rests, in thousandths.
    pub threshold_milli: u32,
    /// First rest, in milliseconds; it doubles with each that follows.
    pub base_millis: u64,
    /// Longest rest, in milliseconds.
    pub max_millis: u64,
    /// Share of a service that may rest at once, in percent.
    pub max_percent: usize,
}

impl Default for EjectionRule {
    fn default() -> Self {
        Self {
            threshold_milli: 500,
            base_millis: 500,
            max_millis: 30_000,
            max_percent: 34,
        }
    }
}

impl EjectionRule {
    /// Return when an upstream that has rested `times` times may return.
    #[must_use]
    pub fn eject_until(&self, times: u32, now: Instant) -> Deadline {
        let millis = self.base_millis << times.min(16);
        Deadline::in_millis(now, millis.min(self.max_millis))
    }
}

/// Report whether one more of `total` upstreams may rest beside `resting`.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::EjectionRule;
/// use mustardtiller_core::may_eject;
///
/// let rule = EjectionRule::default();
/// assert!(may_eject(&rule, 4, 0));
/// assert!(!may_eject(&rule, 4, 1));
/// assert!(!may_eject(&rule, 1, 0));
/// ```
#[must_use]
pub const fn may_eject(rule: &EjectionRule, total: usize, resting: usize) -> bool {
    (resting + 1) * 100 <= total * rule.max_percent
}

/// A smoothed share of errors, in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ErrorRate(u32);

impl ErrorRate {
    /// Start from thousandths.
    #[must_use]
    pub const fn from_milli(milli: u32) -> Self {
        Self(milli)
    }

    /// Return thousandths.
    #[must_use]
    pub const fn as_milli(self) -> u32 {
        self.0
    }

    /// Return the rate after one more answer.
    #[must_use]
    pub const fn after(self, error: bool) -> Self {
        let target = if error { 1_000 } else { 0 };
        let step = self.0.abs_diff(target).div_ceil(SMOOTHING_DIVISOR);
        if target > self.0 {
            Self(self.0 + step)
        } else {
            Self(self.0 - step)
        }
    }
}
