//! Check that an answer belongs to the request that was sent.

use hyper::HeaderMap;
use hyper::header::HeaderValue;

use crate::http::Dialect;
use crate::http::Proof;

/// Statuses that mean "not run" if the answer has the not-run header.
const REFUSING_STATUSES: &[u16] = &[400, 408, 421, 429, 503];

/// Statuses that callers take to mean that a request did not run.
const NOT_RUN_STATUSES: &[u16] = &[408, 421, 429, 503];

/// Lowest status of a final answer.
///
/// The library passes on an upgrade that nobody asked for as if it were one.
const MIN_FINAL_STATUS: u16 = 200;

/// Status of an upstream that is not the expected one.
const MISDIRECTED_STATUS: u16 = 421;

/// Result of checking an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerCheck {
    /// The upstream's answer to this request.
    Genuine,
    /// The upstream refused the request and did not run it.
    Refused,
    /// Another upstream has the address and did not run the request.
    Misdirected,
    /// The answer belongs to another request, or lacks the required evidence.
    Unverified,
}

/// What identifies one exchange with the upstream.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeIdentity<'a> {
    /// Identity that the request carried, if any.
    pub request_id: Option<&'a [u8]>,
    /// Number of the exchange, unique in this process.
    pub number: u64,
    /// Whether the connection carried an earlier exchange.
    pub reused: bool,
}

/// Report whether an answer repeats the identity of its request.
///
/// Only then can a late copy of it be told from the next answer, so that its
/// connection may be used again.
#[must_use]
pub fn repeats_identity(
    dialect: &Dialect,
    identity: ExchangeIdentity<'_>,
    headers: &HeaderMap,
) -> bool {
    match dialect.proof {
        Proof::Connection { exchange } => {
            exchange_number(headers, exchange) == Some(identity.number)
        }
        Proof::Stamp { .. } => {
            let echoed = headers.get(dialect.request_id).map(HeaderValue::as_bytes);
            echoed.is_some() && echoed == identity.request_id
        }
    }
}

fn exchange_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Check the head of an answer.
#[must_use]
pub fn check_answer(
    dialect: &Dialect,
    identity: ExchangeIdentity<'_>,
    status: u16,
    headers: &HeaderMap,
) -> AnswerCheck {
    if status < MIN_FINAL_STATUS {
        return AnswerCheck::Unverified;
    }
    let stamp = match dialect.proof {
        Proof::Connection { exchange } => {
            let foreign = headers.contains_key(exchange)
                && exchange_number(headers, exchange) != Some(identity.number);
            let unproved = identity.reused && !headers.contains_key(exchange);
            return if foreign || unproved {
                AnswerCheck::Unverified
            } else {
                AnswerCheck::Genuine
            };
        }
        Proof::Stamp { stamp } => stamp,
    };
    let request_id = identity.request_id;
    let echoed = headers.get(dialect.request_id).map(HeaderValue::as_bytes);
    // Without the request's identity, a refusal may be a late copy of an earlier one.
    if echoed != request_id {
        return AnswerCheck::Unverified;
    }
    if status == MISDIRECTED_STATUS {
        return AnswerCheck::Misdirected;
    }
    if headers.contains_key(dialect.not_run) && REFUSING_STATUSES.contains(&status) {
        return AnswerCheck::Refused;
    }
    // A status that claims "not run" without the not-run header is rejected. If passed
    // on, it would tell the caller that the request did not run although it may have.
    let claims_not_run = NOT_RUN_STATUSES.contains(&status);
    if headers.contains_key(stamp) && !claims_not_run {
        AnswerCheck::Genuine
    } else {
        AnswerCheck::Unverified
    }
}
