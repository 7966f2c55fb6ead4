//! Drawing of plans from seeds.

use std::collections::HashSet;
use std::mem::discriminant;

use mustardtiller_soak::FaultKind;
use mustardtiller_soak::Plan;
use mustardtiller_soak::Scale;

const SCALE: Scale = Scale {
    hosts: 6,
    millis: 12_000,
    calls_per_s: 200,
};

#[test]
fn a_seed_determines_the_plan() {
    assert_eq!(Plan::draw(9, SCALE), Plan::draw(9, SCALE));
    assert_ne!(Plan::draw(9, SCALE), Plan::draw(10, SCALE));
}

#[test]
fn no_fault_in_the_last_third() {
    for seed in 0..200 {
        let plan = Plan::draw(seed, SCALE);
        assert!(!plan.faults.is_empty());
        for fault in plan.faults {
            assert!(fault.at_ms + fault.lasts_ms <= 8_000, "{fault}");
            assert!(fault.host < 6);
        }
    }
}

#[test]
fn every_kind_is_drawn() {
    let plans = (0..200).map(|seed| Plan::draw(seed, SCALE));
    let kinds: HashSet<_> = plans
        .flat_map(|plan| plan.faults)
        .map(|fault| discriminant(&fault.kind))
        .collect();
    assert_eq!(kinds.len(), 33);
}

#[test]
fn some_seeds_have_planned_faults_only() {
    let plan = Plan::draw(8, SCALE);
    assert!(plan.planned_only);
    assert!(plan.faults.iter().all(|fault| fault.kind.is_planned()));
}

#[test]
fn odd_entries_and_small_pages_are_in_every_plan() {
    for seed in 0..50 {
        let plan = Plan::draw(seed, SCALE);
        let mut kinds = plan.faults.iter().map(|fault| fault.kind);
        assert!(kinds.any(|kind| matches!(kind, FaultKind::OddEntries(_))));
        assert!((1..=3).contains(&plan.page_items));
    }
}
