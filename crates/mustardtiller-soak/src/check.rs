//! The promises, checked against what callers and upstreams saw.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use crate::Call;
use crate::Ending;
use crate::History;
use crate::Run;

/// Most upstreams that one call may run on, as its route says.
const MAX_ATTEMPTS: usize = 2;

/// Time after the start at which a read may no longer be unanswered, beyond
/// the time that its caller waits, in milliseconds: the users' bound of half a
/// second, and as much for a busy machine.
const LATE_MS: u64 = 1_000;

/// Time by which a deadline that is handed on may be longer than the caller's,
/// in milliseconds: the users' bound.
const DEADLINE_SLACK_MS: u64 = 500;

/// Time within which no new request reaches an upstream that said it leaves,
/// in milliseconds: the users' bound.
const DRAIN_MS: u64 = 2_000;

/// Time after trouble in which its effects are still allowed, in milliseconds:
/// the users' window of stability.
const SETTLE_MS: u64 = 3_000;

/// Time after which a connection's end can't be one that crossed a request, in
/// milliseconds: the users' slack.
const CROSSING_MS: u64 = 200;

/// Share of calls that is served once all is calm, in percent; the users'
/// bound is a quarter, but nothing is wrong any more.
const SERVED_PERCENT: usize = 95;

/// The caller that upstreams are told of.
const CALLER: &str = "shop";

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
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
        let ran = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_call(history, call, ran, &mut breaches);
    }
    check_leavings(history, &mut breaches);
    check_end(history, &mut breaches);
    let mut tell = |promise, lines: &[String]| {
        breaches.extend(lines.iter().map(|line| Breach {
            promise,
            seen: line.clone(),
        }));
    };
    tell("daemons run until they are stopped", &history.own_ends);
    tell("logs are lines of JSON", &history.strange_lines);
    breaches
}

fn check_run(run: &Run, call: Option<&&Call>, breaches: &mut Vec<Breach>) {
    let mut breach = |promise| {
        breaches.push(Breach {
            promise,
            seen: format!("{run:?} for {call:?}"),
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

fn check_call(history: &History, call: &Call, ran: &[&Run], breaches: &mut Vec<Breach>) {
    let mut breach = |promise| {
        breaches.push(Breach {
            promise,
            seen: format!("{call:?} with {ran:?}"),
        });
    };
    let upstreams: HashSet<&str> = ran.iter().map(|run| run.upstream.as_str()).collect();
    let once = call.idempotent || ran.len() <= 1;
    if !once || upstreams.len() > MAX_ATTEMPTS {
        breach("orders run at most once, reads within their attempts");
    }
    match call.ending {
        Ending::Success { whole: false } => breach("successes are whole answers of upstreams"),
        Ending::Success { whole: true } if ran.is_empty() => breach("successes have run"),
        Ending::NotRun(_) if !ran.is_empty() => breach("what is told as not run has not run"),
        Ending::Closed if !troubled(history, call) => {
            let waited = call.ended_ms - call.sent_ms;
            if !ran.is_empty() || waited > CROSSING_MS {
                breach("planned work cuts no request");
            }
        }
        // Upstreams do their work well in planned work, so nothing may fail.
        Ending::Other(status) if status >= 500 && !troubled(history, call) => {
            breach("planned work fails no request");
        }
        Ending::Other(404) if call.sent_ms > history.calm_from_ms => {
            breach("the newest configuration is in force");
        }
        Ending::Silence if !troubled(history, call) => breach("calls end by their deadline"),
        _ => {}
    }
    let late = call.ended_ms > call.sent_ms + call.wait_ms + LATE_MS;
    if late && !troubled(history, call) {
        breach("calls end by their deadline");
    }
}

fn troubled(history: &History, call: &Call) -> bool {
    let from = call.sent_ms.saturating_sub(SETTLE_MS);
    let mut troubles = history.troubles.iter();
    troubles.any(|span| span.meets(from, call.ended_ms))
}

fn check_leavings(history: &History, breaches: &mut Vec<Breach>) {
    for (upstream, said_ms) in &history.leavings {
        let troubled = |at| {
            let mut troubles = history.troubles.iter().chain(&history.store_troubles);
            troubles.any(|span| span.meets(said_ms.saturating_sub(SETTLE_MS), at))
        };
        let late = history.runs.iter().find(|run| {
            run.upstream == *upstream && run.at_ms > said_ms + DRAIN_MS && !troubled(run.at_ms)
        });
        if let Some(run) = late {
            breaches.push(Breach {
                promise: "leaving upstreams get nothing new",
                seen: format!("{run:?}, leaving since {said_ms} ms"),
            });
        }
    }
}

fn check_end(history: &History, breaches: &mut Vec<Breach>) {
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
    if served * 100 < calm.len() * SERVED_PERCENT {
        breaches.push(Breach {
            promise: "service is back once all is calm",
            seen: format!("{served} of {} calls from {from} ms on", calm.len()),
        });
    }
}
