//! The history of a run: what callers and upstreams observed.

use std::fmt;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// A success, which is a status below 300.
    Success {
        /// Whether it was the upstream's complete answer to this very call.
        whole: bool,
    },
    /// A status that guarantees that the call has not run and never will.
    NotRun(u16),
    /// Any other status.
    Other(u16),
    /// The connection closed without an answer, or in the middle of one.
    Closed,
    /// No answer until long after the deadline.
    Silence,
}

/// A call, as recorded by its caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity of the call.
    pub id: String,
    /// Host whose daemon the call was sent to.
    pub host: usize,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Method and path.
    pub target: String,
    /// Digest of the body sent.
    pub body_digest: u64,
    /// When the call was sent, in milliseconds since the run started.
    pub sent_ms: u64,
    /// When the call ended, in milliseconds since the run started.
    pub ended_ms: u64,
    /// Deadline given by the caller, in milliseconds after sending.
    pub wait_ms: u64,
    /// How the call ended.
    pub ending: Ending,
}

/// One run of a call, as recorded by the upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// Identity of the call.
    pub id: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Caller name that the upstream received.
    pub caller: String,
    /// Method and path.
    pub target: String,
    /// Digest of the body received.
    pub body_digest: u64,
    /// Time left until the deadline that the upstream received, in milliseconds.
    pub left_ms: u64,
    /// When the request's head arrived, in milliseconds since the run started.
    pub at_ms: u64,
}

/// A time span in which an unplanned fault could have effects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// Start of the span, in milliseconds since the run started.
    pub from_ms: u64,
    /// End of the span, in milliseconds since the run started.
    pub until_ms: u64,
}

impl Span {
    /// Report whether the span overlaps the one from `from_ms` to `until_ms`.
    #[must_use]
    pub const fn overlaps(&self, from_ms: u64, until_ms: u64) -> bool {
        self.from_ms <= until_ms && from_ms <= self.until_ms
    }
}

/// What callers and upstreams observed in one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Calls, in the order in which they were sent.
    pub calls: Vec<Call>,
    /// Runs at upstreams.
    pub runs: Vec<Run>,
    /// When unplanned faults other than the store's could have effects.
    pub troubles: Vec<Span>,
    /// When the store failed, or a daemon was cut off from it.
    pub store_troubles: Vec<Span>,
    /// Upstreams that were drained or unregistered, each with the time.
    ///
    /// In milliseconds since the run started.
    pub leavings: Vec<(String, u64)>,
    /// End of the last fault, replacement or restart.
    ///
    /// In milliseconds since the run started.
    pub calm_from_ms: u64,
    /// A line for each daemon that exited without SIGTERM or SIGKILL.
    pub own_ends: Vec<String>,
    /// A line for each daemon whose memory passed the target.
    pub over_memory: Vec<String>,
    /// Log lines of daemons that are not JSON, and their lines on standard error.
    pub strange_lines: Vec<String>,
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |predicate: fn(&Ending) -> bool| {
            let endings = self.calls.iter().map(|call| &call.ending);
            endings.filter(|&ending| predicate(ending)).count()
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
