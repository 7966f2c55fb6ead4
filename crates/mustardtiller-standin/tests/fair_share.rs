//! A noisy caller takes no more than its share of a busy upstream.

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
        // Far more than fits the slots and the queue, for long enough to ask meanwhile.
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
        let shared = answers
            .filter(|answer| answer.reason() == "share-exceeded")
            .count();
        assert_eq!(shared, 1, "the flood gave up one place");
    }
}

#[test]
fn refusals_of_a_flood_are_quick_and_true() {
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
    // Two hundred orders in turn on four slots would take a second at least.
    assert!(start.elapsed() < std::time::Duration::from_secs(10));
    assert!(fleet.record.peak_in_flight() <= 4);
}
