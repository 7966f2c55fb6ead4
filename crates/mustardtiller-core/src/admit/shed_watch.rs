//! Detection of an upstream that sheds requests although it has room.

use crate::Deadline;
use crate::Instant;

/// Weight of one request in the smoothed share, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;

/// Share from which the upstream is avoided, in thousandths.
const AVOID_MILLI: u32 = 300;

/// Share after the upstream was avoided, in thousandths: two further sheds exceed the limit.
const RETRIAL_MILLI: u32 = 200;

/// Share below which the upstream counts as recovered, in thousandths.
const RECOVERED_MILLI: u32 = 50;

/// First time for which the upstream is avoided, in milliseconds; doubles each time.
const FIRST_PAUSE_MS: u64 = 1_000;

/// Longest time for which the upstream is avoided, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 8_000;

/// Doublings after which the pause stays the longest.
const MAX_DOUBLINGS: u32 = 3;

/// The share of requests that an upstream sheds, and until when it is avoided.
///
/// Answers the load at which some upstreams of a service shed most requests while others
/// have room. The gate sends only as many requests as there are slots, so a shed one says
/// that the upstream takes less than its slots. All entries learn it from the gate, which
/// sees every request; an entry by itself sees one in a few seconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShedWatch {
    /// Smoothed share of shed requests, in thousandths.
    pub share_milli: u32,
    /// Pauses since the upstream last recovered.
    pub pauses: u32,
    /// When the last pause ends.
    pub avoid_until: Option<Deadline>,
}

impl ShedWatch {
    /// Return the state after one more request that the upstream ran or shed.
    #[must_use]
    pub fn after(self, shed: bool, now: Instant) -> Self {
        let target = if shed { 1_000 } else { 0 };
        let step = self
            .share_milli
            .abs_diff(target)
            .div_ceil(SMOOTHING_DIVISOR);
        let share_milli = if target > self.share_milli {
            self.share_milli + step
        } else {
            self.share_milli - step
        };
        let next = Self {
            share_milli,
            ..self
        };
        if shed && share_milli >= AVOID_MILLI && !self.is_avoided(now) {
            return next.paused(now);
        }
        if share_milli < RECOVERED_MILLI {
            return Self { pauses: 0, ..next };
        }
        next
    }

    /// Report whether entries should avoid the upstream.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| !until.has_passed(now))
    }

    fn paused(self, now: Instant) -> Self {
        let pause_ms = FIRST_PAUSE_MS << self.pauses.min(MAX_DOUBLINGS);
        Self {
            share_milli: RETRIAL_MILLI,
            pauses: self.pauses + 1,
            avoid_until: Some(Deadline::in_millis(now, pause_ms.min(LONGEST_PAUSE_MS))),
        }
    }
}
