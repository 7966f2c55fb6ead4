//! When each daemon reads the platform, by rank and without any coordination.

use crate::Deadline;
use crate::Instant;

/// Ages and waits of [`ReadSchedule`].
#[derive(Clone, Copy, Debug)]
pub struct ReadScheduleRule {
    /// Longest wait for a peer's registry while a caller needs one, in milliseconds.
    ///
    /// Each daemon draws its own wait, so that of a fleet that starts at once a part
    /// of the daemons read and hand the registry to the others. Short waits are more
    /// likely than long ones, so that one of a dozen daemons reads almost at once.
    pub listen_ms: u64,
    /// Longest wait for a peer's registry while no caller needs one, in milliseconds.
    pub idle_listen_ms: u64,
    /// Share of the daemons that read all entries at a start of the whole fleet, in
    /// thousandths.
    ///
    /// The others read the first page, and ask the daemons that it names.
    pub starters_milli: u64,
    /// Wait for the daemons named by the first page to answer, in milliseconds.
    pub acquaint_ms: u64,
    /// Age of the registry at which the first in rank reads, in milliseconds.
    pub read_ms: u64,
    /// Additional age for each daemon before this one in its data centre, in milliseconds.
    pub step_ms: u64,
    /// Additional age for each data centre before the daemon's own, in milliseconds.
    pub data_centre_step_ms: u64,
    /// Number of ranks with their own age; all later ranks share the next age.
    pub ranks: usize,
    /// First wait of the first in rank after a failed read, in milliseconds; doubles.
    pub retry_ms: u64,
    /// Longest wait after a failed read, before jitter, in milliseconds.
    pub max_retry_ms: u64,
}

impl Default for ReadScheduleRule {
    fn default() -> Self {
        Self {
            listen_ms: 1_000,
            idle_listen_ms: 6_000,
            starters_milli: 100,
            acquaint_ms: 200,
            read_ms: 600,
            step_ms: 250,
            data_centre_step_ms: 100,
            ranks: 4,
            retry_ms: 400,
            max_retry_ms: 4_000,
        }
    }
}

/// A daemon's rank in the order in which daemons read the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rank {
    /// Number of daemons before it in its data centre.
    pub within_data_centre: usize,
    /// Number of data centres before its own.
    pub data_centre: usize,
}

impl Rank {
    /// Report whether the daemon's upstream is registered.
    #[must_use]
    pub const fn is_listed(self) -> bool {
        self.within_data_centre != usize::MAX
    }

    /// Return the rank of a daemon whose upstream is not registered.
    ///
    /// It reads after all others, since no daemon would forward its reads.
    #[must_use]
    pub const fn unlisted(data_centre: usize) -> Self {
        Self {
            within_data_centre: usize::MAX,
            data_centre,
        }
    }

    /// Report whether the daemon is first in its data centre.
    ///
    /// The first forwards within its data centre what it receives from other data centres.
    #[must_use]
    pub const fn is_first_of_data_centre(self) -> bool {
        self.within_data_centre == 0
    }
}

/// The result of a read of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The registry was read.
    Read,
    /// The platform did not answer or refused.
    Failed,
}

/// One daemon's schedule of reads of the platform.
///
/// The first in rank of the first data centre reads when the registry has reached a
/// certain age. It sends the result to its own data centre and to the first in rank
/// of each other data centre, which forwards it within that data centre. A daemon whose
/// registry grows older, because the first is gone, paused or cut off, reads
/// for itself. Later data centres and ranks wait longer, so that daemons don't all
/// call the platform at once during an outage.
///
/// A daemon that has started listens first: its neighbours connect to it and give
/// it the registry. It reads for itself if none has done so when its wait ends.
#[derive(Debug)]
pub struct ReadSchedule {
    rule: ReadScheduleRule,
    /// This daemon's draw: its part of the longest wait, in thousandths.
    wait_milli: u64,
    has_demand: bool,
    listen_until: Deadline,
    not_before: Deadline,
    failures: u32,
}

impl ReadSchedule {
    /// Create a schedule whose first read is due when the drawn wait for peers ends.
    #[must_use]
    pub fn new(rule: ReadScheduleRule, now: Instant, rng: &mut fastrand::Rng) -> Self {
        let wait_milli = rng.u64(0..=1_000);
        let wait_ms = rule.idle_listen_ms * wait_milli / 1_000;
        Self {
            rule,
            wait_milli,
            has_demand: false,
            listen_until: Deadline::in_millis(now, wait_ms),
            not_before: Deadline::at(now),
            failures: 0,
        }
    }

    /// Return when this daemon reads next unless it receives a newer registry first.
    ///
    /// `read_at` is when the registry that it holds was read; `None` if it holds none.
    #[must_use]
    pub fn next_read(&self, read_at: Option<Instant>, rank: Rank) -> Deadline {
        let scheduled = read_at.map_or(self.listen_until, |read_at| {
            let steps = rank.within_data_centre.min(self.rule.ranks) as u64 * self.rule.step_ms;
            let data_centres = rank.data_centre as u64 * self.rule.data_centre_step_ms;
            Deadline::in_millis(read_at, self.rule.read_ms + steps + data_centres)
        });
        scheduled.max(self.not_before)
    }

    /// Record that a caller needs a registry: the wait for a peer's is shortened.
    pub fn record_demand(&mut self, now: Instant) {
        self.has_demand = true;
        let wait_ms = self.rule.listen_ms * self.wait_milli * self.wait_milli / 1_000_000;
        self.listen_until = self.listen_until.min(Deadline::in_millis(now, wait_ms));
    }

    /// Report whether a daemon that holds no registry reads all entries at once.
    #[must_use]
    pub const fn is_starter(&self) -> bool {
        self.wait_milli < self.rule.starters_milli
    }

    /// Record that the first page was read and the daemons that it names were asked.
    ///
    /// Without an answer, the next read is due after [`ReadScheduleRule::acquaint_ms`]
    /// and a drawn time more.
    pub fn record_first_page(&mut self, now: Instant) {
        let wait_ms = self.rule.acquaint_ms * (1_000 + 4 * self.wait_milli) / 1_000;
        self.listen_until = Deadline::in_millis(now, wait_ms);
    }

    /// Report whether a caller needs a registry that is not there yet.
    #[must_use]
    pub const fn has_demand(&self) -> bool {
        self.has_demand
    }

    /// Record the result of a read, and back off with jitter if it failed.
    pub fn record_outcome(
        &mut self,
        outcome: ReadOutcome,
        rank: Rank,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) {
        match outcome {
            ReadOutcome::Read => {
                self.failures = 0;
                self.not_before = Deadline::at(now);
            }
            ReadOutcome::Failed => {
                let wait =
                    self.rule.retry_ms * (rank.within_data_centre.min(self.rule.ranks) as u64 + 1);
                let wait = (wait << self.failures.min(4)).min(self.rule.max_retry_ms);
                self.failures += 1;
                let jitter = rng.u64(0..=wait / 4);
                self.not_before = Deadline::in_millis(now, wait + jitter);
            }
        }
    }
}
