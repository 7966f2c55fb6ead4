//! Knee detection: how many of an upstream's slots are worth filling.

use mustardtiller_core::BandTimes;
use mustardtiller_core::Instant;
use mustardtiller_core::KneeDetector;
use mustardtiller_core::KneeWindow;

const SLOTS: u32 = 12;

fn window(low_milli: u64, high_milli: u64, count: u64) -> KneeWindow {
    let band = |milli: u64| BandTimes {
        sum_milli: milli * count,
        count,
    };
    KneeWindow {
        low: band(low_milli),
        high: band(high_milli),
    }
}

fn at(seconds: u64) -> Instant {
    Instant::from_micros(seconds * 1_000_000)
}

#[test]
fn upstream_without_a_knee_is_filled() {
    let mut knee = KneeDetector::new(SLOTS);
    for second in 0..30 {
        assert_eq!(knee.step(window(1_000, 1_100, 40), at(second)), SLOTS);
    }
}

#[test]
fn upstream_with_a_knee_is_limited() {
    let mut knee = KneeDetector::new(SLOTS);
    let limits: Vec<u32> = (0..6)
        .map(|second| knee.step(window(1_000, 1_650, 40), at(second)))
        .collect();
    assert_eq!(limits.last(), Some(&KneeDetector::low_band_slots(SLOTS)));
    assert_eq!(KneeDetector::low_band_slots(SLOTS), 9);
}

#[test]
fn too_few_answers_change_nothing() {
    let mut knee = KneeDetector::new(SLOTS);
    assert_eq!(knee.step(window(1_000, 4_000, 5), at(0)), SLOTS);
}

#[test]
fn steep_knee_is_detected_from_few_answers() {
    let mut knee = KneeDetector::new(SLOTS);
    assert_eq!(knee.step(window(1_000, 1_650, 30), at(0)), 9);
}

#[test]
fn gentle_knee_needs_reliable_means() {
    let mut knee = KneeDetector::new(SLOTS);
    assert_eq!(knee.step(window(1_000, 1_250, 40), at(0)), SLOTS);
    assert_eq!(knee.step(window(1_000, 1_250, 70), at(1)), 9);
}

#[test]
fn limit_is_lifted_after_a_slowdown() {
    let mut knee = KneeDetector::new(SLOTS);
    for second in 0..6 {
        knee.step(window(1_000, 2_000, 40), at(second));
    }
    assert_eq!(knee.step(window(0, 0, 0), at(6)), 9);
    for second in 100..110 {
        knee.step(window(1_000, 1_000, 40), at(second));
    }
    assert_eq!(knee.step(window(1_000, 1_000, 40), at(111)), SLOTS);
}
