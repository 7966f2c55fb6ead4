//! Estimates of a peer's clock: when one is too wide, and when it is measured again.
//!
//! A handshake that is held back, or a pause of either end during it, gives a sample
//! whose error is as large as the deadlines in use. A request then arrives with a
//! deadline that has passed, until a better sample replaces it.

use mustardtiller_core::ClockOffset;
use mustardtiller_core::ClockSample;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::SilenceEffect;
use mustardtiller_core::SilenceRule;
use mustardtiller_core::SilenceWatch;

/// Rounds of the silence watch in a second.
const ROUNDS_PER_S: u32 = 4;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// A sample of a peer whose clock is the same as the local one.
fn sample(sent: u64, received: u64, peer: u64) -> ClockSample {
    ClockSample {
        sent: at(sent),
        received: at(received),
        peer: at(peer),
    }
}

#[test]
fn held_back_handshakes_are_repeated() {
    let mut offset = ClockOffset::default();
    assert!(offset.needs_exchange(at(0)));
    offset.observe(sample(0, 1_500, 0));
    assert!(offset.needs_exchange(at(1_500)));
    let there = offset.to_peer(Deadline::at(at(3_000)), at(1_500));
    assert_eq!(there, Some(Deadline::at(at(1_500))), "never too late");
    offset.observe(sample(1_500, 1_502, 1_501));
    assert!(!offset.needs_exchange(at(1_502)));
    let there = offset.to_peer(Deadline::at(at(3_000)), at(1_502));
    assert_eq!(there, Some(Deadline::at(at(2_999))));
}

#[test]
fn old_samples_are_renewed() {
    let mut offset = ClockOffset::default();
    offset.observe(sample(0, 2, 1));
    assert!(!offset.needs_exchange(at(30_000)));
    assert!(
        offset.needs_exchange(at(3_600_000)),
        "an hour of drift is more than the error allowed"
    );
}

/// Run the watch of a link with constant traffic, and return the rounds with a ping.
fn pings_with_traffic(rounds: u32, needs_exchange: impl Fn(u32) -> bool) -> Vec<u32> {
    let rule = SilenceRule::default();
    let mut watch = SilenceWatch::default();
    let pinged = |round: &u32| {
        let frames = u64::from(*round);
        let effect = watch.step(&rule, 3, frames, needs_exchange(*round));
        assert_ne!(effect, SilenceEffect::Close);
        effect == SilenceEffect::Ping
    };
    (1..=rounds).filter(pinged).collect()
}

#[test]
fn busy_links_exchange_clocks() {
    assert!(pings_with_traffic(1_000, |_| false).is_empty());
    let pings = pings_with_traffic(8, |_| true);
    assert_eq!(pings.first(), Some(&1), "asked at once");
}

#[test]
fn slow_links_ask_rarely() {
    // The round trip itself may be wider than the error allowed.
    let minute = 60 * ROUNDS_PER_S;
    let pings = pings_with_traffic(10 * minute, |_| true);
    let last_minute = pings.iter().filter(|round| **round > 9 * minute).count();
    assert!(last_minute <= 3, "{last_minute} pings in the last minute");
}

#[test]
fn later_widening_is_noticed_at_once() {
    let pings = pings_with_traffic(2_000, |round| !(400..1_900).contains(&round));
    assert!(pings.contains(&1_900), "{pings:?}");
}
