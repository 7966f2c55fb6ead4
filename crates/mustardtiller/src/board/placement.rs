//! Where this host stands: whether its upstream may serve requests at all, and which.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::board::Snapshot;
use mustardtiller_core::NotRunReason;

/// What operators allow in this host's data centre. Written by the configuration controller.
#[derive(Debug)]
pub struct Placement {
    evacuated: AtomicBool,
    /// Digests of the kinds whose routes this region may not serve.
    outside: Snapshot<HashSet<u32>>,
}

impl Placement {
    /// Create the state of a host that may serve everything.
    #[must_use]
    pub fn new() -> Self {
        Self {
            evacuated: AtomicBool::new(false),
            outside: Snapshot::new(HashSet::new()),
        }
    }

    /// Record whether the data centre is out of service. Returns the previous value.
    pub fn set_evacuated(&self, evacuated: bool) -> bool {
        self.evacuated.swap(evacuated, Ordering::SeqCst)
    }

    /// Report whether the data centre is out of service.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::SeqCst)
    }

    /// Replace the kinds whose routes this region may not serve.
    ///
    /// Returns whether they have changed.
    pub fn set_outside(&self, kinds: HashSet<u32>) -> bool {
        let changed = *self.outside.read().as_ref() != kinds;
        if changed {
            self.outside.publish(Arc::new(kinds));
        }
        changed
    }

    /// Allow every kind that is not among these; forbid none.
    pub fn allow_all_but(&self, kinds: &HashSet<u32>) {
        let outside = self.outside.share();
        if !outside.is_subset(kinds) {
            let still: HashSet<u32> = outside.intersection(kinds).copied().collect();
            self.outside.publish(Arc::new(still));
        }
    }

    /// Return why a request of this kind may not be served here.
    #[must_use]
    pub fn refusal(&self, kind_digest: u32) -> Option<NotRunReason> {
        if self.is_evacuated() {
            return Some(NotRunReason::Evacuated);
        }
        let outside = self.outside.read().contains(&kind_digest);
        outside.then_some(NotRunReason::OutsideRegion)
    }
}

impl Default for Placement {
    fn default() -> Self {
        Self::new()
    }
}
