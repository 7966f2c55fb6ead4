//! What a gate makes of readings, doubts and registrations of a cold upstream.

use mustardtiller::GateState;
use mustardtiller::core::ColdStart;
use mustardtiller::core::Instant;
use mustardtiller::core::StartRate;
use mustardtiller::core::Temperature;

const RULE: ColdStart = ColdStart {
    length_ms: 3_000,
    rate: StartRate::from_milli(10_000),
};

const fn at(ms: u64) -> Instant {
    Instant::from_micros(ms * 1_000)
}

fn gate() -> GateState {
    let gate = GateState::new(at(0), at(0));
    gate.set_cold_rule(Some(RULE), at(1));
    gate
}

/// Take a reading that is answered at once.
fn read(gate: &GateState, cold_ms: Option<u64>, now: Instant) -> Option<bool> {
    let begun = gate.cold.begin_reading(now);
    gate.cold.finish_reading(begun, cold_ms, now)
}

#[test]
fn a_gate_knows_nothing_at_first() {
    let gate = gate();
    assert_eq!(gate.cold.temperature(at(10)), Temperature::Unknown);
    read(&gate, Some(0), at(10));
    assert_eq!(gate.cold.temperature(at(20)), Temperature::Warm);
    assert!(gate.start_schedule(at(20)).is_none());
}

#[test]
fn a_change_is_reported_once() {
    let gate = gate();
    assert_eq!(read(&gate, Some(500), at(10)), Some(true));
    assert_eq!(read(&gate, Some(400), at(110)), None);
    assert_eq!(gate.cold.temperature(at(400)), Temperature::Cold);
    assert_eq!(gate.cold.temperature(at(600)), Temperature::Unknown);
    assert_eq!(read(&gate, Some(0), at(610)), Some(false));
}

#[test]
fn a_doubt_voids_the_probe_that_is_under_way() {
    let gate = gate();
    let begun = gate.cold.begin_reading(at(10));
    gate.cold.raise_doubt();
    gate.cold.finish_reading(begun, Some(0), at(12));
    assert_eq!(gate.cold.temperature(at(13)), Temperature::Unknown);
}

#[test]
fn an_older_probe_does_not_hide_that_it_is_cold() {
    let gate = gate();
    let slow = gate.cold.begin_reading(at(10));
    read(&gate, Some(900), at(12));
    gate.cold.finish_reading(slow, Some(0), at(20));
    assert_eq!(gate.cold.temperature(at(21)), Temperature::Cold);
}

#[test]
fn starts_since_the_probe_was_sent_count() {
    let gate = gate();
    read(&gate, Some(0), at(1_000));
    let slow = gate.cold.begin_reading(at(1_001));
    let started = (0..20).filter(|_| gate.try_start(at(1_002))).count();
    assert_eq!(started, 8, "half a second's worth and three");
    gate.cold.finish_reading(slow, Some(0), at(1_003));
    assert_eq!(gate.cold.temperature(at(1_004)), Temperature::Unknown);
    read(&gate, Some(0), at(1_005));
    assert_eq!(gate.cold.temperature(at(1_006)), Temperature::Warm);
}

#[test]
fn no_answer_names_more_than_a_cold_start() {
    let gate = gate();
    read(&gate, Some(u64::MAX), at(10));
    assert_eq!(gate.cold.temperature(at(3_009)), Temperature::Cold);
    assert_eq!(gate.cold.temperature(at(3_011)), Temperature::Unknown);
}

#[test]
fn a_new_lifetime_is_cold_until_an_answer_says_otherwise() {
    let gate = gate();
    gate.cold.note_registration(17, false, at(5));
    read(&gate, Some(0), at(10));
    gate.cold.note_registration(17, false, at(20));
    assert_eq!(gate.cold.temperature(at(21)), Temperature::Warm);
    gate.cold.note_registration(18, false, at(22));
    assert_eq!(gate.cold.temperature(at(23)), Temperature::Unknown);
    // An answer that doesn't say is believed once a cold start is over.
    read(&gate, None, at(30));
    assert_eq!(gate.cold.temperature(at(31)), Temperature::Cold);
    read(&gate, None, at(3_100));
    assert_eq!(gate.cold.temperature(at(3_101)), Temperature::Warm);
}

#[test]
fn a_registration_that_turns_cold_raises_a_doubt() {
    let gate = gate();
    gate.cold.note_registration(17, false, at(5));
    read(&gate, Some(0), at(10));
    gate.cold.note_registration(17, true, at(20));
    assert_eq!(gate.cold.temperature(at(21)), Temperature::Unknown);
    read(&gate, Some(0), at(30));
    gate.cold.note_registration(17, true, at(40));
    assert_eq!(gate.cold.temperature(at(41)), Temperature::Warm);
}

#[test]
fn the_lower_of_the_named_and_the_cold_rate_holds() {
    let gate = gate();
    read(&gate, Some(900), at(10));
    gate.set_start_rate(Some(StartRate::from_milli(40_000)), at(11));
    let rate = |now| {
        gate.start_schedule(now)
            .map(|starts| starts.rate.as_milli())
    };
    assert_eq!(rate(at(12)), Some(10_000));
    gate.set_start_rate(Some(StartRate::from_milli(2_000)), at(13));
    assert_eq!(rate(at(14)), Some(2_000));
    assert_eq!(gate.load_report(at(14), false).start_milli, 2_000);
    gate.set_start_rate(None, at(15));
    assert_eq!(gate.load_report(at(16), false).start_milli, 10_000);
}

#[test]
fn entries_are_not_told_of_an_upstream_that_is_only_idle() {
    let gate = gate();
    read(&gate, Some(0), at(10));
    assert_eq!(gate.cold.temperature(at(5_000)), Temperature::Unknown);
    assert_eq!(gate.load_report(at(5_000), false).start_milli, 0);
}

#[test]
fn without_a_rule_nothing_is_limited() {
    let gate = GateState::new(at(0), at(0));
    read(&gate, Some(9_000), at(10));
    assert_eq!(gate.cold.temperature(at(11)), Temperature::Warm);
    assert!((0..1_000).all(|_| gate.try_start(at(11))));
}
