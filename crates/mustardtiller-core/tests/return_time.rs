//! When callers come back that were refused while a service was away.

use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::RefusedCall;
use mustardtiller_core::ReturnWindow;

const MILLI: u64 = 1_000;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * MILLI)
}

fn refused(now_ms: u64, target_ms: u64, deadline_ms: u64) -> RefusedCall {
    RefusedCall {
        now: at(now_ms),
        service_micros: 200 * MILLI,
        target: Deadline::at(at(target_ms)),
        deadline: Deadline::at(at(deadline_ms)),
    }
}

#[test]
fn caller_in_time_comes_back_when_a_place_is_likely() {
    let window = refused(1_000, 1_600, 4_000).return_window(Some(at(1_100)));
    let expected = ReturnWindow {
        from: at(1_120),
        until: at(1_160),
    };
    assert_eq!(window, expected);
}

#[test]
fn nobody_is_spread_beyond_a_third_of_the_time_left() {
    for left_ms in [90, 300, 3_000] {
        let call = refused(1_000, 1_100, 1_000 + left_ms);
        let window = call.return_window(None);
        assert!(window.until <= at(1_000 + left_ms / 3), "{window:?}");
        assert!(window.from <= window.until);
    }
}

/// Callers that a far place leaves too late don't all come back at the same instant.
#[test]
fn late_callers_are_spread_from_now() {
    for place_ms in [1_700, 5_000] {
        let window = refused(1_000, 1_500, 2_200).return_window(Some(at(place_ms)));
        let expected = ReturnWindow {
            from: at(1_020),
            until: at(1_200),
        };
        assert_eq!(window, expected);
    }
}

#[test]
fn callers_never_share_one_instant() {
    for left_ms in [1, 10, 59, 90, 1_000] {
        for place_ms in [None, Some(1_000), Some(1_000 + left_ms), Some(9_000)] {
            let call = refused(1_000, 1_000 + left_ms, 1_000 + left_ms);
            let window = call.return_window(place_ms.map(at));
            assert!(window.from < window.until, "{left_ms} {place_ms:?}");
        }
    }
}

#[test]
fn a_place_in_time_is_told_near_the_deadline() {
    let window = refused(1_000, 1_600, 1_700).return_window(Some(at(1_350)));
    let expected = ReturnWindow {
        from: at(1_370),
        until: at(1_410),
    };
    assert_eq!(window, expected);
}

/// Every 10 ms of an outage of 1.5 s a caller is refused, up to three times.
///
/// With a return after 20 to 60 ms all of them use up their retries in the outage.
#[test]
fn retries_outlast_an_outage() {
    const OUTAGE_MS: u64 = 1_500;
    let mut rng = fastrand::Rng::with_seed(2);
    let mut returns = Vec::new();
    for asked_ms in (0..OUTAGE_MS).step_by(10) {
        let mut now_ms = asked_ms;
        for _ in 0..2 {
            let call = refused(now_ms, asked_ms + 500, asked_ms + 8_000);
            let window = call.return_window(None);
            let micros = rng.u64(window.from.as_micros()..=window.until.as_micros());
            now_ms = micros / MILLI;
        }
        if now_ms >= OUTAGE_MS {
            returns.push(now_ms);
        }
    }
    assert!(returns.len() >= 50, "{}", returns.len());
    for from in (OUTAGE_MS..4 * OUTAGE_MS).step_by(500) {
        let wave = returns
            .iter()
            .filter(|&&ms| (from..from + 500).contains(&ms));
        // As many new callers come in that time.
        assert!(wave.count() <= 50, "{returns:?}");
    }
}
