//! A retry budget that grows with first attempts.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLI: i64 = 1_000;

/// A retry budget for one service, shared by all threads without a lock.
///
/// Each first attempt earns a fraction of a retry. The balance is capped, so
/// that retries saved up at low load can't add a burst to an overload.
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: AtomicI64,
    cap_milli: i64,
}

impl RetryBudget {
    /// Create a full budget that holds up to `cap` retries.
    #[must_use]
    pub const fn new(cap: u32) -> Self {
        let cap_milli = cap as i64 * RETRY_COST_MILLI;
        Self {
            balance_milli: AtomicI64::new(cap_milli),
            cap_milli,
        }
    }

    /// Earn `percent` hundredths of a retry for a first attempt.
    pub fn earn(&self, percent: u32) {
        let earned = i64::from(percent) * RETRY_COST_MILLI / 100;
        let balance = self.balance_milli.load(Ordering::Relaxed);
        if balance < self.cap_milli {
            self.balance_milli.fetch_add(earned, Ordering::Relaxed);
        }
    }

    /// Spend one retry, if the budget holds one.
    pub fn try_spend(&self) -> bool {
        self.balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                (balance >= RETRY_COST_MILLI)
                    .then(|| balance.min(self.cap_milli) - RETRY_COST_MILLI)
            })
            .is_ok()
    }
}
