//! What a gate keeps of where its requests came from.

use mustardtiller::GateState;
use mustardtiller::core::Instant;

/// Kinds by their digests: one that callers make, one that runs of the catalogue make.
const PLACE: u32 = 3;
const STATUS: u32 = 7;

const START: Instant = Instant::from_micros(0);

/// Requests of each kind in one round.
const ROUND: usize = 60;

/// Rounds after which a single request has been forgotten.
const LONG: usize = 60;

/// Count requests as they come while some hosts are idle.
fn count_round(gate: &GateState) {
    for _ in 0..ROUND {
        gate.sources.count(STATUS, "catalogue", false);
        gate.sources.count(PLACE, "catalogue", false);
        gate.sources.count(PLACE, "orders", true);
    }
}

fn knows_status(gate: &GateState) -> bool {
    gate.sources.evaluate();
    gate.sources.nested().contains(STATUS)
}

#[test]
fn one_request_is_forgotten_in_time() {
    let gate = GateState::new(START, START);
    count_round(&gate);
    assert!(knows_status(&gate));
    gate.sources.count(STATUS, "orders", false);
    assert!(!knows_status(&gate));
    for _ in 0..LONG {
        count_round(&gate);
        gate.sources.evaluate();
    }
    assert!(knows_status(&gate));
}

#[test]
fn a_new_upstream_starts_without_counts() {
    let gate = GateState::new(START, START);
    count_round(&gate);
    assert!(knows_status(&gate));
    gate.forget_announcements(START);
    assert!(!knows_status(&gate));
}
