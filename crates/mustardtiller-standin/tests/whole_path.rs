//! Requests end to end, through separate daemon processes.
//!
//! Calls share the links between daemons: their answers could be mixed up, or a gate
//! could pass more requests to its upstream than it has slots.

mod util;

use std::sync::Arc;

use mustardtiller_standin::HttpCall;
use mustardtiller_standin::content;
use util::Fleet;
use util::FleetPlan;
use util::HOST;
use util::order;

#[test]
fn browse_order_and_upload_work_through_any_entry() {
    let fleet = Fleet::start(FleetPlan::default());
    for index in 0..3 {
        let browse = fleet.get(index, "/item/7");
        assert_eq!((browse.status, browse.outcome()), (200, "answered"));
        assert_eq!(&browse.body[..], b"echo /item/7\n");

        let key = format!("order-{index}");
        let ordered = fleet.call(index, &order(&key, Some(&fleet.token(index))));
        assert_eq!((ordered.status, fleet.record.runs(&key)), (201, 1));

        let bytes = content(index as u64, 300_000);
        let upload = HttpCall::new("POST", HOST, "/upload").header("x-key", format!("u{index}"));
        let stored = fleet.call(index, &upload.body(bytes.clone()));
        assert_eq!(stored.status, 201);
        assert_eq!(fleet.record.upload(&format!("u{index}")), Some(bytes));
    }
}

#[test]
fn answers_on_shared_links_are_not_mixed_up() {
    let fleet = Fleet::start(FleetPlan {
        slots: 64,
        ..FleetPlan::default()
    });
    let sizes = [0, 1, 100, 16_384, 16_385, 70_000, 400_000];
    let calls: Vec<_> = (0..210_u64)
        .map(|seed| {
            let size = sizes[seed as usize % sizes.len()];
            let path = format!("/bytes/{size}?seed={seed}&delay_ms={}", (210 - seed) / 4);
            (
                seed,
                size,
                fleet.spawn_call(seed as usize % 3, HttpCall::new("GET", HOST, &path)),
            )
        })
        .collect();
    for (seed, size, call) in calls {
        let answer = smol::block_on(call);
        if answer.outcome() == "not-run" {
            continue;
        }
        assert!(answer.body_complete, "answer {seed} was cut");
        assert_eq!(
            answer.body,
            content(seed, size),
            "answer {seed} has the bytes of another one"
        );
    }
}

#[test]
fn answers_to_head_keep_the_content_length() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    });
    let answer = fleet.call(0, &HttpCall::new("HEAD", HOST, "/item/7"));
    assert_eq!((answer.status, answer.body.len()), (200, 0));
    assert_eq!(answer.header("content-length"), Some("13"));
}

#[test]
fn the_upstreams_get_no_more_requests_than_slots() {
    let fleet = Fleet::start(FleetPlan {
        slots: 2,
        ..FleetPlan::default()
    });
    fleet.wait_links(0);
    let record = Arc::clone(&fleet.record);
    let slow: Vec<_> = (0..6)
        .map(|_| fleet.spawn_call(0, HttpCall::new("GET", HOST, "/slow?delay_ms=300")))
        .collect();
    for call in slow {
        assert_eq!(smol::block_on(call).status, 200);
    }
    assert!(
        record.peak_in_flight() <= 6,
        "a gate admitted more requests than it has slots"
    );
}
