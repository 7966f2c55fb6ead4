//! A caller that floods a busy upstream gets no more than its share of it.
//!
//! Without shares, the requests of one caller could fill the gate's wait queue, so
//! that those of every other caller are refused.

mod util;

use mustardtiller_standin::HttpAnswer;
use mustardtiller_standin::HttpCall;
use util::Fleet;
use util::FleetPlan;
use util::HOST;
use util::wait_for;

fn plan() -> FleetPlan {
    FleetPlan {
        upstreams: 1,
        slots: 4,
        callers: "[caller noisy]\n[caller quiet]\n".to_owned(),
        ..FleetPlan::default()
    }
}

fn slow(caller: &str, delay_ms: u64) -> HttpCall {
    let path = format!("/order?delay_ms={delay_ms}");
    let call = HttpCall::new("POST", HOST, &path).body("order");
    call.header("mustardtiller-caller", caller)
}

#[test]
fn a_quiet_caller_is_served_beside_a_flood() {
    let fleet = Fleet::start(plan());
    let full = "refusals_total{class=\"not-run\",reason=\"queue-full\"}";
    for round in 0..4 {
        let before = fleet.metric(0, full);
        // More orders than fit the slots and the queue, slow enough that the quiet
        // caller calls while the queue is full.
        let flood: Vec<smol::Task<HttpAnswer>> = (0..60)
            .map(|_| fleet.spawn_call(0, slow("noisy", 300)))
            .collect();
        wait_for("the flood to fill the queue", || {
            fleet.metric(0, full) > before
        });
        let answer = fleet.call(0, &slow("quiet", 1));
        assert_eq!(
            answer.outcome(),
            "answered",
            "round {round}: {}",
            answer.reason()
        );
        let answers = flood.into_iter().map(smol::block_on);
        let share_refusals = answers
            .filter(|answer| answer.reason() == "share-exceeded")
            .count();
        assert_eq!(
            share_refusals, 1,
            "one queued order of the flood should make room"
        );
    }
}

#[test]
fn refused_orders_of_a_flood_return_soon_and_do_not_run() {
    let fleet = Fleet::start(plan());
    let start = std::time::Instant::now();
    let calls: Vec<_> = (0..200)
        .map(|number| {
            let call = slow("noisy", 20).header("x-key", format!("n{number}"));
            (number, fleet.spawn_call(0, call))
        })
        .collect();
    for (number, call) in calls {
        let answer = smol::block_on(call);
        let runs = fleet.record.runs(&format!("n{number}"));
        assert_eq!(
            runs,
            u32::from(answer.outcome() == "answered"),
            "{}",
            answer.reason()
        );
    }
    // Without refusals, 200 orders of 20 ms on four slots take at least a second.
    assert!(start.elapsed() < std::time::Duration::from_secs(10));
    assert!(fleet.record.peak_in_flight() <= 4);
}
