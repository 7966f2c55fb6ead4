//! Callers that stop reading their answers, and slow ones that read on.

use mustardtiller_core::CallerState;
use mustardtiller_core::CallerTimes;
use mustardtiller_core::Instant;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[test]
fn an_unread_answer_is_cut_after_seconds_only() {
    let times = CallerTimes {
        unread_since: Some(at(0)),
        ..CallerTimes::default()
    };
    assert_eq!(times.state(at(4_000)), CallerState::Busy);
    assert_eq!(times.unread(at(4_000)), None);
    assert_eq!(times.state(at(5_000)), CallerState::Stalled(at(0)));
    assert_eq!(times.unread(at(5_000)), Some(at(0)));
}

#[test]
fn a_stalled_body_cuts_no_answer_that_was_just_begun() {
    let times = CallerTimes {
        awaited_since: Some(at(0)),
        unread_since: Some(at(2_000)),
        ..CallerTimes::default()
    };
    assert_eq!(times.state(at(3_500)), CallerState::Stalled(at(0)));
    assert_eq!(times.unread(at(3_500)), None);
}

#[test]
fn a_connection_that_owes_nothing_is_idle() {
    let times = CallerTimes {
        idle_since: Some(at(10)),
        ..CallerTimes::default()
    };
    assert_eq!(times.state(at(20)), CallerState::Idle(at(10)));
    let reading = CallerTimes {
        unread_since: Some(at(15)),
        ..times
    };
    assert_eq!(reading.state(at(20)), CallerState::Busy);
}
