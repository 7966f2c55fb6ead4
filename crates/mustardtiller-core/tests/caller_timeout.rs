//! The time since a caller's first attempt, estimated from the time that it has left.

use mustardtiller_core::CallerTimeout;
use mustardtiller_core::Instant;

const SECOND: u64 = 1_000_000;

/// What most callers of the route start with, in microseconds.
const USUAL: u64 = 1_200_000;

/// Make a call each 100 ms from `from` to `until` seconds; return the longest time elapsed.
fn usual_calls(timeout: &CallerTimeout, from: u64, until: u64) -> u64 {
    let times = (from * 10..until * 10).map(|tenth| tenth * SECOND / 10);
    let elapsed = times.map(|at| timeout.elapsed_micros(USUAL, Instant::from_micros(at)));
    elapsed.max().unwrap_or(0)
}

#[test]
fn a_repeat_counts_from_the_first_attempt() {
    let timeout = CallerTimeout::default();
    assert_eq!(usual_calls(&timeout, 10, 30), 0);
    let now = Instant::from_micros(30 * SECOND);
    assert_eq!(timeout.elapsed_micros(USUAL - 300_000, now), 300_000);
}

#[test]
fn a_long_timeout_is_forgotten() {
    let timeout = CallerTimeout::default();
    usual_calls(&timeout, 10, 12);
    timeout.elapsed_micros(60 * SECOND, Instant::from_micros(12 * SECOND));
    assert!(usual_calls(&timeout, 12, 13) > 0, "it is the longest seen");
    usual_calls(&timeout, 13, 30);
    assert_eq!(usual_calls(&timeout, 30, 50), 0);
}

#[test]
fn a_quiet_route_forgets_too() {
    let timeout = CallerTimeout::default();
    timeout.elapsed_micros(60 * SECOND, Instant::from_micros(SECOND));
    assert_eq!(usual_calls(&timeout, 30, 31), 0);
}
