//! Requests and answers at the gate, free of any encoding.

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

/// A request for the upstream beside this daemon.
#[derive(Debug)]
pub struct GateRequest {
    /// The caller.
    pub caller: String,
    /// Whether it goes before ordinary requests.
    pub urgent: bool,
    /// Rank among kinds of request; zero goes first.
    pub priority: u8,
    /// Tells the service times of kinds apart.
    pub kind_digest: u32,
    /// It may run more than once.
    pub idempotent: bool,
    /// How far it may be kept waiting here.
    pub queue_mode: QueueMode,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub uri: String,
    /// The headers, end to end ones only.
    pub headers: Vec<Header>,
    /// When it stops being wanted, in this process's time.
    pub deadline: Deadline,
    /// Until when an answer has its full worth.
    pub target: Deadline,
    /// Its token.
    pub token: Option<Token>,
    /// How deep in a tree of calls it is.
    pub depth: u8,
    /// It stems from a retry.
    pub retried: bool,
    /// Its body.
    pub body: GateBody,
}

impl GateRequest {
    /// Return the value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        let mut headers = self.headers.iter();
        headers.find(|h| h.name == name).map(|h| &h.value)
    }

    /// Copy a request whose body is whole.
    #[must_use]
    pub fn copy(&self) -> Option<Self> {
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
            body: GateBody::Buffered(bytes.clone()),
        })
    }
}

/// The body of a request.
#[derive(Debug)]
pub enum GateBody {
    /// It is here, whole; may be empty.
    Buffered(Bytes),
    /// It arrives in pieces.
    Streamed {
        /// Its length in bytes, if the caller said it.
        length: Option<u64>,
        /// Where the pieces come from.
        source: Box<dyn ChunkSource>,
    },
}

/// What the gate answers.
#[derive(Debug)]
pub enum GateAnswer {
    /// The request is refused.
    Refused(Verdict),
    /// The upstream's whole answer.
    Buffered {
        /// The head.
        head: AnswerHead,
        /// The body.
        bytes: Bytes,
    },
    /// The upstream's answer, whose body follows.
    Streamed {
        /// The head.
        head: AnswerHead,
        /// The start of the body; may be empty.
        first: Bytes,
        /// The rest of the body.
        body: UpstreamBody,
    },
}

impl GateAnswer {
    /// Refuse a request.
    pub fn refused(refusal: impl Into<Refusal>) -> Self {
        Self::Refused(Verdict::from(refusal.into()))
    }
}
