//! Callers that retry on new connections and leave the earlier ones open.

use std::collections::VecDeque;

use mustardtiller_core::CallerState;
use mustardtiller_core::Instant;
use mustardtiller_core::callers_to_close;
use mustardtiller_core::longest_idle;

const BOUND: usize = 64;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// RECOVER: connections grew by hundreds a second, and only the idle timeout ended them.
#[test]
fn connections_stay_within_the_bound_under_retries() {
    let mut states: VecDeque<CallerState> = VecDeque::new();
    for now in 0..10_000 {
        let (slice, rest) = states.as_slices();
        let all = [slice, rest].concat();
        let mut closed = callers_to_close(&all, BOUND);
        closed.sort_unstable();
        for index in closed.into_iter().rev() {
            assert_ne!(all[index], CallerState::Busy, "a request was cut at {now}");
            states.remove(index);
        }
        // Each request is answered after 20 ms; its connection then stays open.
        states.push_back(CallerState::Busy);
        if let Some(answered) = states.len().checked_sub(20) {
            states[answered] = CallerState::Idle(at(now));
        }
        assert!(
            states.len() <= BOUND,
            "{} connections at {now}",
            states.len()
        );
    }
}

#[test]
fn the_longest_idle_are_closed_first() {
    let states: Vec<_> = [50, 10, 40, 20, 30]
        .map(|ms| CallerState::Idle(at(ms)))
        .into();
    let mut closed = longest_idle(&states, 2);
    closed.sort_unstable();
    assert_eq!(closed, [1, 3]);
}

#[test]
fn busy_connections_are_never_closed() {
    let states = [CallerState::Busy; 8];
    assert!(callers_to_close(&states, 4).is_empty());
    assert!(longest_idle(&states, 4).is_empty());
}

#[test]
fn stalled_bodies_make_room_after_idle_callers() {
    let idle = CallerState::Idle(at(50));
    let stalled = |millis| CallerState::Stalled(at(millis));
    let states = [stalled(20), CallerState::Busy, idle, stalled(10)];
    assert_eq!(longest_idle(&states, 1), [2]);
    assert_eq!(callers_to_close(&states, 3), [2, 3]);
    let mut all = longest_idle(&states, 4);
    all.sort_unstable();
    assert_eq!(all, [0, 2, 3], "a request that moves was cut");
}
