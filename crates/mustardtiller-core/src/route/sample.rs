//! An entry's view of one upstream at the instant of a choice.

/// Whether an upstream may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It takes requests.
    Live,
    /// It takes no new request, because it is leaving or unreachable.
    Closed,
    /// It is ejected because it fails too often; used only if none is live.
    Ejected,
}

/// An entry's view of one upstream, read from the board.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Whether it may be chosen.
    pub availability: Availability,
    /// Requests running or waiting, by its gate's last load report.
    pub reported: u32,
    /// Age of that report, in microseconds.
    pub report_age_micros: u64,
    /// Requests of this entry in flight to the upstream now.
    pub outstanding: u32,
    /// Those that were in flight when the report was made.
    pub outstanding_at_report: u32,
    /// Requests that the upstream can run at once.
    pub slots: u32,
    /// Smoothed latency of answers, in microseconds.
    pub latency_micros: u32,
    /// Time since that latency was last updated, in microseconds.
    pub latency_age_micros: u64,
    /// Smoothed error rate, in thousandths.
    pub error_milli: u32,
    /// Time since the last error, in microseconds.
    pub error_age_micros: u64,
    /// Share of its full load allowed during its cold start, in thousandths.
    pub ramp_milli: u32,
    /// Service time at the time of the report, in percent of the usual.
    pub work_percent: u32,
    /// Time until the rate that it named allows another request, in microseconds.
    pub start_wait_micros: u64,
    /// Cost of using its data centre, in microseconds of latency.
    pub price_micros: u32,
}
