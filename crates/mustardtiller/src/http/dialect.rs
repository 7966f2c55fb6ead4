//! Names and formats of headers, configurable for different callers and upstreams.

/// Format of the deadline header for upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadlineForm {
    /// Unix time in milliseconds, on the host's clock.
    UnixMs,
    /// Milliseconds that remain.
    RemainingMs,
}

/// Evidence that an answer belongs to the request that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Proof {
    /// Arrival on the request's connection suffices if the connection is new.
    ///
    /// On one that was used before, a late copy of an earlier answer may arrive, so
    /// the answer must repeat the exchange header. Only an upstream that repeats it
    /// is sent further requests on the same connection.
    Connection {
        /// Name of the exchange header, which numbers requests to the upstream.
        exchange: &'static str,
    },
    /// The answer repeats the request's identity; unless it refuses, it also has a stamp.
    Stamp {
        /// Name of the stamp header.
        stamp: &'static str,
    },
}

/// Load that an upstream reports in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued in the upstream.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Current service time, in percent of the usual one.
    pub work_percent: u16,
}

/// Names and formats of the headers exchanged with callers and upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Header that identifies one attempt of a caller.
    pub request_id: &'static str,
    /// Header with the caller's timeout in milliseconds.
    pub timeout: &'static str,
    /// Header with the deadline for an upstream.
    pub deadline: &'static str,
    /// Format of the deadline header.
    pub deadline_form: DeadlineForm,
    /// Header with the caller's name.
    pub caller: &'static str,
    /// Header with the name of the upstream that a request is meant for.
    pub expect_upstream: &'static str,
    /// Header with the name of the upstream that answers.
    pub upstream: &'static str,
    /// Header that is present if the upstream did not run the request.
    pub not_run: &'static str,
    /// Header with the upstream's load.
    pub load: &'static str,
    /// Header of a health answer with the time for which the upstream stays cold, in
    /// milliseconds.
    pub cold_ms: &'static str,
    /// Header with the rate of requests that the upstream takes from all hosts together.
    pub start_rate: &'static str,
    /// Header by which the upstream announces that it is leaving, and its value.
    pub leaving: (&'static str, &'static str),
    /// Evidence required of an answer.
    pub proof: Proof,
    /// Parser for the value of the load header.
    pub read_load: fn(&str) -> Option<UpstreamLoad>,
    /// Whether upstreams get headers with a call's depth and whether it was retried.
    pub forwards_depth: bool,
    /// Whether callers use the product's own interface.
    ///
    /// Otherwise its headers for tokens, depth and retries have no meaning, whatever they
    /// hold, and its paths belong to the services.
    pub has_own_interface: bool,
    /// Whether callers accept fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
}

impl Dialect {
    /// Report whether the daemon replaces a caller's header of this name.
    #[must_use]
    pub fn overwrites(&self, name: &str) -> bool {
        [
            self.timeout,
            self.deadline,
            self.caller,
            self.expect_upstream,
        ]
        .contains(&name)
    }
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            request_id: "mustardtiller-request-id",
            timeout: "mustardtiller-timeout-ms",
            deadline: "mustardtiller-deadline",
            deadline_form: DeadlineForm::UnixMs,
            caller: "mustardtiller-caller",
            expect_upstream: "mustardtiller-expect-upstream",
            upstream: "mustardtiller-upstream",
            not_run: "mustardtiller-not-run",
            load: "mustardtiller-load",
            cold_ms: "mustardtiller-cold-ms",
            start_rate: "mustardtiller-limit",
            leaving: ("upstream-state", "draining"),
            proof: Proof::Connection {
                exchange: "mustardtiller-exchange",
            },
            read_load: |_| None,
            forwards_depth: true,
            has_own_interface: true,
            fractional_retry_after: false,
        }
    }
}
