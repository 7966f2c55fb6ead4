//! Whose turn it is to read the platform, without a word between daemons.

use crate::Deadline;
use crate::Instant;

/// When daemons of one place read for each other.
#[derive(Clone, Copy, Debug)]
pub struct ReadScheduleRule {
    /// Age of the registry at which the first in rank reads, in milliseconds.
    pub read_ms: u64,
    /// Further age at which the next in rank reads, in milliseconds.
    pub step_ms: u64,
    /// Further age at which the first of the next place reads, in milliseconds.
    pub place_step_ms: u64,
    /// Ranks that have an age of their own; all later ones share the last.
    pub ranks: usize,
    /// Wait of the first in rank after a failed read, in milliseconds.
    pub retry_ms: u64,
    /// Longest wait after a failed read, in milliseconds.
    pub max_retry_ms: u64,
    /// Age of the registry from which a missing entry may have lapsed unseen, in milliseconds.
    pub gap_ms: u64,
    /// Time that a lapsed entry has to come back, in milliseconds.
    pub lapse_ms: u64,
}

impl Default for ReadScheduleRule {
    fn default() -> Self {
        Self {
            read_ms: 600,
            step_ms: 250,
            place_step_ms: 100,
            ranks: 4,
            retry_ms: 400,
            max_retry_ms: 4_000,
            gap_ms: 2_500,
            lapse_ms: 2_200,
        }
    }
}

/// A daemon's place in the order in which daemons read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rank {
    /// Daemons of its place before it.
    pub within: usize,
    /// Places before its own.
    pub place: usize,
}

impl Rank {
    /// Report whether the daemon speaks for its place with others.
    #[must_use]
    pub const fn is_first_of_place(self) -> bool {
        self.within == 0
    }
}

/// How a read ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The registry was read.
    Read,
    /// The platform did not answer or refused.
    Failed,
}

/// One daemon's turn to read.
///
/// The first in rank of the first place reads when the registry has reached an
/// age, and tells its place and the first in rank of each other, who tell
/// theirs. One whose registry grows older than that, because the first is
/// gone, paused or cut off, reads itself; later places and ranks wait longer,
/// so that an outage of the platform is not met by calls from everybody.
#[derive(Debug)]
pub struct ReadSchedule {
    rule: ReadScheduleRule,
    not_before: Deadline,
    failures: u32,
    lapsed_until: Option<Deadline>,
}

impl ReadSchedule {
    /// Start; the first read is due at once.
    #[must_use]
    pub const fn new(rule: ReadScheduleRule, now: Instant) -> Self {
        Self {
            rule,
            not_before: Deadline::at(now),
            failures: 0,
            lapsed_until: None,
        }
    }

    /// Return when this daemon reads next if it hears nothing newer.
    ///
    /// `read_at` is when the registry it holds was read, `None` for none.
    #[must_use]
    pub fn next_read(&self, read_at: Option<Instant>, rank: Rank) -> Deadline {
        let due = read_at.map_or(self.not_before, |read_at| {
            let steps = rank.within.min(self.rule.ranks) as u64 * self.rule.step_ms;
            let places = rank.place as u64 * self.rule.place_step_ms;
            Deadline::in_millis(read_at, self.rule.read_ms + steps + places)
        });
        due.max(self.not_before)
    }

    /// Record how a read ended and put off the next one.
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
                let wait = self.rule.retry_ms * (rank.within.min(self.rule.ranks) as u64 + 1);
                let wait = (wait << self.failures.min(4)).min(self.rule.max_retry_ms);
                self.failures += 1;
                let jitter = rng.u64(0..=wait / 4);
                self.not_before = Deadline::in_millis(now, wait + jitter);
            }
        }
    }

    /// Report whether entries that a new read lacks are kept for now.
    ///
    /// `held_at` is when the registry before it was read.
    pub fn keeps_missing(&mut self, held_at: Option<Instant>, now: Instant) -> bool {
        let gap = held_at.is_some_and(|at| now.micros_since(at) > self.rule.gap_ms * 1_000);
        if gap {
            self.lapsed_until = Some(Deadline::in_millis(now, self.rule.lapse_ms));
        }
        self.lapsed_until
            .is_some_and(|until| !until.has_passed(now))
    }
}
