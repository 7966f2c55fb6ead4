//! Dropping of log lines when there are too many.

use std::collections::HashSet;

use mustardtiller_core::Instant;
use mustardtiller_core::LogLineBudget;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[test]
fn rate_is_kept() {
    let budget = LogLineBudget::new(40, at(0));
    let logged = (0..60_000)
        .filter(|millis| budget.try_take(millis * 7_919, at(*millis)))
        .count();
    assert!(logged <= 40 * 63, "{logged} lines in a minute");
    assert!(logged >= 40 * 55, "{logged} lines in a minute");
    assert_eq!(budget.take_dropped(), 60_000 - logged as u64);
    assert_eq!(budget.take_dropped(), 0);
}

#[test]
fn daemons_log_the_same_requests() {
    let logged = |seed: u64| -> HashSet<u64> {
        let budget = LogLineBudget::new(40, at(0));
        let mut rng = fastrand::Rng::with_seed(seed);
        (0..40_000_u64)
            .filter(|millis| {
                let digest = millis / 4;
                rng.u8(0..4) > 0 && budget.try_take(digest, at(*millis))
            })
            .map(|millis| millis / 4)
            .collect()
    };
    let (one, other) = (logged(1), logged(2));
    let shared = one.intersection(&other).count();
    // Two independent samples of a sixth of the requests would share a sixth of theirs.
    assert!(shared * 2 > one.len(), "{shared} of {}", one.len());
}

#[test]
fn nothing_is_dropped_below_the_rate() {
    let budget = LogLineBudget::new(40, at(0));
    assert!((0..600).all(|n| budget.try_take(n, at(n * 100))));
}
