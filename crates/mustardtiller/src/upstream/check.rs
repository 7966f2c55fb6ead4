//! Whether an answer is the upstream's own answer to a request.

use hyper::HeaderMap;
use hyper::header::HeaderValue;

use crate::http::Dialect;
use crate::http::Proof;

/// Statuses by which an upstream says that a request did not run, if it proves that.
const REFUSING_STATUSES: &[u16] = &[400, 408, 421, 429, 503];

/// Statuses that promise callers that a request did not run.
const PROMISING_STATUSES: &[u16] = &[408, 421, 429, 503];

/// The status of an upstream that is not the one expected.
const MISDIRECTED: u16 = 421;

/// What an answer is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerCheck {
    /// The upstream's own answer.
    Own,
    /// The upstream refused the request and did not run it.
    Refused,
    /// Another upstream has the address, and did not run the request.
    Misdirected,
    /// It belongs to another request, or proves nothing.
    Foreign,
}

/// Check the head of an answer.
///
/// `request_id` is the identity that the request carried, if any.
#[must_use]
pub fn check_answer(
    dialect: &Dialect,
    request_id: Option<&[u8]>,
    status: u16,
    headers: &HeaderMap,
) -> AnswerCheck {
    let Proof::Stamp { stamp } = dialect.proof else {
        return AnswerCheck::Own;
    };
    let echoed = headers.get(dialect.request_id).map(HeaderValue::as_bytes);
    if echoed.is_some() && echoed != request_id {
        return AnswerCheck::Foreign;
    }
    if status == MISDIRECTED {
        return AnswerCheck::Misdirected;
    }
    if headers.contains_key(dialect.not_run) && REFUSING_STATUSES.contains(&status) {
        return AnswerCheck::Refused;
    }
    // A promise that the upstream does not prove is none, and would be passed on as one.
    let promises = PROMISING_STATUSES.contains(&status);
    let proved = headers.contains_key(stamp) && (echoed.is_some() || request_id.is_none());
    if proved && !promises {
        AnswerCheck::Own
    } else {
        AnswerCheck::Foreign
    }
}
