//! Calls and their outcomes, independent of any wire encoding.

use std::sync::Arc;

use bytes::Bytes;

use crate::board::Candidate;
use crate::board::HeldGuard;
use crate::body::ChunkSource;
use crate::clock::Clock;
use crate::daemon::Node;
use crate::link::AnswerBody;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::Refusal;
use mustardtiller_core::ReturnTime;
use mustardtiller_core::Token;
use mustardtiller_core::UnknownReason;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::Header;

/// A call received from a front end.
#[derive(Debug)]
pub struct Call {
    /// Host that names the service, in lower case and without port.
    pub host: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Charge for a head of many fields; `None` for a usual one.
    pub head_guard: Option<Arc<HeldGuard>>,
    /// Caller, whose requests share one allowance.
    pub caller: String,
    /// Time at which the daemon received the call.
    pub received_at: Instant,
    /// Deadline set by the caller; `None` if only the kind's deadline applies.
    pub deadline: Option<Deadline>,
    /// Token that binds the call to one gate, if the caller sent one.
    pub token: Option<Token>,
    /// Depth in the tree of calls.
    pub depth: u8,
    /// Whether the call stems from a retry at an outer depth.
    pub outer_retry: bool,
    /// Whether the upstream beside this daemon ran nothing when the call came.
    pub from_idle_host: bool,
    /// Body.
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
    /// The whole body, held in memory; may be empty.
    Buffered(Bytes),
    /// A body that arrives in chunks and can be sent only once.
    Streamed {
        /// Length in bytes, if the caller announced it.
        length: Option<u64>,
        /// Source of the chunks.
        source: Box<dyn ChunkSource>,
    },
}

/// Outcome of a call.
#[derive(Debug)]
pub enum Outcome {
    /// The upstream answered.
    Answered(Answer),
    /// The call got no answer; the refusal says whether it ran.
    Refused {
        /// Why, and whether the call may have run.
        refusal: Refusal,
        /// When the caller should come back, if that is known.
        return_time: Option<ReturnTime>,
    },
}

/// An upstream's answer.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: AnswerHead,
    /// Body.
    pub chunks: AnswerChunks,
}

/// Body of an answer, read chunk by chunk.
#[derive(Debug)]
pub struct AnswerChunks {
    first: Option<Bytes>,
    rest: Option<AnswerBody>,
    in_flight: InFlight,
    timer: Option<CallTimer>,
}

impl AnswerChunks {
    pub(super) const fn new(first: Bytes, rest: Option<AnswerBody>, in_flight: InFlight) -> Self {
        Self {
            first: Some(first),
            rest,
            in_flight,
            timer: None,
        }
    }

    /// Record the time of the call when its answer is complete.
    pub(super) fn set_timer(&mut self, timer: CallTimer) {
        self.timer = Some(timer);
    }

    /// Take the whole body if it came with the head.
    pub fn take_buffered(&mut self) -> Option<Bytes> {
        if self.rest.is_some() {
            return None;
        }
        self.record_time();
        self.first.take()
    }

    /// Wait for the next chunk; `None` once the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns the reason if the answer ended early.
    pub async fn next(&mut self) -> Option<Result<Bytes, UnknownReason>> {
        if let Some(first) = self.first.take()
            && !first.is_empty()
        {
            return Some(Ok(first));
        }
        let chunk = self.rest.as_mut()?.next().await;
        if !matches!(chunk, Some(Ok(_))) {
            self.in_flight.record_answer(chunk.is_some());
        }
        if chunk.is_none() {
            self.record_time();
        }
        chunk
    }

    fn record_time(&mut self) {
        if let Some(timer) = self.timer.take() {
            timer.record();
        }
    }
}

/// Measures the time from a call's arrival to the end of its answer.
#[derive(Debug)]
pub struct CallTimer {
    pub(super) node: Arc<Node>,
    pub(super) kind_digest: u32,
    pub(super) received_at: Instant,
}

impl CallTimer {
    fn record(self) {
        let micros = self.node.clock.now().micros_since(self.received_at);
        self.node.board.call_times.record(self.kind_digest, micros);
    }
}

/// Guard that counts a request in flight to an upstream until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    pub(super) candidate: Arc<Candidate>,
    clock: Clock,
    started_at: Instant,
}

impl InFlight {
    /// Count a request as in flight.
    pub fn begin(candidate: &Arc<Candidate>, clock: Clock) -> Self {
        candidate.signals.request_started();
        let candidate = Arc::clone(candidate);
        Self {
            candidate,
            clock,
            started_at: clock.now(),
        }
    }

    /// Record the latency of an answer, and whether it was an error.
    ///
    /// Returns the upstream's error rate in thousandths.
    pub fn record_answer(&self, error: bool) -> u32 {
        let now = self.clock.now();
        let micros = now.micros_since(self.started_at);
        self.candidate
            .signals
            .record_answer(micros, error, now)
            .as_milli()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.candidate.signals.request_ended();
    }
}
