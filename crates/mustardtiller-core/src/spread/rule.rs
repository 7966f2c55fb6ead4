//! Intervals and counts of the distribution of configurations.

/// Intervals, waits and counts of [`Spread`](crate::Spread).
#[derive(Clone, Copy, Debug)]
pub struct SpreadRule {
    /// Number of readers in each data centre: hosts that watch the platform.
    pub readers: usize,
    /// Number of peers to which a new version is advertised.
    pub fanout: usize,
    /// Interval between two rounds of gossip, in milliseconds.
    ///
    /// A daemon without a configuration queries its peers four times as often.
    pub gossip_ms: u64,
    /// Time after which one of the readers asks the platform again, in milliseconds.
    pub watch_step_ms: u64,
    /// Longest wait of one watch, in milliseconds.
    pub max_watch_ms: u64,
    /// Interval between two reads of a host that is not a reader, in milliseconds.
    pub idle_read_ms: u64,
    /// First wait after a failed read, in milliseconds; doubles.
    pub retry_ms: u64,
    /// Longest wait after a failed read, before jitter, in milliseconds.
    pub max_retry_ms: u64,
    /// Time over which the first reads of the fleet are spread, in milliseconds.
    pub start_ms: u64,
    /// Longest wait of a host that knows no other host for its first read, in milliseconds.
    pub alone_ms: u64,
    /// Time after which a fetch counts as failed, in milliseconds.
    pub fetch_ms: u64,
    /// Time after which a fetch no longer keeps another source from being asked, in milliseconds.
    pub fetch_hedge_ms: u64,
    /// Time without a message of any peer after which a daemon watches the platform itself,
    /// in milliseconds.
    ///
    /// After half of it, the daemon queries peers at once.
    pub silence_ms: u64,
    /// Time that a daemon without a configuration waits for its peers, in milliseconds.
    pub peers_ms: u64,
}

impl Default for SpreadRule {
    fn default() -> Self {
        Self {
            readers: 3,
            fanout: 3,
            gossip_ms: 1_000,
            watch_step_ms: 20_000,
            max_watch_ms: 20_000,
            idle_read_ms: 300_000,
            retry_ms: 500,
            max_retry_ms: 15_000,
            start_ms: 200,
            alone_ms: 200,
            fetch_ms: 2_000,
            fetch_hedge_ms: 150,
            silence_ms: 5_000,
            peers_ms: 300,
        }
    }
}
