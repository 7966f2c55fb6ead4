//! What one daemon knows of the registered upstreams, and what it uses of that.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Deadline;
use crate::Instant;
use crate::Position;
use crate::Registration;
use crate::Registry;
use crate::ServiceName;
use crate::UpstreamName;
use crate::discover::earlier::Departed;
use crate::discover::earlier::EarlierEra;

/// Times of a [`RegistryView`].
#[derive(Clone, Copy, Debug)]
pub struct RegistryViewRule {
    /// Time between two reads from which a missing entry may have lapsed, in milliseconds.
    pub gap_ms: u64,
    /// Time that a lapsed entry has to register again, in milliseconds.
    pub lapse_ms: u64,
    /// Time after a return of the platform from a copy in which entries may be older than
    /// what was known before, in milliseconds.
    ///
    /// Entries that nobody writes again lapse within it.
    pub return_ms: u64,
    /// Time for which a copy may still have an entry that has gone, in milliseconds.
    pub copy_ms: u64,
}

impl Default for RegistryViewRule {
    fn default() -> Self {
        Self {
            gap_ms: 2_500,
            lapse_ms: 2_200,
            return_ms: 6_000,
            copy_ms: 60_000,
        }
    }
}

/// A time without reads, and the entries that were missing after it.
#[derive(Debug)]
struct Gap {
    /// When the last registry before it was read.
    began: Instant,
    /// Until when the missing entries are kept.
    keep_until: Deadline,
    missing: BTreeMap<UpstreamName, Arc<Registration>>,
}

/// What one daemon knows of the registered upstreams.
///
/// An older registry changes nothing, whoever tells it and in whatever order. After an
/// outage of the platform, entries whose leases have lapsed are kept for a while; they
/// are no part of the registry that other daemons are told. After a cut of this daemon
/// alone, the reads of others cover the gap, and what is missing has left.
///
/// A platform that comes back from a copy lacks what was registered since, and has what
/// has left since: its entries count as missing after a gap, and what was known of an
/// upstream's departure goes on counting for `return_ms`.
///
/// The failure that this answers too: a daemon that slept, with messages that waited
/// for it. They seem to be as new as its waking, so they don't cover the gap.
///
/// Entries of a service that no configuration names are not used, so that another
/// writer of registrations gets no say in who reads and who is told.
#[derive(Debug)]
pub struct RegistryView {
    rule: RegistryViewRule,
    listed: Option<Registry>,
    /// When this daemon learnt of the newest registry.
    learnt_at: Instant,
    gap: Option<Gap>,
    departed: Departed,
    earlier: Option<EarlierEra>,
    /// When the daemon's loop last ran.
    ran_at: Option<Instant>,
    /// When it ran again after a pause, as long as messages from the pause may come.
    woke_at: Option<Instant>,
}

impl RegistryView {
    /// Create the view of a daemon that knows nothing.
    #[must_use]
    pub fn new(rule: RegistryViewRule) -> Self {
        Self {
            rule,
            listed: None,
            learnt_at: Instant::from_micros(0),
            gap: None,
            departed: Departed::default(),
            earlier: None,
            ran_at: None,
            woke_at: None,
        }
    }

    /// Record that the daemon's loop runs, before it handles an input.
    ///
    /// After a pause of more than `gap_ms`, messages cover no gap until this daemon has
    /// read the platform itself, or `lapse_ms` have passed.
    pub fn note_run(&mut self, now: Instant) {
        self.woke_at
            .take_if(|woke| now.micros_since(*woke) >= self.rule.lapse_ms * 1_000);
        if self.ran_at.is_some_and(|ran| !self.rule.joins(ran, now)) {
            self.woke_at = Some(now);
        }
        self.ran_at = Some(now);
    }

    /// Record that this daemon has read the platform, from `began` on.
    pub fn note_own_read(&mut self, began: Instant) {
        self.woke_at.take_if(|woke| *woke <= began);
    }

    /// Return since when a message shows reads without a gap.
    ///
    /// After a pause it is the time that it gives for the read alone.
    #[must_use]
    pub fn covered_since(&self, unbroken_since: Instant, read_at: Instant) -> Instant {
        match self.woke_at {
            None => unbroken_since,
            Some(_) => read_at,
        }
    }

    /// Return the newest registry, as it was read; `None` if there is none.
    #[must_use]
    pub const fn listed(&self) -> Option<&Registry> {
        self.listed.as_ref()
    }

    /// Report whether a registry of this position and time would be accepted.
    ///
    /// A message that was delayed gives too late a time, so the position decides first.
    #[must_use]
    pub fn is_news(&self, position: impl Into<Position>, read_at: Instant) -> bool {
        let listed = self.listed.as_ref();
        let position = position.into();
        listed.is_none_or(|listed| listed.is_older_than(position, read_at))
    }

    /// Replace the registry by a newer one, and report whether it is newer.
    pub fn accept(&mut self, mut newer: Registry, now: Instant) -> bool {
        if !self.is_news(newer.position, newer.read_at) {
            return false;
        }
        if let Some(held) = self.listed.take() {
            if newer.position.era > held.position.era {
                self.begin_era(&held, &mut newer, now);
            } else if self.rule.joins(held.read_at, newer.read_at) {
                newer.unbroken_since = newer.unbroken_since.min(held.unbroken_since);
            } else if newer.unbroken_since > held.read_at && self.gap.is_none() {
                self.gap = Some(Gap {
                    began: held.read_at,
                    keep_until: Deadline::in_millis(now, self.rule.lapse_ms),
                    missing: BTreeMap::new(),
                });
            }
            // Only a platform that counts eras tells of a return.
            if newer.position.era > 0 && newer.position.era == held.position.era {
                let until = Deadline::in_millis(now, self.rule.copy_ms);
                self.departed.record(&held, &newer, until, now);
            }
            if let Some(gap) = &mut self.gap {
                let entries = held.entries();
                let missing = entries.filter(|entry| newer.get(entry.name.as_str()).is_none());
                gap.missing
                    .extend(missing.map(|entry| (entry.name.clone(), Arc::clone(entry))));
                gap.missing
                    .retain(|name, _| newer.get(name.as_str()).is_none());
            }
        }
        self.close_gap(newer.unbroken_since);
        self.listed = Some(newer);
        self.learnt_at = now;
        true
    }

    /// Keep what was known when the platform came back from a copy.
    ///
    /// Reads of an earlier era cover nothing of this one.
    fn begin_era(&mut self, held: &Registry, newer: &mut Registry, now: Instant) {
        newer.unbroken_since = newer.unbroken_since.max(newer.read_at);
        let missing = self.gap.take().map(|gap| gap.missing).unwrap_or_default();
        self.gap = Some(Gap {
            began: held.read_at,
            keep_until: Deadline::in_millis(now, self.rule.lapse_ms),
            missing,
        });
        let until = Deadline::in_millis(now, self.rule.return_ms);
        let earlier = self.earlier.take();
        self.earlier = Some(EarlierEra::new(earlier, held, &self.departed, until));
    }

    /// Report whether a read of the platform shows that the position held is none of its own.
    ///
    /// A read that began after this daemon learnt of a position can't bring an earlier one,
    /// unless a message was damaged, or a platform without eras was restored.
    #[must_use]
    pub fn supersedes(&self, read: &Registry) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|listed| read.position < listed.position)
            && read.read_at > self.learnt_at
    }

    /// Forget the newest registry and the entries kept.
    pub fn forget(&mut self) {
        self.listed = None;
        self.gap = None;
        self.earlier = None;
    }

    /// Record that a peer's reads had no gap from `unbroken_since` to `read_at`.
    ///
    /// A peer whose last read found an earlier position than this daemon knows tells nothing
    /// of the time since: its message was delayed.
    /// Returns whether entries are no longer kept because of it.
    pub fn hear_of_reads(
        &mut self,
        position: impl Into<Position>,
        unbroken_since: Instant,
        read_at: Instant,
    ) -> bool {
        let Some(listed) = &mut self.listed else {
            return false;
        };
        if position.into() < listed.position || !self.rule.joins(read_at, listed.read_at) {
            return false;
        }
        listed.unbroken_since = listed.unbroken_since.min(unbroken_since);
        self.close_gap(unbroken_since)
    }

    /// Drop the entries that were kept, and what an earlier era showed, once their time is
    /// over.
    ///
    /// Returns whether that may change the entries to use.
    pub fn expire(&mut self, now: Instant) -> bool {
        let earlier = self.earlier.take_if(|era| era.until.has_passed(now));
        let gap = self.gap.take_if(|gap| gap.keep_until.has_passed(now));
        earlier.is_some() || gap.is_some_and(|gap| !gap.missing.is_empty())
    }

    /// Return when [`RegistryView::expire`] is due; `None` if nothing expires.
    #[must_use]
    pub fn expires_at(&self) -> Option<Deadline> {
        let earlier = self.earlier.as_ref().map(|era| era.until);
        self.keep_until().into_iter().chain(earlier).min()
    }

    /// Return until when entries are kept that the newest registry lacks.
    #[must_use]
    pub fn keep_until(&self) -> Option<Deadline> {
        self.gap.as_ref().map(|gap| gap.keep_until)
    }

    /// Return the entries to use: those of named services, with the entries kept.
    #[must_use]
    pub fn usable(&self, is_named: impl Fn(&ServiceName) -> bool) -> Registry {
        let Some(listed) = &self.listed else {
            return Registry::default();
        };
        let kept = self.gap.iter().flat_map(|gap| gap.missing.values());
        let entries = listed.entries().chain(kept);
        let entries = entries.filter_map(|entry| match &self.earlier {
            Some(earlier) => earlier.correct(entry),
            None => Some(entry),
        });
        listed.with_entries(entries.filter(|entry| is_named(&entry.service)))
    }

    /// Drop the entries kept if reads without a gap began before them.
    fn close_gap(&mut self, unbroken_since: Instant) -> bool {
        self.gap
            .take_if(|gap| unbroken_since <= gap.began)
            .is_some_and(|gap| !gap.missing.is_empty())
    }
}

impl RegistryViewRule {
    /// Report whether reads at these times have no gap between them.
    fn joins(self, earlier: Instant, later: Instant) -> bool {
        later.micros_since(earlier) <= self.gap_ms * 1_000
    }
}
