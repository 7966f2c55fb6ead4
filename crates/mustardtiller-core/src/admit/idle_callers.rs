//! Which callers' connections an entry closes to make room for new ones.

use crate::Instant;
use crate::STALLED_MS;
use crate::UNREAD_MS;

/// Share of the bound that is freed at once, as a divisor.
///
/// Choosing reads the state of every connection, so it should not be done for each.
const BATCH_DIVISOR: usize = 16;

/// Microseconds in a millisecond.
const MILLI_MICROS: u64 = 1_000;

/// What a caller's connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerState {
    /// A request is in flight on it.
    Busy,
    /// It has waited for a request since this time.
    Idle(Instant),
    /// The body of its request has stalled since this time.
    Stalled(Instant),
}

/// Since when a caller's connection has been as it is.
///
/// The load that this answers: callers that stop sending or reading, beside slow but
/// steady ones whose answers should not be cut.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerTimes {
    /// Since when it has waited for a request; `None` while one is in flight.
    pub idle_since: Option<Instant>,
    /// Since when bytes of a body are awaited.
    pub awaited_since: Option<Instant>,
    /// Since when its caller reads nothing.
    pub unread_since: Option<Instant>,
}

impl CallerTimes {
    /// Return what the connection does at `now`.
    #[must_use]
    pub fn state(self, now: Instant) -> CallerState {
        let stalled = lasting(self.awaited_since, STALLED_MS, now);
        let owes = self.awaited_since.or(self.unread_since).is_some();
        match (stalled.or_else(|| self.unread(now)), self.idle_since) {
            (Some(since), _) => CallerState::Stalled(since),
            (None, Some(since)) if !owes => CallerState::Idle(since),
            (None, _) => CallerState::Busy,
        }
    }

    /// Return since when an answer has been unread, if it may be cut for that.
    #[must_use]
    pub fn unread(self, now: Instant) -> Option<Instant> {
        lasting(self.unread_since, UNREAD_MS, now)
    }
}

/// Return `since` if it is at least `limit_ms` ago.
fn lasting(since: Option<Instant>, limit_ms: u64, now: Instant) -> Option<Instant> {
    since.filter(|since| now.micros_since(*since) >= limit_ms * MILLI_MICROS)
}

/// Choose the connections to close when `bound` is reached, by index.
///
/// The longest idle ones are chosen, then those whose request's body has stalled
/// longest, and never another one with a request in flight. The load that this answers:
/// callers that retry on new connections and leave the earlier ones open until the idle
/// timeout, and callers that stop sending short of the end of a body.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::CallerState;
/// use mustardtiller_core::Instant;
/// use mustardtiller_core::callers_to_close;
///
/// let idle = |millis: u64| CallerState::Idle(Instant::from_micros(millis * 1_000));
/// let states = [idle(30), CallerState::Busy, idle(10)];
/// assert_eq!(callers_to_close(&states, 3), [2]);
/// assert!(callers_to_close(&states, 4).is_empty());
/// ```
#[must_use]
pub fn callers_to_close(states: &[CallerState], bound: usize) -> Vec<usize> {
    if states.len() < bound {
        return Vec::new();
    }
    let excess = states.len() - bound;
    let count = excess + (bound / BATCH_DIVISOR).max(1);
    longest_idle(states, count)
}

/// Choose up to `count` connections, those that have been idle longest.
///
/// Stalled ones are chosen after all that are idle.
#[must_use]
pub fn longest_idle(states: &[CallerState], count: usize) -> Vec<usize> {
    let mut idle: Vec<((bool, Instant), usize)> = states
        .iter()
        .enumerate()
        .filter_map(|(index, state)| match state {
            CallerState::Idle(since) => Some(((false, *since), index)),
            CallerState::Stalled(since) => Some(((true, *since), index)),
            CallerState::Busy => None,
        })
        .collect();
    let count = count.min(idle.len());
    if count > 0 && count < idle.len() {
        idle.select_nth_unstable(count - 1);
    }
    idle.truncate(count);
    idle.into_iter().map(|(_, index)| index).collect()
}
