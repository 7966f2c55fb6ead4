//! Frames of the link protocol and the messages in them.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::head::AnswerHead;
use super::head::RequestHead;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Verdict;

/// Version of the link protocol that this program implements.
pub const PROTOCOL_VERSION: u16 = 7;

/// The streams whose heads were read from a link.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReadStreams {
    /// All streams below this number were read.
    pub below: u32,
    /// Further streams that were read.
    pub others: Vec<u32>,
}

impl ReadStreams {
    /// Report whether the head of a stream was read.
    #[must_use]
    pub fn contains(&self, stream: u32) -> bool {
        stream < self.below || self.others.contains(&stream)
    }
}

/// First frame from the peer that opened the link.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Hello {
    /// The protocol version.
    pub version: u16,
    /// The incarnation of the sender.
    pub incarnation: u128,
    /// Random number of the link, by which the sender can disown it on another link.
    pub link_id: u64,
    /// The upstream that the sender expects to reach.
    pub upstream: String,
    /// The address at which the sender accepts links and gossip.
    pub link: SocketAddr,
    /// What the sender has heard of the upstream that it expects beside the gate.
    pub notice: Option<UpstreamNotice>,
}

/// What an upstream said of itself in answers, as an entry remembers it.
///
/// A gate that has restarted would not know until the upstream's next answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamNotice {
    /// The upstream that said it.
    pub upstream: String,
    /// Start of that upstream, in milliseconds of Unix time; zero if it is not known.
    pub started_ms: u64,
    /// Rate of requests that it takes, in thousandths per second; zero if it named none.
    pub start_milli: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// First frame from the gate, which accepts the link.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Welcome {
    /// The protocol version.
    pub version: u16,
    /// The incarnation of the gate.
    pub incarnation: u128,
    /// The upstream that the gate serves.
    pub upstream: String,
    /// The gate's clock, in microseconds.
    pub clock_micros: u64,
    /// The load of the upstream.
    pub load: LoadReport,
}

/// Load report of an upstream, as measured by its gate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport {
    /// Requests that are running or waiting in the queue.
    pub in_flight: u32,
    /// The gate's concurrency limit.
    pub limit: u32,
    /// Share of its full load that it may get, in thousandths.
    ///
    /// Below 1000 only during the ramp after a cold start.
    pub ramp_milli: u16,
    /// Current service time, in percent of the usual one.
    pub work_percent: u16,
    /// Whether to send it no new requests, because it is leaving or down.
    pub leaving: bool,
    /// Whether the upstream itself has said in an answer that it is leaving.
    pub announced_leaving: bool,
    /// Rate of requests that it takes, in thousandths per second; zero if it named none.
    pub start_milli: u32,
    /// Time until another request could start by that rate, in milliseconds.
    pub start_wait_ms: u32,
    /// Time for which to avoid it, since it sheds although it has room, in milliseconds.
    pub shed_wait_ms: u16,
    /// Expected wait of a new request for a slot, in milliseconds.
    pub queue_wait_ms: u16,
    /// Kinds of request that runs of other requests make, as a set of slots.
    pub nested_kinds: u64,
}

/// Encoded form of the verdict on a request that was not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum WireVerdict {
    /// The request did not run; holds the code of a [`NotRunReason`].
    NotRun(u8),
    /// It is unknown whether the request ran; holds the code of an [`UnknownReason`].
    Unknown(u8),
}

impl From<Verdict> for WireVerdict {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun(reason) => Self::NotRun(reason.code()),
            Verdict::Unknown(reason) => Self::Unknown(reason.code()),
        }
    }
}

impl WireVerdict {
    /// Decode the verdict, or return `None` if its code is unknown.
    #[must_use]
    pub fn verdict(self) -> Option<Verdict> {
        match self {
            Self::NotRun(code) => NotRunReason::from_code(code).map(Verdict::NotRun),
            Self::Unknown(code) => UnknownReason::from_code(code).map(Verdict::Unknown),
        }
    }
}

/// One frame of a link.
///
/// Each request has a stream of its own. The gate ends it with exactly one `Refused`,
/// `AnswerEnd`, `AnswerCut` or `Answer` with `last` set, also after `Cancel`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Frame {
    /// Opens a link.
    Hello(Hello),
    /// Accepts a link.
    Welcome(Welcome),
    /// Opens a stream with a request.
    Open {
        /// The stream.
        stream: u32,
        /// The request.
        head: Box<RequestHead>,
    },
    /// The gate admitted the request; the entry may now stream its body.
    Admitted {
        /// The stream.
        stream: u32,
    },
    /// A chunk of the request's body.
    Data {
        /// The stream.
        stream: u32,
        /// The chunk.
        bytes: Bytes,
    },
    /// The request's body is complete.
    DataEnd {
        /// The stream.
        stream: u32,
    },
    /// The request's body ended early and is incomplete.
    DataCut {
        /// The stream.
        stream: u32,
    },
    /// Extends the flow-control window of a stream.
    Credit {
        /// The stream.
        stream: u32,
        /// Number of further bytes that the other side may send.
        bytes: u32,
    },
    /// The entry no longer needs the answer, for example because the caller disconnected.
    Cancel {
        /// The stream.
        stream: u32,
    },
    /// The gate refused the request or could not answer it.
    Refused {
        /// The stream.
        stream: u32,
        /// Whether the request ran.
        verdict: WireVerdict,
        /// The load of the upstream.
        load: LoadReport,
    },
    /// The head of the answer and the start of its body.
    Answer {
        /// The stream.
        stream: u32,
        /// The head.
        head: Box<AnswerHead>,
        /// The first chunk of the body; may be empty.
        bytes: Bytes,
        /// Whether this chunk completes the body and ends the stream.
        last: bool,
        /// The load of the upstream.
        load: LoadReport,
    },
    /// A further chunk of the answer's body.
    AnswerData {
        /// The stream.
        stream: u32,
        /// The chunk.
        bytes: Bytes,
    },
    /// The answer's body is complete.
    AnswerEnd {
        /// The stream.
        stream: u32,
    },
    /// The answer's body ended early and is incomplete.
    AnswerCut {
        /// The stream.
        stream: u32,
    },
    /// Requests a `Pong`.
    Ping {
        /// Sequence number that the `Pong` repeats.
        sequence: u64,
    },
    /// Answers a `Ping`.
    Pong {
        /// Sequence number of the `Ping`.
        sequence: u64,
        /// The sender's clock, in microseconds.
        clock_micros: u64,
        /// The load of the upstream.
        load: LoadReport,
    },
    /// Requests a value of the published configuration.
    Fetch {
        /// The stream.
        stream: u32,
        /// Digest of the value, which is a manifest or a part.
        digest: [u8; 16],
    },
    /// Requests the registered upstreams; answered with a `Value`.
    FetchRegistry {
        /// The stream.
        stream: u32,
    },
    /// Answers a `Fetch` or a `FetchRegistry`.
    Value {
        /// The stream.
        stream: u32,
        /// The value, or `None` if the sender does not hold it.
        bytes: Option<Bytes>,
    },
    /// Reports the load between answers, when availability or slowdown has changed.
    Load {
        /// The load of the upstream.
        load: LoadReport,
    },
    /// The gate is leaving and accepts only requests that carry its tokens.
    GoAway,
    /// The entry gives up another of its links, which has gone silent.
    Disown {
        /// The random number of that link.
        link_id: u64,
    },
    /// Answers a `Disown`: the gate reads no more of that link.
    Disowned {
        /// The random number of that link.
        link_id: u64,
        /// What it had read, or `None` if it doesn't know any more.
        read: Option<ReadStreams>,
    },
}
