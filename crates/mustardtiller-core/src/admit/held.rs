//! How much memory a daemon takes for bytes that it holds for others.

use crate::NotRunReason;

/// Share of a host's memory for held bytes, as a divisor.
const HOST_DIVISOR: u64 = 4;

/// Share of the free bytes that one holder may take, as a divisor.
const FREE_DIVISOR: u64 = 4;

/// Share of the capacity that is kept from requests that are still read, as a divisor.
const STREAMS_DIVISOR: u64 = 5;

/// Share of the capacity from which stalled bodies are refused, as a divisor.
const PRESSURE_DIVISOR: u64 = 2;

/// Bytes in a megabyte.
const MEGABYTE: u64 = 1 << 20;

/// Microseconds in a millisecond.
const MILLI_MICROS: u64 = 1_000;

/// Time without a byte after which a body counts as stalled, in milliseconds.
pub const STALLED_MS: u64 = 1_000;

/// Time after which an answer that its caller doesn't read may be cut, in milliseconds.
pub const UNREAD_MS: u64 = 5_000;

/// Decides who may hold bytes in memory.
///
/// The load that this answers: a crowd of large bodies, whole or in chunks, that stop
/// short of their end and stay open. A holder may take a share of what is still free,
/// so large bodies are refused while short ones are still served.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::HeldRule;
///
/// let rule = HeldRule::with_capacity(40_000_000);
/// assert!(rule.admits(0, 0, 1_000_000));
/// assert!(!rule.admits(37_000_000, 0, 1_000_000));
/// assert!(rule.admits(37_000_000, 0, 64_000));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldRule {
    capacity_bytes: u64,
}

impl HeldRule {
    /// Return the rule for a host with this much memory, in megabytes.
    #[must_use]
    pub const fn for_host(memory_mb: u64) -> Self {
        Self::with_capacity(memory_mb * MEGABYTE / HOST_DIVISOR)
    }

    /// Return the rule for a capacity, in bytes.
    #[must_use]
    pub const fn with_capacity(capacity_bytes: u64) -> Self {
        Self { capacity_bytes }
    }

    /// Return the bytes that all holders may take together.
    #[must_use]
    pub const fn capacity_bytes(self) -> u64 {
        self.capacity_bytes
    }

    /// Report whether a holder of `own` bytes may take `more`, with `total` held by all.
    #[must_use]
    pub const fn admits(self, total: u64, own: u64, more: u64) -> bool {
        let free = self.capacity_bytes.saturating_sub(total);
        own + more <= free / FREE_DIVISOR
    }

    /// Return the rule for requests that are still read, whose work has not begun.
    ///
    /// The load that this answers: bodies that stop short of their end fill the account,
    /// and the streams of work that runs are cut. The last fifth is left to the streams.
    #[must_use]
    pub const fn for_requests(self) -> Self {
        Self::with_capacity(self.capacity_bytes - self.capacity_bytes / STREAMS_DIVISOR)
    }

    /// Report whether stalled bodies have to give up what they hold.
    #[must_use]
    pub const fn is_under_pressure(self, total: u64) -> bool {
        total >= self.capacity_bytes / PRESSURE_DIVISOR
    }
}

/// What is known of a request body whose caller has stopped sending.
///
/// The load that this answers: bodies that stop short of their end hold memory, hold
/// connections that ordinary callers wait for, and hold up a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StalledBody {
    /// Time without a byte, in microseconds.
    pub stalled_micros: u64,
    /// Whether its connection has to make room for another caller.
    pub is_dismissed: bool,
    /// Whether the daemon stops.
    pub is_stopping: bool,
    /// Whether stalled bodies have to give up what they hold.
    pub under_pressure: bool,
}

impl StalledBody {
    /// Return why the request is refused, or `None` if the daemon goes on waiting.
    #[must_use]
    pub const fn refusal(self) -> Option<NotRunReason> {
        if self.stalled_micros < STALLED_MS * MILLI_MICROS {
            None
        } else if self.is_stopping {
            Some(NotRunReason::Leaving)
        } else if self.is_dismissed {
            Some(NotRunReason::EntryFull)
        } else if self.under_pressure {
            Some(NotRunReason::MemoryFull)
        } else {
            None
        }
    }
}
