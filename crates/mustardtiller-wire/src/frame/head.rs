//! The heads of requests and answers.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use mustardtiller_core::Incarnation;
use mustardtiller_core::Instant;
use mustardtiller_core::Token;
use mustardtiller_core::TokenId;

/// One header of a request or an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Header {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: Bytes,
}

/// How the body of a request travels.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum BodyFraming {
    /// There is none.
    Empty,
    /// It is here, whole.
    Buffered(Bytes),
    /// It follows in data frames, once the gate has admitted the request.
    Streamed {
        /// Its length in bytes, if the caller said it.
        length: Option<u64>,
    },
}

/// A token as it travels.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WireToken {
    /// The upstream.
    pub upstream: String,
    /// The gate incarnation.
    pub gate: u128,
    /// The entry incarnation that minted it.
    pub entry: u128,
    /// The entry's count.
    pub sequence: u64,
    /// When it was minted, in microseconds of the gate's time.
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
    fn from(form: &WireToken) -> Self {
        Self {
            upstream: form.upstream.as_str().into(),
            gate: Incarnation(form.gate),
            id: TokenId {
                entry: Incarnation(form.entry),
                sequence: form.sequence,
            },
            minted: Instant::from_micros(form.minted_micros),
        }
    }
}

/// The head of a request.
#[expect(
    clippy::struct_excessive_bools,
    reason = "facts of a request that are independent"
)]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RequestHead {
    /// The upstream that it is meant for.
    pub upstream: String,
    /// The caller.
    pub caller: String,
    /// Whether it goes before ordinary requests.
    pub urgent: bool,
    /// Rank among kinds of request; zero goes first.
    pub priority: u8,
    /// A digest of the kind's name, by which the gate tells service times apart.
    pub kind_digest: u32,
    /// It may run more than once.
    pub idempotent: bool,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub uri: String,
    /// The headers, end to end ones only.
    pub headers: Vec<Header>,
    /// It may wait at the gate.
    pub may_wait: bool,
    /// When it stops being wanted, in microseconds of the receiver's time.
    pub deadline_micros: u64,
    /// Until when an answer has its full worth, in microseconds of the receiver's time.
    pub target_micros: u64,
    /// The token, if the request carries one.
    pub token: Option<WireToken>,
    /// How deep in a tree of calls it is.
    pub depth: u8,
    /// It stems from a retry, at this or an outer depth.
    pub retried: bool,
    /// Its body.
    pub body: BodyFraming,
}

/// The head of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The headers, end to end ones only.
    pub headers: Vec<Header>,
    /// The length of the body in bytes, if the upstream said it.
    pub length: Option<u64>,
}
