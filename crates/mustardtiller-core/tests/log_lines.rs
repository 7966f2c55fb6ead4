//! Which lines are left out when there are too many.

use std::collections::HashSet;

use mustardtiller_core::Instant;
use mustardtiller_core::LogLineBudget;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[test]
fn the_rate_is_kept() {
    let budget = LogLineBudget::new(40, at(0));
    let told = (0..60_000)
        .filter(|millis| budget.try_take(millis * 7_919, at(*millis)))
        .count();
    assert!(told <= 40 * 63, "{told} lines in a minute");
    assert!(told >= 40 * 55, "{told} lines in a minute");
    assert_eq!(budget.take_suppressed(), 60_000 - told as u64);
    assert_eq!(budget.take_suppressed(), 0);
}

#[test]
fn daemons_tell_of_the_same_requests() {
    let told = |seed: u64| -> HashSet<u64> {
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
    let (one, other) = (told(1), told(2));
    let shared = one.intersection(&other).count();
    // Drawn apart, two sixths of the requests would share about one in seven.
    assert!(shared * 2 > one.len(), "{shared} of {}", one.len());
}

#[test]
fn few_lines_are_all_told() {
    let budget = LogLineBudget::new(40, at(0));
    assert!((0..600).all(|n| budget.try_take(n, at(n * 100))));
}
