//! A budget that ties retries to first attempts.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Thousandths of a retry that one retry costs.
const RETRY_COST_MILLI: i64 = 1_000;

/// A budget of retries for one service, shared by all threads without a lock.
///
/// Each first attempt earns a share of a retry; the store is capped, so an
/// overload can't be answered with a burst saved up in quiet times.
#[derive(Debug)]
pub struct RetryBudget {
    store_milli: AtomicI64,
    cap_milli: i64,
}

impl RetryBudget {
    /// Create a budget that stores up to `cap` retries and starts full.
    #[must_use]
    pub const fn new(cap: u32) -> Self {
        let cap_milli = cap as i64 * RETRY_COST_MILLI;
        Self {
            store_milli: AtomicI64::new(cap_milli),
            cap_milli,
        }
    }

    /// Earn `percent` hundredths of a retry for a first attempt.
    pub fn earn(&self, percent: u32) {
        let earned = i64::from(percent) * RETRY_COST_MILLI / 100;
        let store = self.store_milli.load(Ordering::Relaxed);
        if store < self.cap_milli {
            self.store_milli.fetch_add(earned, Ordering::Relaxed);
        }
    }

    /// Spend one retry, if the store holds one.
    pub fn try_spend(&self) -> bool {
        self.store_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |store| {
                (store >= RETRY_COST_MILLI).then(|| store.min(self.cap_milli) - RETRY_COST_MILLI)
            })
            .is_ok()
    }
}
