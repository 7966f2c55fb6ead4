//! What an entry knows of one upstream at the instant of a choice.

/// Whether an upstream may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It takes requests.
    Live,
    /// It takes no new request: leaving, or not to be reached.
    Closed,
    /// It fails too often and rests, unless nothing better is left.
    Ejected,
}

/// What an entry knows of one upstream, read from the board.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Whether it may be chosen.
    pub availability: Availability,
    /// Requests that its gate last reported as running or waiting.
    pub reported: u32,
    /// Microseconds since that report.
    pub report_age_micros: u64,
    /// Requests of this entry at the upstream now.
    pub outstanding: u32,
    /// Requests of this entry at the upstream when the report was made.
    pub outstanding_at_report: u32,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Smoothed time of an answer, in microseconds.
    pub latency_micros: u32,
    /// Microseconds since an answer last told that time.
    pub latency_age_micros: u64,
    /// Smoothed share of errors, in thousandths.
    pub error_milli: u32,
    /// Microseconds since the last error.
    pub error_age_micros: u64,
    /// Share of its full load that it may be given, in thousandths (cold start).
    pub ramp_milli: u32,
    /// Time that work took there when the report was made, in percent of the usual.
    pub work_percent: u32,
    /// Price of reaching its place, in microseconds of latency.
    pub price_micros: u32,
}
