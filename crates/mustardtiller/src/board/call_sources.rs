//! Counts of the gate's requests by kind and by the service that they come from.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mustardtiller_core::KIND_SLOTS;
use mustardtiller_core::KindSources;
use mustardtiller_core::NestedKinds;
use mustardtiller_core::SOURCE_SLOTS;
use mustardtiller_core::kind_slot;
use mustardtiller_core::nested_kinds;

/// Requests of one kind, as atomics.
#[derive(Debug, Default)]
struct KindCounts {
    by_source: [AtomicU32; SOURCE_SLOTS],
    from_idle_hosts: AtomicU32,
}

/// Where the gate's requests come from, and which kinds are made by runs.
///
/// Each request adds to the counts; the limiter controller evaluates them.
#[derive(Debug)]
pub struct SourceCounts {
    kinds: [KindCounts; KIND_SLOTS],
    nested: AtomicU64,
}

impl SourceCounts {
    /// Create empty counts, by which no kind is known to be made by runs.
    #[must_use]
    pub fn new() -> Self {
        Self {
            kinds: std::array::from_fn(|_| KindCounts::default()),
            nested: AtomicU64::new(0),
        }
    }

    /// Count a request of a kind.
    ///
    /// `from_idle_host` is whether the upstream beside its entry ran nothing.
    pub fn count(&self, kind_digest: u32, source: &str, from_idle_host: bool) {
        let kind = &self.kinds[kind_slot(kind_digest)];
        kind.by_source[source_slot(source)].fetch_add(1, Ordering::Relaxed);
        if from_idle_host {
            kind.from_idle_hosts.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Return the kinds whose requests are made by runs, as far as they are known.
    #[must_use]
    pub fn nested(&self) -> NestedKinds {
        NestedKinds(self.nested.load(Ordering::Relaxed))
    }

    /// Forget all counts, since another upstream runs here now.
    pub fn reset(&self) {
        self.kinds.iter().for_each(KindCounts::clear);
        self.nested.store(0, Ordering::Relaxed);
    }

    /// Evaluate the counts. For the limiter controller.
    ///
    /// Returns the kinds made by runs, if they have changed.
    pub fn evaluate(&self) -> Option<NestedKinds> {
        let kinds: [KindSources; KIND_SLOTS] = std::array::from_fn(|slot| self.kinds[slot].read());
        if kinds.iter().any(KindSources::is_full) {
            self.kinds.iter().for_each(KindCounts::halve);
        }
        let nested = nested_kinds(&kinds);
        let before = self.nested.swap(nested.0, Ordering::Relaxed);
        (before != nested.0).then_some(nested)
    }
}

impl Default for SourceCounts {
    fn default() -> Self {
        Self::new()
    }
}

impl KindCounts {
    fn read(&self) -> KindSources {
        KindSources {
            by_source: std::array::from_fn(|slot| self.by_source[slot].load(Ordering::Relaxed)),
            from_idle_hosts: self.from_idle_hosts.load(Ordering::Relaxed),
        }
    }

    /// Halve the counts, rounded down, so that the last request is forgotten too.
    fn halve(&self) {
        for count in self.all() {
            // Requests that are counted meanwhile are kept.
            let old = count.load(Ordering::Relaxed);
            count.fetch_sub(old.div_ceil(2), Ordering::Relaxed);
        }
    }

    fn clear(&self) {
        self.all()
            .for_each(|count| count.store(0, Ordering::Relaxed));
    }

    fn all(&self) -> impl Iterator<Item = &AtomicU32> {
        self.by_source.iter().chain([&self.from_idle_hosts])
    }
}

fn source_slot(source: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    source.hash(&mut hasher);
    hasher.finish() as usize % SOURCE_SLOTS
}
