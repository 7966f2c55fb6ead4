//! Load measurements of an upstream stay within their budget, counted at the upstream.
//!
//! A daemon that restarts in a loop, a second daemon beside the same upstream, a
//! changed budget or a late measurement could otherwise exceed it.

mod util;

use std::time::Duration;
use std::time::Instant;

use util::Fleet;
use util::FleetPlan;
use util::wait_for;

/// Tolerance for the clocks of daemon and upstream and the delay between them.
const SLACK: Duration = Duration::from_millis(2);

/// Check that no time window holds more measurements than its length allows, plus one.
fn assert_within(measurements: &[Instant], milli_per_second: u64) {
    for (first, from) in measurements.iter().enumerate() {
        for (last, to) in measurements.iter().enumerate().skip(first) {
            let window = to.duration_since(*from) + SLACK;
            let allowed = window.as_micros() as u64 * milli_per_second / 1_000_000_000 + 1;
            let used = (last - first + 1) as u64;
            assert!(
                used <= allowed,
                "{used} measurements in {window:?}, allowed {allowed}"
            );
        }
    }
}

fn measurements(fleet: &Fleet, index: usize) -> Vec<Instant> {
    fleet.record.measurements(fleet.upstreams[index].address())
}

fn plan(milli_per_second: u64) -> FleetPlan {
    FleetPlan {
        upstreams: 1,
        measure_milli: milli_per_second,
        ..FleetPlan::default()
    }
}

#[test]
fn the_budget_holds_across_repeated_restarts() {
    let mut fleet = Fleet::start(plan(10_000));
    for round in 0..12 {
        std::thread::sleep(Duration::from_millis(40 + round * 20));
        fleet.kill(0);
        fleet.start_daemon(0);
    }
    fleet.wait_ready(0);
    let seen = measurements(&fleet, 0).len();
    wait_for("more measurements", || {
        measurements(&fleet, 0).len() >= seen + 5
    });
    assert_within(&measurements(&fleet, 0), 10_000);
}

#[test]
fn the_budget_holds_under_load_from_many_entries() {
    let fleet = Fleet::start(FleetPlan {
        measure_milli: 10_000,
        ..FleetPlan::default()
    });
    let mut round = 0;
    wait_for("measurements under load", || {
        round += 1;
        fleet.get(round % 3, "/item");
        (0..3).all(|index| measurements(&fleet, index).len() >= 12)
    });
    for index in 0..3 {
        assert_within(&measurements(&fleet, index), 10_000);
    }
}

#[test]
fn a_changed_budget_holds() {
    let mut fleet = Fleet::start(plan(20_000));
    wait_for("measurements", || measurements(&fleet, 0).len() >= 5);
    fleet.plan.measure_milli = 2_000;
    fleet.platform.publish(&fleet.artefact(2, 1));
    wait_for("the new revision", || {
        (fleet.metric(0, "revision") - 2.0).abs() < 0.1
    });
    let changed = measurements(&fleet, 0).len();
    wait_for("measurements", || {
        measurements(&fleet, 0).len() >= changed + 3
    });
    let all = measurements(&fleet, 0);
    assert_within(&all[changed..], 2_000);
    assert_within(&all, 20_000);
}

#[test]
fn the_budget_holds_when_a_paused_daemon_resumes_after_a_second_start() {
    let mut fleet = Fleet::start(plan(10_000));
    wait_for("measurements", || measurements(&fleet, 0).len() >= 3);
    fleet.pause(0);
    // The paused daemon holds the link address, so a second one can't start.
    let paused = fleet.daemons[0].take();
    fleet.start_daemon(0);
    let mut second = fleet.daemons[0]
        .take()
        .expect("the second daemon was started");
    let mut status = None;
    wait_for("the second daemon to exit", || {
        status = second.try_wait().expect("the child can be waited for");
        status.is_some()
    });
    assert_eq!(status.and_then(|status| status.code()), Some(3));
    fleet.daemons[0] = paused;
    fleet.resume(0);
    let seen = measurements(&fleet, 0).len();
    wait_for("more measurements", || {
        measurements(&fleet, 0).len() >= seen + 3
    });
    assert_within(&measurements(&fleet, 0), 10_000);
}

#[test]
fn a_zero_budget_allows_no_measurement() {
    let fleet = Fleet::start(plan(0));
    for _ in 0..50 {
        fleet.get(0, "/item");
    }
    assert!(measurements(&fleet, 0).is_empty());
}

#[test]
fn a_frozen_upstream_gets_no_burst_afterwards() {
    let fleet = Fleet::start(plan(20_000));
    wait_for("measurements", || measurements(&fleet, 0).len() >= 3);
    fleet.upstreams[0].plan().set_frozen(true);
    std::thread::sleep(Duration::from_millis(1_500));
    fleet.upstreams[0].plan().set_frozen(false);
    let seen = measurements(&fleet, 0).len();
    wait_for("more measurements", || {
        measurements(&fleet, 0).len() >= seen + 5
    });
    assert_within(&measurements(&fleet, 0), 20_000);
}
