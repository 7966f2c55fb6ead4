//! Whether a newer configuration than the one held may be in force.

use crate::Deadline;
use crate::Instant;
use crate::Version;
use crate::spread::SpreadRule;

/// Rounds of gossip within which a daemon hears of newer versions than its first one.
///
/// It tells peers of its version at once, and a newer one is told in reply. The rounds
/// are for a loss of these messages.
const CONFIRM_ROUNDS: u64 = 2;

/// The deadline of a state that ends with a configuration, not with time.
const NEVER: Deadline = Deadline::at(Instant::from_micros(u64::MAX));

/// Whether the version held may be outdated.
///
/// A version that nobody can send must not leave a daemon in doubt for ever: the time
/// begins when the daemon first hears of a newer version than the one held, and begins
/// again only when it has accepted another.
#[derive(Debug)]
pub(super) struct Currency {
    /// The newest version heard of.
    heard: Version,
    /// Until when the version held counts as outdated.
    outdated_until: Deadline,
    /// The newest version that the platform has shown.
    shown: Version,
    /// Whether that is newer than the one held, and was not refused.
    ///
    /// It exists, so that no time ends the doubt.
    is_shown_newer: bool,
    /// Until when the first version, of a peer that may be behind, is not confirmed.
    unconfirmed_until: Deadline,
}

impl Currency {
    /// Create the state of a daemon that has heard of no version.
    pub fn new(now: Instant) -> Self {
        Self {
            heard: Version::default(),
            outdated_until: Deadline::at(now),
            shown: Version::default(),
            is_shown_newer: false,
            unconfirmed_until: NEVER,
        }
    }

    /// Record that the platform has shown a version, which confirms it if it is held.
    ///
    /// `is_refused` says whether the version was refused before. Returns whether the version
    /// is newer than all that the platform has shown.
    pub fn show(
        &mut self,
        version: Version,
        held: Version,
        is_refused: bool,
        now: Instant,
    ) -> bool {
        let is_newest = version > self.shown;
        if is_newest {
            self.shown = version;
            self.is_shown_newer = version > held && !is_refused;
        }
        if version == held && held.revision > 0 {
            self.unconfirmed_until = Deadline::at(now);
        }
        is_newest
    }

    /// Record that the platform holds this version and no other.
    ///
    /// What it has shown before was replaced or lost. Operators write again what was lost,
    /// so that the one held counts as outdated until `until` if that was newer.
    pub fn show_only(&mut self, version: Version, held: Version, until: Deadline) {
        if self.is_shown_newer && version <= held {
            self.is_shown_newer = false;
            self.outdated_until = self.outdated_until.max(until);
        }
    }

    /// Record that a source has a version; the one held counts as outdated until `until`.
    pub fn hear(&mut self, version: Version, held: Version, until: Deadline) {
        if version > held && self.heard <= held {
            self.outdated_until = until;
        }
        self.heard = self.heard.max(version);
    }

    /// Record that a version is held now.
    ///
    /// It counts as outdated for a while if a newer one was heard of, and so does a first
    /// one that the platform has not shown.
    pub fn accept(&mut self, held: Version, rule: &SpreadRule, now: Instant) {
        let is_behind = self.heard > held;
        self.outdated_until = if is_behind {
            Deadline::in_millis(now, rule.fetch_ms)
        } else {
            Deadline::at(now)
        };
        self.is_shown_newer &= self.shown > held;
        if held == self.shown {
            self.unconfirmed_until = Deadline::at(now);
        } else if self.unconfirmed_until == NEVER {
            let confirm_ms = rule.gossip_ms * CONFIRM_ROUNDS;
            self.unconfirmed_until = Deadline::in_millis(now, confirm_ms);
        }
    }

    /// Record that a version is not accepted, and is not to be waited for.
    pub fn refuse(&mut self, version: Version, held: Version, now: Instant) {
        self.is_shown_newer &= version != self.shown;
        if version == self.heard {
            self.heard = held;
            self.outdated_until = Deadline::at(now);
        }
    }

    /// Return until when a newer version may be in force.
    pub fn doubted_until(&self) -> Deadline {
        if self.is_shown_newer {
            return NEVER;
        }
        self.outdated_until.max(self.unconfirmed_until)
    }
}
