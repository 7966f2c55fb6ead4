//! Which callers' connections an entry closes to make room for new ones.

use crate::Instant;

/// Share of the bound that is freed at once, as a divisor.
///
/// Choosing reads the state of every connection, so it should not be done for each.
const BATCH_DIVISOR: usize = 16;

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
