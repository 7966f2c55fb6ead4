//! What an earlier era of the platform showed of the upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Deadline;
use crate::Instant;
use crate::Registration;
use crate::RegistrationState;
use crate::Registry;
use crate::UpstreamName;

/// Most upstreams that have left and are remembered.
const MAX_DEPARTED: usize = 4_096;

/// What was last known of an upstream.
#[derive(Clone, Debug)]
enum LastKnown {
    /// It was registered.
    Registered(Arc<Registration>),
    /// It was no longer registered; its incarnation by the time of its start.
    Gone { started_ms: u64 },
}

/// Upstreams whose registrations have gone, for as long as a copy may still have them.
#[derive(Debug, Default)]
pub(super) struct Departed {
    /// By name: the start of the incarnation, and until when it is remembered.
    upstreams: BTreeMap<UpstreamName, (u64, Deadline)>,
}

impl Departed {
    /// Record what has changed from one registry to a newer one of the same era.
    pub fn record(&mut self, held: &Registry, newer: &Registry, until: Deadline, now: Instant) {
        self.upstreams.retain(|name, (_, until)| {
            !until.has_passed(now) && newer.get(name.as_str()).is_none()
        });
        for entry in held.entries() {
            let has_left = newer.get(entry.name.as_str()).is_none();
            if has_left && self.upstreams.len() < MAX_DEPARTED {
                let remembered = (entry.started_ms, until);
                self.upstreams.insert(entry.name.clone(), remembered);
            }
        }
    }
}

/// What an earlier era showed, until upstreams have written again.
///
/// A copy may show an upstream that has left as ready. An announced departure and an end
/// hold for an incarnation, so that only a later start makes the upstream usable again.
#[derive(Debug)]
pub(super) struct EarlierEra {
    /// Until when it counts.
    pub until: Deadline,
    upstreams: BTreeMap<UpstreamName, LastKnown>,
}

impl EarlierEra {
    /// Remember what was known when a later era was first seen.
    ///
    /// What an era before it showed counts as long as this one does.
    pub fn new(
        before: Option<Self>,
        held: &Registry,
        departed: &Departed,
        until: Deadline,
    ) -> Self {
        let gone = departed.upstreams.iter().map(|(name, (started_ms, _))| {
            let started_ms = *started_ms;
            (name.clone(), LastKnown::Gone { started_ms })
        });
        let mut upstreams: BTreeMap<_, _> = gone.collect();
        for entry in held.entries() {
            let entry = before.as_ref().map_or(Some(entry), |b| b.correct(entry));
            if let Some(entry) = entry {
                let last = LastKnown::Registered(Arc::clone(entry));
                upstreams.insert(entry.name.clone(), last);
            }
        }
        for (name, last) in before.into_iter().flat_map(|before| before.upstreams) {
            upstreams.entry(name).or_insert(last);
        }
        Self { until, upstreams }
    }

    /// Return what is to be used in place of an entry of the later era, if anything.
    pub fn correct<'a>(&'a self, entry: &'a Arc<Registration>) -> Option<&'a Arc<Registration>> {
        match self.upstreams.get(&entry.name) {
            Some(LastKnown::Gone { started_ms }) => {
                (entry.started_ms > *started_ms).then_some(entry)
            }
            Some(LastKnown::Registered(last)) => {
                let is_leaving = last.state == RegistrationState::Draining;
                let is_same = last.started_ms == entry.started_ms;
                let is_outdated = last.started_ms > entry.started_ms || is_same && is_leaving;
                Some(if is_outdated { last } else { entry })
            }
            None => Some(entry),
        }
    }
}
