//! Links on which nothing comes within the usual time of an answer.

use mustardtiller_core::Instant;
use mustardtiller_core::LinkPace;
use mustardtiller_core::Suspicion;
use mustardtiller_core::SuspicionEffect;
use mustardtiller_core::SuspicionRule;

/// Usual time of an answer, in microseconds.
const USUAL_MICROS: u64 = 40_000;

/// A peer in the same data centre.
const PACE: LinkPace = LinkPace {
    usual_micros: USUAL_MICROS,
    round_trip_micros: 500,
    is_probed: false,
};

/// Longest time from the first missing frame to the suspicion, in milliseconds.
const SUSPECT_LIMIT_MS: u64 = 100;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// Look at a link whenever it is due; return the times of pings and of the suspicion.
fn watch(frames_at: impl Fn(u64) -> u64, until: u64) -> (Vec<u64>, Option<u64>) {
    let rule = SuspicionRule::default();
    let mut suspicion = Suspicion::begin(frames_at(0), at(0));
    let (mut now, mut pings) = (0, Vec::new());
    while now < until {
        let effect = suspicion.step(&rule, PACE, frames_at(now), at(now));
        let next = match effect {
            SuspicionEffect::Wait(next) => next,
            SuspicionEffect::Ping(next) => {
                pings.push(now);
                next
            }
            SuspicionEffect::Suspect => return (pings, Some(now)),
        };
        now = next.instant().as_micros().div_ceil(1_000).max(now + 1);
    }
    (pings, None)
}

#[test]
fn a_silent_link_is_suspected_soon() {
    let (pings, suspected) = watch(|_| 7, 1_000);
    assert_eq!(pings.len(), 1);
    let suspected = suspected.expect("nothing came");
    assert!(suspected <= SUSPECT_LIMIT_MS, "{suspected} ms");
}

#[test]
fn a_busy_link_is_never_pinged() {
    let (pings, suspected) = watch(|now| now / 20, 10_000);
    assert_eq!((pings.len(), suspected), (0, None));
}

/// Wait a second for an answer while each ping is replied to `pong_after` ms later.
///
/// Returns the number of pings; nothing else comes on the link.
fn wait_for_answer(pace: LinkPace, pong_after: u64) -> usize {
    let mut pongs: Vec<u64> = Vec::new();
    let rule = SuspicionRule::default();
    let mut suspicion = Suspicion::begin(0, at(0));
    let mut now = 0;
    while now < 1_000 {
        let frames = pongs.iter().filter(|pong| **pong <= now).count() as u64;
        let next = match suspicion.step(&rule, pace, frames, at(now)) {
            SuspicionEffect::Wait(next) => next,
            SuspicionEffect::Ping(next) => {
                pongs.push(now + pong_after);
                next
            }
            SuspicionEffect::Suspect => panic!("suspected at {now} ms"),
        };
        now = next.instant().as_micros().div_ceil(1_000).max(now + 1);
    }
    pongs.len()
}

#[test]
fn a_slow_answer_costs_pings_only() {
    let pings = wait_for_answer(PACE, 5);
    assert!(pings <= 15, "{pings} pings in a second");
}

#[test]
fn a_long_path_is_not_suspected() {
    for (round_trip_micros, pong_after) in [(40_000, 40), (60_000, 60)] {
        let pace = LinkPace {
            round_trip_micros,
            ..PACE
        };
        let pings = wait_for_answer(pace, pong_after);
        assert!(pings > 0, "the link was never pinged");
    }
}

#[test]
fn a_probed_link_is_pinged_at_once() {
    let rule = SuspicionRule::default();
    let pace = LinkPace {
        is_probed: true,
        ..PACE
    };
    let mut suspicion = Suspicion::begin(3, at(0));
    let first = suspicion.step(&rule, pace, 3, at(0));
    assert!(matches!(first, SuspicionEffect::Ping(_)), "{first:?}");
}

#[test]
fn a_pause_of_the_process_blames_no_peer() {
    let rule = SuspicionRule::default();
    let mut suspicion = Suspicion::begin(3, at(0));
    // The process sleeps for 4 s; the frames that came meanwhile are read after the first look.
    let first = suspicion.step(&rule, PACE, 3, at(4_000));
    assert!(matches!(first, SuspicionEffect::Ping(_)), "{first:?}");
    let second = suspicion.step(&rule, PACE, 9, at(4_010));
    assert!(matches!(second, SuspicionEffect::Wait(_)), "{second:?}");
}
