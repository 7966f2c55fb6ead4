//! Conversion of refusals to HTTP responses.

use std::ops::RangeInclusive;

use bytes::Bytes;
use hyper::Response;

use super::body::AnswerStream;
use crate::daemon::Node;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;
use mustardtiller_core::ReturnTime;
use mustardtiller_core::UnknownReason;

/// Header that says whether the request ran: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "mustardtiller-outcome";

/// Header with the reason for a refusal.
pub const REASON_HEADER: &str = "mustardtiller-reason";

/// Header that tells callers at other depths not to retry a refusal.
pub const RETRY_HEADER: &str = "mustardtiller-retry";

/// `Retry-After` for callers that read whole seconds, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Shortest `Retry-After` for callers that read fractions of a second, in milliseconds.
///
/// Gates free a slot every few tens of milliseconds; a caller that returns later has
/// less time left before its deadline.
const MIN_RETRY_AFTER_MS: u64 = 20;

/// Longest `Retry-After` for such callers, in milliseconds; jitter spreads their retries.
const MAX_RETRY_AFTER_MS: u64 = 60;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Convert a refusal to a response.
///
/// The body is JSON: `{"outcome":"not-run","reason":"queue-full"}`.
///
/// `return_time` is when the caller should come back, if that is known.
pub fn refusal_response(
    node: &Node,
    refusal: Refusal,
    return_time: Option<ReturnTime>,
) -> Response<AnswerStream> {
    let (class, reason) = (refusal.class_text(), refusal.reason_text());
    let body = format!("{{\"outcome\":\"{class}\",\"reason\":\"{reason}\"}}\n");
    let mut builder = Response::builder()
        .status(status_of(refusal))
        .header(OUTCOME_HEADER, class)
        .header(REASON_HEADER, reason)
        .header(RETRY_HEADER, "no")
        .header("content-type", "application/json");
    if may_succeed_later(refusal) {
        let now = node.clock.now();
        builder = if node.dialect.fractional_retry_after {
            let millis = node.rng().u64(retry_span_ms(return_time, now));
            let seconds = millis as f64 / MILLIS_PER_SECOND;
            builder.header("retry-after", seconds.to_string())
        } else {
            let seconds = earliest_retry_ms(return_time, now).div_ceil(MILLIS_PER_SECOND as u64);
            builder.header("retry-after", seconds.max(RETRY_AFTER_S))
        };
    }
    builder
        .body(AnswerStream::Buffered(Bytes::from(body)))
        .expect("the status and headers of the response are valid")
}

/// Return the waits among which that of one caller is drawn, in milliseconds.
fn retry_span_ms(return_time: Option<ReturnTime>, now: Instant) -> RangeInclusive<u64> {
    if let Some(ReturnTime::Within(window)) = return_time {
        return wait_ms(window.from, now)..=wait_ms(window.until, now);
    }
    let earliest_ms = earliest_retry_ms(return_time, now);
    earliest_ms + MIN_RETRY_AFTER_MS..=earliest_ms + MAX_RETRY_AFTER_MS
}

/// Return the shortest wait that can succeed, in milliseconds; zero if nothing is known.
fn earliest_retry_ms(return_time: Option<ReturnTime>, now: Instant) -> u64 {
    match return_time {
        None => 0,
        Some(ReturnTime::NotBefore(at)) => wait_ms(at, now),
        Some(ReturnTime::Within(window)) => wait_ms(window.from, now),
    }
}

const fn wait_ms(at: Instant, now: Instant) -> u64 {
    at.micros_since(now) / 1_000
}

const fn status_of(refusal: Refusal) -> u16 {
    match refusal {
        Refusal::NotRun(not_run) => not_run_status(not_run.reason()),
        Refusal::Unknown(reason) => unknown_status(reason),
    }
}

const fn not_run_status(reason: NotRunReason) -> u16 {
    match reason {
        NotRunReason::BadRequest | NotRunReason::BadToken | NotRunReason::BodyCut => 400,
        NotRunReason::BodyLate => 408,
        NotRunReason::NoService => 421,
        NotRunReason::BodyTooLarge => 413,
        NotRunReason::NoKind => 404,
        NotRunReason::TokenNeeded => 428,
        NotRunReason::TokenVoid => 409,
        NotRunReason::ShareExceeded => 429,
        NotRunReason::NoUpstream
        | NotRunReason::Unreachable
        | NotRunReason::LinkFull
        | NotRunReason::DeadlinePassed
        | NotRunReason::Leaving
        | NotRunReason::QueueFull
        | NotRunReason::Displaced
        | NotRunReason::UpstreamDown
        | NotRunReason::WrongUpstream
        | NotRunReason::LedgerFull
        | NotRunReason::UpstreamShed
        | NotRunReason::TooLate
        | NotRunReason::Busy
        | NotRunReason::EntryFull
        | NotRunReason::RateLimited
        | NotRunReason::MemoryFull
        | NotRunReason::Evacuated
        | NotRunReason::OutsideRegion
        | NotRunReason::NoConfiguration => 503,
    }
}

const fn unknown_status(reason: UnknownReason) -> u16 {
    match reason {
        UnknownReason::InProgress
        | UnknownReason::AnswerNotKept
        | UnknownReason::TokenReused
        | UnknownReason::IncarnationGone
        | UnknownReason::TokenExpired
        | UnknownReason::TokenEarly => 409,
        UnknownReason::BadAnswer | UnknownReason::AnswerCut | UnknownReason::LinkLost => 502,
        UnknownReason::LinkSilent
        | UnknownReason::DeadlinePassed
        | UnknownReason::BodyCut
        | UnknownReason::GateUnreachable => 504,
    }
}

/// Report whether the same request may succeed when sent again later.
const fn may_succeed_later(refusal: Refusal) -> bool {
    match refusal {
        Refusal::NotRun(not_run) => matches!(not_run_status(not_run.reason()), 408 | 429 | 503),
        Refusal::Unknown(reason) => matches!(
            reason,
            UnknownReason::InProgress | UnknownReason::GateUnreachable
        ),
    }
}
