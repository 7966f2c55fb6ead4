//! Retries stay within their budget and don't multiply along a chain of hops.

use mustardtiller_core::Attempt;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;
use mustardtiller_core::RetryBudget;
use mustardtiller_core::RetryContext;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::retry_reason;

/// Number of hops: the depth of the users' deepest call tree.
const DEPTH: usize = 22;

fn context(outer_retry: bool, attempts: u32) -> RetryContext {
    RetryContext {
        idempotent: true,
        replayable: true,
        bound: false,
        outer_retry,
        attempts,
        max_attempts: 3,
    }
}

/// Calls through a chain of hops; each answer is lost with `loss_percent`.
///
/// `marks_retries` decides whether a hop passes on that a call belongs to a retry.
struct Chain {
    budgets: Vec<RetryBudget>,
    calls_at: Vec<u64>,
    loss_percent: u8,
    marks_retries: bool,
    rng: fastrand::Rng,
}

impl Chain {
    fn new(loss_percent: u8, marks_retries: bool) -> Self {
        Self {
            budgets: (0..DEPTH).map(|_| RetryBudget::new(10)).collect(),
            calls_at: vec![0; DEPTH],
            loss_percent,
            marks_retries,
            rng: fastrand::Rng::with_seed(11),
        }
    }

    /// Call hop `depth`.
    ///
    /// A call whose answer is lost has still run on the hops below.
    fn call(&mut self, depth: usize, outer_retry: bool) -> Result<(), Refusal> {
        if depth == DEPTH {
            return Ok(());
        }
        if !outer_retry {
            self.budgets[depth].earn(10);
        }
        let mut attempts = 0;
        loop {
            attempts += 1;
            self.calls_at[depth] += 1;
            let retried = outer_retry || attempts > 1;
            // This hop answers even if the hops below refuse.
            let _ = self.call(depth + 1, retried && self.marks_retries);
            if self.rng.u8(0..100) >= self.loss_percent {
                return Ok(());
            }
            let lost = Refusal::Unknown(UnknownReason::LinkLost);
            let allowed = retry_reason(lost, context(outer_retry, attempts)).is_some();
            if !allowed || !self.budgets[depth].try_spend() {
                return Err(lost);
            }
        }
    }
}

#[test]
fn retries_do_not_multiply_over_depth() {
    let mut marked = Chain::new(30, true);
    let mut unmarked = Chain::new(30, false);
    for _ in 0..2_000 {
        let _ = marked.call(0, false);
        let _ = unmarked.call(0, false);
    }
    let growth = |chain: &Chain| chain.calls_at[DEPTH - 1] as f64 / 2_000.0;
    // Ten percent more at each of 22 hops would multiply the calls by eight.
    assert!(
        growth(&unmarked) > 4.0,
        "growth is limited even without the mark: {}",
        growth(&unmarked)
    );
    assert!(growth(&marked) < 4.0, "{}", growth(&marked));
}

#[test]
fn retries_stay_within_the_budget() {
    let budget = RetryBudget::new(10);
    let mut spent = 0_u32;
    for _ in 0..10_000 {
        budget.earn(10);
        while budget.try_spend() {
            spent += 1;
        }
    }
    assert!(
        spent <= 1_000 + 10,
        "{spent} retries for 10,000 calls at ten percent"
    );
    assert!(spent >= 990);
}

#[test]
fn only_harmless_retries_are_allowed() {
    let refusal = |reason| Refusal::from(Attempt::begin().refuse(reason));
    let unknown = Refusal::Unknown(UnknownReason::AnswerCut);
    let retryable = context(false, 1);
    assert!(retry_reason(refusal(NotRunReason::QueueFull), retryable).is_some());
    assert!(retry_reason(unknown, retryable).is_some());
    let not_idempotent = RetryContext {
        idempotent: false,
        ..retryable
    };
    assert!(
        retry_reason(unknown, not_idempotent).is_none(),
        "a non-idempotent request of unknown outcome is retried"
    );
    assert!(retry_reason(refusal(NotRunReason::Leaving), not_idempotent).is_some());
    for not_retryable in [
        RetryContext {
            replayable: false,
            ..retryable
        },
        RetryContext {
            bound: true,
            ..retryable
        },
        RetryContext {
            outer_retry: true,
            ..retryable
        },
        RetryContext {
            attempts: 3,
            ..retryable
        },
    ] {
        assert!(retry_reason(refusal(NotRunReason::Leaving), not_retryable).is_none());
        assert!(retry_reason(unknown, not_retryable).is_none());
    }
}
