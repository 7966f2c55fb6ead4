//! An order with a token runs at most once, despite failures and repeats.
//!
//! An order could run twice when its answer is lost with a link, an entry or a
//! gate, and the caller repeats it through any entry. It could run late when a
//! paused entry or a frozen link holds it beyond its deadline.

mod util;

use mustardtiller_standin::HttpAnswer;
use mustardtiller_standin::HttpCall;
use util::Fleet;
use util::FleetPlan;
use util::HOST;
use util::order;
use util::wait_for;

fn slow_order(key: &str, token: &str, delay_ms: u64) -> HttpCall {
    let path = format!("/order?delay_ms={delay_ms}");
    HttpCall::new("POST", HOST, &path)
        .header("x-key", key)
        .header("mustardtiller-token", token)
        .body("order")
}

fn cut_all(fleet: &Fleet) {
    for pipe in &fleet.pipes {
        pipe.cut();
    }
}

/// Repeat an order through every entry until one gives a final answer.
///
/// An answer with a transient reason, such as a lost link, is not final.
fn repeat_until_final(fleet: &Fleet, call: &HttpCall) -> HttpAnswer {
    let mut final_answer = None;
    wait_for("a final answer to the order", || {
        for index in 0..fleet.plan.upstreams {
            if fleet.daemons[index].is_none() {
                continue;
            }
            let answer = fleet.call(index, call);
            let transient_reasons = [
                "in-progress",
                "gate-unreachable",
                "link-lost",
                "link-silent",
                "",
            ];
            let is_final = answer.outcome() == "answered"
                || (answer.status != 0 && !transient_reasons.contains(&answer.reason()));
            if is_final {
                final_answer = Some(answer);
                return true;
            }
        }
        false
    });
    final_answer.expect("a final answer was received")
}

#[test]
fn a_repeat_gets_the_first_answer() {
    let fleet = Fleet::start_piped();
    let token = fleet.token(0);
    let first = fleet.call(0, &order("a", Some(&token)));
    assert_eq!(first.status, 201);
    for index in [0, 1, 2, 1] {
        let again = fleet.call(index, &order("a", Some(&token)));
        assert_eq!((again.status, &again.body), (201, &first.body));
    }
    assert_eq!(fleet.record.runs("a"), 1);
}

#[test]
fn concurrent_repeats_through_all_entries_run_once() {
    let fleet = Fleet::start_piped();
    for round in 0..10 {
        let token = fleet.token(round % 3);
        let key = format!("c{round}");
        let calls: Vec<_> = (0..9)
            .map(|index| fleet.spawn_call(index % 3, slow_order(&key, &token, 20)))
            .collect();
        let answers: Vec<_> = calls.into_iter().map(smol::block_on).collect();
        let answered = answers.iter().filter(|answer| answer.status == 201).count();
        assert!(answered >= 1, "no repeat got an answer");
        assert!(answers.iter().all(|answer| answer.outcome() != "not-run"));
        assert_eq!(fleet.record.runs(&key), 1);
    }
}

#[test]
fn a_link_cut_while_an_order_runs_gives_unknown_and_a_repeat_its_answer() {
    let fleet = Fleet::start_piped();
    let token = fleet.token(0);
    let call = slow_order("cut", &token, 300);
    let pending = fleet.spawn_call(0, call.clone());
    wait_for("the order to run", || fleet.record.runs("cut") == 1);
    cut_all(&fleet);
    let cut = smol::block_on(pending);
    assert_eq!((cut.outcome(), cut.reason()), ("unknown", "link-lost"));
    let settled = repeat_until_final(&fleet, &call);
    assert_eq!((settled.status, settled.outcome()), (201, "answered"));
    assert_eq!(fleet.record.runs("cut"), 1);
}

#[test]
fn an_order_cut_within_its_request_runs_once() {
    let fleet = Fleet::start_piped();
    for (round, bytes) in [0, 1, 40, 120, 200].into_iter().enumerate() {
        let key = format!("before{round}");
        let token = fleet.token(round % 3);
        for pipe in &fleet.pipes {
            pipe.cut_to_target_after(bytes);
        }
        let call = order(&key, Some(&token));
        let first = fleet.call(round % 3, &call);
        for pipe in &fleet.pipes {
            pipe.cut_to_target_after(u64::MAX / 2);
        }
        assert_ne!(
            first.outcome(),
            "not-run",
            "the entry can't know that it did not run"
        );
        let settled = repeat_until_final(&fleet, &call);
        assert_eq!(settled.outcome(), "answered", "{}", settled.reason());
        assert_eq!(fleet.record.runs(&key), 1);
    }
}

#[test]
fn a_restarted_gate_runs_no_order_with_an_old_token() {
    let mut fleet = Fleet::start_piped();
    let tokens: Vec<_> = (0..12).map(|index| fleet.token(index % 3)).collect();
    let ran = fleet.call(0, &order("ran", Some(&tokens[0])));
    assert_eq!(ran.status, 201);
    for index in 0..3 {
        fleet.kill(index);
        fleet.start_daemon(index);
    }
    for index in 0..3 {
        fleet.wait_ready(index);
        fleet.wait_links(index);
    }
    let repeated = repeat_until_final(&fleet, &order("ran", Some(&tokens[0])));
    assert_eq!(
        (repeated.outcome(), repeated.reason()),
        ("unknown", "incarnation-gone")
    );
    assert_eq!(fleet.record.runs("ran"), 1);
    for (index, token) in tokens.iter().enumerate().skip(1) {
        let key = format!("fresh{index}");
        let settled = repeat_until_final(&fleet, &order(&key, Some(token)));
        assert_eq!(
            settled.outcome(),
            "unknown",
            "the new gate can't know whether it ran"
        );
        assert_eq!(fleet.record.runs(&key), 0);
    }
}

#[test]
fn an_order_in_flight_on_a_killed_entry_runs_once() {
    let mut fleet = Fleet::start_piped();
    let token = fleet.token(0);
    let call = slow_order("killed", &token, 300);
    let pending = fleet.spawn_call(0, call.clone());
    wait_for("the order to run", || fleet.record.runs("killed") == 1);
    fleet.kill(0);
    let cut = smol::block_on(pending);
    assert_eq!(cut.status, 0);
    fleet.start_daemon(0);
    let settled = repeat_until_final(&fleet, &call);
    // The gate of the killed daemon may have issued the token.
    assert!(settled.status == 201 || settled.reason() == "incarnation-gone");
    assert_eq!(fleet.record.runs("killed"), 1);
}

#[test]
fn a_paused_entry_forwards_no_order_past_its_deadline() {
    let fleet = Fleet::start_piped();
    let token = fleet.token(0);
    let call = order("late", Some(&token)).header("mustardtiller-timeout-ms", "400");
    fleet.pause(0);
    let pending = fleet.spawn_call(0, call);
    std::thread::sleep(std::time::Duration::from_millis(600));
    fleet.resume(0);
    let answer = smol::block_on(pending);
    // The timeout starts when the entry reads the request, after the pause, so the
    // order may run.
    assert!(fleet.record.runs("late") <= 1);
    assert_eq!(fleet.record.late_requests(), 0);
    assert_ne!(answer.status, 0);
}

#[test]
fn an_order_held_in_a_frozen_link_past_its_deadline_does_not_run() {
    let fleet = Fleet::start_piped();
    for pipe in &fleet.pipes {
        pipe.set_frozen_to_target(true);
    }
    let calls: Vec<_> = (0..6)
        .map(|index| {
            let call = order(&format!("f{index}"), None).header("mustardtiller-timeout-ms", "300");
            fleet.spawn_call(index % 3, call)
        })
        .collect();
    let answers: Vec<_> = calls.into_iter().map(smol::block_on).collect();
    assert!(answers.iter().all(|answer| answer.outcome() != "answered"));
    for pipe in &fleet.pipes {
        pipe.set_frozen_to_target(false);
    }
    for index in 0..3 {
        wait_for("the links to recover", || {
            fleet.get(index, "/ready").status == 200
        });
    }
    for index in 0..6 {
        assert_eq!(
            fleet.record.runs(&format!("f{index}")),
            0,
            "an order ran after its deadline"
        );
    }
}

#[test]
fn a_configuration_change_reruns_no_order() {
    let fleet = Fleet::start_piped();
    let tokens: Vec<_> = (0..6).map(|index| fleet.token(index % 3)).collect();
    for (index, token) in tokens.iter().enumerate() {
        let answer = fleet.call(0, &order(&format!("m{index}"), Some(token)));
        assert_eq!(answer.status, 201);
    }
    // The new configuration is without the third upstream.
    fleet.platform.publish(&fleet.artefact(2, 2));
    for index in 0..3 {
        wait_for("the new revision", || {
            (fleet.metric(index, "revision") - 2.0).abs() < 0.1
        });
    }
    for (index, token) in tokens.iter().enumerate() {
        for entry in 0..3 {
            let answer = fleet.call(entry, &order(&format!("m{index}"), Some(token)));
            assert_ne!(answer.outcome(), "not-run");
        }
        assert_eq!(fleet.record.runs(&format!("m{index}")), 1);
    }
}

#[test]
fn a_full_ledger_refuses_unused_tokens_for_good() {
    let limits = "[limits]\nledger_tokens = 3\n".to_owned();
    let plan = FleetPlan {
        upstreams: 1,
        settings: limits,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan);
    let tokens: Vec<_> = (0..8).map(|_| fleet.token(0)).collect();
    for (index, token) in tokens.iter().enumerate() {
        let answer = fleet.call(0, &order(&format!("l{index}"), Some(token)));
        let expected = if index < 3 { "" } else { "ledger-full" };
        assert_eq!(answer.reason(), expected);
    }
    // Refused tokens stay refused, and the answers to the others are still kept.
    for (index, token) in tokens.iter().enumerate() {
        let answer = fleet.call(0, &order(&format!("l{index}"), Some(token)));
        let runs = u32::from(index < 3);
        assert_eq!(answer.outcome() == "answered", index < 3);
        assert_eq!(fleet.record.runs(&format!("l{index}")), runs);
    }
}

#[test]
fn a_token_reused_for_another_order_runs_nothing() {
    let fleet = Fleet::start_piped();
    let token = fleet.token(0);
    assert_eq!(fleet.call(0, &order("one", Some(&token))).status, 201);
    let other = order("two", Some(&token)).body("another order");
    let answer = fleet.call(1, &other);
    assert_eq!(
        (answer.outcome(), answer.reason()),
        ("unknown", "token-reused")
    );
    assert_eq!(fleet.record.runs("two"), 0);
}

#[test]
fn an_order_without_token_is_sent_once() {
    let fleet = Fleet::start_piped();
    for round in 0..5 {
        let key = format!("plain{round}");
        let path = "/order?cut=head";
        let call = HttpCall::new("POST", HOST, path)
            .header("x-key", key.clone())
            .body("order");
        let answer = fleet.call(round % 3, &call);
        assert_eq!(
            (answer.outcome(), answer.reason()),
            ("unknown", "answer-cut")
        );
        assert_eq!(
            fleet.record.runs(&key),
            1,
            "an order of unknown outcome was repeated"
        );
    }
}
