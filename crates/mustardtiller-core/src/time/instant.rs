//! Points in one process's monotonic time.

use std::time::Duration;

/// A point in one process's monotonic time, in microseconds since its epoch.
///
/// Two processes' instants are not comparable; [`crate::ClockOffset`] converts.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Instant(u64);

impl Instant {
    /// Build an instant from microseconds since the epoch.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Return microseconds since the epoch.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Return the microseconds from `earlier` to `self`, or zero.
    #[must_use]
    pub const fn micros_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Return the instant `micros` later.
    #[must_use]
    pub const fn plus_micros(self, micros: u64) -> Self {
        Self(self.0.saturating_add(micros))
    }

    /// Return the instant `micros` earlier, no earlier than the epoch.
    #[must_use]
    pub const fn minus_micros(self, micros: u64) -> Self {
        Self(self.0.saturating_sub(micros))
    }
}

/// The instant at which a piece of work is given up.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Deadline(Instant);

impl Deadline {
    /// Set the deadline at `at`.
    #[must_use]
    pub const fn at(at: Instant) -> Self {
        Self(at)
    }

    /// Set the deadline `millis` milliseconds after `now`.
    #[must_use]
    pub const fn in_millis(now: Instant, millis: u64) -> Self {
        Self(now.plus_micros(millis.saturating_mul(1_000)))
    }

    /// Return the instant of the deadline.
    #[must_use]
    pub const fn instant(self) -> Instant {
        self.0
    }

    /// Report whether the deadline has passed at `now`.
    #[must_use]
    pub fn has_passed(self, now: Instant) -> bool {
        now >= self.0
    }

    /// Return the time left at `now`, zero once passed.
    #[must_use]
    pub const fn remaining(self, now: Instant) -> Duration {
        Duration::from_micros(self.0.micros_since(now))
    }

    /// Return the later of two deadlines.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }

    /// Return the earlier of two deadlines.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }
}
