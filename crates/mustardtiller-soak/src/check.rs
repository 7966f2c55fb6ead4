//! The daemon's promises, checked against what callers and upstreams observed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use crate::Call;
use crate::Ending;
use crate::History;
use crate::Run;

/// Most upstreams that one call may run on: the routes' limit on attempts.
const MAX_ATTEMPTS: usize = 2;

/// Time past the deadline by which a call must have ended, in milliseconds.
///
/// The platform's bound is half a second; as much again allows for a busy machine.
const ANSWER_GRACE_MS: u64 = 1_000;

/// Most by which a forwarded deadline may exceed the caller's, in milliseconds.
///
/// This is the platform's bound.
const DEADLINE_SLACK_MS: u64 = 500;

/// Time after which no new request may reach a leaving upstream, in milliseconds.
///
/// This is the platform's bound.
const DRAIN_MS: u64 = 2_000;

/// Time after a fault in which its effects are tolerated, in milliseconds.
///
/// This is the platform's stability window.
const SETTLE_MS: u64 = 3_000;

/// Time after sending in which a close may race with the call, in milliseconds.
///
/// The daemon may close an idle connection just as a call is sent on it. This
/// is the slack that the platform allows.
const CLOSE_RACE_MS: u64 = 200;

/// Least share of successful calls after the last fault, in percent.
///
/// The platform's bound is a quarter, but no fault is active any more.
const MIN_SERVED_PERCENT: usize = 95;

/// Methods and path prefixes of the routes that every configuration of a run has.
const BASE_TARGETS: &[&str] = &["GET /read/", "POST /order/", "POST /load/"];

/// Caller name that the daemons pass to upstreams.
const CALLER: &str = "shop";

/// A broken promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
    /// The promise.
    pub promise: &'static str,
    /// The observation that breaks it.
    pub observed: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.observed)
    }
}

/// Find the promises that a history breaks.
#[must_use]
pub fn check(history: &History) -> Vec<Breach> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let calls: HashMap<&str, &Call> = history.calls.iter().map(|c| (c.id.as_str(), c)).collect();
    let mut breaches = Vec::new();
    for run in &history.runs {
        check_run(run, calls.get(run.id.as_str()), &mut breaches);
    }
    for call in &history.calls {
        let call_runs = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_call(history, call, call_runs, &mut breaches);
    }
    check_leaving_upstreams(history, &mut breaches);
    check_recovery(history, &mut breaches);
    let mut add_breaches = |promise, lines: &[String]| {
        breaches.extend(lines.iter().map(|line| Breach {
            promise,
            observed: line.clone(),
        }));
    };
    add_breaches("daemons run until they are stopped", &history.own_ends);
    add_breaches("daemons stay within their memory", &history.over_memory);
    add_breaches("logs are lines of JSON", &history.strange_lines);
    breaches
}

fn check_run(run: &Run, call: Option<&&Call>, breaches: &mut Vec<Breach>) {
    let mut breach = |promise| {
        breaches.push(Breach {
            promise,
            observed: format!("{run:?} for {call:?}"),
        });
    };
    let Some(call) = call else {
        breach("upstreams run what callers sent");
        return;
    };
    if run.target != call.target || run.body_digest != call.body_digest {
        breach("requests arrive unchanged");
    }
    if run.caller != CALLER {
        breach("upstreams are told the caller");
    }
    if run.left_ms > call.wait_ms + DEADLINE_SLACK_MS {
        breach("deadlines are handed on");
    }
}

fn check_call(history: &History, call: &Call, call_runs: &[&Run], breaches: &mut Vec<Breach>) {
    let mut breach = |promise| {
        breaches.push(Breach {
            promise,
            observed: format!("{call:?} with {call_runs:?}"),
        });
    };
    let upstreams: HashSet<&str> = call_runs.iter().map(|run| run.upstream.as_str()).collect();
    let runs_allowed = call.idempotent || call_runs.len() <= 1;
    if !runs_allowed || upstreams.len() > MAX_ATTEMPTS {
        breach("orders run at most once, reads within their attempts");
    }
    match call.ending {
        Ending::Success { whole: false } => breach("successes are whole answers of upstreams"),
        Ending::Success { whole: true } if call_runs.is_empty() => breach("successes have run"),
        Ending::NotRun(_) if !call_runs.is_empty() => breach("what is told as not run has not run"),
        Ending::Closed if !near_fault(history, call) => {
            let waited = call.ended_ms - call.sent_ms;
            if !call_runs.is_empty() || waited > CLOSE_RACE_MS {
                breach("planned work cuts no request");
            }
        }
        // Upstreams answer every request during planned work, so no call may fail.
        Ending::Other(status) if status >= 500 && !near_fault(history, call) => {
            breach("planned work fails no request");
        }
        Ending::Other(404) if call.sent_ms > history.calm_from_ms => {
            breach("the newest configuration is in force");
        }
        // Callers send nothing malformed, and never repeat a call after such a status.
        Ending::Other(status) if status < 500 && (status != 404 || is_on_base_route(call)) => {
            breach("proper requests are not denied");
        }
        Ending::Silence if !near_fault(history, call) => breach("calls end by their deadline"),
        _ => {}
    }
    let late = call.ended_ms > call.sent_ms + call.wait_ms + ANSWER_GRACE_MS;
    if late && !near_fault(history, call) {
        breach("calls end by their deadline");
    }
}

/// Report whether a call's route is in every configuration of a run.
fn is_on_base_route(call: &Call) -> bool {
    let mut targets = BASE_TARGETS.iter();
    targets.any(|target| call.target.starts_with(target))
}

/// Report whether an unplanned fault may have affected the call.
fn near_fault(history: &History, call: &Call) -> bool {
    let from = call.sent_ms.saturating_sub(SETTLE_MS);
    let mut troubles = history.troubles.iter();
    troubles.any(|span| span.overlaps(from, call.ended_ms))
}

fn check_leaving_upstreams(history: &History, breaches: &mut Vec<Breach>) {
    for (upstream, announced_ms) in &history.leavings {
        let near_fault = |at| {
            let mut troubles = history.troubles.iter().chain(&history.store_troubles);
            troubles.any(|span| span.overlaps(announced_ms.saturating_sub(SETTLE_MS), at))
        };
        let late = history.runs.iter().find(|run| {
            run.upstream == *upstream
                && run.at_ms > announced_ms + DRAIN_MS
                && !near_fault(run.at_ms)
        });
        if let Some(run) = late {
            breaches.push(Breach {
                promise: "leaving upstreams get nothing new",
                observed: format!("{run:?}, leaving since {announced_ms} ms"),
            });
        }
    }
}

fn check_recovery(history: &History, breaches: &mut Vec<Breach>) {
    let from = history.calm_from_ms + SETTLE_MS;
    let calm: Vec<&Call> = history
        .calls
        .iter()
        .filter(|call| call.sent_ms >= from)
        .collect();
    let served = calm
        .iter()
        .filter(|call| matches!(call.ending, Ending::Success { .. }))
        .count();
    if served * 100 < calm.len() * MIN_SERVED_PERCENT {
        breaches.push(Breach {
            promise: "service is back once all is calm",
            observed: format!("{served} of {} calls from {from} ms on", calm.len()),
        });
    }
}
