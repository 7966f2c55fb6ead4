//! Conversion of outcomes to HTTP responses.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Response;
use hyper::header::HeaderValue;

use super::body::AnswerStream;
use super::refusal::OUTCOME_HEADER;
use super::refusal::refusal_response;
use super::request::RequestError;
use super::request::TOKEN_HEADER;
use crate::daemon::Node;
use crate::entry::Answer;
use crate::entry::Outcome;
use crate::entry::TokenText;
use crate::entry::refuse_unsent;
use crate::events::Event;
use crate::events::MISSING_ID;
use crate::events::RejectionRecord;
use crate::metrics::CounterId;
use mustardtiller_core::Instant;
use mustardtiller_core::Refusal;
use mustardtiller_core::UnknownReason;

/// Microseconds in a millisecond.
const MILLI_MICROS: u64 = 1_000;

/// Convert the outcome of a call to a response.
pub fn outcome_response(
    node: &Arc<Node>,
    outcome: Outcome,
    token: Option<&TokenText>,
    guard: EntryRequestGuard,
) -> Response<AnswerStream> {
    let mut response = match outcome {
        Outcome::Refused {
            refusal,
            return_time,
        } => refusal_response(node, refusal, return_time),
        Outcome::Answered(answer) => answer_response(node, answer, guard),
    };
    if let Some(token) = token {
        let value = token.to_string().parse();
        let value = value.expect("base64url token text is a valid header value");
        response.headers_mut().insert(TOKEN_HEADER, value);
    }
    response
}

/// What is known of a request before it is read, for the log.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    id: Option<HeaderValue>,
    timeout: Option<HeaderValue>,
    /// Whether it has a token, with which a copy of it may run through another entry.
    has_token: bool,
    received_at: Instant,
}

impl RequestTrace {
    /// Keep what a log line about the request needs.
    pub fn begin(node: &Node, headers: &HeaderMap) -> Self {
        Self {
            id: headers.get(node.dialect.request_id).cloned(),
            timeout: headers.get(node.dialect.timeout).cloned(),
            has_token: has_token(node, headers),
            received_at: node.clock.now(),
        }
    }

    /// Log why the request was rejected, and count it if the caller is at fault.
    fn log_rejection(&self, node: &Node, error: RequestError) {
        let id = self.id.as_ref().map(HeaderValue::as_bytes);
        let id = id.unwrap_or(MISSING_ID.as_bytes());
        let (event, is_logged) = if error.blames_caller() {
            node.metrics.count(CounterId::RequestsMalformed);
            (Event::RequestMalformed, node.may_log_rejection(id))
        } else {
            (Event::RequestUnread, node.may_log(id))
        };
        if !is_logged {
            return;
        }
        let timeout = self
            .timeout
            .as_ref()
            .map_or(&b""[..], HeaderValue::as_bytes);
        event.record(&RejectionRecord {
            id: &String::from_utf8_lossy(id),
            reason: error.reason.as_str(),
            detail: error.detail,
            timeout: &String::from_utf8_lossy(timeout),
            elapsed_ms: node.clock.now().micros_since(self.received_at) / MILLI_MICROS,
        });
    }
}

/// Report whether a request has a token that means something here.
pub fn has_token(node: &Node, headers: &HeaderMap) -> bool {
    node.dialect.has_own_interface && headers.contains_key(TOKEN_HEADER)
}

/// Convert a rejected request to a response.
pub fn request_error_response(
    node: &Node,
    trace: &RequestTrace,
    error: RequestError,
) -> Response<AnswerStream> {
    trace.log_rejection(node, error);
    let refusal = refuse_unsent(trace.has_token && error.may_have_copy(), error.reason);
    node.metrics.count_refusal(refusal);
    refusal_response(node, refusal, None)
}

fn answer_response(
    node: &Arc<Node>,
    answer: Answer,
    guard: EntryRequestGuard,
) -> Response<AnswerStream> {
    let Answer { head, mut chunks } = answer;
    let mut builder = Response::builder()
        .status(head.status)
        .header(OUTCOME_HEADER, "answered");
    for header in &head.headers {
        builder = builder.header(header.name.as_str(), header.value.as_ref());
    }
    let stream = match chunks.take_buffered() {
        Some(bytes) => {
            if let Some(length) = head.length
                && bytes.is_empty()
            {
                // An answer to HEAD announces the length of the body that it omits.
                builder = builder.header("content-length", length);
            }
            AnswerStream::Buffered(bytes)
        }
        None => {
            let node = Arc::clone(node);
            let on_end = Box::new(move |complete: bool| {
                if !complete {
                    node.metrics.count(CounterId::AnswersCut);
                }
                drop(guard);
            });
            AnswerStream::chunks(chunks, head.length, on_end)
        }
    };
    builder.body(stream).unwrap_or_else(|_| {
        let refusal = Refusal::Unknown(UnknownReason::BadAnswer);
        node.metrics.count_refusal(refusal);
        refusal_response(node, refusal, None)
    })
}

/// Guard that counts a request at the entry until its answer is sent.
#[derive(Debug)]
pub struct EntryRequestGuard {
    node: Arc<Node>,
}

impl EntryRequestGuard {
    /// Count a request as in flight.
    pub fn begin(node: &Arc<Node>) -> Self {
        node.metrics.gauges.entry_in_flight.inc();
        Self {
            node: Arc::clone(node),
        }
    }
}

impl Drop for EntryRequestGuard {
    fn drop(&mut self) {
        self.node.metrics.gauges.entry_in_flight.dec();
    }
}
