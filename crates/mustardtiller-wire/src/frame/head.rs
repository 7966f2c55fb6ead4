//! Heads of requests and answers as sent in frames.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use mustardtiller_core::Incarnation;
use mustardtiller_core::Instant;
use mustardtiller_core::Token;
use mustardtiller_core::TokenId;

/// One HTTP header of a request or an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// How the body of a request is transferred.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum BodyFraming {
    /// The request has no body.
    Empty,
    /// The whole body, sent inline with the head.
    Inline(Bytes),
    /// The body follows in `Data` frames once the gate has admitted the request.
    Streamed {
        /// Length in bytes, if the caller declared it.
        length: Option<u64>,
    },
}

/// Encoded form of a token.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WireToken {
    /// The upstream that the token is valid for.
    pub upstream: String,
    /// Incarnation of the gate that the token is valid for.
    pub gate: u128,
    /// Incarnation of the entry that minted the token.
    pub entry: u128,
    /// Sequence number of the token, given by the entry.
    pub sequence: u64,
    /// Time of minting, in microseconds on the gate's clock.
    pub minted_micros: u64,
}

impl From<&Token> for WireToken {
    fn from(token: &Token) -> Self {
        Self {
            upstream: token.upstream.to_string(),
            gate: token.gate.0,
            entry: token.id.entry.0,
            sequence: token.id.sequence,
            minted_micros: token.minted.as_micros(),
        }
    }
}

impl From<&WireToken> for Token {
    fn from(wire: &WireToken) -> Self {
        Self {
            upstream: wire.upstream.as_str().into(),
            gate: Incarnation(wire.gate),
            id: TokenId {
                entry: Incarnation(wire.entry),
                sequence: wire.sequence,
            },
            minted: Instant::from_micros(wire.minted_micros),
        }
    }
}

/// The head of a request.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of a request"
)]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RequestHead {
    /// The upstream that the request is addressed to.
    pub upstream: String,
    /// Name of the caller.
    pub caller: String,
    /// Whether it is queued ahead of the same caller's ordinary requests.
    pub urgent: bool,
    /// Priority of its kind; zero is the highest.
    pub priority: u8,
    /// Digest of the kind's name; the gate keeps separate service times by it.
    pub kind_digest: u32,
    /// Whether it is safe to run more than once.
    pub idempotent: bool,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub uri: String,
    /// The end-to-end headers, without hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Whether it may wait in the gate's queue; otherwise a busy gate refuses it.
    pub may_wait: bool,
    /// Deadline, in microseconds on the gate's clock.
    pub deadline_micros: u64,
    /// Latest time at which the latency target is met, in microseconds on the gate's clock.
    pub target_micros: u64,
    /// The token, if the request carries one.
    pub token: Option<WireToken>,
    /// Depth in the tree of nested calls.
    pub depth: u8,
    /// Whether it results from a retry, at this depth or at an outer one.
    pub retried: bool,
    /// Whether the upstream beside the entry ran nothing when the call came.
    ///
    /// Such a call was made by a caller, not by a run.
    pub from_idle_host: bool,
    /// The body, or how it follows.
    pub body: BodyFraming,
}

/// The head of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers, without hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Length of the body in bytes, if the upstream declared it.
    pub length: Option<u64>,
}
