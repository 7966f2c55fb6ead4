//! Links that go silent or are cut, daemons that pause, and upstreams that slow down or fail.
//!
//! A link whose packets are lost stays open, and calls on it would wait until their
//! deadline. An upstream that fails at once looks idle and could attract more calls.

mod util;

use std::time::Duration;
use std::time::Instant;

use util::Fleet;
use util::order;
use util::wait_for;

#[test]
fn silent_links_are_detected_and_replaced() {
    let fleet = Fleet::start_piped();
    for pipe in &fleet.pipes {
        pipe.silence_open();
    }
    let start = Instant::now();
    // Browses on a silent link fail once the silence is detected, and are retried
    // on a new link.
    wait_for("answers on new links", || {
        fleet.get(0, "/item").status == 200
    });
    assert!(
        start.elapsed() < Duration::from_secs(5),
        "{:?}",
        start.elapsed()
    );
    assert!(fleet.metric(0, "links_silent_total") >= 1.0);
    for _ in 0..30 {
        assert_eq!(fleet.get(0, "/item").status, 200);
    }
}

#[test]
fn one_silent_link_fails_no_browse() {
    let fleet = Fleet::start_piped();
    fleet.pipes[1].silence_open();
    for _ in 0..60 {
        let answer = fleet.get(0, "/item");
        assert_eq!(answer.status, 200, "{}", answer.reason());
    }
}

#[test]
fn links_silent_for_long_leave_no_order_unknown() {
    let fleet = Fleet::start_piped();
    for pipe in &fleet.pipes {
        pipe.silence_open();
    }
    std::thread::sleep(Duration::from_millis(2_500));
    for number in 0..10 {
        let answer = fleet.call(0, &order(&format!("o{number}"), None));
        let outcome = (answer.outcome(), answer.reason());
        assert_ne!(outcome.0, "unknown", "order {number}: {outcome:?}");
    }
}

#[test]
fn a_paused_daemon_keeps_its_links() {
    let fleet = Fleet::start_piped();
    fleet.pause(0);
    std::thread::sleep(Duration::from_millis(1_500));
    fleet.resume(0);
    for _ in 0..20 {
        assert_eq!(fleet.get(0, "/item").status, 200);
    }
    assert!(
        fleet.metric(0, "links_silent_total") < 0.5,
        "the daemon took its own pause for silent links"
    );
}

#[test]
fn an_unreachable_daemon_fails_no_browse() {
    let fleet = Fleet::start_piped();
    fleet.pipes[2].set_refusing(true);
    fleet.pipes[2].cut();
    for _ in 0..40 {
        let answer = fleet.get(0, "/item");
        assert_eq!(answer.status, 200, "{}", answer.reason());
    }
    fleet.pipes[2].set_refusing(false);
    let made = fleet.metric(0, "links_made_total");
    wait_for("the link to recover", || {
        fleet.metric(0, "links_made_total") > made
    });
}

#[test]
fn an_upstream_that_fails_fast_gets_less_traffic() {
    let fleet = Fleet::start_piped();
    for _ in 0..30 {
        fleet.get(0, "/item");
    }
    fleet.upstreams[0].plan().set_failing(true);
    let failed = (0..300)
        .filter(|_| fleet.get(0, "/item").status == 503)
        .count();
    // An even share among three upstreams would be 100.
    assert!(
        failed < 100,
        "{failed} of 300 requests went to the failing upstream"
    );
    fleet.upstreams[0].plan().set_failing(false);
    let before = fleet.metric(0, "gate_admitted_total");
    wait_for("the upstream to be used again", || {
        fleet.get(0, "/item");
        fleet.metric(0, "gate_admitted_total") > before + 3.0
    });
}

#[test]
fn an_upstream_that_slows_down_gets_less_traffic() {
    let fleet = Fleet::start_piped();
    for _ in 0..30 {
        fleet.get(0, "/item");
    }
    fleet.upstreams[0].plan().set_service_micros(100_000);
    let slow = (0..200)
        .filter(|_| {
            let start = Instant::now();
            assert_eq!(fleet.get(0, "/item").status, 200);
            start.elapsed() > Duration::from_millis(90)
        })
        .count();
    assert!(
        slow < 66,
        "{slow} of 200 requests went to the slow upstream"
    );
}

#[test]
fn orders_on_links_that_go_silent_are_run() {
    let fleet = Fleet::start_piped();
    for number in 0..10 {
        // The links made since the last time go silent too.
        for pipe in &fleet.pipes {
            pipe.silence_open();
        }
        let answer = fleet.call(0, &order(&format!("s{number}"), None));
        let outcome = (answer.outcome(), answer.reason());
        assert_eq!(outcome.0, "answered", "order {number}: {outcome:?}");
    }
}

#[test]
fn a_lost_packet_gives_up_no_order() {
    /// Time after which a lost packet is sent again.
    const RETRANSMISSION: Duration = Duration::from_millis(250);
    let fleet = Fleet::start_piped();
    for upstream in &fleet.upstreams {
        upstream.plan().set_service_micros(150_000);
    }
    for number in 0..5 {
        let order = order(&format!("p{number}"), None);
        let answer = std::thread::scope(|scope| {
            let call = scope.spawn(|| fleet.call(0, &order));
            wait_for("the order to be at a gate", || {
                (0..3).any(|index| fleet.metric(index, "gate_in_flight") >= 1.0)
            });
            for pipe in &fleet.pipes {
                pipe.stall_open();
            }
            std::thread::sleep(RETRANSMISSION);
            for pipe in &fleet.pipes {
                pipe.release_stalled();
            }
            call.join().expect("the call ends")
        });
        let outcome = (answer.outcome(), answer.reason());
        assert_eq!(outcome.0, "answered", "order {number}: {outcome:?}");
    }
}
