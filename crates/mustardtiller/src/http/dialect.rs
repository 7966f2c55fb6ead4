//! Header names and forms, so that one daemon speaks with different neighbours.

/// How a deadline is written for an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadlineForm {
    /// Unix time in milliseconds, on the host's clock.
    UnixMs,
    /// Milliseconds that are left.
    RemainingMs,
}

/// How an answer proves that it is the upstream's own answer to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Proof {
    /// The connection is proof enough.
    Connection,
    /// The answer repeats the request's identity; a success bears a stamp.
    Stamp {
        /// Header with the upstream's stamp.
        stamp: &'static str,
    },
}

/// The load that an upstream reports in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the upstream.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual.
    pub work_percent: u16,
}

/// Names and forms of headers towards callers and upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Identifies one attempt of a caller.
    pub request_id: &'static str,
    /// Milliseconds that a caller waits.
    pub timeout: &'static str,
    /// The deadline for an upstream.
    pub deadline: &'static str,
    /// How that deadline is written.
    pub deadline_form: DeadlineForm,
    /// The caller.
    pub caller: &'static str,
    /// The upstream that a request is meant for.
    pub expect_upstream: &'static str,
    /// The upstream that answers.
    pub upstream: &'static str,
    /// Present if the upstream did not run the request.
    pub not_run: &'static str,
    /// The upstream's load.
    pub load: &'static str,
    /// How an answer is proved.
    pub proof: Proof,
    /// Reads the value of the load header.
    pub read_load: fn(&str) -> Option<UpstreamLoad>,
    /// Whether the depth of a call and retries at outer depths are told to upstreams.
    pub forwards_depth: bool,
    /// Whether callers read fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
}

impl Dialect {
    /// Report whether a header is written by the daemon, whoever sent one.
    #[must_use]
    pub fn sets(&self, name: &str) -> bool {
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
            proof: Proof::Connection,
            read_load: |_| None,
            forwards_depth: true,
            fractional_retry_after: false,
        }
    }
}
