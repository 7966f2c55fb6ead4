//! Outlier ejection: error rates of upstreams, and how long failing ones are ejected.

use crate::Deadline;
use crate::Instant;

/// Weight of one answer in the smoothed error rate, as a divisor.
const SMOOTHING_DIVISOR: u32 = 16;

/// When and for how long a failing upstream is ejected.
#[derive(Clone, Copy, Debug)]
pub struct EjectionRule {
    /// Error rate from which an upstream is ejected, in thousandths.
    pub threshold_milli: u32,
    /// Length of the first ejection, in milliseconds; doubles with each that follows.
    pub base_millis: u64,
    /// Longest ejection, in milliseconds.
    pub max_millis: u64,
    /// Largest share of a service that may be ejected at once, in percent.
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
    /// Return when an ejection that starts now ends, after `times` earlier ones.
    #[must_use]
    pub fn eject_until(&self, times: u32, now: Instant) -> Deadline {
        let millis = self.base_millis << times.min(16);
        Deadline::in_millis(now, millis.min(self.max_millis))
    }
}

/// Report whether one more of `total` upstreams may be ejected besides `ejected`.
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
pub const fn may_eject(rule: &EjectionRule, total: usize, ejected: usize) -> bool {
    (ejected + 1) * 100 <= total * rule.max_percent
}

/// Report whether `avoided` of `total` upstreams are few enough to be left out.
///
/// If most upstreams of a service shed, the others can't take their load, and nothing is
/// gained by a herd on the few that were found last.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::EjectionRule;
/// use mustardtiller_core::may_avoid;
///
/// let rule = EjectionRule::default();
/// assert!(may_avoid(&rule, 40, 6));
/// assert!(!may_avoid(&rule, 40, 30));
/// ```
#[must_use]
pub const fn may_avoid(rule: &EjectionRule, total: usize, avoided: usize) -> bool {
    avoided * 100 <= total * rule.max_percent
}

/// An exponentially smoothed error rate, in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ErrorRate(u32);

impl ErrorRate {
    /// Create a rate from thousandths.
    #[must_use]
    pub const fn from_milli(milli: u32) -> Self {
        Self(milli)
    }

    /// Return the rate in thousandths.
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
