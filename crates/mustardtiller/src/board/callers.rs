//! How much of the upstream each caller uses.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use mustardtiller_core::CallerName;

/// One caller's use of the upstream.
#[derive(Debug)]
pub struct CallerUse {
    /// The caller.
    pub name: CallerName,
    /// Its share.
    pub share: u32,
    in_use: AtomicU32,
}

impl CallerUse {
    /// Start with nothing in use.
    #[must_use]
    pub const fn new(name: CallerName, share: u32) -> Self {
        Self {
            name,
            share,
            in_use: AtomicU32::new(0),
        }
    }

    /// Record a slot taken.
    pub fn take(&self) {
        self.in_use.fetch_add(1, Ordering::Relaxed);
    }

    /// Record a slot given back.
    pub fn give_back(&self) {
        self.in_use.fetch_sub(1, Ordering::Relaxed);
    }

    /// Return the slots held.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use.load(Ordering::Relaxed)
    }
}

/// The callers that the configuration names, and all others as one.
///
/// Written by the routes controller; a caller's use outlives snapshots.
#[derive(Debug)]
pub struct CallerUses {
    by_name: HashMap<CallerName, Arc<CallerUse>>,
    other: Arc<CallerUse>,
}

impl CallerUses {
    /// Carry over the uses of callers that stay.
    #[must_use]
    pub fn next(&self, callers: &[(CallerName, u32)]) -> Self {
        let by_name = callers
            .iter()
            .map(|(name, share)| {
                let known = self.by_name.get(name).filter(|known| known.share == *share);
                let in_use = known.cloned();
                let caller =
                    in_use.unwrap_or_else(|| Arc::new(CallerUse::new(name.clone(), *share)));
                (name.clone(), caller)
            })
            .collect();
        Self {
            by_name,
            other: Arc::clone(&self.other),
        }
    }

    /// Find a caller; one that is not configured is `other`.
    #[must_use]
    pub fn find(&self, name: &str) -> &Arc<CallerUse> {
        self.by_name.get(name).unwrap_or(&self.other)
    }
}

impl Default for CallerUses {
    fn default() -> Self {
        let other = Arc::new(CallerUse::new(CallerName::new("other"), 1));
        Self {
            by_name: HashMap::new(),
            other,
        }
    }
}
