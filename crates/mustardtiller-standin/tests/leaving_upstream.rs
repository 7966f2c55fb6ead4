//! An upstream that leaves gets no new work, and nothing in flight is cut.

mod util;

use std::time::Duration;
use std::time::Instant;

use mustardtiller_standin::HttpCall;
use util::Fleet;
use util::FleetPlan;
use util::HOST;
use util::wait_for;

/// "After a few seconds", as the brief has it.
const FEW_SECONDS: Duration = Duration::from_secs(3);

fn plan() -> FleetPlan {
    let settings = "[spread]\nhosts_ms = 200\n".to_owned();
    FleetPlan {
        settings,
        piped: true,
        ..FleetPlan::default()
    }
}

/// Load every entry until `quiet` holds, and return how long that took.
fn load_until(fleet: &Fleet, mut quiet: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    wait_for("the upstream to be left alone", || {
        for index in 0..fleet.plan.upstreams {
            let answer = fleet.get(index, "/item");
            assert_eq!(answer.status, 200, "a caller felt it: {}", answer.reason());
        }
        quiet()
    });
    start.elapsed()
}

/// Load the entries a while and check that nothing more is admitted.
fn assert_quiet(fleet: &Fleet, index: usize) {
    let before = fleet.metric(index, "gate_admitted_total");
    for round in 0..60 {
        assert_eq!(fleet.get(round % 3, "/item").status, 200);
    }
    let after = fleet.metric(index, "gate_admitted_total");
    assert!(
        (after - before).abs() < 0.1,
        "new work after the upstream left"
    );
}

#[test]
fn announced_by_the_upstream_alone() {
    let fleet = Fleet::start(plan());
    fleet.wait_links(0);
    let slow = fleet.spawn_call(1, HttpCall::new("GET", HOST, "/slow?delay_ms=800"));
    wait_for("the slow call to run", || fleet.record.in_flight() >= 1);
    fleet.upstreams[0].plan().set_draining(true);
    let took = load_until(&fleet, || fleet.log(0).contains("E400"));
    assert!(took < FEW_SECONDS, "{took:?}");
    assert_quiet(&fleet, 0);
    assert_eq!(smol::block_on(slow).status, 200, "work in flight was cut");
}

#[test]
fn announced_by_the_host_list_alone() {
    let fleet = Fleet::start(plan());
    fleet.wait_links(0);
    let slow = fleet.spawn_call(1, HttpCall::new("GET", HOST, "/slow?delay_ms=800"));
    wait_for("the slow call to run", || fleet.record.in_flight() >= 1);
    fleet.platform.set_hosts(&fleet.hosts(&[0]));
    let took = load_until(&fleet, || fleet.log(0).contains("E400"));
    assert!(took < FEW_SECONDS, "{took:?}");
    assert_quiet(&fleet, 0);
    assert_eq!(smol::block_on(slow).status, 200, "work in flight was cut");
}

#[test]
fn an_entry_that_was_paused_meanwhile() {
    let fleet = Fleet::start(plan());
    fleet.wait_links(2);
    fleet.pause(2);
    fleet.upstreams[0].plan().set_draining(true);
    wait_for("the gate to know", || {
        fleet.get(1, "/item");
        fleet.log(0).contains("E400")
    });
    fleet.resume(2);
    // The paused entry acts on its old view; the gate refuses, and it turns away.
    for _ in 0..30 {
        assert_eq!(fleet.get(2, "/item").status, 200);
    }
    assert_quiet(&fleet, 0);
}

#[test]
fn an_upstream_that_comes_back_is_used_again() {
    let fleet = Fleet::start(plan());
    fleet.upstreams[0].plan().set_draining(true);
    load_until(&fleet, || fleet.log(0).contains("E400"));
    fleet.upstreams[0].plan().set_draining(false);
    wait_for("the gate to know", || fleet.log(0).contains("E401"));
    let before = fleet.metric(0, "gate_admitted_total");
    load_until(&fleet, || fleet.metric(0, "gate_admitted_total") > before);
}

#[test]
fn killed_without_notice() {
    let mut fleet = Fleet::start(plan());
    fleet.wait_links(0);
    fleet.upstreams[0].kill();
    for round in 0..60 {
        let answer = fleet.get(round % 3, "/item");
        assert_eq!(answer.status, 200, "{}", answer.reason());
    }
}

#[test]
fn the_last_upstream_refuses_and_says_so() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..plan()
    });
    fleet.upstreams[0].plan().set_draining(true);
    wait_for("the gate to know", || fleet.log(0).contains("E400"));
    let answer = fleet.get(0, "/item");
    assert_eq!(answer.outcome(), "not-run");
    assert!(
        ["leaving", "no-upstream"].contains(&answer.reason()),
        "{}",
        answer.reason()
    );
}
