//! What callers and upstreams saw.

use std::fmt;

/// How a call ended, as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// A success; whether it was the upstream's whole answer to this call.
    Success {
        /// It was.
        whole: bool,
    },
    /// A promise that the call has not run and never will.
    NotRun(u16),
    /// Any other answer.
    Other(u16),
    /// The connection ended without an answer.
    Closed,
    /// Nothing came until long after the deadline.
    Silence,
}

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its identity.
    pub id: String,
    /// The host whose daemon took it.
    pub host: usize,
    /// It may run more than once.
    pub idempotent: bool,
    /// Method and path.
    pub target: String,
    /// A digest of its body.
    pub body_digest: u64,
    /// When it was sent, in milliseconds.
    pub sent_ms: u64,
    /// When it ended, in milliseconds.
    pub ended_ms: u64,
    /// How long its caller waits, in milliseconds.
    pub wait_ms: u64,
    /// How it ended.
    pub ending: Ending,
}

/// One run at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// The identity of the call.
    pub id: String,
    /// The upstream.
    pub upstream: String,
    /// Who called, as the upstream was told.
    pub caller: String,
    /// Method and path.
    pub target: String,
    /// A digest of the body.
    pub body_digest: u64,
    /// Time that was left, as the upstream was told, in milliseconds.
    pub left_ms: u64,
    /// When it began, in milliseconds.
    pub at_ms: u64,
}

/// A time in which something unplanned was wrong, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// Its beginning.
    pub from_ms: u64,
    /// Its end.
    pub until_ms: u64,
}

impl Span {
    /// Report whether the span meets another.
    #[must_use]
    pub const fn meets(&self, from_ms: u64, until_ms: u64) -> bool {
        self.from_ms <= until_ms && from_ms <= self.until_ms
    }
}

/// What callers and upstreams saw in one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The calls.
    pub calls: Vec<Call>,
    /// The runs.
    pub runs: Vec<Run>,
    /// When something unplanned was wrong.
    pub troubles: Vec<Span>,
    /// When the store failed, or a daemon did not reach it.
    pub store_troubles: Vec<Span>,
    /// When each upstream that left with notice had said so.
    pub leavings: Vec<(String, u64)>,
    /// From when nothing strikes any more, in milliseconds.
    pub calm_from_ms: u64,
    /// Daemons that ended without being told to.
    pub own_ends: Vec<String>,
    /// Lines of daemons that are no JSON objects.
    pub strange_lines: Vec<String>,
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |wanted: fn(&Ending) -> bool| {
            let endings = self.calls.iter().map(|call| &call.ending);
            endings.filter(|&ending| wanted(ending)).count()
        };
        write!(
            f,
            "{} calls: {} answered, {} not run, {} other, {} closed, {} silent; {} runs",
            self.calls.len(),
            count(|e| matches!(e, Ending::Success { .. })),
            count(|e| matches!(e, Ending::NotRun(_))),
            count(|e| matches!(e, Ending::Other(_))),
            count(|e| matches!(e, Ending::Closed)),
            count(|e| matches!(e, Ending::Silence)),
            self.runs.len(),
        )
    }
}
