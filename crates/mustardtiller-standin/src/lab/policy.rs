//! The policies under comparison.

use mustardtiller::core::Policy;
use mustardtiller::core::Preference;

/// Interval at which the polling policies read the load, in microseconds.
pub const POLL_INTERVAL_MICROS: u64 = 100_000;

/// A policy for choosing an upstream.
#[derive(Clone, Copy, Debug)]
pub enum LabPolicy {
    /// Each upstream in turn.
    RoundRobin,
    /// An upstream at random.
    Random,
    /// The least loaded upstream, by loads polled every 100 ms.
    LeastLoaded,
    /// The less loaded of two random upstreams, by loads polled every 100 ms.
    TwoChoices,
    /// The daemon's own policy.
    Daemon(Policy),
    /// The fastest upstream, with every queue known at the instant of the choice.
    Oracle,
}

impl LabPolicy {
    /// Return every policy of the table; that of the daemon uses `weigh`.
    #[must_use]
    pub fn all(weigh: Preference) -> Vec<Self> {
        vec![
            Self::RoundRobin,
            Self::Random,
            Self::LeastLoaded,
            Self::TwoChoices,
            Self::Daemon(Policy {
                weigh,
                ..Policy::default()
            }),
            Self::Oracle,
        ]
    }

    /// Return the name used in tables.
    #[must_use]
    pub fn name(&self) -> String {
        match self {
            Self::RoundRobin => "round robin".to_owned(),
            Self::Random => "random".to_owned(),
            Self::LeastLoaded => "least, stale".to_owned(),
            Self::TwoChoices => "two choices, stale".to_owned(),
            Self::Daemon(policy) => format!("ours, {} draws", policy.draws),
            Self::Oracle => "oracle".to_owned(),
        }
    }

    /// Report whether the policy polls the upstreams.
    pub(super) const fn polls(&self) -> bool {
        matches!(self, Self::LeastLoaded | Self::TwoChoices)
    }
}
