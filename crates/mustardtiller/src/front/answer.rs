//! Outcomes as HTTP responses.

use std::sync::Arc;

use hyper::Response;

use super::body::AnswerStream;
use super::refusal::OUTCOME_HEADER;
use super::refusal::refusal_response;
use super::request::BadCall;
use super::request::TOKEN_HEADER;
use crate::daemon::Node;
use crate::entry::Answer;
use crate::entry::Outcome;
use crate::entry::TokenText;
use crate::events::Event;
use crate::metrics::CounterId;
use mustardtiller_core::Attempt;
use mustardtiller_core::Refusal;
use mustardtiller_core::UnknownReason;

/// Turn the outcome of a call into a response.
pub fn outcome_response(
    node: &Arc<Node>,
    outcome: Outcome,
    token: Option<&TokenText>,
    done: InService,
) -> Response<AnswerStream> {
    let mut response = match outcome {
        Outcome::Refused(refusal) => refusal_response(node, refusal),
        Outcome::Answered(answer) => answer_response(node, answer, done),
    };
    if let Some(token) = token {
        let value = token.to_string().parse();
        let value = value.expect("the text of a token is a header value");
        response.headers_mut().insert(TOKEN_HEADER, value);
    }
    response
}

/// Turn a request that is no call into a response.
pub fn bad_call_response(node: &Node, bad: BadCall) -> Response<AnswerStream> {
    node.metrics.count(CounterId::RequestsMalformed);
    Event::RequestMalformed.log(bad.wrong);
    let refusal = Attempt::begin().refuse(bad.reason).into();
    node.metrics.count_refusal(refusal);
    refusal_response(node, refusal)
}

fn answer_response(node: &Arc<Node>, answer: Answer, done: InService) -> Response<AnswerStream> {
    let Answer { head, mut pieces } = answer;
    let mut builder = Response::builder()
        .status(head.status)
        .header(OUTCOME_HEADER, "answered");
    for header in &head.headers {
        builder = builder.header(header.name.as_str(), header.value.as_ref());
    }
    let stream = match pieces.take_whole() {
        Some(bytes) => {
            if let Some(length) = head.length
                && bytes.is_empty()
            {
                // An answer to HEAD says the length of the body it leaves out.
                builder = builder.header("content-length", length);
            }
            AnswerStream::Buffered(bytes)
        }
        None => {
            let counting = Arc::clone(node);
            let ended = Box::new(move |whole: bool| {
                if !whole {
                    counting.metrics.count(CounterId::AnswersCut);
                }
                drop(done);
            });
            AnswerStream::pieces(pieces, head.length, ended)
        }
    };
    builder.body(stream).unwrap_or_else(|_| {
        let refusal = Refusal::Unknown(UnknownReason::BadAnswer);
        node.metrics.count_refusal(refusal);
        refusal_response(node, refusal)
    })
}

/// A request in service at the entry, counted until its answer has gone.
#[derive(Debug)]
pub struct InService {
    node: Arc<Node>,
}

impl InService {
    /// Count a request in.
    pub fn begin(node: &Arc<Node>) -> Self {
        node.metrics.entry_in_flight.inc();
        Self {
            node: Arc::clone(node),
        }
    }
}

impl Drop for InService {
    fn drop(&mut self) {
        self.node.metrics.entry_in_flight.dec();
    }
}
