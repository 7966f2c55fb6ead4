//! A leaving upstream gets no new requests, and none in flight is cut.
//!
//! The upstream or the host list announces that it leaves, or it dies without notice.
//! An entry that doesn't know it yet still sends requests there and has to retry them.

mod util;

use std::time::Duration;
use std::time::Instant;

use mustardtiller_standin::HttpCall;
use util::Fleet;
use util::FleetPlan;
use util::HOST;
use util::wait_for;

/// Time within which a leaving upstream must get no more requests.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

fn plan() -> FleetPlan {
    let settings = "[spread]\nhosts_ms = 200\n".to_owned();
    FleetPlan {
        settings,
        piped: true,
        ..FleetPlan::default()
    }
}

/// Send browses to every entry until a condition holds; return the time taken.
fn load_until(fleet: &Fleet, mut condition: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    wait_for("the condition to hold under load", || {
        for index in 0..fleet.plan.upstreams {
            let answer = fleet.get(index, "/item");
            assert_eq!(answer.status, 200, "a browse failed: {}", answer.reason());
        }
        condition()
    });
    start.elapsed()
}

/// Check that browses through every entry are answered and none by gate `index`.
fn assert_none_admitted(fleet: &Fleet, index: usize) {
    let before = fleet.metric(index, "gate_admitted_total");
    for round in 0..60 {
        assert_eq!(fleet.get(round % 3, "/item").status, 200);
    }
    let after = fleet.metric(index, "gate_admitted_total");
    assert!(
        (after - before).abs() < 0.1,
        "the gate admitted requests after its upstream left"
    );
}

#[test]
fn a_draining_upstream_gets_no_new_requests() {
    let fleet = Fleet::start(plan());
    fleet.wait_links(0);
    let slow = fleet.spawn_call(1, HttpCall::new("GET", HOST, "/slow?delay_ms=800"));
    wait_for("the slow call to run", || fleet.record.in_flight() >= 1);
    fleet.upstreams[0].plan().set_draining(true);
    let took = load_until(&fleet, || fleet.log(0).contains("E400"));
    assert!(took < LEAVE_LIMIT, "{took:?}");
    assert_none_admitted(&fleet, 0);
    assert_eq!(
        smol::block_on(slow).status,
        200,
        "a request in flight was cut"
    );
}

#[test]
fn an_upstream_leaving_by_the_host_list_gets_no_new_requests() {
    let fleet = Fleet::start(plan());
    fleet.wait_links(0);
    let slow = fleet.spawn_call(1, HttpCall::new("GET", HOST, "/slow?delay_ms=800"));
    wait_for("the slow call to run", || fleet.record.in_flight() >= 1);
    fleet.platform.set_hosts(&fleet.hosts(&[0]));
    let took = load_until(&fleet, || fleet.log(0).contains("E400"));
    assert!(took < LEAVE_LIMIT, "{took:?}");
    assert_none_admitted(&fleet, 0);
    assert_eq!(
        smol::block_on(slow).status,
        200,
        "a request in flight was cut"
    );
}

#[test]
fn an_entry_paused_while_an_upstream_leaves_fails_no_browse() {
    let fleet = Fleet::start(plan());
    fleet.wait_links(2);
    fleet.pause(2);
    fleet.upstreams[0].plan().set_draining(true);
    wait_for("the gate to log the change of state", || {
        fleet.get(1, "/item");
        fleet.log(0).contains("E400")
    });
    fleet.resume(2);
    // The entry still has its old view of the upstream. The gate refuses its
    // requests, and the entry retries them elsewhere.
    for _ in 0..30 {
        assert_eq!(fleet.get(2, "/item").status, 200);
    }
    assert_none_admitted(&fleet, 0);
}

#[test]
fn an_upstream_that_comes_back_is_used_again() {
    let fleet = Fleet::start(plan());
    fleet.upstreams[0].plan().set_draining(true);
    load_until(&fleet, || fleet.log(0).contains("E400"));
    fleet.upstreams[0].plan().set_draining(false);
    wait_for("the gate to log the change of state", || {
        fleet.log(0).contains("E401")
    });
    let before = fleet.metric(0, "gate_admitted_total");
    load_until(&fleet, || fleet.metric(0, "gate_admitted_total") > before);
}

#[test]
fn an_upstream_killed_without_notice_fails_no_browse() {
    let mut fleet = Fleet::start(plan());
    fleet.wait_links(0);
    fleet.upstreams[0].kill();
    for round in 0..60 {
        let answer = fleet.get(round % 3, "/item");
        assert_eq!(answer.status, 200, "{}", answer.reason());
    }
}

#[test]
fn requests_to_the_last_leaving_upstream_are_refused_as_not_run() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..plan()
    });
    fleet.upstreams[0].plan().set_draining(true);
    wait_for("the gate to log the change of state", || {
        fleet.log(0).contains("E400")
    });
    let answer = fleet.get(0, "/item");
    assert_eq!(answer.outcome(), "not-run");
    assert!(
        ["leaving", "no-upstream"].contains(&answer.reason()),
        "{}",
        answer.reason()
    );
}
