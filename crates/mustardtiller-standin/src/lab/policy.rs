//! The policies that are compared.

use mustardtiller::core::Policy;
use mustardtiller::core::Preference;

/// Age of the reports that the stale policies use, in microseconds.
pub const POLL_INTERVAL_MICROS: u64 = 100_000;

/// A way to choose an upstream.
#[derive(Clone, Copy, Debug)]
pub enum LabPolicy {
    /// Each in turn.
    RoundRobin,
    /// Any.
    Random,
    /// The least of reports polled each 100 ms.
    LeastLoaded,
    /// The lesser of two by reports polled each 100 ms.
    TwoChoices,
    /// The daemon's choice.
    Daemon(Policy),
    /// Sees each queue at the instant of the choice.
    Oracle,
}

impl LabPolicy {
    /// Return every policy of the table, ours with `weigh`.
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

    /// Return the name in tables.
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

    /// Return whether upstreams are polled for it.
    pub(super) const fn polls(&self) -> bool {
        matches!(self, Self::LeastLoaded | Self::TwoChoices)
    }
}
