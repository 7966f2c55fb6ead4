//! A caller gets the complete answer to its own request, or an error.
//!
//! A body that ends early could pass as complete. After a cut, a restart or a caller
//! that left, the remaining bytes of an answer could reach another caller.

mod util;

use mustardtiller_standin::HttpCall;
use mustardtiller_standin::content;
use util::Fleet;
use util::FleetPlan;
use util::HOST;
use util::order;
use util::wait_for;

#[test]
fn a_short_answer_that_is_cut_is_reported_as_cut() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    });
    for path in ["/order?cut=head", "/order?cut=body"] {
        let call = HttpCall::new("POST", HOST, path)
            .header("x-key", path)
            .body("order");
        let answer = fleet.call(0, &call);
        assert_eq!((answer.status, answer.reason()), (502, "answer-cut"));
        assert_eq!(fleet.record.runs(path), 1);
    }
}

#[test]
fn a_long_answer_that_is_cut_does_not_end_as_complete() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    });
    let complete = fleet.get(0, "/bytes/900000?seed=4");
    assert!(complete.body_complete && complete.body == content(4, 900_000));
    let cut = fleet.get(0, "/bytes/900000?seed=4&cut=body");
    assert!(!cut.body_complete, "a cut answer ended as if complete");
    assert!(cut.body.len() < 900_000);
    wait_for("the cut answer to be counted", || {
        fleet.metric(0, "answers_cut_total") >= 1.0
    });
}

#[test]
fn a_link_cut_during_long_answers_mixes_up_no_bytes() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 2,
        piped: true,
        ..FleetPlan::default()
    });
    fleet.wait_links(0);
    for (round, bytes) in [10, 5_000, 50_000, 200_000, 390_000]
        .into_iter()
        .enumerate()
    {
        for pipe in &fleet.pipes {
            pipe.cut_from_target_after(bytes);
        }
        let calls: Vec<_> = (0..6_u64)
            .map(|index| {
                let seed = round as u64 * 10 + index;
                let path = format!("/bytes/400000?seed={seed}");
                (seed, fleet.spawn_call(0, HttpCall::new("GET", HOST, &path)))
            })
            .collect();
        for (seed, call) in calls {
            let answer = smol::block_on(call);
            let expected = content(seed, 400_000);
            if answer.body_complete && answer.outcome() == "answered" {
                assert_eq!(answer.body, expected);
            } else if answer.outcome() == "answered" {
                assert!(
                    expected.starts_with(&answer.body),
                    "the answer has the bytes of another one"
                );
            }
        }
        for pipe in &fleet.pipes {
            pipe.cut_from_target_after(u64::MAX / 2);
        }
        wait_for("the links to recover", || {
            fleet.get(0, "/ready").status == 200
        });
    }
}

#[test]
fn answers_to_callers_that_left_reach_nobody_else() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        slots: 40,
        ..FleetPlan::default()
    });
    for number in 0..10 {
        let call = HttpCall::new("GET", HOST, "/bytes/50000?seed=1&delay_ms=120");
        let gone = fleet.call(0, &call.timeout_ms(20 + number * 10));
        assert_eq!(gone.status, 0);
    }
    for seed in 0..20 {
        let answer = fleet.get(0, &format!("/bytes/30000?seed={seed}"));
        assert!(answer.body_complete && answer.body == content(seed, 30_000));
    }
}

#[test]
fn a_restarted_daemon_sends_no_answer_of_the_old_one() {
    let mut fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    });
    let token = fleet.token(0);
    let call = order("old", Some(&token)).header("x-slow", "yes");
    assert_eq!(fleet.call(0, &call).status, 201);
    let pending: Vec<_> = (0..5)
        .map(|seed| {
            let path = format!("/bytes/20000?seed={seed}&delay_ms=400");
            fleet.spawn_call(0, HttpCall::new("GET", HOST, &path))
        })
        .collect();
    wait_for("the calls to run", || fleet.record.in_flight() == 5);
    fleet.kill(0);
    fleet.start_daemon(0);
    for call in pending {
        assert_eq!(smol::block_on(call).status, 0);
    }
    fleet.wait_ready(0);
    for seed in 0..10 {
        let answer = fleet.get(0, &format!("/bytes/20000?seed={seed}"));
        assert_eq!(answer.body, content(seed, 20_000));
    }
}
