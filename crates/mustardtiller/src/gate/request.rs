//! Requests and answers at the gate, independent of their encoding.

use bytes::Bytes;

use crate::body::ChunkSource;
use crate::upstream::UpstreamBody;
use mustardtiller_core::Deadline;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Refusal;
use mustardtiller_core::Token;
use mustardtiller_core::Verdict;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::Header;

/// A request to the upstream beside this daemon.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of a request"
)]
#[derive(Debug)]
pub struct GateRequest {
    /// The caller's name.
    pub caller: String,
    /// Whether it precedes ordinary requests in the wait queue.
    pub urgent: bool,
    /// Priority of the request's kind; zero is the highest.
    pub priority: u8,
    /// Digest of the request's kind, which selects the service-time estimate.
    pub kind_digest: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request may wait in the queue.
    pub queue_mode: QueueMode,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub uri: String,
    /// The end-to-end headers.
    pub headers: Vec<Header>,
    /// The deadline, on this process's clock.
    pub deadline: Deadline,
    /// The latency target: the instant after which an answer counts as late.
    pub target: Deadline,
    /// The token, if the request has one.
    pub token: Option<Token>,
    /// Depth in the tree of nested calls.
    pub depth: u8,
    /// Whether the request is a retry, or was caused by one.
    pub retried: bool,
    /// Whether the upstream beside its entry ran nothing when it came.
    pub from_idle_host: bool,
    /// The body.
    pub body: GateBody,
}

impl GateRequest {
    /// Return the first value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        let mut headers = self.headers.iter();
        headers.find(|h| h.name == name).map(|h| &h.value)
    }

    /// Clone the request; `None` if its body is streamed.
    #[must_use]
    pub fn try_clone(&self) -> Option<Self> {
        let GateBody::Buffered(bytes) = &self.body else {
            return None;
        };
        Some(Self {
            caller: self.caller.clone(),
            urgent: self.urgent,
            priority: self.priority,
            kind_digest: self.kind_digest,
            idempotent: self.idempotent,
            queue_mode: self.queue_mode,
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.headers.clone(),
            deadline: self.deadline,
            target: self.target,
            token: self.token.clone(),
            depth: self.depth,
            retried: self.retried,
            from_idle_host: self.from_idle_host,
            body: GateBody::Buffered(bytes.clone()),
        })
    }
}

/// The body of a request.
#[derive(Debug)]
pub enum GateBody {
    /// A complete body in memory; may be empty.
    Buffered(Bytes),
    /// A body that arrives in chunks.
    Streamed {
        /// The length in bytes, if the caller declared it.
        length: Option<u64>,
        /// The source of the chunks.
        source: Box<dyn ChunkSource>,
    },
}

/// The gate's answer to a request.
#[derive(Debug)]
pub enum GateAnswer {
    /// The request was refused, or its outcome is unknown.
    Refused(Verdict),
    /// The upstream's complete answer.
    Buffered {
        /// The head.
        head: AnswerHead,
        /// The body.
        bytes: Bytes,
    },
    /// The upstream's answer, with a streamed body.
    Streamed {
        /// The head.
        head: AnswerHead,
        /// The start of the body; may be empty.
        first: Bytes,
        /// The remainder of the body.
        body: UpstreamBody,
    },
}

impl GateAnswer {
    /// Create the answer for a refusal.
    pub fn refused(refusal: impl Into<Refusal>) -> Self {
        Self::Refused(Verdict::from(refusal.into()))
    }
}
