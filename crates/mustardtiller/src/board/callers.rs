//! Slots of the upstream in use by each caller.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use mustardtiller_core::CallerName;

/// The slots of the upstream that one caller holds.
#[derive(Debug)]
pub struct CallerUsage {
    /// The caller's name.
    pub name: CallerName,
    /// The caller's weight in fair queueing.
    pub share: u32,
    in_use: AtomicU32,
}

impl CallerUsage {
    /// Create a caller that holds no slot.
    #[must_use]
    pub const fn new(name: CallerName, share: u32) -> Self {
        Self {
            name,
            share,
            in_use: AtomicU32::new(0),
        }
    }

    /// Count a slot as held.
    pub fn acquire(&self) {
        self.in_use.fetch_add(1, Ordering::Relaxed);
    }

    /// Count a slot as released.
    pub fn release(&self) {
        self.in_use.fetch_sub(1, Ordering::Relaxed);
    }

    /// Return the number of slots held.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use.load(Ordering::Relaxed)
    }
}

/// The callers that the configuration names; all others are counted together.
///
/// Written by the routes controller. The count of a caller is shared between
/// successive snapshots.
#[derive(Debug)]
pub struct CallerTable {
    by_name: HashMap<CallerName, Arc<CallerUsage>>,
    other: Arc<CallerUsage>,
}

impl CallerTable {
    /// Return a table of these callers; those with an unchanged share keep their count.
    #[must_use]
    pub fn with_callers(&self, callers: &[(CallerName, u32)]) -> Self {
        let by_name = callers
            .iter()
            .map(|(name, share)| {
                let known = self.by_name.get(name).filter(|known| known.share == *share);
                let kept = known.cloned();
                let caller =
                    kept.unwrap_or_else(|| Arc::new(CallerUsage::new(name.clone(), *share)));
                (name.clone(), caller)
            })
            .collect();
        Self {
            by_name,
            other: Arc::clone(&self.other),
        }
    }

    /// Find the usage of a caller; all that are not configured share one.
    #[must_use]
    pub fn find(&self, name: &str) -> &Arc<CallerUsage> {
        self.by_name.get(name).unwrap_or(&self.other)
    }
}

impl Default for CallerTable {
    fn default() -> Self {
        let other = Arc::new(CallerUsage::new(CallerName::new("other"), 1));
        Self {
            by_name: HashMap::new(),
            other,
        }
    }
}
