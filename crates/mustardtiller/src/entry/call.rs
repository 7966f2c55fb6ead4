//! Calls and their outcomes, free of any encoding.

use std::sync::Arc;

use bytes::Bytes;

use crate::board::Candidate;
use crate::body::ChunkSource;
use crate::clock::Clock;
use crate::link::AnswerBody;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::Refusal;
use mustardtiller_core::Token;
use mustardtiller_core::UnknownReason;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::Header;

/// A call as a front end hands it over.
#[derive(Debug)]
pub struct Call {
    /// The host that names the service, in lower case, without port.
    pub host: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub uri: String,
    /// The headers, end to end ones only.
    pub headers: Vec<Header>,
    /// The caller.
    pub caller: String,
    /// When the daemon got the call.
    pub began: Instant,
    /// When the call stops being wanted; `None` for the kind's own deadline.
    pub deadline: Option<Deadline>,
    /// The token.
    pub token: Option<Token>,
    /// How deep in a tree of calls it is.
    pub depth: u8,
    /// It stems from a retry at an outer depth.
    pub outer_retry: bool,
    /// Its body.
    pub body: CallBody,
}

impl Call {
    /// Return the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.uri.split('?').next().unwrap_or_default()
    }
}

/// The body of a call.
#[derive(Debug)]
pub enum CallBody {
    /// It is here, whole; may be empty.
    Buffered(Bytes),
    /// It arrives in pieces and can be sent only once.
    Streamed {
        /// Its length in bytes, if the caller said it.
        length: Option<u64>,
        /// Where the pieces come from.
        source: Box<dyn ChunkSource>,
    },
}

/// What became of a call.
#[derive(Debug)]
pub enum Outcome {
    /// The upstream's own answer.
    Answered(Answer),
    /// No answer, and whether the call ran.
    Refused(Refusal),
}

/// An upstream's answer.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: AnswerHead,
    /// The body.
    pub pieces: AnswerChunks,
}

/// The body of an answer.
#[derive(Debug)]
pub struct AnswerChunks {
    first: Option<Bytes>,
    rest: Option<AnswerBody>,
    load: InFlight,
}

impl AnswerChunks {
    pub(super) const fn new(first: Bytes, rest: Option<AnswerBody>, load: InFlight) -> Self {
        Self {
            first: Some(first),
            rest,
            load,
        }
    }

    /// Take the whole body, if it came with the head.
    pub const fn take_whole(&mut self) -> Option<Bytes> {
        if self.rest.is_some() {
            return None;
        }
        self.first.take()
    }

    /// Wait for the next piece; `None` once the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns why the answer was cut.
    pub async fn next(&mut self) -> Option<Result<Bytes, UnknownReason>> {
        if let Some(first) = self.first.take()
            && !first.is_empty()
        {
            return Some(Ok(first));
        }
        let piece = self.rest.as_mut()?.next().await;
        if !matches!(piece, Some(Ok(_))) {
            self.load.record_answer(piece.is_some());
        }
        piece
    }
}

/// One request in flight to an upstream, counted until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    pub(super) candidate: Arc<Candidate>,
    clock: Clock,
    began: Instant,
}

impl InFlight {
    /// Count a request in.
    pub fn begin(candidate: &Arc<Candidate>, clock: Clock) -> Self {
        candidate.signals.began();
        let candidate = Arc::clone(candidate);
        Self {
            candidate,
            clock,
            began: clock.now(),
        }
    }

    /// Record the time an answer took. Returns the error rate in thousandths.
    pub fn record_answer(&self, error: bool) -> u32 {
        let now = self.clock.now();
        let micros = now.micros_since(self.began);
        self.candidate
            .signals
            .record_answer(micros, error, now)
            .as_milli()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.candidate.signals.ended();
    }
}
