//! How a call is offered to gates when a service is full.

use mustardtiller_core::OfferRule;
use mustardtiller_core::Offers;
use mustardtiller_core::QueueMode;

const RULE: OfferRule = OfferRule {
    immediate: 4,
    queued: 2,
};

fn modes(rule: OfferRule) -> Vec<QueueMode> {
    let mut offers = Offers::new(rule);
    let mut modes = Vec::new();
    while let Some(mode) = offers.next() {
        offers.record_refusal(mode);
        modes.push(mode);
    }
    modes
}

/// Each offer costs a call of the burst a round trip, also one that is refused for sure.
#[test]
fn full_service_gets_only_queued_offers() {
    assert_eq!(modes(RULE.with_room(0)), [QueueMode::Queue; 2]);
    let mixed = [QueueMode::None, QueueMode::Queue, QueueMode::Queue];
    assert_eq!(modes(RULE.with_room(1)), mixed);
    assert_eq!(RULE.with_room(9), RULE);
}
