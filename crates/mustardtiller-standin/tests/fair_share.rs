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

fn slow(caller: &str) -> HttpCall {
    let call = HttpCall::new("POST", HOST, "/order?delay_ms=20").body("order");
    call.header("mustardtiller-caller", caller)
}

#[test]
fn a_quiet_caller_is_served_beside_a_flood() {
    let fleet = Fleet::start(plan());
    let mut flood: Vec<smol::Task<HttpAnswer>> = Vec::new();
    let mut refused = 0;
    let mut reasons = Vec::new();
    for round in 0..20 {
        // Ten times what fits the slots and the queue.
        for _ in 0..40 {
            flood.push(fleet.begin(0, slow("noisy")));
        }
        wait_for("the flood to fill the gate", || {
            fleet.metric(0, "gate_in_flight") >= 4.0
        });
        let answer = fleet.call(0, &slow("quiet"));
        assert_eq!(
            answer.outcome(),
            "answered",
            "round {round}: {}",
            answer.reason()
        );
        for call in flood.drain(..) {
            let answer = smol::block_on(call);
            if answer.outcome() == "not-run" {
                refused += 1;
                reasons.push(answer.reason().to_owned());
            }
        }
    }
    assert!(refused > 0, "the flood fitted");
    assert!(
        reasons
            .iter()
            .all(|reason| reason == "queue-full" || reason == "share-exceeded")
    );
}

#[test]
fn refusals_of_a_flood_are_quick_and_true() {
    let fleet = Fleet::start(plan());
    let start = std::time::Instant::now();
    let calls: Vec<_> = (0..200)
        .map(|number| {
            let call = slow("noisy").header("x-key", format!("n{number}"));
            (number, fleet.begin(0, call))
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
    assert!(fleet.record.peak() <= 4);
}
