//! Which kinds of request are made by runs of other requests, learned from their sources.

/// Number of kinds that are told apart; kinds whose digests collide count as one.
pub const KIND_SLOTS: usize = 64;

/// Number of sources that are told apart.
pub const SOURCE_SLOTS: usize = 16;

/// Requests of a kind due from services that sent none, from which their silence counts.
const MIN_MISSED: u64 = 7;

/// Least share of a kind's requests that idle hosts send if callers make them, as a divisor.
const IDLE_DIVISOR: u64 = 64;

/// Requests of a kind above which its counts are halved.
const MAX_REQUESTS: u32 = 1_024;

/// Requests of one kind, by the service beside the entry that sent them.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindSources {
    /// Requests by source.
    pub by_source: [u32; SOURCE_SLOTS],
    /// Requests from hosts whose upstream ran nothing at that time.
    pub from_idle_hosts: u32,
}

impl KindSources {
    /// Return the number of requests of the kind.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.by_source.iter().copied().map(u64::from).sum()
    }

    /// Report whether the counts of all kinds should be halved, so that older requests
    /// count less.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.total() >= u64::from(MAX_REQUESTS)
    }
}

/// The kinds whose requests are made by runs, as a set of slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NestedKinds(pub u64);

impl NestedKinds {
    /// Report whether requests of a kind are made by runs.
    #[must_use]
    pub const fn contains(self, kind_digest: u32) -> bool {
        self.0 >> kind_slot(kind_digest) & 1 == 1
    }
}

/// Return the slot of a kind.
#[must_use]
pub const fn kind_slot(kind_digest: u32) -> usize {
    kind_digest as usize % KIND_SLOTS
}

/// Return the kinds whose requests are made by runs of other requests.
///
/// Answers the load at which a called service is full: without the work of these calls,
/// that of their callers is lost. Callers' requests begin on hosts of all services, calls
/// of runs only on hosts of the services whose runs make them, and never on a host whose
/// upstream runs nothing. So a kind of which idle hosts send a share is made by callers,
/// and only such kinds say how callers' requests are spread over services. Another kind is
/// in the set if services that send those have sent none of it though some were due;
/// until then, nothing is known.
#[must_use]
pub fn nested_kinds(kinds: &[KindSources; KIND_SLOTS]) -> NestedKinds {
    let mut roots = [0_u64; SOURCE_SLOTS];
    for kind in kinds.iter().filter(|kind| is_root(kind)) {
        for (sum, &count) in roots.iter_mut().zip(&kind.by_source) {
            *sum += u64::from(count);
        }
    }
    let mut nested = 0;
    for (slot, kind) in kinds.iter().enumerate() {
        nested |= u64::from(is_nested(kind, &roots)) << slot;
    }
    NestedKinds(nested)
}

/// Report whether idle hosts send enough of a kind to prove that callers make it.
fn is_root(kind: &KindSources) -> bool {
    u64::from(kind.from_idle_hosts) * IDLE_DIVISOR > kind.total()
}

fn is_nested(kind: &KindSources, roots: &[u64; SOURCE_SLOTS]) -> bool {
    let silent = roots.iter().zip(&kind.by_source);
    let missing: u64 = silent
        .filter(|&(_, &own)| own == 0)
        .map(|(&sum, _)| sum)
        .sum();
    let due = (kind.total() * missing).checked_div(roots.iter().sum());
    !is_root(kind) && due.is_some_and(|due| due >= MIN_MISSED)
}
