//! Refusals as HTTP responses.

use bytes::Bytes;
use hyper::Response;

use super::body::AnswerStream;
use crate::daemon::Node;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;
use mustardtiller_core::UnknownReason;

/// Says whether the request ran: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "mustardtiller-outcome";

/// Says why a request was refused.
pub const REASON_HEADER: &str = "mustardtiller-reason";

/// Says that a refusal must not be retried at another depth.
pub const RETRY_HEADER: &str = "mustardtiller-retry";

/// Seconds after which a refused request may be tried again.
const RETRY_AFTER_S: u32 = 1;

/// Least wait where callers read fractions of a second, in milliseconds: gates
/// free a slot every few tens of milliseconds, and who returns later has less
/// time left to be answered.
const LEAST_RETRY_AFTER_MS: u32 = 20;

/// Longest wait there, in milliseconds; draws in between spread those who return.
const LONGEST_RETRY_AFTER_MS: u32 = 60;

/// Milliseconds in a second.
const SECOND_MS: f64 = 1_000.0;

/// Turn a refusal into a response.
///
/// The body is JSON: `{"outcome":"not-run","reason":"queue-full"}`.
pub fn refusal_response(node: &Node, refusal: Refusal) -> Response<AnswerStream> {
    let (class, reason) = (refusal.class_text(), refusal.reason_text());
    let body = format!("{{\"outcome\":\"{class}\",\"reason\":\"{reason}\"}}\n");
    let mut builder = Response::builder()
        .status(status_of(refusal))
        .header(OUTCOME_HEADER, class)
        .header(REASON_HEADER, reason)
        .header(RETRY_HEADER, "no")
        .header("content-type", "application/json");
    if may_try_later(refusal) {
        builder = if node.dialect.fractional_retry_after {
            let millis = node
                .rng()
                .u32(LEAST_RETRY_AFTER_MS..=LONGEST_RETRY_AFTER_MS);
            let seconds = f64::from(millis) / SECOND_MS;
            builder.header("retry-after", seconds.to_string())
        } else {
            builder.header("retry-after", RETRY_AFTER_S)
        };
    }
    builder
        .body(AnswerStream::Buffered(Bytes::from(body)))
        .expect("the parts of the response are valid")
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
        | NotRunReason::UpstreamDown
        | NotRunReason::WrongUpstream
        | NotRunReason::LedgerFull
        | NotRunReason::UpstreamShed
        | NotRunReason::TooLate
        | NotRunReason::Busy
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

/// Report whether the same request may succeed in a while.
const fn may_try_later(refusal: Refusal) -> bool {
    match refusal {
        Refusal::NotRun(not_run) => matches!(not_run_status(not_run.reason()), 429 | 503),
        Refusal::Unknown(reason) => matches!(
            reason,
            UnknownReason::InProgress | UnknownReason::GateUnreachable
        ),
    }
}
