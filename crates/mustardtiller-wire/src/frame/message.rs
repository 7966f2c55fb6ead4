//! The frames themselves.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::head::AnswerHead;
use super::head::RequestHead;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Verdict;

/// The version of the link protocol that this program speaks.
pub const PROTOCOL_VERSION: u16 = 3;

/// The first frame of the side that opened the link.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Hello {
    /// The protocol version.
    pub version: u16,
    /// The incarnation of the opener.
    pub incarnation: u128,
    /// The upstream that the opener means to reach.
    pub upstream: String,
}

/// The first frame of the other side.
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

/// The load of an upstream as its gate knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport {
    /// Requests running or waiting.
    pub in_flight: u32,
    /// Requests that run at once.
    pub limit: u32,
    /// Share of its full load that it may be given, in thousandths.
    pub ramp_milli: u16,
    /// Time that work takes there at this moment, in percent of the usual.
    pub work_percent: u16,
    /// It takes no new work.
    pub leaving: bool,
}

/// A gate's verdict on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum WireVerdict {
    /// It did not run; the code of a [`NotRunReason`].
    NotRun(u8),
    /// It can't be known; the code of an [`UnknownReason`].
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
    /// Return the verdict, or `None` if the code is not known.
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
/// Each stream ends with exactly one `Refused`, `AnswerEnd` or `AnswerCut`
/// from the gate, also after `Cancel`.
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
    /// The gate admitted the request and wants its streamed body.
    Admitted {
        /// The stream.
        stream: u32,
    },
    /// A piece of the request's body.
    Data {
        /// The stream.
        stream: u32,
        /// The piece.
        bytes: Bytes,
    },
    /// The end of the request's body.
    DataEnd {
        /// The stream.
        stream: u32,
    },
    /// The request's body was cut.
    DataCut {
        /// The stream.
        stream: u32,
    },
    /// The receiver can take more bytes of the stream.
    Credit {
        /// The stream.
        stream: u32,
        /// How many more bytes.
        bytes: u32,
    },
    /// The caller has gone.
    Cancel {
        /// The stream.
        stream: u32,
    },
    /// The request is refused.
    Refused {
        /// The stream.
        stream: u32,
        /// Whether it ran.
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
        /// The first piece of the body; may be empty.
        bytes: Bytes,
        /// The body is whole with this piece.
        last: bool,
        /// The load of the upstream.
        load: LoadReport,
    },
    /// A further piece of the answer's body.
    AnswerData {
        /// The stream.
        stream: u32,
        /// The piece.
        bytes: Bytes,
    },
    /// The answer is whole.
    AnswerEnd {
        /// The stream.
        stream: u32,
    },
    /// The answer was cut.
    AnswerCut {
        /// The stream.
        stream: u32,
    },
    /// Asks for a `Pong`.
    Ping {
        /// The sender's count, to tell answers apart.
        sequence: u64,
    },
    /// Answers a `Ping`.
    Pong {
        /// The count of the `Ping`.
        sequence: u64,
        /// The sender's clock, in microseconds.
        clock_micros: u64,
        /// The load of the upstream.
        load: LoadReport,
    },
    /// Asks for a value of the published configuration.
    Fetch {
        /// The stream.
        stream: u32,
        /// The digest of the value: a manifest or a part.
        digest: [u8; 16],
    },
    /// Asks for the registered upstreams; answered by a `Value`.
    FetchRegistry {
        /// The stream.
        stream: u32,
    },
    /// Answers a `Fetch`.
    Value {
        /// The stream.
        stream: u32,
        /// The value, if the sender holds it.
        bytes: Option<Bytes>,
    },
    /// The load has shifted.
    Load {
        /// The load of the upstream.
        load: LoadReport,
    },
    /// The gate is leaving: only requests with its tokens still come here.
    GoAway,
}
